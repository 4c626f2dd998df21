//! Scheduling: Most Credit First, sending without queueing, the slot ceiling, batches and a full queue.
mod common;
use common::*;
use linenhall::*;

fn one_slot() -> Settings {
    Settings { slots: 1, ..settings() }
}

/// With one slot, delivers each call at once and returns the endpoints of the next `count` sends in order.
fn drain(harness: &mut Harness, first_id: u64, count: usize) -> Vec<String> {
    let (mut id, mut order) = (first_id, Vec::new());
    for _ in 0..count {
        harness.now += 1.0;
        let sent = harness.end_attempt(id, 0, Outcome::Delivered, 1.0);
        let Some(next) = sent.first() else { break };
        id = next.0;
        order.push(next.1.clone());
    }
    order
}

/// Guards against a long queue that takes all slots. Each queue gets its turn by credit, and a queue whose
/// credit is below zero yields to the others.
#[test]
fn a_freed_slot_goes_to_the_queue_with_most_credit() {
    let mut harness = Harness::new(one_slot(), 3);
    let (first, sent) = harness.submit(SAFE, 0);
    assert!(sent, "not sent at once although the queue is empty and a slot is free");
    for destination in [0, 0, 0, 0, 1, 1, 2] {
        assert!(!harness.submit(SAFE, destination).1);
    }
    let order = drain(&mut harness, first, 7);
    assert_eq!(order[..3], ["h0", "h1", "h2"], "not every queue got a turn, with the longest waiting first");
    assert!(order[3..5].contains(&"h1".to_string()), "a queue with negative credit did not yield: {order:?}");
    assert_eq!(
        order[5..],
        ["h0", "h0"],
        "a queue with negative credit was not served when no other could send"
    );
}

/// Guards against unbounded credit: a queue that gathers credit during a long Retry-After must not take all
/// slots for a long time after it.
#[test]
fn credit_gathered_during_a_retry_after_is_capped() {
    let mut harness = Harness::new(one_slot(), 2);
    let (first, _) = harness.submit(SAFE, 0);
    // h1 sends a long Retry-After. Its queue gathers credit up to the cap while h0 is served alone.
    for _ in 0..30 {
        harness.submit(SAFE, 0);
    }
    let (blocked, _) = harness.submit(SAFE, 1);
    harness.now += 1.0;
    let sent = harness.end_attempt(first, 0, Outcome::Delivered, 1.0);
    let mut id = sent[0].0;
    while id != blocked {
        harness.now += 1.0;
        id = harness.end_attempt(id, 0, Outcome::Delivered, 1.0)[0].0;
    }
    let sent = harness.handle(&[ended_full(blocked, 0, 2000.0)]);
    id = sent[0].0;
    for _ in 0..8 {
        harness.submit(SAFE, 1);
    }
    for _ in 0..12 {
        harness.now += 1.0;
        id = harness.end_attempt(id, 0, Outcome::Delivered, 1.0)[0].0;
    }
    harness.now += 2100.0;
    let order = drain(&mut harness, id, 12);
    let consecutive = order.iter().take_while(|h| *h == "h1").count();
    assert!(
        (1..=4).contains(&consecutive),
        "the credit gathered during Retry-After is not capped: {order:?}"
    );
}

/// Guards against one destination that takes all slots: it gets three quarters of them while healthy and half
/// while its last outcome failed or a call exceeds its usual latency.
#[test]
fn the_slot_ceiling_holds_for_healthy_and_degraded_destinations() {
    let mut harness = Harness::new(settings(), 2);
    let requests: Vec<_> = (0..10).map(|_| harness.request(SAFE, 0)).collect();
    let events: Vec<_> = requests.iter().map(|x| x.1.clone()).collect();
    assert_eq!(
        harness.handle(&events).len(),
        6,
        "a healthy destination does not get three quarters of eight slots"
    );
    assert!(harness.submit(SAFE, 1).1, "the remaining slots are not free for other destinations");
    let mut harness = Harness::new(settings(), 1);
    let (id, _) = harness.submit(SAFE, 0);
    harness.now += 10.0;
    harness.end_attempt(id, 0, Outcome::Error, 10.0);
    harness.now += 1.0;
    let events: Vec<_> = (0..10).map(|_| harness.request(SAFE, 0).1).collect();
    assert_eq!(
        harness.handle(&events).len(),
        4,
        "a destination whose last outcome failed does not get half of the slots"
    );
    let mut harness = Harness::new(settings(), 1);
    harness.warm_up(0, 20, 10.0);
    harness.submit(SAFE, 0);
    harness.now += 100.0;
    let events: Vec<_> = (0..10).map(|_| harness.request(SAFE, 0).1).collect();
    assert_eq!(
        harness.handle(&events).len(),
        3,
        "a destination with an overdue call does not get half of the slots, of which one is taken"
    );
}

