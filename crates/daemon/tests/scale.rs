//! The program with more destinations listed than are in use at once: 1,024 by its memory here. What is listed and not in use is
//! known by the catalog alone, so each test looks at the first send after something was told of it.
use mulleinslip_testkit::*;
use serde_json::json;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// More than are in use at once.
const MANY: u64 = 1500;

fn relay(agent: &Agent) -> Relay {
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = json!(400);
    Relay::with(PROGRAM, config, agent)
}

fn listed(agent: &Agent, host: &Host, dests: impl Iterator<Item = u64>) {
    agent.list_all(dests.map(|dest| (format!("h{dest}"), dest, host.address)));
}

/// Where a message was delivered, by its id.
fn delivered(hosts: [&Host; 2], id: &str) -> usize {
    until(&format!("the delivery of {id}"), || hosts.iter().position(|host| host.delivered(id)))
}

#[test]
fn each_of_thousands_of_destinations_is_sent_to_and_what_was_told_meanwhile_holds_from_its_first_message_on()
{
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[]);
    listed(&agent, &old, 1..=MANY);
    let relay = relay(&agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    // The last was never used, and the first is forgotten by then: both were told to be left while nobody asked for them.
    let mut client = relay.client();
    for dest in 1..=MANY {
        assert_eq!(client.submit("unsafe", &format!("a{dest}"), dest, 4000, b"x").status(), 202, "{dest}");
        if dest % 50 == 0 {
            until("their deliveries", || (old.served() as u64 > dest).then_some(()));
        }
    }
    let watched = agent.watches();
    for dest in [5, MANY] {
        agent.list(&format!("h{dest}"), dest, old.address, "leaving");
        agent.list(&format!("new{dest}"), dest, new.address, "active");
    }
    until("the news", || (agent.watches() > watched + 1).then_some(()));
    for dest in [5, MANY, 6] {
        let id = format!("b{dest}");
        relay.take("unsafe", &id, dest);
        assert_eq!(delivered([&old, &new], &id), usize::from(dest != 6), "destination {dest}");
    }
    // Destinations that are gone are not known, used before or not.
    agent.unlist(&["h7", "h1499"]);
    until("unknown", || (relay.submit("safe", "c7", 7).status() == 503).then_some(()));
    assert_eq!(relay.submit("safe", "c1499", 1499).status(), 503);
    assert_eq!(old.received().iter().filter(|h| h.id().starts_with('a')).count() as u64, MANY, "each once");
}

/// What a restart finds is of destinations that nobody has asked the new process for yet.
#[test]
fn what_a_restart_finds_for_destinations_not_in_use_is_tried() {
    let (old, host) = (Host::new(|_, _| Reply::Silent), Host::ok());
    let agent = Agent::new(&[]);
    listed(&agent, &old, 1..=MANY);
    let first = relay(&agent);
    first.submit_accepted_once_listed("safe", "s", 1);
    (0..5u64).for_each(|n| first.take("safe", &format!("m{n}"), MANY - n));
    let next = first.killed(|_| listed(&agent, &host, 1..=MANY));
    until("their deliveries", || (0..5).all(|n| host.delivered(&format!("m{n}"))).then_some(()));
    drop(next);
}

/// A wait that was told outlasts what makes room for others.
#[test]
fn a_destination_that_told_a_wait_is_not_forgotten_before_it_is_over() {
    let script = |heard: &ReceivedRequest, _: usize| match heard.id() {
        "w" => Reply::With(429, "Retry-After: 2.000\r\n"),
        _ => Reply::Status(200),
    };
    let host = Host::new(script);
    let agent = Agent::new(&[]);
    listed(&agent, &host, 1..=MANY);
    let relay = relay(&agent);
    relay.submit_accepted_once_listed("safe", "s", 1);
    relay.take("unsafe", "w", 2);
    until("the wait", || host.answered("w").then_some(()));
    let told = std::time::Instant::now();
    let mut client = relay.client();
    for dest in 3..1200 {
        assert_eq!(client.submit("safe", &format!("a{dest}"), dest, 4000, b"x").status(), 202);
    }
    assert!(told.elapsed().as_millis() < 1700, "all others were used within the wait: {:?}", told.elapsed());
    relay.take("safe", "later", 2);
    until("its delivery", || host.delivered("later").then_some(()));
    assert!(told.elapsed().as_millis() >= 1900, "{:?} after the wait was told", told.elapsed());
}

/// Whoever knew it in the one destination hears that it is of another one, which was in use or not.
#[test]
fn a_host_that_moves_to_another_destination_is_of_that_one_alone() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    listed(&agent, &host, 1..=MANY);
    let relay = relay(&agent);
    relay.submit_accepted_once_listed("safe", "s", 1);
    agent.list("h1", MANY - 1, host.address, "active");
    until("unknown", || (relay.submit("safe", "x", 1).status() == 503).then_some(()));
    relay.take("safe", "moved", MANY - 1);
    until("its delivery", || host.delivered("moved").then_some(()));
    assert!(agent.notices_of("moved").is_empty());
}
