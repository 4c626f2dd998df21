//! One test or more for each of the six rules.
mod common;
use common::*;
use linenhall::*;

#[test]
fn no_message_is_lost_where_no_endpoint_is_known() {
    let mut rig = Rig::new(settings(), 1);
    let (id, sent) = rig.ask(SAFE, 9);
    assert!(!sent && !rig.refused(id), "held while an endpoint may still appear");
    let mut answers = 0;
    for _ in 0..2200 {
        rig.wait(5.0);
        answers +=
            rig.last.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).count();
        assert!(answers == 1 || rig.now < 11000.0, "answered before its time is up");
    }
    assert_eq!(answers, 1);
}

#[test]
fn no_message_is_lost_when_its_last_attempt_times_out_at_the_deadline() {
    let mut rig = Rig::new(settings(), 1);
    let (id, sent) = rig.ask(UNSAFE, 0);
    assert!(sent);
    rig.now += 10000.0;
    rig.end(id, 0, Outcome::TimedOut, 10000.0);
    assert!(rig.failed(id));
    rig.give(&[Event::Withdrawn { id }, ended(id, 0, Outcome::TimedOut, 1.0)]);
    assert!(rig.last.iter().all(|a| matches!(a, Action::Timer { .. })), "nothing more comes for it");
}

#[test]
fn an_unsafe_effect_happens_once() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Broken, Outcome::Cancelled] {
        let mut rig = Rig::new(settings(), 1);
        let (id, _) = rig.ask(UNSAFE, 0);
        rig.now += 100.0;
        assert!(rig.end(id, 0, outcome, 100.0).is_empty(), "not sent again after {outcome:?}");
        assert!(rig.failed(id) && !rig.refused(id));
    }
    let mut rig = Rig::new(settings(), 1);
    let (id, _) = rig.ask(UNSAFE, 0);
    rig.give(&[full(id, 0, 0.0)]);
    let again = (0..400).flat_map(|_| rig.wait(5.0)).count();
    assert_eq!(again, 1, "sent again after proof that it never ran");
}

#[test]
fn a_keyed_message_that_may_have_run_is_sent_again_only_within_its_window() {
    let mut rig = Rig::new(settings(), 1);
    let (id, sent) = rig.ask(KEYED, 0);
    assert!(sent);
    let start = rig.now;
    let (mut attempt, mut failed) = (0, false);
    rig.now += 10.0;
    rig.end(id, attempt, Outcome::Error, 10.0);
    for _ in 0..2000 {
        for (again, _) in rig.wait(5.0) {
            assert!(again == id && rig.now < start + 4000.0, "a send after the window");
            attempt += 1;
            rig.now += 5.0;
            rig.end(id, attempt, Outcome::Error, 5.0);
        }
        failed |= rig.failed(id);
        assert!(!rig.refused(id));
    }
    assert!(attempt > 0 && failed);
}

#[test]
fn a_keyed_message_stays_with_the_group_that_remembers_it() {
    let mut s = settings();
    s.classes[KEYED].dedup_scope = DedupScope::Endpoint;
    let mut rig = Rig::listed(s, vec![endpoint("a", 0), endpoint("b", 0)]);
    let (id, event) = rig.request(KEYED, 0);
    let first = rig.give(&[event])[0].1.clone();
    rig.now += 10.0;
    rig.end(id, 0, Outcome::Error, 10.0);
    let again: Vec<_> = (0..700).flat_map(|_| rig.wait(5.0)).collect();
    assert!(!again.is_empty() && again.iter().all(|s| s.1 == first));
}

#[test]
fn drains_are_kept_at_once() {
    for listed in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut rig = Rig::listed(settings(), vec![endpoint("a", 0), endpoint("b", 0)]);
        let gone = Endpoint { status: listed, ..endpoint("a", 0) };
        rig.give(&[Event::ListUpdate(ListUpdate::Delta(vec![gone]))]);
        for _ in 0..4 {
            let (_, event) = rig.request(SAFE, 0);
            assert!(rig.give(&[event]).iter().all(|s| s.1 == "b"));
        }
    }
    let mut rig = Rig::listed(settings(), vec![endpoint("a", 0), endpoint("b", 0)]);
    rig.give(&[Event::ListUpdate(ListUpdate::Full(vec![endpoint("b", 0)]))]);
    let (_, event) = rig.request(SAFE, 0);
    assert_eq!(rig.give(&[event])[0].1, "b", "what a whole list leaves out is gone");
}