/// A call that carries several messages takes one slot.
#[test]
fn a_batch_takes_one_slot() {
    let mut harness = Harness::with_list(
        Settings { slots: 2, ..settings() },
        vec![Endpoint { kind: 1, ..endpoint("b", 0) }],
    );
    let events: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0).1).collect();
    assert_eq!(
        harness.handle(&events).len(),
        4,
        "the ceiling of one slot does not carry one call with four messages"
    );
}

/// A refusal because of a full queue tells the client when to retry, within the maximum of the settings.
#[test]
fn a_full_queue_refuses_with_a_retry_after() {
    let settings = Settings { max_open: 4, retry_after: true, max_retry_after_ms: 900.0, ..one_slot() };
    let mut harness = Harness::new(settings, 1);
    harness.submit(SAFE, 0);
    harness.submit(SAFE, 0);
    harness.submit(SAFE, 0);
    let (id, _) = harness.submit(SAFE, 0);
    let retry_after = harness.last_actions.iter().find_map(|a| match a {
        Action::Refuse { id: x, retry_after_ms } if *x == id => *retry_after_ms,
        _ => None,
    });
    assert!(retry_after.is_some_and(|ms| ms > 0.0 && ms <= 900.0));
}

/// Guards against a watch that is never renewed after a failure, or renewed while an answer is pending.
#[test]
fn discovery_is_polled_again_after_a_failure() {
    let mut harness = Harness::new(Settings { poll_discovery: true, ..settings() }, 1);
    assert!(harness.last_actions.contains(&Action::WatchList(true)));
    harness.handle(&[Event::ListUpdate(ListUpdate::Failed)]);
    assert!(harness.logged("discovery failing") && !harness.last_actions.contains(&Action::WatchList(true)));
    let mut watches = 0;
    for _ in 0..400 {
        harness.advance(5.0);
        watches += harness.last_actions.iter().filter(|a| **a == Action::WatchList(true)).count();
    }
    assert_eq!(watches, 1, "discovery was not polled exactly once while an answer is pending");
    assert!(harness.submit(SAFE, 0).1, "the last list is not used after a failure");
}

/// Guards against panics on settings and events that are out of range, not a number or contradictory.
#[test]
fn absurd_settings_and_events_do_not_panic() {
    let bad = f64::NAN;
    let absurd_class =
        Class { aim_ms: bad, deadline_ms: -1.0, dedup_window_ms: bad, value: -3.0, ..class(Effect::Keyed) };
    let absurd = Settings {
        relays: 0,
        slots: 0,
        max_open: 0,
        max_attempts: 0,
        classes: vec![absurd_class],
        tenant_rates: vec![0.0, bad],
        fall_ms: 0.0,
        cold_share: -1.0,
        warm_after_ms: 0.0,
        tick_ms: bad,
        conn_streams: 0,
        ..Settings::default()
    };
    for settings in [absurd, Settings::default(), Settings { slots: 1, max_open: 9, ..Settings::default() }] {
        let mut harness = Harness::new(settings, 2);
        for (id, due) in [(1, bad), (2, -5.0), (3, f64::INFINITY), (1, 0.0)] {
            let (class, tenant, key) = (77, 99, Some("k".into()));
            harness.handle(&[Event::Request { id, class, tenant, key, due, destination: u64::MAX }]);
        }
        harness.handle(&[
            ended_full(1, 0, bad),
            ended(99, 3, Outcome::Delivered, bad),
            Event::Withdrawn { id: 42 },
            Event::ResponseStarted { id: 42, attempt: 1 },
            Event::Timer { token: 9 },
            Event::PeerMessage { from: 3, data: vec![1] },
            Event::Probed { endpoint: "x".into(), outcome: Outcome::Full, took_ms: bad, report: vec![bad] },
        ]);
        harness.now = bad;
        harness.advance(1e18);
    }
}
