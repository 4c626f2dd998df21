//! What an earlier process had taken on and never tried is tried still, ahead of what came later.
mod common;
use common::*;
use linenhall::*;

fn untried(id: u64, destination: u64, due: f64) -> Event {
    restored(id, destination, due, true)
}

fn restored(id: u64, destination: u64, due: f64, untried: bool) -> Event {
    let (class, tenant, key, attempts, first_uncertain_send, may_be_running) =
        (SAFE, 0, None, 0, None, false);
    Event::Restored {
        id,
        class,
        tenant,
        key,
        due,
        destination,
        attempts,
        first_uncertain_send,
        may_be_running,
        untried,
    }
}

/// A destination with a long hold sends what loses most by waiting; what is old has little to lose and would stay until its
/// time is over.
#[test]
fn what_a_restart_finds_untried_goes_while_it_has_time() {
    let tried = tried_of_five(true);
    assert_eq!(tried.len(), 5, "sent until their time was over: {tried:?}");
}

/// What is taken over from a process that lives has waited there among all others, and goes on so: after an upgrade under
/// load nothing else would go for as long as the hold lasts.
#[test]
fn what_is_taken_over_from_a_process_that_lives_waits_for_its_turn() {
    let tried = tried_of_five(false);
    assert!(tried.is_empty(), "ahead of what loses more by waiting: {tried:?}");
}

/// Those that were sent of five old ones, due soon, amid two hundred new ones.
fn tried_of_five(untried: bool) -> Vec<u64> {
    let mut rig = Rig::new(Settings { slots: 1, max_open: 1000, ..settings() }, 1);
    rig.warm_up(0, 5, 100.0);
    let start = rig.now;
    let (first, _) = rig.ask(SAFE, 0);
    let found: Vec<Event> = (0..5).map(|n| restored(9000 + n, 0, start + 1500.0, untried)).collect();
    rig.give(&found);
    let fresh: Vec<Event> = (0..200).map(|_| rig.request(SAFE, 0).1).collect();
    rig.give(&fresh);
    let (mut out, mut tried) = (first, Vec::new());
    while rig.now < start + 1500.0 {
        rig.now += 100.0;
        let sent = rig.end(out, 0, Outcome::Delivered, 100.0);
        let Some((id, _)) = sent.first() else { panic!("something is held") };
        (out, tried) = (*id, [&tried[..], &[*id]].concat());
    }
    tried.retain(|id| *id >= 9000);
    tried
}

/// What is held for a destination that can't be sent to earns least, and makes room for others; not what was taken on by an
/// earlier process and has not been tried.
#[test]
fn what_a_restart_finds_untried_makes_no_room_for_others() {
    let mut rig = Rig::new(Settings { slots: 1, max_open: 10, ..settings() }, 2);
    rig.give(&[Event::ListUpdate(ListUpdate::Delta(vec![Endpoint {
        status: EndpointStatus::Draining,
        ..endpoint("h0", 0)
    }]))]);
    let due = rig.now + 8000.0;
    rig.give(&(0..6).map(|n| untried(9000 + n, 0, due)).collect::<Vec<_>>());
    let mut refused = Vec::new();
    for _ in 0..30 {
        let (_, event) = rig.request(SAFE, 1);
        rig.give(&[event]);
        refused.extend(rig.last.iter().filter_map(|a| match a {
            Action::Refuse { id, .. } => Some(*id),
            _ => None,
        }));
    }
    assert!(refused.len() >= 20, "the hold is full: {refused:?}");
    assert!(refused.iter().all(|id| *id < 9000), "{refused:?}");
}