#[test]
fn a_returning_destination_is_not_pushed_over() {
    let mut s = settings();
    s.slots = 40;
    let mut rig = Rig::new(s, 1);
    rig.warm_up(0, 200, 100.0);
    // An outage: every call fails until the lane is shut; then a large hold builds up.
    let failing: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0)).collect();
    rig.give(&failing.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    rig.now += 20.0;
    let ends: Vec<_> = failing.iter().map(|x| ended(x.0, 0, Outcome::Broken, 20.0)).collect();
    rig.give(&ends);
    assert!(rig.logged("out"));
    let more: Vec<_> = (0..60).map(|_| rig.request(SAFE, 0).1).collect();
    assert!(rig.give(&more).is_empty(), "only single trials while it is out");
    // It comes back cold: it serves one after the other, at a fifth of ten a second and growing.
    let (mut sent, mut attempts) = (Vec::new(), std::collections::BTreeMap::new());
    failing.iter().for_each(|x| _ = attempts.insert(x.0, 1u32));
    let (mut queue, mut done) = (std::collections::VecDeque::new(), rig.now);
    let able = |at: f64, back: f64| (0.2 + 0.8 * (at - back) / 10000.0).min(1.0);
    let mut first = f64::MAX;
    for _ in 0..2000 {
        let mut out = rig.wait(5.0);
        while queue.front().is_some_and(|x: &(u64, u32, f64)| rig.now >= done && x.2 < rig.now) {
            let (id, attempt, at) = queue.pop_front().unwrap();
            out.extend(rig.end(id, attempt, Outcome::Delivered, rig.now - at));
            done = rig.now + 100.0 / able(rig.now, first);
        }
        for (id, _) in out {
            let n = attempts.entry(id).or_insert(0);
            *n += 1;
            sent.push(rig.now);
            first = first.min(rig.now);
            done = if queue.is_empty() { rig.now + 100.0 / able(rig.now, first) } else { done };
            queue.push_back((id, *n - 1, rig.now));
        }
    }
    for at in &sent {
        let span = sent.iter().filter(|x| **x >= *at && **x < *at + 2000.0).count() as f64;
        let most = 2.0 * able(at + 2000.0, first) * 10.0 * 2.0 + 1.0;
        assert!(span <= most, "{span} sends in a span from {}", at - first);
    }
    assert!(sent.len() > 30, "and it is used as it warms: {}", sent.len());
}

#[test]
fn order_is_kept_by_key() {
    let mut s = settings();
    s.classes[SAFE].in_order = true;
    let mut rig = Rig::new(s, 2);
    let (first, a) = rig.request_key(SAFE, 0, Some("k"));
    let (second, b) = rig.request_key(SAFE, 1, Some("k"));
    let (other, c) = rig.request_key(SAFE, 1, Some("other"));
    let sent: Vec<u64> = rig.give(&[a, b, c]).iter().map(|s| s.0).collect();
    assert!(sent.contains(&first) && sent.contains(&other) && !sent.contains(&second));
    // The client leaves, but the attempt may still run: the key rests after its time-out.
    rig.give(&[Event::Withdrawn { id: first }]);
    assert!(rig.wait(50.0).is_empty());
    assert!(rig.end(first, 0, Outcome::TimedOut, 50.0).is_empty());
    assert!(rig.wait(690.0).is_empty(), "the key rests");
    let sent = rig.wait(20.0);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, second);
}

#[test]
fn waits_are_heeded_for_every_message() {
    let mut rig = Rig::new(settings(), 2);
    let (id, _) = rig.ask(SAFE, 0);
    rig.give(&[full(id, 0, 800.0)]);
    assert!(!rig.ask(KEYED, 0).1, "told to wait, nothing is sent there");
    assert!(rig.ask(SAFE, 1).1, "other destinations are free");
    assert!(rig.wait(790.0).is_empty());
    let later = (0..400).flat_map(|_| rig.wait(5.0)).count();
    assert!(later >= 1, "and it goes on when the wait is over");
}

#[test]
fn routes_apart_wait_apart() {
    let apart = |name: &str| Endpoint { kind: 2, ..endpoint(name, 0) };
    let mut rig = Rig::listed(settings(), vec![apart("a"), apart("b")]);
    let (id, event) = rig.request(SAFE, 0);
    let first = rig.give(&[event])[0].1.clone();
    let again = rig.give(&[full(id, 0, 5000.0)]);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, first, "the wait holds for its own route only");
    let (_, event) = rig.request(SAFE, 0);
    assert_ne!(rig.give(&[event])[0].1, first);
}
