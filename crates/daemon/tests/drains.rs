//! Nothing goes to a host that has been told to be leaving, whoever was told: an earlier process, the agent on the relay's
//! machine, or this process while a connection came up.

use mulleinslip_testkit::{config, program, until, Agent, Host, Relay, Reply};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn endpoint(name: &str, dest: u64, host: &Host, status: &str) -> Value {
    json!({"name": name, "address": host.address.to_string(), "zone": "z", "type": "k", "group": dest,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// Among hundreds of relays, as among two: what the agent has counts as told, and it answers at no cost. Three hundred
/// relays that asked only after a while sent to hosts that had left before they started.
#[test]
fn among_many_relays_a_pushed_list_is_asked_for_before_anything_is_sent() {
    let (gone, host) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("h", 1, &host)]);
    agent.list("gone", 1, gone.address, "leaving");
    let mut config = config(agent.address);
    config["settings"]["Balancers"] = json!(300);
    config["settings"]["Discovery"] = json!("push");
    config["known"]["endpoints"] = json!([endpoint("gone", 1, &gone, "active")]);
    let relay = Relay::with(program!(), config, &agent);
    relay.take("safe", "m", 1);
    until("a delivery", || host.delivered("m").then_some(()));
    assert_eq!(gone.served(), 0, "nothing goes to a host that the agent has as leaving");
}

/// The relay has read all that the agent told before this call.
fn heard(agent: &Agent, change: impl FnOnce()) {
    until("a watch", || (agent.watches() > 0).then_some(()));
    let before = agent.watches();
    change();
    until("the next watch", || (agent.watches() > before).then_some(()));
}

fn moved(relay: &Relay, config: &mut Value, agent: &Agent) {
    config["discovery"] = json!(agent.address.to_string());
    std::fs::write(relay.folder.join("config.json"), config.to_string()).unwrap();
    relay.signal("HUP");
    until("the move", || relay.logged("SIGHUP; discovery").then_some(()));
}

/// SIGKILL right after it was read that a host leaves; the next process starts from an older list, its agent is silent, and
/// the folder has a message that is owed to that host.
#[test]
fn what_a_process_was_told_of_a_leaving_host_outlasts_it() {
    let (gone, host) = (Host::new(|_, _| Reply::Silent), Host::ok());
    let agent = Agent::new(&[("gone", 1, &gone)]);
    let mut config = config(agent.address);
    config["known"]["endpoints"] = json!([endpoint("gone", 1, &gone, "active")]);
    let relay = Relay::with(program!(), config, &agent);
    relay.take("safe", "owed", 1);
    gone.wait_calls(1);
    heard(&agent, || agent.list("gone", 1, gone.address, "leaving"));
    let asked = agent.calls();
    agent.set_down(true);
    let relay = relay.killed(|_| ());
    until("a call for the list", || (agent.calls() > asked).then_some(()));
    // It serves from the list that it knows, less what left.
    relay.take("safe", "new", 1);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(gone.received().len(), 1, "what was sent before, and nothing since");
    agent.list("host", 1, host.address, "active");
    agent.set_down(false);
    until("deliveries", || (host.delivered("owed") && host.delivered("new")).then_some(()));
    assert_eq!(gone.received().len(), 1);
}

/// SIGHUP moves discovery to an agent that has not heard yet that a host leaves.
#[test]
fn an_agent_that_lags_brings_no_leaving_host_back() {
    let (gone, host) = (Host::ok(), Host::ok());
    let first = Agent::new(&[("gone", 1, &gone)]);
    let second = Agent::new(&[("gone", 1, &gone)]);
    // Versions of two agents need not agree: the one that lags may be far ahead in them.
    (0..9).for_each(|_| second.list("gone", 1, gone.address, "active"));
    let mut config = config(first.address);
    let relay = Relay::with(program!(), config.clone(), &first);
    heard(&first, || first.list("gone", 1, gone.address, "leaving"));
    moved(&relay, &mut config, &second);
    until("a watch there", || (second.watches() > 0).then_some(()));
    relay.take("safe", "m", 1);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(gone.received().len(), 0, "the agent that lags is not believed yet");
    second.list("host", 1, host.address, "active");
    until("a delivery", || host.delivered("m").then_some(()));
    // It hears of it as well, and later that the host is there again: its own word counts.
    heard(&second, || second.list("gone", 1, gone.address, "leaving"));
    heard(&second, || second.list("host", 1, host.address, "leaving"));
    heard(&second, || second.list("gone", 1, gone.address, "active"));
    relay.take("safe", "n", 1);
    until("a delivery", || gone.delivered("n").then_some(()));
}

/// SIGHUP moves discovery to an agent that was sent nothing yet, while the list held stays good.
#[test]
fn an_agent_that_was_sent_nothing_yet_empties_no_list() {
    let host = Host::ok();
    let (first, second) = (Agent::new(&[("host", 1, &host)]), Agent::new(&[]));
    let mut config = config(first.address);
    let relay = Relay::with(program!(), config.clone(), &first);
    until("a watch", || (first.watches() > 0).then_some(()));
    moved(&relay, &mut config, &second);
    until("a watch there", || (second.watches() > 0).then_some(()));
    relay.take("safe", "m", 1);
    until("a delivery", || host.delivered("m").then_some(()));
    // Its first list counts, and has the host no more.
    heard(&second, || second.list("other", 2, host.address, "active"));
    assert_eq!(relay.submit("safe", "n", 1).status(), 202, "held: the destination may get a host yet");
    assert_eq!(second.wait_notice("n")["status"], "deferred");
    assert_eq!(host.calls_of("n"), 0);
}

/// SIGHUP while the first call for the list is out at an agent that is silent: it moves all the same, and what the second
/// agent has is heard at once.
#[test]
fn a_first_call_that_nobody_answers_holds_up_no_move() {
    let (gone, host) = (Host::ok(), Host::ok());
    let (first, second) = (Agent::new(&[]), Agent::new(&[("host", 1, &host)]));
    second.list("gone", 1, gone.address, "leaving");
    first.set_down(true);
    let mut config = config(first.address);
    config["settings"]["Balancers"] = json!(300);
    // Where calls are dear one that is late is waited for, for many seconds.
    config["settings"]["Discovery"] = json!("ask");
    config["known"]["endpoints"] = json!([endpoint("gone", 1, &gone, "active")]);
    let relay = Relay::with(program!(), config.clone(), &first);
    until("a call", || (first.calls() > 0).then_some(()));
    moved(&relay, &mut config, &second);
    let since = Instant::now();
    until("a watch there", || (second.watches() > 0).then_some(()));
    assert!(since.elapsed() < Duration::from_secs(4), "not after the call that nobody answers");
    relay.take("safe", "m", 1);
    until("a delivery", || host.delivered("m").then_some(()));
    assert_eq!(gone.received().len(), 0);
}

/// A host leaves while a connection to it comes up, and while a call waits for a slot.
#[test]
fn a_host_that_leaves_while_a_connection_comes_up_is_sent_nothing() {
    let gone = Host::unresponsive(400, |_, _| Reply::Status(200));
    let host = Host::ok();
    let agent = Agent::new(&[("gone", 1, &gone)]);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3000.0);
    config["settings"]["Domain"]["Slots"] = json!(2);
    let relay = Relay::with(program!(), config, &agent);
    // The first waits for its connection, the others for the ceiling of the destination.
    for id in ["m", "n", "o"] {
        relay.take("unsafe", id, 1);
    }
    heard(&agent, || agent.list("gone", 1, gone.address, "leaving"));
    heard(&agent, || agent.list("host", 1, host.address, "active"));
    until("deliveries", || ["m", "n", "o"].iter().all(|id| host.delivered(id)).then_some(()));
    assert_eq!(gone.received().len(), 0, "its connection came up after it had been told to be leaving");
}
