//! What a relay has learnt goes on in the next process: a pace, a ramp's sends, latencies, what a slot is spent on.
mod common;
use common::*;
use linenhall::*;

/// The next process of a relay, at the same time; `with`: it is told what was learnt.
fn next(rig: &Rig, s: Settings, dests: u64, with: bool) -> Rig {
    let mut next = Rig::new(s, dests);
    next.now = rig.now;
    let mut events = vec![Event::Outages(rig.relay.outages())];
    let told = rig.relay.learnt(rig.now);
    events.extend(told.parts(1).into_iter().filter(|_| with).map(|part| Event::Learnt(Box::new(part))));
    next.give(&events);
    next.relay.audit().expect("it stands up to an audit");
    next
}

/// A relay that has seen something of all: deliveries, a refusal, errors, an outage, a return.
fn seasoned() -> Rig {
    let mut rig = Rig::new(settings(), 4);
    rig.warm_up(0, 20, 40.0);
    rig.warm_up(1, 20, 300.0);
    let (id, _) = rig.ask(SAFE, 1);
    rig.give(&[full(id, 0, 0.0)]);
    for _ in 0..12 {
        let (id, sent) = rig.ask(SAFE, 2);
        rig.now += 30.0;
        if sent {
            rig.end(id, 0, Outcome::NoConnection, 30.0);
        }
    }
    rig
}

#[test]
fn it_comes_out_as_it_went_in_also_in_parts_and_as_text() {
    let rig = seasoned();
    let told = rig.relay.learnt(rig.now);
    assert!(
        told.lanes.iter().any(|l| l.pace.is_some()) && told.lanes.iter().any(|l| l.fails > 0 && l.failing)
    );
    assert!(told.hosts.iter().any(|h| h.fails > 0) && told.dests.len() >= 2);
    let next = next(&rig, settings(), 4, true);
    let again = next.relay.learnt(next.now);
    assert_eq!(again.hosts, told.hosts);
    assert_eq!(again.dests, told.dests);
    assert_eq!(again.all, told.all);
    for (a, b) in again.lanes.iter().zip(&told.lanes) {
        assert_eq!(
            (a.latency, a.pace, a.sends.len()),
            (b.latency, b.pace, b.sends.len()),
            "{}",
            a.destination
        );
        assert_eq!((a.fails, a.failing, a.good), (b.fails, b.failing, b.good), "{}", a.destination);
        assert!((a.usual.sum - b.usual.sum).abs() < 1e-9 && (a.trial_in - b.trial_in).abs() < 1e-6);
    }
    let text = serde_json::to_string(&told).expect("it has a text");
    let read: Learnt = serde_json::from_str(&text).expect("it can be read");
    assert_eq!((&read.hosts, &read.dests, read.lanes.len()), (&told.hosts, &told.dests, told.lanes.len()));
    // A text may lose the last bit of a figure.
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(read
        .lanes
        .iter()
        .zip(&told.lanes)
        .all(|(a, b)| near(a.tokens, b.tokens) && a.sends.len() == b.sends.len()));
}

/// Another version tells less, or more, or what can't be reckoned with.
#[test]
fn what_another_version_tells_does_no_harm() {
    let texts = [
        "{}",
        r#"{"lanes":[{"destination":0}],"weather":[1,2]}"#,
        r#"{"lanes":[{"destination":99,"pace":1.0}],"hosts":[{"endpoint":"nobody"}],"dests":[{"destination":77}]}"#,
        r#"{"lanes":[{"destination":0,"latency":[-1,1e300],"pace":-5,"tokens":-1e300,"cut":-1,"share":9,"fails":4294967295,
            "trial_in":1e300,"sends":[[-1e300,1e300]],"soon":{"sum":-3,"age":-1}}],"tenants":[{"sum":1e300}]}"#,
    ];
    for text in texts {
        let told: Learnt = serde_json::from_str(text).expect(text);
        let mut rig = Rig::new(settings(), 2);
        rig.give(&[Event::Learnt(Box::new(told))]);
        rig.relay.audit().expect(text);
        for n in 0..40 {
            let (id, sent) = rig.ask(SAFE, n % 2);
            rig.now += 50.0;
            if sent {
                rig.end(id, 0, Outcome::Delivered, 50.0);
            }
        }
        rig.relay.audit().expect(text);
    }
}

