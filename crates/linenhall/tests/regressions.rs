//! One test for each failure that the bench found.
mod common;
use common::*;
use linenhall::*;

/// Found on the standard days: with no pace set, sends ran the bucket into debt for a later pace.
#[test]
fn a_refusal_after_many_sends_does_not_shut_the_destination_for_long() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm_up(0, 50, 20.0);
    let (id, _) = rig.ask(SAFE, 0);
    rig.give(&[full(id, 0, 0.0)]);
    let sent = (0..300).flat_map(|_| rig.wait(5.0)).count();
    assert_eq!(sent, 1, "sent again within 1.5 s");
}

/// i50d7bd: what is held for a dead destination filled the hold.
#[test]
fn a_full_hold_refuses_for_the_dead_destination_first() {
    let mut rig = Rig::new(Settings { max_open: 12, ..settings() }, 2);
    rig.warm_up(1, 20, 10.0);
    // Destination 0 fails until it is out.
    let asked: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0)).collect();
    rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    rig.now += 10.0;
    rig.give(&asked.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    for _ in 0..5 {
        rig.ask(SAFE, 0);
    }
    let (id, sent) = rig.ask(SAFE, 1);
    assert!(sent && !rig.refused(id), "the healthy one goes straight out");
    assert!(rig.last.iter().any(|a| matches!(a, Action::Refuse { .. })) && rig.logged("hold full"));
}

/// iea7983: hung destinations at their ceilings held every slot.
#[test]
fn an_overrun_call_is_called_off_for_a_queue_that_can_send() {
    let mut rig = Rig::new(Settings { slots: 4, ..settings() }, 4);
    (0..4).for_each(|d| rig.warm_up(d, 10, 10.0));
    let hung: Vec<_> = [0, 0, 1, 1].iter().map(|d| rig.request(SAFE, *d)).collect();
    assert_eq!(rig.give(&hung.iter().map(|x| x.1.clone()).collect::<Vec<_>>()).len(), 4);
    let (waiting, sent) = rig.ask(SAFE, 2);
    assert!(!sent);
    rig.wait(200.0);
    let off: Vec<_> = hung.iter().filter(|x| rig.cancelled(x.0)).collect();
    assert_eq!(off.len(), 1, "one call, the longest overrun, is called off");
    let sent = rig.end(off[0].0, 0, Outcome::Cancelled, 200.0);
    assert!(sent.iter().any(|s| s.0 == waiting));
}

/// Vanish day: calls called off taught nothing, and silent destinations were never shut.
#[test]
fn calls_without_answers_shut_a_destination_and_late_answers_open_it() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm_up(0, 20, 10.0);
    rig.now += 1.0;
    let asked: Vec<_> = (0..2).map(|_| rig.request(SAFE, 0)).collect();
    rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    rig.wait(100.0);
    assert!(rig.logged("no answers"));
    assert!(!rig.ask(SAFE, 0).1, "held while it is out");
    // Late answers with no failure seen: it was slow, not gone, and there is no ramp.
    let sent = rig.end(asked[0].0, 0, Outcome::Delivered, 110.0);
    assert_eq!(sent.len(), 1, "open again at once");
    assert!(!rig.logged("ramping"));
}

/// i50d7bd: a call whose answer is lost held its slot though the destination answered others. Where connections
/// fall silent all day, such calls filled the slots (pieces+silent+leave 822939304235).
#[test]
fn a_call_beyond_its_latency_is_called_off_though_its_lane_delivers() {
    let mut rig = Rig::new(Settings { slots: 8, ..settings() }, 3);
    (0..3).for_each(|d| rig.warm_up(d, 20, 10.0));
    let (lost, _) = rig.ask(SAFE, 0);
    rig.warm_up(0, 1, 10.0);
    let others: Vec<_> = [1, 1, 1, 1, 2, 2, 2].iter().map(|d| rig.request(SAFE, *d).1).collect();
    assert_eq!(rig.give(&others).len(), 7);
    let (_, sent) = rig.ask(SAFE, 0);
    assert!(!sent && !rig.cancelled(lost), "within its latency it stays");
    rig.wait(12.0);
    assert!(rig.cancelled(lost), "twice its usual time is over, and a queue waits for the slot");
}

/// i2016d6: one lost answer in the ramp shut the lane again and again.
#[test]
fn one_failure_in_the_ramp_does_not_shut_the_lane_again() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm_up(0, 100, 50.0);
    let asked: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0)).collect();
    rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    rig.now += 10.0;
    rig.give(&asked.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    let mut attempts = std::collections::BTreeMap::new();
    let (mut delivered, mut failed) = (0, false);
    for _ in 0..2000 {
        let mut out = rig.wait(5.0);
        while let Some((id, _)) = out.pop() {
            let n = attempts.entry(id).or_insert(0u32);
            *n += 1;
            let outcome = if delivered == 3 && !failed { Outcome::Broken } else { Outcome::Delivered };
            failed |= outcome == Outcome::Broken;
            delivered += u32::from(outcome == Outcome::Delivered);
            out.extend(rig.end(id, *n, outcome, 5.0));
            assert!(!failed || !rig.logged("out"));
        }
    }
    assert!(failed && delivered >= 6);
}

