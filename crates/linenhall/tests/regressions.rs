//! One regression test for each failure that was found in simulations.
mod common;
use common::*;
use linenhall::*;

/// Guards against a token bucket that goes into debt while no rate limit is set. When a refusal then sets
/// one, the debt blocks the destination for a long time.
#[test]
fn a_refusal_after_many_sends_does_not_block_the_destination_for_long() {
    let mut harness = Harness::new(settings(), 1);
    harness.warm_up(0, 50, 20.0);
    let (id, _) = harness.submit(SAFE, 0);
    harness.handle(&[ended_full(id, 0, 0.0)]);
    let sent = (0..300).flat_map(|_| harness.advance(5.0)).count();
    assert_eq!(sent, 1, "not sent again once within 1.5 s");
}

/// Guards against a queue that fills up with messages for a destination that does not answer, so that
/// messages for healthy ones are refused (found in i50d7bd).
#[test]
fn a_full_queue_sheds_messages_for_a_failing_destination_first() {
    let mut harness = Harness::new(Settings { max_open: 12, ..settings() }, 2);
    harness.warm_up(1, 20, 10.0);
    // Destination 0 fails until its breaker opens.
    let requests: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0)).collect();
    harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    harness.now += 10.0;
    harness.handle(&requests.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    for _ in 0..5 {
        harness.submit(SAFE, 0);
    }
    let (id, sent) = harness.submit(SAFE, 1);
    assert!(sent && !harness.refused(id), "a message for the healthy destination was queued or refused");
    assert!(
        harness.last_actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
            && harness.logged("hold full")
    );
}

/// Guards against destinations that do not answer and, each within its ceiling, together hold all slots
/// (found in iea7983).
#[test]
fn an_overdue_call_is_cancelled_for_a_queue_that_can_send() {
    let mut harness = Harness::new(Settings { slots: 4, ..settings() }, 4);
    (0..4).for_each(|d| harness.warm_up(d, 10, 10.0));
    let overdue: Vec<_> = [0, 0, 1, 1].iter().map(|d| harness.request(SAFE, *d)).collect();
    assert_eq!(harness.handle(&overdue.iter().map(|x| x.1.clone()).collect::<Vec<_>>()).len(), 4);
    let (waiting, sent) = harness.submit(SAFE, 2);
    assert!(!sent);
    harness.advance(200.0);
    let cancelled: Vec<_> = overdue.iter().filter(|x| harness.cancelled(x.0)).collect();
    assert_eq!(cancelled.len(), 1, "not exactly one call, the longest overdue, was cancelled");
    let sent = harness.end_attempt(cancelled[0].0, 0, Outcome::Cancelled, 200.0);
    assert!(sent.iter().any(|s| s.0 == waiting));
}

/// Guards against destinations without answers whose breaker never opens, because cancelled calls do not
/// count as failures.
#[test]
fn missing_answers_open_the_breaker_and_late_answers_close_it() {
    let mut harness = Harness::new(settings(), 1);
    harness.warm_up(0, 20, 10.0);
    harness.now += 1.0;
    let requests: Vec<_> = (0..2).map(|_| harness.request(SAFE, 0)).collect();
    harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    harness.advance(100.0);
    assert!(harness.logged("no answers"));
    assert!(!harness.submit(SAFE, 0).1, "sent while the breaker is open");
    // Late answers without a failure: the destination was slow and not down, so there is no slow start.
    let sent = harness.end_attempt(requests[0].0, 0, Outcome::Delivered, 110.0);
    assert_eq!(sent.len(), 1, "the breaker did not close at once");
    assert!(!harness.logged("ramping"));
}