/// After a refusal a pace holds. A process that forgot it would send the whole hold at once.
#[test]
fn a_pace_goes_on() {
    let sent = |with: bool| {
        let s = Settings { slots: 40, ..settings() };
        let mut rig = Rig::new(s.clone(), 2);
        rig.warm_up(0, 30, 100.0);
        for _ in 0..3 {
            let (id, _) = rig.ask(SAFE, 0);
            rig.now += 600.0;
            rig.give(&[full(id, 0, 0.0)]);
        }
        let mut next = next(&rig, s, 2, with);
        (0..20).filter(|_| next.ask(SAFE, 0).1).count()
    };
    assert!(sent(true) <= 2, "{} sent at once", sent(true));
    assert!(sent(false) >= 15, "what this guards against");
}

/// A destination that came back is sent what it bears, over both processes together.
#[test]
fn a_ramp_counts_what_the_process_before_sent() {
    let sent = |with: bool| {
        let s = Settings { slots: 40, ..settings() };
        let mut rig = Rig::new(s.clone(), 1);
        rig.warm_up(0, 60, 100.0);
        let mut tries = std::collections::BTreeMap::<u64, u32>::new();
        // Calls fail until it is out; then trials are delivered until it ramps, and gets what it bears at once.
        let mut out: Vec<(u64, u32)> = (0..5).map(|_| (rig.ask(SAFE, 0).0, 0)).collect();
        let (mut is_out, mut is_back, start) = (false, false, rig.now);
        while !is_back {
            let outcome = if is_out { Outcome::Delivered } else { Outcome::NoConnection };
            let mut sends = rig.wait(20.0);
            for (id, attempt) in std::mem::take(&mut out) {
                sends.extend(rig.end(id, attempt, outcome, 20.0));
                sends.iter().for_each(|s| out.retain(|o| o.0 != s.0));
                is_back |= rig.logged("back");
                is_out |= rig.logged("out:");
            }
            for (id, _) in sends {
                let attempt = tries.entry(id).or_insert(0);
                *attempt += 1;
                out.push((id, *attempt));
            }
            assert!(rig.now < start + 20000.0, "it comes back");
        }
        while rig.ask(SAFE, 0).1 {}
        let mut next = next(&rig, s, 1, with);
        (0..20).filter(|_| next.ask(SAFE, 0).1).count()
    };
    assert_eq!(sent(true), 0, "the budget is spent");
    assert!(sent(false) > 0, "what this guards against");
}

/// With its latency known a call counts as late when it is; else only after the class's aim.
#[test]
fn a_lost_call_holds_no_slot_for_long_after_a_takeover() {
    let off_after = |with: bool| {
        let s = Settings { slots: 1, ..settings() };
        let mut rig = Rig::new(s.clone(), 2);
        rig.warm_up(0, 20, 40.0);
        let (lost, sent) = rig.ask(SAFE, 0);
        assert!(sent);
        let (due, sent_at) = (rig.now + 10000.0, rig.now);
        let mut next = Rig::new(s, 2);
        next.now = rig.now;
        let told = rig.relay.learnt(rig.now);
        let restored = Event::Restored {
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
        };
        let resumed = Event::Resumed { id: lost, endpoint: "h0".into(), sent: sent_at };
        let learnt = with.then(|| Event::Learnt(Box::new(told)));
        next.give(&learnt.into_iter().chain([restored, resumed]).collect::<Vec<_>>());
        // A message for another destination waits for the only slot. Its id must not be the lost one's.
        while next.request(SAFE, 1).0 < lost {}
        next.ask(SAFE, 1);
        while !next.cancelled(lost) {
            next.wait(5.0);
            assert!(next.now < sent_at + 5000.0, "it is called off");
        }
        next.now - sent_at
    };
    assert!(off_after(true) < 200.0, "{} ms", off_after(true));
    assert!(off_after(false) > 900.0, "what this guards against: {} ms", off_after(false));
}
