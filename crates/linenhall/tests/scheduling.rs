//! Most Credit First, direct sends, the slot ceiling, batches and full holds.
mod common;
use common::*;
use linenhall::*;

fn one_slot() -> Settings {
    Settings { slots: 1, ..settings() }
}

/// With one slot: what is sent when each call is delivered at once, by destination.
fn drain(rig: &mut Rig, first: u64, count: usize) -> Vec<String> {
    let (mut id, mut order) = (first, Vec::new());
    for _ in 0..count {
        rig.now += 1.0;
        let sent = rig.end(id, 0, Outcome::Delivered, 1.0);
        let Some(next) = sent.first() else { break };
        id = next.0;
        order.push(next.1.clone());
    }
    order
}

#[test]
fn a_freed_slot_goes_to_the_queue_with_most_credit() {
    let mut rig = Rig::new(one_slot(), 3);
    let (first, sent) = rig.ask(SAFE, 0);
    assert!(sent, "nothing held and a slot free: straight out");
    for dest in [0, 0, 0, 0, 1, 1, 2] {
        assert!(!rig.ask(SAFE, dest).1);
    }
    let order = drain(&mut rig, first, 7);
    assert_eq!(order[..3], ["h0", "h1", "h2"], "each queue gets a turn, the longest waiting first");
    assert!(order[3..5].contains(&"h1".to_string()), "below zero yields: {order:?}");
    assert_eq!(order[5..], ["h0", "h0"], "but is served if no other may send");
}

#[test]
fn a_queue_that_empties_starts_at_zero_and_credit_is_capped() {
    let mut rig = Rig::new(one_slot(), 2);
    let (first, _) = rig.ask(SAFE, 0);
    // h1 is told to wait for long; its queue gathers credit up to the cap while h0 is served alone.
    for _ in 0..30 {
        rig.ask(SAFE, 0);
    }
    let (blocked, _) = rig.ask(SAFE, 1);
    rig.now += 1.0;
    let sent = rig.end(first, 0, Outcome::Delivered, 1.0);
    let mut id = sent[0].0;
    while id != blocked {
        rig.now += 1.0;
        id = rig.end(id, 0, Outcome::Delivered, 1.0)[0].0;
    }
    let sent = rig.give(&[full(blocked, 0, 2000.0)]);
    id = sent[0].0;
    for _ in 0..8 {
        rig.ask(SAFE, 1);
    }
    for _ in 0..12 {
        rig.now += 1.0;
        id = rig.end(id, 0, Outcome::Delivered, 1.0)[0].0;
    }
    rig.now += 2100.0;
    let order = drain(&mut rig, id, 12);
    let run = order.iter().take_while(|h| *h == "h1").count();
    assert!((1..=4).contains(&run), "credit gathered in a wait is capped: {order:?}");
}

#[test]
fn the_slot_ceiling_holds_in_health_and_sickness() {
    let mut rig = Rig::new(settings(), 2);
    let asked: Vec<_> = (0..10).map(|_| rig.request(SAFE, 0)).collect();
    let events: Vec<_> = asked.iter().map(|x| x.1.clone()).collect();
    assert_eq!(rig.give(&events).len(), 6, "three quarters of eight slots");
    assert!(rig.ask(SAFE, 1).1, "the rest is for others");
    let mut rig = Rig::new(settings(), 1);
    let (id, _) = rig.ask(SAFE, 0);
    rig.now += 10.0;
    rig.end(id, 0, Outcome::Error, 10.0);
    rig.now += 1.0;
    let events: Vec<_> = (0..10).map(|_| rig.request(SAFE, 0).1).collect();
    assert_eq!(rig.give(&events).len(), 4, "half while its last outcome failed");
    let mut rig = Rig::new(settings(), 1);
    rig.warm_up(0, 20, 10.0);
    rig.ask(SAFE, 0);
    rig.now += 100.0;
    let events: Vec<_> = (0..10).map(|_| rig.request(SAFE, 0).1).collect();
    assert_eq!(rig.give(&events).len(), 3, "half, one of them taken, while a call outruns its latency");
}

#[test]
fn batches_ride_one_slot() {
    let mut rig =
        Rig::listed(Settings { slots: 2, ..settings() }, vec![Endpoint { kind: 1, ..endpoint("b", 0) }]);
    let events: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0).1).collect();
    assert_eq!(rig.give(&events).len(), 4, "one call of four in the one slot of its ceiling");
}

#[test]
fn a_full_hold_refuses_with_a_retry_after() {
    let s = Settings { max_open: 4, retry_after: true, max_retry_after_ms: 900.0, ..one_slot() };
    let mut rig = Rig::new(s, 1);
    rig.ask(SAFE, 0);
    rig.ask(SAFE, 0);
    rig.ask(SAFE, 0);
    let (id, _) = rig.ask(SAFE, 0);
    let told = rig.last.iter().find_map(|a| match a {
        Action::Refuse { id: x, retry_after_ms } if *x == id => *retry_after_ms,
        _ => None,
    });
    assert!(told.is_some_and(|ms| ms > 0.0 && ms <= 900.0));
}

#[test]
fn discovery_is_asked_for_again_after_a_failure() {
    let mut rig = Rig::new(Settings { poll_discovery: true, ..settings() }, 1);
    assert!(rig.last.contains(&Action::Watch(true)));
    rig.give(&[Event::ListUpdate(ListUpdate::Failed)]);
    assert!(rig.logged("discovery failing") && !rig.last.contains(&Action::Watch(true)));
    let mut again = 0;
    for _ in 0..400 {
        rig.wait(5.0);
        again += rig.last.iter().filter(|a| **a == Action::Watch(true)).count();
    }
    assert_eq!(again, 1, "once, and not while an answer is due");
    assert!(rig.ask(SAFE, 0).1, "the list held stays in use");
}

#[test]
fn absurd_settings_and_events_are_survived() {
    let bad = f64::NAN;
    let odd =
        Class { aim_ms: bad, deadline_ms: -1.0, dedup_window_ms: bad, value: -3.0, ..class(Effect::Keyed) };
    let s = Settings {
        relays: 0,
        slots: 0,
        max_open: 0,
        max_attempts: 0,
        classes: vec![odd],
        tenant_rates: vec![0.0, bad],
        fall_ms: 0.0,
        cold_share: -1.0,
        warm_after_ms: 0.0,
        tick_ms: bad,
        conn_streams: 0,
        ..Settings::default()
    };
    for s in [s, Settings::default(), Settings { slots: 1, max_open: 9, ..Settings::default() }] {
        let mut rig = Rig::new(s, 2);
        for (id, due) in [(1, bad), (2, -5.0), (3, f64::INFINITY), (1, 0.0)] {
            let (class, tenant, key) = (77, 99, Some("k".into()));
            rig.give(&[Event::Request { id, class, tenant, key, due, destination: u64::MAX }]);
        }
        rig.give(&[
            full(1, 0, bad),
            ended(99, 3, Outcome::Delivered, bad),
            Event::Withdrawn { id: 42 },
            Event::ResponseStarted { id: 42, attempt: 1 },
            Event::Timer { token: 9 },
            Event::PeerMessage { from: 3, data: vec![1] },
            Event::Probed { endpoint: "x".into(), outcome: Outcome::Full, took_ms: bad, report: vec![bad] },
        ]);
        rig.now = bad;
        rig.wait(1e18);
    }
}