/// Guards against a call with a lost answer that keeps its slot because the destination answers other calls.
/// Where connections stop answering again and again, such calls fill all slots (found in i50d7bd and in
/// pieces+silent+leave 822939304235).
#[test]
fn a_call_beyond_its_latency_is_cancelled_although_its_group_delivers() {
    let mut harness = Harness::new(Settings { slots: 8, ..settings() }, 3);
    (0..3).for_each(|d| harness.warm_up(d, 20, 10.0));
    let (lost, _) = harness.submit(SAFE, 0);
    harness.warm_up(0, 1, 10.0);
    let others: Vec<_> = [1, 1, 1, 1, 2, 2, 2].iter().map(|d| harness.request(SAFE, *d).1).collect();
    assert_eq!(harness.handle(&others).len(), 7);
    let (_, sent) = harness.submit(SAFE, 0);
    assert!(
        !sent && !harness.cancelled(lost),
        "sent without a free slot, or cancelled within its usual latency"
    );
    harness.advance(12.0);
    assert!(
        harness.cancelled(lost),
        "not cancelled after twice its usual latency although a queue waits for the slot"
    );
}

/// Guards against a breaker that opens again at every single lost answer during slow start (found in
/// i2016d6).
#[test]
fn one_failure_during_slow_start_does_not_open_the_breaker_again() {
    let mut harness = Harness::new(settings(), 1);
    harness.warm_up(0, 100, 50.0);
    let requests: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0)).collect();
    harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    harness.now += 10.0;
    harness.handle(&requests.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    let mut attempts = std::collections::BTreeMap::new();
    let (mut delivered, mut failed) = (0, false);
    for _ in 0..2000 {
        let mut in_flight = harness.advance(5.0);
        while let Some((id, _)) = in_flight.pop() {
            let attempt = attempts.entry(id).or_insert(0u32);
            *attempt += 1;
            let outcome = if delivered == 3 && !failed { Outcome::Broken } else { Outcome::Delivered };
            failed |= outcome == Outcome::Broken;
            delivered += u32::from(outcome == Outcome::Delivered);
            in_flight.extend(harness.end_attempt(id, *attempt, outcome, 5.0));
            assert!(!failed || !harness.logged("out"));
        }
    }
    assert!(failed && delivered >= 6);
}

/// Guards against half-open trials that use up the limit whose return they wait for, because many relays send
/// them (found in i270c2d).
#[test]
fn half_open_trials_are_rarer_where_many_relays_share_a_destination() {
    let trials = |relays: usize| {
        let mut harness = Harness::new(Settings { relays, max_attempts: 99, ..settings() }, 1);
        let requests: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0)).collect();
        harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
        harness.now += 1.0;
        harness.handle(&requests.iter().map(|x| ended(x.0, 0, Outcome::Broken, 1.0)).collect::<Vec<_>>());
        let mut attempts = std::collections::BTreeMap::new();
        let mut count = 0;
        for _ in 0..1900 {
            for (id, _) in harness.advance(5.0) {
                count += 1;
                let attempt = attempts.entry(id).or_insert(0u32);
                *attempt += 1;
                harness.end_attempt(id, *attempt, Outcome::Broken, 1.0);
            }
        }
        count
    };
    let (few, many) = (trials(2), trials(20));
    assert!(many >= 1 && few > many, "{few} trials with 2 relays and {many} with 20");
}

/// Guards against slow destinations that take most of the slot time because each queue gets the same number
/// of turns (found in if97bcb).
#[test]
fn a_turn_costs_its_slot_time_while_slots_are_short() {
    let mut harness = Harness::new(Settings { slots: 1, ..settings() }, 2);
    harness.warm_up(0, 10, 300.0);
    harness.warm_up(1, 10, 30.0);
    let (first_id, _) = harness.submit(SAFE, 1);
    for _ in 0..12 {
        harness.submit(SAFE, 0);
        harness.submit(SAFE, 1);
    }
    let (mut id, mut slow, mut fast, mut took_ms) = (first_id, 0, 0, 30.0);
    for _ in 0..12 {
        harness.now += took_ms;
        let sent = harness.end_attempt(id, 0, Outcome::Delivered, took_ms);
        let Some(next) = sent.first() else { break };
        id = next.0;
        let is_slow = next.1 == "h0";
        took_ms = if is_slow { 300.0 } else { 30.0 };
        slow += u32::from(is_slow);
        fast += u32::from(!is_slow);
    }
    assert!(fast > slow && slow > 0, "{fast} fast and {slow} slow turns");
}

