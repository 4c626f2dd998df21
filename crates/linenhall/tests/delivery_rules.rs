//! Tests of the six delivery rules: no message is lost, an unsafe effect happens once, drains are kept, a
//! recovering destination is not overloaded, order is kept by key, and Retry-After is honoured.
mod common;
use common::*;
use linenhall::*;

/// Guards against a message without an answer: its destination has no endpoint, so it is queued until its
/// deadline.
#[test]
fn a_message_without_a_known_endpoint_is_answered_at_its_deadline() {
    let mut harness = Harness::new(settings(), 1);
    let (id, sent) = harness.submit(SAFE, 9);
    assert!(!sent && !harness.refused(id), "sent or refused at once although an endpoint may still appear");
    let mut answers = 0;
    for _ in 0..2200 {
        harness.advance(5.0);
        answers += harness
            .last_actions
            .iter()
            .filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. }))
            .count();
        assert!(answers == 1 || harness.now < 11000.0, "not answered by its deadline");
    }
    assert_eq!(answers, 1);
}

/// Guards against a message without an answer, or with two, when its last attempt times out at the deadline.
#[test]
fn a_message_whose_last_attempt_times_out_at_the_deadline_fails_once() {
    let mut harness = Harness::new(settings(), 1);
    let (id, sent) = harness.submit(UNSAFE, 0);
    assert!(sent);
    harness.now += 10000.0;
    harness.end_attempt(id, 0, Outcome::TimedOut, 10000.0);
    assert!(harness.failed(id));
    harness.handle(&[Event::Withdrawn { id }, ended(id, 0, Outcome::TimedOut, 1.0)]);
    assert!(
        harness.last_actions.iter().all(|a| matches!(a, Action::Timer { .. })),
        "a second answer or attempt after the failure"
    );
}

/// Guards against an unsafe effect that happens twice: a message is sent again only after proof that the
/// attempt never ran.
#[test]
fn an_unsafe_message_is_not_sent_again_after_an_attempt_that_may_have_run() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Broken, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), 1);
        let (id, _) = harness.submit(UNSAFE, 0);
        harness.now += 100.0;
        assert!(
            harness.end_attempt(id, 0, outcome, 100.0).is_empty(),
            "an unsafe message was sent again after {outcome:?}"
        );
        assert!(harness.failed(id) && !harness.refused(id));
    }
    let mut harness = Harness::new(settings(), 1);
    let (id, _) = harness.submit(UNSAFE, 0);
    harness.handle(&[ended_full(id, 0, 0.0)]);
    let retries = (0..400).flat_map(|_| harness.advance(5.0)).count();
    assert_eq!(retries, 1, "not sent again although the attempt never ran");
}

/// Guards against a repeat that the partner no longer recognises: keys are remembered for the dedup window
/// only.
#[test]
fn retries_keyed_message_only_within_dedup_window() {
    let mut harness = Harness::new(settings(), 1);
    let (id, sent) = harness.submit(KEYED, 0);
    assert!(sent);
    let start = harness.now;
    let (mut attempt, mut failed) = (0, false);
    harness.now += 10.0;
    harness.end_attempt(id, attempt, Outcome::Error, 10.0);
    for _ in 0..2000 {
        for (again, _) in harness.advance(5.0) {
            assert!(
                again == id && harness.now < start + 4000.0,
                "another message, or a send after the dedup window"
            );
            attempt += 1;
            harness.now += 5.0;
            harness.end_attempt(id, attempt, Outcome::Error, 5.0);
        }
        failed |= harness.failed(id);
        assert!(!harness.refused(id));
    }
    assert!(attempt > 0 && failed);
}

/// Guards against a repeat at an endpoint that does not know the key: it is remembered within the dedup scope
/// only.
#[test]
fn retries_keyed_message_only_within_dedup_scope() {
    let mut settings = settings();
    settings.classes[KEYED].dedup_scope = DedupScope::Endpoint;
    let mut harness = Harness::with_list(settings, vec![endpoint("a", 0), endpoint("b", 0)]);
    let (id, event) = harness.request(KEYED, 0);
    let first = harness.handle(&[event])[0].1.clone();
    harness.now += 10.0;
    harness.end_attempt(id, 0, Outcome::Error, 10.0);
    let retries: Vec<_> = (0..700).flat_map(|_| harness.advance(5.0)).collect();
    assert!(!retries.is_empty() && retries.iter().all(|s| s.1 == first));
}

/// Guards against calls to an endpoint after an update that drains or removes it.
#[test]
fn draining_and_removed_endpoints_get_no_calls() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = Harness::with_list(settings(), vec![endpoint("a", 0), endpoint("b", 0)]);
        let updated = Endpoint { status, ..endpoint("a", 0) };
        harness.handle(&[Event::ListUpdate(ListUpdate::Delta(vec![updated]))]);
        for _ in 0..4 {
            let (_, event) = harness.request(SAFE, 0);
            assert!(harness.handle(&[event]).iter().all(|s| s.1 == "b"));
        }
    }
    let mut harness = Harness::with_list(settings(), vec![endpoint("a", 0), endpoint("b", 0)]);
    harness.handle(&[Event::ListUpdate(ListUpdate::Full(vec![endpoint("b", 0)]))]);
    let (_, event) = harness.request(SAFE, 0);
    assert_eq!(
        harness.handle(&[event])[0].1,
        "b",
        "an endpoint that is missing in a full list still gets calls"
    );
}