/// i270c2d: the trials of many relays used up the limit that they waited for.
#[test]
fn trials_are_rarer_where_relays_are_many() {
    let trials = |relays: usize| {
        let mut rig = Rig::new(Settings { relays, max_attempts: 99, ..settings() }, 1);
        let asked: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0)).collect();
        rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
        rig.now += 1.0;
        rig.give(&asked.iter().map(|x| ended(x.0, 0, Outcome::Broken, 1.0)).collect::<Vec<_>>());
        let mut tries = std::collections::BTreeMap::new();
        let mut count = 0;
        for _ in 0..1900 {
            for (id, _) in rig.wait(5.0) {
                count += 1;
                let n = tries.entry(id).or_insert(0u32);
                *n += 1;
                rig.end(id, *n, Outcome::Broken, 1.0);
            }
        }
        count
    };
    let (few, many) = (trials(2), trials(20));
    assert!(many >= 1 && few > many, "{few} and {many}");
}

/// if97bcb: slow destinations took most of the slots, a turn each.
#[test]
fn a_turn_costs_its_slot_time_while_slots_are_short() {
    let mut rig = Rig::new(Settings { slots: 1, ..settings() }, 2);
    rig.warm_up(0, 10, 300.0);
    rig.warm_up(1, 10, 30.0);
    let (first, _) = rig.ask(SAFE, 1);
    for _ in 0..12 {
        rig.ask(SAFE, 0);
        rig.ask(SAFE, 1);
    }
    let (mut id, mut slow, mut fast, mut took) = (first, 0, 0, 30.0);
    for _ in 0..12 {
        rig.now += took;
        let sent = rig.end(id, 0, Outcome::Delivered, took);
        let Some(next) = sent.first() else { break };
        id = next.0;
        let is_slow = next.1 == "h0";
        took = if is_slow { 300.0 } else { 30.0 };
        slow += u32::from(is_slow);
        fast += u32::from(!is_slow);
    }
    assert!(fast > slow && slow > 0, "{fast} fast and {slow} slow turns");
}

/// Found by the tests of the rules: one refusal told a wait; the destination is used again when it ends.
#[test]
fn a_told_wait_is_followed_by_no_further_pause() {
    let mut rig = Rig::new(settings(), 1);
    let (id, _) = rig.ask(SAFE, 0);
    rig.give(&[full(id, 0, 500.0)]);
    assert!(rig.wait(495.0).is_empty());
    assert_eq!(rig.wait(10.0).len(), 1);
}

/// tunis-main-later rough-1: endpoints with few connections refused new ones while idle ones filled their table.
#[test]
fn idle_connections_are_closed_once_connections_were_refused() {
    let close = Action::CloseIdle { endpoint: "h0".into() };
    let mut rig = Rig::new(settings(), 1);
    rig.warm_up(0, 3, 10.0);
    assert!(!rig.last.contains(&close), "connections that nobody lacks are kept");
    let (id, _) = rig.ask(SAFE, 0);
    rig.end(id, 0, Outcome::NoConnection, 5.0);
    rig.end(id, 1, Outcome::Delivered, 10.0);
    rig.now += 20000.0;
    let (id, sent) = rig.ask(SAFE, 0);
    assert!(sent);
    rig.end(id, 0, Outcome::Delivered, 10.0);
    assert!(rig.last.contains(&close));
}

fn crowd() -> Settings {
    Settings { relays: 100, ..settings() }
}

/// mazowsze-wysylka-later big-1: hundreds of relays came back at the end of each short wait that was told.
#[test]
fn a_told_wait_after_a_second_refusal_gives_no_token() {
    let mut rig = Rig::new(crowd(), 1);
    let (id, _) = rig.ask(SAFE, 0);
    rig.give(&[full(id, 0, 600.0)]);
    assert_eq!(rig.wait(601.0).len(), 1);
    rig.give(&[full(id, 1, 600.0)]);
    let sent: usize = (0..20).map(|_| rig.wait(100.0).len()).sum();
    assert_eq!(sent, 0, "two seconds after the second refusal");
}

/// i1af5ac, i02738d, iff22c8: five failures in a row hardly come together where a relay calls seldom.
#[test]
fn two_failures_in_a_row_slow_a_lane_with_few_calls() {
    let mut rig = Rig::new(crowd(), 1);
    let (id, _) = rig.ask(SAFE, 0);
    rig.end(id, 0, Outcome::Broken, 10.0);
    let again: usize = (0..10).map(|_| rig.wait(20.0).len()).sum();
    assert_eq!(again, 1, "one failure is tried again soon");
    rig.end(id, 1, Outcome::Broken, 10.0);
    let again: usize = (0..10).map(|_| rig.wait(20.0).len()).sum();
    assert_eq!(again, 0);
}