/// Guards against a further pause after a Retry-After: the destination is used again as soon as that ends.
#[test]
fn no_further_pause_follows_a_retry_after() {
    let mut harness = Harness::new(settings(), 1);
    let (id, _) = harness.submit(SAFE, 0);
    harness.handle(&[ended_full(id, 0, 500.0)]);
    assert!(harness.advance(495.0).is_empty());
    assert_eq!(harness.advance(10.0).len(), 1);
}

/// Guards against idle connections that fill the connection table of an endpoint, which then refuses new ones
/// (found in tunis-main-later rough-1).
#[test]
fn idle_connections_are_closed_once_connections_were_refused() {
    let close = Action::CloseIdle { endpoint: "h0".into() };
    let mut harness = Harness::new(settings(), 1);
    harness.warm_up(0, 3, 10.0);
    assert!(!harness.last_actions.contains(&close), "idle connections were closed although none was refused");
    let (id, _) = harness.submit(SAFE, 0);
    harness.end_attempt(id, 0, Outcome::NoConnection, 5.0);
    harness.end_attempt(id, 1, Outcome::Delivered, 10.0);
    harness.now += 20000.0;
    let (id, sent) = harness.submit(SAFE, 0);
    assert!(sent);
    harness.end_attempt(id, 0, Outcome::Delivered, 10.0);
    assert!(harness.last_actions.contains(&close));
}

fn settings_with_100_relays() -> Settings {
    Settings { relays: 100, ..settings() }
}

/// Guards against hundreds of relays that all call at the end of each short Retry-After (found in
/// mazowsze-wysylka-later big-1).
#[test]
fn a_retry_after_with_a_second_refusal_gives_no_token() {
    let mut harness = Harness::new(settings_with_100_relays(), 1);
    let (id, _) = harness.submit(SAFE, 0);
    harness.handle(&[ended_full(id, 0, 600.0)]);
    assert_eq!(harness.advance(601.0).len(), 1);
    harness.handle(&[ended_full(id, 1, 600.0)]);
    let sent: usize = (0..20).map(|_| harness.advance(100.0).len()).sum();
    assert_eq!(sent, 0, "sent within two seconds after the second refusal");
}

/// Guards against a breaker that needs five failures in a row: where a relay calls a destination seldom these
/// hardly come together (found in i1af5ac, i02738d and iff22c8).
#[test]
fn two_failures_in_a_row_slow_down_a_group_with_few_calls() {
    let mut harness = Harness::new(settings_with_100_relays(), 1);
    let (id, _) = harness.submit(SAFE, 0);
    harness.end_attempt(id, 0, Outcome::Broken, 10.0);
    let retries: usize = (0..10).map(|_| harness.advance(20.0).len()).sum();
    assert_eq!(retries, 1, "not sent again soon after one failure");
    harness.end_attempt(id, 1, Outcome::Broken, 10.0);
    let retries: usize = (0..10).map(|_| harness.advance(20.0).len()).sum();
    assert_eq!(retries, 0);
}

