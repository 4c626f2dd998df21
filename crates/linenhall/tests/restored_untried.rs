//! Messages restored from an earlier process: those that it accepted but never tried are sent before newer
//! ones.
mod common;
use common::*;
use linenhall::*;

fn untried(id: u64, destination: u64, due: f64) -> Event {
    restored(id, destination, due, true)
}

fn restored(id: u64, destination: u64, due: f64, untried: bool) -> Event {
    let (class, tenant, key, attempts, first_uncertain_send, may_be_running) =
        (SAFE, 0, None, 0, None, false);
    Event::RequestRestored {
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
        in_flight: false,
    }
}

/// Guards against untried messages that expire in the queue after a restart. A destination with a long queue
/// sends the messages that lose most value by waiting, and an old message has little value left to lose.
#[test]
fn untried_messages_are_sent_before_their_deadline_after_a_restart() {
    let sent = restored_messages_sent(true);
    assert_eq!(sent.len(), 5, "not all untried messages were sent before their deadline: {sent:?}");
}

/// Messages taken over from a running process have waited there in turn and go on waiting. With priority they
/// would block all newer messages after an upgrade under load until the old queue is empty.
#[test]
fn messages_taken_over_from_a_running_process_get_no_priority() {
    let sent = restored_messages_sent(false);
    assert!(sent.is_empty(), "sent before messages that lose more value by waiting: {sent:?}");
}

/// Restores five messages that are due soon, adds 200 new ones, and returns which of the five are sent in
/// time.
fn restored_messages_sent(untried: bool) -> Vec<u64> {
    let mut harness = Harness::new(Settings { slots: 1, max_open: 1000, ..settings() }, 1);
    harness.warm_up(0, 5, 100.0);
    let start = harness.now;
    let (first_id, _) = harness.submit(SAFE, 0);
    let restored_events: Vec<Event> =
        (0..5).map(|n| restored(9000 + n, 0, start + 1500.0, untried)).collect();
    harness.handle(&restored_events);
    let new_requests: Vec<Event> = (0..200).map(|_| harness.request(SAFE, 0).1).collect();
    harness.handle(&new_requests);
    let (mut in_flight, mut sent_ids) = (first_id, Vec::new());
    while harness.now < start + 1500.0 {
        harness.now += 100.0;
        let sent = harness.end_attempt(in_flight, 0, Outcome::Delivered, 100.0);
        let Some((id, _)) = sent.first() else { panic!("nothing was sent although messages are queued") };
        (in_flight, sent_ids) = (*id, [&sent_ids[..], &[*id]].concat());
    }
    sent_ids.retain(|id| *id >= 9000);
    sent_ids
}

/// When the queue is full, messages for a destination without usable endpoints have the least value and are
/// refused first. Messages that an earlier process accepted and never tried are exempt.
#[test]
fn untried_messages_are_not_shed_from_a_full_queue() {
    let mut harness = Harness::new(Settings { slots: 1, max_open: 10, ..settings() }, 2);
    harness.handle(&[Event::ListUpdate(ListUpdate::Delta(vec![Endpoint {
        status: EndpointStatus::Draining,
        ..endpoint("h0", 0)
    }]))]);
    let due = harness.now + 8000.0;
    harness.handle(&(0..6).map(|n| untried(9000 + n, 0, due)).collect::<Vec<_>>());
    let mut refused = Vec::new();
    for _ in 0..30 {
        let (_, event) = harness.request(SAFE, 1);
        harness.handle(&[event]);
        refused.extend(harness.last_actions.iter().filter_map(|a| match a {
            Action::Refuse { id, .. } => Some(*id),
            _ => None,
        }));
    }
    assert!(refused.len() >= 20, "too few requests were refused although the queue is full: {refused:?}");
    assert!(refused.iter().all(|id| *id < 9000), "an untried message was refused: {refused:?}");
}
