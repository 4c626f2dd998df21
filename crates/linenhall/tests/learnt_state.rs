//! Learnt state is passed on to the next process of a relay: rate limits, the sends of a slow start,
//! latencies and the time that slots are spent on.
mod common;
use common::*;
use linenhall::*;

/// Returns the next process of a relay at the same time. It gets the learnt state if `with_learnt` is set.
fn next_process(harness: &Harness, settings: Settings, destination_count: u64, with_learnt: bool) -> Harness {
    let mut next = Harness::new(settings, destination_count);
    next.now = harness.now;
    let mut events = vec![Event::Outages(harness.relay.outages())];
    let learnt = harness.relay.export_learnt(harness.now);
    events.extend(
        learnt.split(1).into_iter().filter(|_| with_learnt).map(|part| Event::RestoreLearnt(Box::new(part))),
    );
    next.handle(&events);
    next.relay.audit().expect("audit of the next process failed");
    next
}

/// A relay that has seen deliveries, a refusal and an outage.
fn relay_with_history() -> Harness {
    let mut harness = Harness::new(settings(), 4);
    harness.warm_up(0, 20, 40.0);
    harness.warm_up(1, 20, 300.0);
    let (id, _) = harness.submit(SAFE, 1);
    harness.handle(&[ended_full(id, 0, 0.0)]);
    for _ in 0..12 {
        let (id, sent) = harness.submit(SAFE, 2);
        harness.now += 30.0;
        if sent {
            harness.end_attempt(id, 0, Outcome::NoConnection, 30.0);
        }
    }
    harness
}

/// Guards against learnt state that is lost or changed when it is passed on in parts or serialized.
#[test]
fn learnt_state_survives_transfer_in_parts_and_serialization() {
    let harness = relay_with_history();
    let learnt = harness.relay.export_learnt(harness.now);
    assert!(
        learnt.lanes.iter().any(|l| l.pace.is_some())
            && learnt.lanes.iter().any(|l| l.fails > 0 && l.failing)
    );
    assert!(learnt.hosts.iter().any(|h| h.fails > 0) && learnt.dests.len() >= 2);
    let next = next_process(&harness, settings(), 4, true);
    let again = next.relay.export_learnt(next.now);
    assert_eq!(again.hosts, learnt.hosts);
    assert_eq!(again.dests, learnt.dests);
    assert_eq!(again.all, learnt.all);
    for (copy, original) in again.lanes.iter().zip(&learnt.lanes) {
        assert_eq!(
            (copy.latency, copy.pace, copy.sends.len()),
            (original.latency, original.pace, original.sends.len()),
            "latency, rate limit or sends of destination {} differ",
            copy.destination
        );
        assert_eq!(
            (copy.fails, copy.failing, copy.good),
            (original.fails, original.failing, original.good),
            "failures of destination {} differ",
            copy.destination
        );
        assert!(
            (copy.usual.sum - original.usual.sum).abs() < 1e-9
                && (copy.trial_in - original.trial_in).abs() < 1e-6
        );
    }
    let text = serde_json::to_string(&learnt).expect("learnt state was not serialized");
    let read: Learnt = serde_json::from_str(&text).expect("serialized learnt state was not read");
    assert_eq!(
        (&read.hosts, &read.dests, read.lanes.len()),
        (&learnt.hosts, &learnt.dests, learnt.lanes.len())
    );
    // The text form may lose the last bit of a number.
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(read
        .lanes
        .iter()
        .zip(&learnt.lanes)
        .all(|(a, b)| near(a.tokens, b.tokens) && a.sends.len() == b.sends.len()));
}

/// Guards against a failure on learnt state from another version, which may lack fields, have further ones,
/// or contain absurd numbers.
#[test]
fn learnt_state_of_another_version_is_handled_safely() {
    let texts = [
        "{}",
        r#"{"lanes":[{"destination":0}],"weather":[1,2]}"#,
        r#"{"lanes":[{"destination":99,"pace":1.0}],"hosts":[{"endpoint":"nobody"}],"dests":[{"destination":77}]}"#,
        r#"{"lanes":[{"destination":0,"latency":[-1,1e300],"pace":-5,"tokens":-1e300,"cut":-1,"share":9,"fails":4294967295,
            "trial_in":1e300,"sends":[[-1e300,1e300]],"soon":{"sum":-3,"age":-1}}],"tenants":[{"sum":1e300}]}"#,
    ];
    for text in texts {
        let learnt: Learnt = serde_json::from_str(text).expect(text);
        let mut harness = Harness::new(settings(), 2);
        harness.handle(&[Event::RestoreLearnt(Box::new(learnt))]);
        harness.relay.audit().expect(text);
        for n in 0..40 {
            let (id, sent) = harness.submit(SAFE, n % 2);
            harness.now += 50.0;
            if sent {
                harness.end_attempt(id, 0, Outcome::Delivered, 50.0);
            }
        }
        harness.relay.audit().expect(text);
    }
}