/// Guards against overload of a recovering destination by one call per span from each of many relays (found
/// in sousa-estudios-later overload).
#[test]
fn slow_start_of_one_of_many_relays_sends_less_than_one_call_per_span() {
    let mut harness = Harness::new(settings_with_100_relays(), 1);
    let requests: Vec<_> = (0..5).map(|_| harness.request(SAFE, 0)).collect();
    harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    harness.now += 10.0;
    harness.handle(&requests.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    assert!(harness.logged("out"));
    let trial =
        (0..600).find_map(|_| harness.advance(10.0).first().cloned()).expect("no half-open trial was sent");
    // After frequent errors recovery takes two trials; the second goes at once.
    let second = harness.end_attempt(trial.0, 1, Outcome::Delivered, 10.0);
    harness.end_attempt(second[0].0, 1, Outcome::Delivered, 10.0);
    assert!(harness.logged("ramping"));
    let sent: usize = (0..30).map(|_| harness.advance(100.0).len()).sum();
    assert_eq!(sent, 0, "sent within one and a half spans of the slow-start rule");
}

/// Guards against a full queue that refuses requests for destinations that the relay has never called at once
/// (found in the simulation "tap").
#[test]
fn a_full_queue_keeps_requests_for_a_destination_never_called() {
    let mut harness = Harness::new(Settings { slots: 1, max_open: 12, ..settings() }, 3);
    harness.warm_up(0, 20, 300.0);
    let (_, sent) = harness.submit(SAFE, 2);
    assert!(sent, "the only slot was not free for the first request");
    for _ in 0..9 {
        harness.submit(SAFE, 0);
    }
    let (id, sent) = harness.submit(SAFE, 1);
    assert!(!sent && !harness.refused(id));
    harness.submit(SAFE, 0);
    assert!(!harness.refused(id) && harness.last_actions.iter().any(|a| matches!(a, Action::Refuse { .. })));
}

/// Guards against an index of endpoints by destination that does not follow the list, also for a large fleet.
#[test]
fn the_index_of_endpoints_follows_the_list() {
    let list = (0..790).map(|n| endpoint(&format!("h{n}"), n / 2)).collect();
    let mut harness = Harness::with_list(settings(), list);
    let moved = Endpoint { destination: 5, ..endpoint("h0", 0) };
    let removed = |name: &str, d: u64| Endpoint { status: EndpointStatus::Removed, ..endpoint(name, d) };
    let changes = vec![moved, removed("h10", 5), removed("h11", 5)];
    harness.handle(&[Event::ListUpdate(ListUpdate::Delta(changes))]);
    for (destination, name) in [(0, "h1"), (5, "h0")] {
        let (id, event) = harness.request(SAFE, destination);
        assert_eq!(harness.handle(&[event]), [(id, name.to_string())]);
    }
    harness.handle(&[Event::ListUpdate(ListUpdate::Full(vec![endpoint("h7", 3)]))]);
    assert!(
        !harness.submit(SAFE, 5).1 && harness.submit(SAFE, 3).1,
        "an endpoint that is missing in a full list still gets calls, or a listed one does not"
    );
}

/// Guards against a half-open trial with a request that expires before the answer: one with 3 ms left timed
/// out, which delayed the next trial by 2 s (found in churn+long 4240).
#[test]
fn a_half_open_trial_needs_a_request_with_time_for_an_answer() {
    let mut harness = Harness::new(settings(), 1);
    harness.warm_up(0, 20, 100.0);
    let requests: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0)).collect();
    harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    harness.now += 10.0;
    harness.handle(&requests.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    assert!(harness.logged("out"));
    assert!(
        harness.advance(9930.0).is_empty(),
        "a trial was sent with 60 ms left, while an answer takes 100 ms"
    );
    assert!(harness.submit(SAFE, 0).1, "a new request was not sent as the trial");
}

/// Guards against late answers that are taken for a recovery: calls sent before the failures are delivered
/// late, and what is sent on that evidence fails (found in churn+long 4240).
#[test]
fn deliveries_of_calls_sent_before_the_failures_prove_no_recovery() {
    let mut harness = Harness::new(Settings { slots: 16, ..settings() }, 1);
    harness.warm_up(0, 100, 50.0);
    let requests: Vec<_> = (0..9).map(|_| harness.request(SAFE, 0)).collect();
    assert_eq!(harness.handle(&requests.iter().map(|x| x.1.clone()).collect::<Vec<_>>()).len(), 9);
    harness.now += 1.0;
    harness.handle(&requests[..6].iter().map(|x| ended(x.0, 0, Outcome::Error, 1.0)).collect::<Vec<_>>());
    assert!(harness.logged("out"));
    for (id, _) in &requests[6..] {
        harness.end_attempt(*id, 0, Outcome::Delivered, 20.0);
        assert!(!harness.logged("ramping"));
    }
}