/// sousa-estudios-later overload: one call a span from each of many relays pushed over what returned.
#[test]
fn the_ramp_of_one_of_many_relays_is_less_than_a_call_a_span() {
    let mut rig = Rig::new(crowd(), 1);
    let asked: Vec<_> = (0..5).map(|_| rig.request(SAFE, 0)).collect();
    rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    rig.now += 10.0;
    rig.give(&asked.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    assert!(rig.logged("out"));
    let trial = (0..600).find_map(|_| rig.wait(10.0).first().cloned()).expect("a trial");
    // Errors were frequent: it takes two trials, the second at once.
    let second = rig.end(trial.0, 1, Outcome::Delivered, 10.0);
    rig.end(second[0].0, 1, Outcome::Delivered, 10.0);
    assert!(rig.logged("ramping"));
    let sent: usize = (0..30).map(|_| rig.wait(100.0).len()).sum();
    assert_eq!(sent, 0, "within one and a half spans of the rule");
}

/// Tap of the later days: requests for destinations that a relay had never called were refused at once.
#[test]
fn a_full_hold_keeps_what_is_for_a_destination_never_called() {
    let mut rig = Rig::new(Settings { slots: 1, max_open: 12, ..settings() }, 3);
    rig.warm_up(0, 20, 300.0);
    let (_, sent) = rig.ask(SAFE, 2);
    assert!(sent, "the only slot is taken");
    for _ in 0..9 {
        rig.ask(SAFE, 0);
    }
    let (id, sent) = rig.ask(SAFE, 1);
    assert!(!sent && !rig.refused(id));
    rig.ask(SAFE, 0);
    assert!(!rig.refused(id) && rig.last.iter().any(|a| matches!(a, Action::Refuse { .. })));
}

/// Endpoints are indexed by destination: the index follows the list, also at the size of a large fleet.
#[test]
fn the_index_of_endpoints_follows_the_list() {
    let list = (0..790).map(|n| endpoint(&format!("h{n}"), n / 2)).collect();
    let mut rig = Rig::listed(settings(), list);
    let moved = Endpoint { destination: 5, ..endpoint("h0", 0) };
    let gone = |name: &str, d: u64| Endpoint { status: EndpointStatus::Removed, ..endpoint(name, d) };
    let changes = vec![moved, gone("h10", 5), gone("h11", 5)];
    rig.give(&[Event::ListUpdate(ListUpdate::Delta(changes))]);
    for (dest, name) in [(0, "h1"), (5, "h0")] {
        let (id, event) = rig.request(SAFE, dest);
        assert_eq!(rig.give(&[event]), [(id, name.to_string())]);
    }
    rig.give(&[Event::ListUpdate(ListUpdate::Full(vec![endpoint("h7", 3)]))]);
    assert!(!rig.ask(SAFE, 5).1 && rig.ask(SAFE, 3).1, "what a whole list leaves out is gone");
}

/// churn+long 4240: a trial was spent on a request with 3 ms left, and its time-out put the next one off by 2 s.
#[test]
fn a_trial_needs_the_time_for_an_answer() {
    let mut rig = Rig::new(settings(), 1);
    rig.warm_up(0, 20, 100.0);
    let asked: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0)).collect();
    rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>());
    rig.now += 10.0;
    rig.give(&asked.iter().map(|x| ended(x.0, 0, Outcome::Broken, 10.0)).collect::<Vec<_>>());
    assert!(rig.logged("out"));
    assert!(rig.wait(9930.0).is_empty(), "60 ms are left, and an answer takes 100");
    assert!(rig.ask(SAFE, 0).1, "what comes now is the trial");
}

/// churn+long 4240: calls sent before most failed came in late, two of them were taken for a return, and what was
/// sent on it failed.
#[test]
fn what_was_sent_before_the_errors_proves_no_return() {
    let mut rig = Rig::new(Settings { slots: 16, ..settings() }, 1);
    rig.warm_up(0, 100, 50.0);
    let asked: Vec<_> = (0..9).map(|_| rig.request(SAFE, 0)).collect();
    assert_eq!(rig.give(&asked.iter().map(|x| x.1.clone()).collect::<Vec<_>>()).len(), 9);
    rig.now += 1.0;
    rig.give(&asked[..6].iter().map(|x| ended(x.0, 0, Outcome::Error, 1.0)).collect::<Vec<_>>());
    assert!(rig.logged("out"));
    for (id, _) in &asked[6..] {
        rig.end(*id, 0, Outcome::Delivered, 20.0);
        assert!(!rig.logged("ramping"));
    }
}