/// After refusals a rate limit is in force. A next process without it would send its whole queue at once.
#[test]
fn a_rate_limit_stays_in_force_in_the_next_process() {
    let sent = |with_learnt: bool| {
        let settings = Settings { slots: 40, ..settings() };
        let mut harness = Harness::new(settings.clone(), 2);
        harness.warm_up(0, 30, 100.0);
        for _ in 0..3 {
            let (id, _) = harness.submit(SAFE, 0);
            harness.now += 600.0;
            harness.handle(&[ended_full(id, 0, 0.0)]);
        }
        let mut next = next_process(&harness, settings, 2, with_learnt);
        (0..20).filter(|_| next.submit(SAFE, 0).1).count()
    };
    assert!(sent(true) <= 2, "{} requests sent at once although a rate limit was learnt", sent(true));
    assert!(sent(false) >= 15, "the test shows nothing: the rate limit is in force without learnt state");
}

/// The load allowed during slow start holds for both processes together. A next process that does not count
/// the sends of the previous one would spend the allowance a second time.
#[test]
fn slow_start_counts_the_sends_of_the_previous_process() {
    let sent = |with_learnt: bool| {
        let settings = Settings { slots: 40, ..settings() };
        let mut harness = Harness::new(settings.clone(), 1);
        harness.warm_up(0, 60, 100.0);
        let mut attempts = std::collections::BTreeMap::<u64, u32>::new();
        // Calls fail until the breaker opens. Then half-open trials are delivered until slow start begins,
        // and its allowance is sent at once.
        let mut in_flight: Vec<(u64, u32)> = (0..5).map(|_| (harness.submit(SAFE, 0).0, 0)).collect();
        let (mut is_open, mut has_recovered, start) = (false, false, harness.now);
        while !has_recovered {
            let outcome = if is_open { Outcome::Delivered } else { Outcome::NoConnection };
            let mut sent = harness.advance(20.0);
            for (id, attempt) in std::mem::take(&mut in_flight) {
                sent.extend(harness.end_attempt(id, attempt, outcome, 20.0));
                sent.iter().for_each(|s| in_flight.retain(|o| o.0 != s.0));
                has_recovered |= harness.logged("back");
                is_open |= harness.logged("out:");
            }
            for (id, _) in sent {
                let attempt = attempts.entry(id).or_insert(0);
                *attempt += 1;
                in_flight.push((id, *attempt));
            }
            assert!(harness.now < start + 20000.0, "the destination does not recover");
        }
        while harness.submit(SAFE, 0).1 {}
        let mut next = next_process(&harness, settings, 1, with_learnt);
        (0..20).filter(|_| next.submit(SAFE, 0).1).count()
    };
    assert_eq!(sent(true), 0, "more was sent than slow start allows");
    assert!(sent(false) > 0, "the test shows nothing: no request is sent without learnt state");
}

/// A call without an answer is cancelled once it exceeds the known latency. A next process that does not know
/// the latency would wait for the aim of the class and block a slot for that time.
#[test]
fn a_lost_call_is_cancelled_soon_after_a_takeover() {
    let cancelled_after_ms = |with_learnt: bool| {
        let settings = Settings { slots: 1, ..settings() };
        let mut harness = Harness::new(settings.clone(), 2);
        harness.warm_up(0, 20, 40.0);
        let (lost, sent) = harness.submit(SAFE, 0);
        assert!(sent);
        let (due, sent_at) = (harness.now + 10000.0, harness.now);
        let mut next = Harness::new(settings, 2);
        next.now = harness.now;
        let learnt = harness.relay.export_learnt(harness.now);
        let restored = Event::RequestRestored {
            id: lost,
            class: SAFE,
            tenant: 0,
            key: None,
            due,
            destination: 0,
            attempts: 0,
            first_uncertain_send: None,
            may_be_running: false,
            untried: true,
            in_flight: true,
        };
        let resumed = Event::AttemptResumed { id: lost, endpoint: "h0".into(), sent: sent_at };
        let learnt = with_learnt.then(|| Event::RestoreLearnt(Box::new(learnt)));
        next.handle(&learnt.into_iter().chain([restored, resumed]).collect::<Vec<_>>());
        // A message for another destination waits for the only slot. Its id must differ from that of the lost
        // one.
        while next.request(SAFE, 1).0 < lost {}
        next.submit(SAFE, 1);
        while !next.cancelled(lost) {
            next.advance(5.0);
            assert!(next.now < sent_at + 5000.0, "the lost call is not cancelled");
        }
        next.now - sent_at
    };
    assert!(
        cancelled_after_ms(true) < 200.0,
        "the lost call was cancelled only after {} ms",
        cancelled_after_ms(true)
    );
    assert!(
        cancelled_after_ms(false) > 900.0,
        "the test shows nothing: cancelled after {} ms without learnt state",
        cancelled_after_ms(false)
    );
}