/// Guards against overload after an outage: the destination recovers cold, with a long queue waiting for it.
/// Within any `fall_ms` it may get at most the allowed multiple of what it can do.
#[test]
fn a_recovering_destination_is_not_overloaded() {
    let mut settings = settings();
    settings.slots = 40;
    let mut harness = Harness::new(settings, 1);
    harness.warm_up(0, 200, 100.0);
    // Every call fails until the breaker opens; then a long queue builds up.
    let failing: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0)).collect();
    harness.handle(&failing.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    harness.now += 20.0;
    let ends: Vec<_> = failing.iter().map(|x| ended(x.0, 0, Outcome::Broken, 20.0)).collect();
    harness.handle(&ends);
    assert!(harness.logged("out"));
    let more: Vec<_> = (0..60).map(|_| harness.request(SAFE, 0).1).collect();
    assert!(harness.handle(&more).is_empty(), "sent while the breaker is open, other than single trials");
    // It recovers cold: it serves one call after the other, at first a fifth of ten a second, then more.
    let (mut sent, mut attempts) = (Vec::new(), std::collections::BTreeMap::new());
    failing.iter().for_each(|x| _ = attempts.insert(x.0, 1u32));
    let (mut server_queue, mut done_at) = (std::collections::VecDeque::new(), harness.now);
    let capacity_share = |at: f64, recovered_at: f64| (0.2 + 0.8 * (at - recovered_at) / 10000.0).min(1.0);
    let mut first_sent_at = f64::MAX;
    for _ in 0..2000 {
        let mut newly_sent = harness.advance(5.0);
        while server_queue
            .front()
            .is_some_and(|x: &(u64, u32, f64)| harness.now >= done_at && x.2 < harness.now)
        {
            let (id, attempt, at) = server_queue.pop_front().unwrap();
            newly_sent.extend(harness.end_attempt(id, attempt, Outcome::Delivered, harness.now - at));
            done_at = harness.now + 100.0 / capacity_share(harness.now, first_sent_at);
        }
        for (id, _) in newly_sent {
            let attempt_count = attempts.entry(id).or_insert(0);
            *attempt_count += 1;
            sent.push(harness.now);
            first_sent_at = first_sent_at.min(harness.now);
            done_at = if server_queue.is_empty() {
                harness.now + 100.0 / capacity_share(harness.now, first_sent_at)
            } else {
                done_at
            };
            server_queue.push_back((id, *attempt_count - 1, harness.now));
        }
    }
    for at in &sent {
        let in_span = sent.iter().filter(|x| **x >= *at && **x < *at + 2000.0).count() as f64;
        let max_in_span = 2.0 * capacity_share(at + 2000.0, first_sent_at) * 10.0 * 2.0 + 1.0;
        assert!(
            in_span <= max_in_span,
            "{in_span} sends within 2 s, from {} ms after the recovery",
            at - first_sent_at
        );
    }
    assert!(sent.len() > 30, "the destination is not used while it warms up: {} sends", sent.len());
}

/// Guards against messages of one key that overtake each other: the second waits also after the client has
/// withdrawn the first, until the pause after its attempt is over, as that may still run.
#[test]
fn messages_with_the_same_key_are_sent_in_order() {
    let mut settings = settings();
    settings.classes[SAFE].in_order = true;
    let mut harness = Harness::new(settings, 2);
    let (first, first_request) = harness.request_with_key(SAFE, 0, Some("k"));
    let (second, second_request) = harness.request_with_key(SAFE, 1, Some("k"));
    let (other, other_request) = harness.request_with_key(SAFE, 1, Some("other"));
    let sent: Vec<u64> =
        harness.handle(&[first_request, second_request, other_request]).iter().map(|s| s.0).collect();
    assert!(sent.contains(&first) && sent.contains(&other) && !sent.contains(&second));
    // The client withdraws the first one, but its attempt may still run: the key pauses after the time-out.
    harness.handle(&[Event::Withdrawn { id: first }]);
    assert!(harness.advance(50.0).is_empty());
    assert!(harness.end_attempt(first, 0, Outcome::TimedOut, 50.0).is_empty());
    assert!(harness.advance(690.0).is_empty(), "sent before the pause of the key is over");
    let sent = harness.advance(20.0);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, second);
}

/// Guards against calls before the end of a Retry-After, also for messages that did not receive it
/// themselves.
#[test]
fn retry_after_holds_for_every_message_of_the_destination() {
    let mut harness = Harness::new(settings(), 2);
    let (id, _) = harness.submit(SAFE, 0);
    harness.handle(&[ended_full(id, 0, 800.0)]);
    assert!(!harness.submit(KEYED, 0).1, "sent before the end of Retry-After");
    assert!(harness.submit(SAFE, 1).1, "the Retry-After of one destination blocks another");
    assert!(harness.advance(790.0).is_empty());
    let later = (0..400).flat_map(|_| harness.advance(5.0)).count();
    assert!(later >= 1, "nothing is sent after the end of Retry-After");
}

/// Guards against a Retry-After of one endpoint that blocks others of a destination whose endpoints have
/// limits of their own.
#[test]
fn retry_after_holds_for_one_endpoint_where_endpoints_have_own_limits() {
    let with_own_limits = |name: &str| Endpoint { kind: 2, ..endpoint(name, 0) };
    let mut harness = Harness::with_list(settings(), vec![with_own_limits("a"), with_own_limits("b")]);
    let (id, event) = harness.request(SAFE, 0);
    let first = harness.handle(&[event])[0].1.clone();
    let retries = harness.handle(&[ended_full(id, 0, 5000.0)]);
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].1, first, "sent to the endpoint whose Retry-After is not over");
    let (_, event) = harness.request(SAFE, 0);
    assert_ne!(harness.handle(&[event])[0].1, first);
}
