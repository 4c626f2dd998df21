//! The program with more destinations listed than it has active at once, which is 1,024 here, by its memory.
//! Listed destinations that are not active are known to the catalog alone, so each test checks the first send
//! after a change.
use mulleinslip_testkit::*;
use serde_json::json;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Number of listed destinations: more than are active at once.
const DESTINATIONS: u64 = 1500;

fn start_relay(agent: &Agent) -> Relay {
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = json!(400);
    Relay::with(PROGRAM, config, agent)
}

/// Lists `host` as the only host of each of the destinations.
fn list_destinations(agent: &Agent, host: &Host, dests: impl Iterator<Item = u64>) {
    agent.list_all(dests.map(|dest| (format!("h{dest}"), dest, host.address)));
}

/// Waits for the delivery of a message; returns which of the hosts has it.
fn wait_for_delivery(hosts: [&Host; 2], id: &str) -> usize {
    until(&format!("the delivery of {id}"), || hosts.iter().position(|host| host.delivered(id)))
}

/// All of 1,500 destinations can be sent to. A change of the list must hold from the next message on, for a
/// destination that is active and for one that has been evicted.
#[test]
fn every_listed_destination_is_served_and_changes_hold_from_its_first_message_on() {
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[]);
    list_destinations(&agent, &old, 1..=DESTINATIONS);
    let relay = start_relay(&agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    // Each destination is used once; with more than 1,024 of them the first ones are evicted by the end.
    let mut client = relay.client();
    for dest in 1..=DESTINATIONS {
        assert_eq!(client.submit("unsafe", &format!("a{dest}"), dest, 4000, b"x").status(), 202, "{dest}");
        if dest % 50 == 0 {
            until("the deliveries", || (old.served() as u64 > dest).then_some(()));
        }
    }
    let watched = agent.watches();
    for dest in [5, DESTINATIONS] {
        agent.list(&format!("h{dest}"), dest, old.address, "leaving");
        agent.list(&format!("new{dest}"), dest, new.address, "active");
    }
    until("the watch that brings the changes", || (agent.watches() > watched + 1).then_some(()));
    for dest in [5, DESTINATIONS, 6] {
        let id = format!("b{dest}");
        relay.take("unsafe", &id, dest);
        assert_eq!(wait_for_delivery([&old, &new], &id), usize::from(dest != 6), "destination {dest}");
    }
    // Destinations that are no longer listed are unknown, active or not.
    agent.unlist(&["h7", "h1499"]);
    until("the refusal of an unlisted destination", || {
        (relay.submit("safe", "c7", 7).status() == 503).then_some(())
    });
    assert_eq!(relay.submit("safe", "c1499", 1499).status(), 503);
    assert_eq!(
        old.received().iter().filter(|h| h.id().starts_with('a')).count() as u64,
        DESTINATIONS,
        "each message must have exactly one call"
    );
}

/// Messages in the journal may be for destinations that are not active in the new process yet; they must be
/// tried all the same.
#[test]
fn journaled_messages_for_inactive_destinations_are_tried_after_a_restart() {
    let (old, host) = (Host::new(|_, _| Reply::Silent), Host::ok());
    let agent = Agent::new(&[]);
    list_destinations(&agent, &old, 1..=DESTINATIONS);
    let first = start_relay(&agent);
    first.submit_accepted_once_listed("safe", "s", 1);
    (0..5u64).for_each(|n| first.take("safe", &format!("m{n}"), DESTINATIONS - n));
    let next = first.killed(|_| list_destinations(&agent, &host, 1..=DESTINATIONS));
    until("the deliveries", || (0..5).all(|n| host.delivered(&format!("m{n}"))).then_some(()));
    drop(next);
}

/// A destination with a Retry-After in force must not be evicted for others; the wait would be forgotten with
/// it, and the next message would be sent too early.
#[test]
fn destination_with_retry_after_in_force_is_not_evicted() {
    let script = |call: &ReceivedRequest, _: usize| match call.id() {
        "w" => Reply::With(429, "Retry-After: 2.000\r\n"),
        _ => Reply::Status(200),
    };
    let host = Host::new(script);
    let agent = Agent::new(&[]);
    list_destinations(&agent, &host, 1..=DESTINATIONS);
    let relay = start_relay(&agent);
    relay.submit_accepted_once_listed("safe", "s", 1);
    relay.take("unsafe", "w", 2);
    until("the answer with Retry-After", || host.answered("w").then_some(()));
    let received_at = std::time::Instant::now();
    let mut client = relay.client();
    for dest in 3..1200 {
        assert_eq!(client.submit("safe", &format!("a{dest}"), dest, 4000, b"x").status(), 202);
    }
    assert!(
        received_at.elapsed().as_millis() < 1700,
        "the other destinations took longer than the Retry-After allows: {:?}",
        received_at.elapsed()
    );
    relay.take("safe", "later", 2);
    until("the delivery", || host.delivered("later").then_some(()));
    assert!(
        received_at.elapsed().as_millis() >= 1900,
        "the message was delivered {:?} after Retry-After: 2",
        received_at.elapsed()
    );
}

/// When the list moves a host to another destination, the old destination loses it and the new one gets it,
/// also if the new one is not active.
#[test]
fn host_that_moves_to_another_destination_belongs_to_that_one_alone() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    list_destinations(&agent, &host, 1..=DESTINATIONS);
    let relay = start_relay(&agent);
    relay.submit_accepted_once_listed("safe", "s", 1);
    agent.list("h1", DESTINATIONS - 1, host.address, "active");
    until("the refusal of an unlisted destination", || {
        (relay.submit("safe", "x", 1).status() == 503).then_some(())
    });
    relay.take("safe", "moved", DESTINATIONS - 1);
    until("the delivery", || host.delivered("moved").then_some(()));
    assert!(agent.notices_of("moved").is_empty());
}
