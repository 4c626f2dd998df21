//! Nothing is sent to a host that is known to be leaving, whether an earlier process was told, the agent on
//! the relay's machine, or this process while a connection came up.

use mulleinslip_testkit::{config, program, until, Agent, Host, Relay, Reply};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn endpoint(name: &str, dest: u64, host: &Host, status: &str) -> Value {
    json!({"name": name, "address": host.address.to_string(), "zone": "z", "type": "k", "group": dest,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// What the agent has counts as told, and with pushed lists a call to it costs nothing, also with hundreds of
/// relays. Three hundred relays that polled only after a while sent to hosts that had left before the relays
/// started.
#[test]
fn pushed_list_is_polled_before_the_first_send_with_many_relays() {
    let (leaving, host) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("h", 1, &host)]);
    agent.list("gone", 1, leaving.address, "leaving");
    let mut config = config(agent.address);
    config["settings"]["Balancers"] = json!(300);
    config["settings"]["Discovery"] = json!("push");
    config["known"]["endpoints"] = json!([endpoint("gone", 1, &leaving, "active")]);
    let relay = Relay::with(program!(), config, &agent);
    relay.take("safe", "m", 1);
    until("the delivery", || host.delivered("m").then_some(()));
    assert_eq!(leaving.served(), 0, "a call went to a host that the agent lists as leaving");
}

/// Makes `change` at the agent and waits until the relay has read it.
fn change_and_wait_until_read(agent: &Agent, change: impl FnOnce()) {
    until("a watch", || (agent.watches() > 0).then_some(()));
    let before = agent.watches();
    change();
    until("the next watch", || (agent.watches() > before).then_some(()));
}

/// Moves the relay's discovery to `agent` by SIGHUP.
fn move_discovery(relay: &Relay, config: &mut Value, agent: &Agent) {
    config["discovery"] = json!(agent.address.to_string());
    std::fs::write(relay.folder.join("config.json"), config.to_string()).unwrap();
    relay.signal("HUP");
    until("the move", || relay.logged("SIGHUP; discovery").then_some(()));
}

/// SIGKILL right after the relay read that a host is leaving. The next process starts from an older list, its
/// agent is silent, and the journal has a pending message that was sent to that host: nothing more may go
/// there.
#[test]
fn leaving_host_is_remembered_after_a_kill() {
    let (leaving, host) = (Host::new(|_, _| Reply::Silent), Host::ok());
    let agent = Agent::new(&[("gone", 1, &leaving)]);
    let mut config = config(agent.address);
    config["known"]["endpoints"] = json!([endpoint("gone", 1, &leaving, "active")]);
    let relay = Relay::with(program!(), config, &agent);
    relay.take("safe", "owed", 1);
    leaving.wait_calls(1);
    change_and_wait_until_read(&agent, || agent.list("gone", 1, leaving.address, "leaving"));
    let calls_before = agent.calls();
    agent.set_down(true);
    let relay = relay.killed(|_| ());
    until("a call for the list", || (agent.calls() > calls_before).then_some(()));
    // It serves from the configured list, without the hosts that are leaving.
    relay.take("safe", "new", 1);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(leaving.received().len(), 1, "a call went to the leaving host after the restart");
    agent.list("host", 1, host.address, "active");
    agent.set_down(false);
    until("deliveries", || (host.delivered("owed") && host.delivered("new")).then_some(()));
    assert_eq!(leaving.received().len(), 1);
}

/// SIGHUP moves discovery to an agent that doesn't know yet that a host is leaving: its list must not make
/// the host active again, although its version may be higher.
#[test]
fn lagging_agent_does_not_reactivate_a_leaving_host() {
    let (leaving, host) = (Host::ok(), Host::ok());
    let first = Agent::new(&[("gone", 1, &leaving)]);
    let second = Agent::new(&[("gone", 1, &leaving)]);
    // Versions of two agents are independent: the lagging agent may have the higher one.
    (0..9).for_each(|_| second.list("gone", 1, leaving.address, "active"));
    let mut config = config(first.address);
    let relay = Relay::with(program!(), config.clone(), &first);
    change_and_wait_until_read(&first, || first.list("gone", 1, leaving.address, "leaving"));
    move_discovery(&relay, &mut config, &second);
    until("a watch at the second agent", || (second.watches() > 0).then_some(()));
    relay.take("safe", "m", 1);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(
        leaving.received().len(),
        0,
        "a call went to a leaving host that the lagging agent lists as active"
    );
    second.list("host", 1, host.address, "active");
    until("the delivery", || host.delivered("m").then_some(()));
    // Once this agent has listed the host as leaving too, it may list the host as active again.
    change_and_wait_until_read(&second, || second.list("gone", 1, leaving.address, "leaving"));
    change_and_wait_until_read(&second, || second.list("host", 1, host.address, "leaving"));
    change_and_wait_until_read(&second, || second.list("gone", 1, leaving.address, "active"));
    relay.take("safe", "n", 1);
    until("the delivery", || leaving.delivered("n").then_some(()));
}

/// SIGHUP moves discovery to an agent that has no list yet. Its empty list must not replace the one in force,
/// until it has been sent something.
#[test]
fn agent_without_a_list_does_not_empty_the_list_in_force() {
    let host = Host::ok();
    let (first, second) = (Agent::new(&[("host", 1, &host)]), Agent::new(&[]));
    let mut config = config(first.address);
    let relay = Relay::with(program!(), config.clone(), &first);
    until("a watch", || (first.watches() > 0).then_some(()));
    move_discovery(&relay, &mut config, &second);
    until("a watch at the second agent", || (second.watches() > 0).then_some(()));
    relay.take("safe", "m", 1);
    until("the delivery", || host.delivered("m").then_some(()));
    // The agent's first list applies, and the host is not in it.
    change_and_wait_until_read(&second, || second.list("other", 2, host.address, "active"));
    assert_eq!(
        relay.submit("safe", "n", 1).status(),
        202,
        "the message is queued, as the destination may still get a host"
    );
    assert_eq!(second.wait_notice("n")["status"], "deferred");
    assert_eq!(host.calls_of("n"), 0);
}

/// SIGHUP while the first call for the list is in flight at an agent that does not answer. Discovery must
/// move without waiting for that call, and the list of the second agent applies at once.
#[test]
fn unanswered_first_call_does_not_delay_a_move_of_discovery() {
    let (leaving, host) = (Host::ok(), Host::ok());
    let (first, second) = (Agent::new(&[]), Agent::new(&[("host", 1, &host)]));
    second.list("gone", 1, leaving.address, "leaving");
    first.set_down(true);
    let mut config = config(first.address);
    config["settings"]["Balancers"] = json!(300);
    // Where calls for the list are costly, the relay waits many seconds for one that is late.
    config["settings"]["Discovery"] = json!("ask");
    config["known"]["endpoints"] = json!([endpoint("gone", 1, &leaving, "active")]);
    let relay = Relay::with(program!(), config.clone(), &first);
    until("a call for the list", || (first.calls() > 0).then_some(()));
    move_discovery(&relay, &mut config, &second);
    let moved_at = Instant::now();
    until("a watch at the second agent", || (second.watches() > 0).then_some(()));
    assert!(moved_at.elapsed() < Duration::from_secs(4), "the move waited for the call that nobody answers");
    relay.take("safe", "m", 1);
    until("the delivery", || host.delivered("m").then_some(()));
    assert_eq!(leaving.received().len(), 0);
}

/// A host is marked as leaving while a connection to it comes up and while further calls wait for a slot.
/// None of these calls may be written once the connection is up.
#[test]
fn host_that_leaves_during_connection_setup_gets_no_call() {
    let leaving = Host::unresponsive(400, |_, _| Reply::Status(200));
    let host = Host::ok();
    let agent = Agent::new(&[("gone", 1, &leaving)]);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3000.0);
    config["settings"]["Domain"]["Slots"] = json!(2);
    let relay = Relay::with(program!(), config, &agent);
    // The first message waits for its connection, the others for a slot of the destination.
    for id in ["m", "n", "o"] {
        relay.take("unsafe", id, 1);
    }
    change_and_wait_until_read(&agent, || agent.list("gone", 1, leaving.address, "leaving"));
    change_and_wait_until_read(&agent, || agent.list("host", 1, host.address, "active"));
    until("deliveries", || ["m", "n", "o"].iter().all(|id| host.delivered(id)).then_some(()));
    assert_eq!(
        leaving.received().len(),
        0,
        "a call was written to a host that was leaving before its connection came up"
    );
}

/// Where lists are asked for among many relays, an open watch falls silent, and the host leaves just then. A
/// change that a silent watch misses counts as told 6 s after it fell silent; the grace of 250 ms and 50 ms
/// for each of the two limits follow. Guards against a silent watch that is given up after 11 s only: the
/// messages went to whoever had the address by then.
#[test]
fn host_that_leaves_while_a_watch_is_silent_gets_no_call_after_six_seconds() {
    const TOLD_AFTER: Duration = Duration::from_millis(6000 + 250 + 50 + 50);
    let play = |relays: usize| {
        let (leaving, host) = (Host::ok(), Host::ok());
        let agent = Agent::new(&[("gone", 1, &leaving)]);
        let mut config = config(agent.address);
        config["settings"]["Balancers"] = json!(relays);
        config["settings"]["Discovery"] = json!("ask");
        config["known"]["endpoints"] = json!([endpoint("gone", 1, &leaving, "active")]);
        let relay = Relay::with(program!(), config, &agent);
        // The second watch is the first one that continues another.
        until("a continued watch", || (agent.watches() > 1).then_some(()));
        agent.silence();
        let silent_since = Instant::now();
        agent.list("gone", 1, leaving.address, "leaving");
        agent.list("host", 1, host.address, "active");
        let mut number = 0;
        while silent_since.elapsed() < TOLD_AFTER + Duration::from_millis(1500) {
            number += 1;
            let late = silent_since.elapsed() > TOLD_AFTER;
            relay.take("safe", &format!("{}-{number}", if late { "late" } else { "early" }), 1);
            std::thread::sleep(Duration::from_millis(50));
        }
        let late_calls = leaving.received().iter().filter(|call| call.id().starts_with("late")).count();
        assert_eq!(late_calls, 0, "{relays} relays: calls to a host that has left");
        assert!(host.received().iter().any(|call| call.id().starts_with("late")), "{relays} relays");
    };
    std::thread::scope(|scope| {
        for relays in [7, 8, 20, 900] {
            scope.spawn(move || play(relays));
        }
    });
}

/// A list gives a host another address under its name while a call is in flight to the old one, or while a
/// connection to it comes up. Guards against calls to whoever has the old address by then: the connection was
/// kept under the name after the call, and a connection that came up was used.
#[test]
fn host_that_moves_under_its_name_gets_no_call_at_its_old_address() {
    for calls_before in [1, 0] {
        let old = match calls_before {
            0 => Host::unresponsive(400, |_, _| Reply::Status(200)),
            _ => Host::new(|_, _| Reply::Late(400)),
        };
        let new = Host::ok();
        let agent = Agent::new(&[("moves", 1, &old)]);
        let mut config = config(agent.address);
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(3000.0);
        let relay = Relay::with(program!(), config, &agent);
        relay.take("safe", "before", 1);
        old.wait_calls(calls_before);
        change_and_wait_until_read(&agent, || agent.list("moves", 1, new.address, "active"));
        // Longer than the call, the connection's start, and the rest of a used connection.
        std::thread::sleep(Duration::from_millis(1500));
        for number in 0..5 {
            relay.take("safe", &format!("after-{number}"), 1);
            std::thread::sleep(Duration::from_millis(50));
        }
        until("deliveries", || (0..5).all(|n| new.delivered(&format!("after-{n}"))).then_some(()));
        assert_eq!(old.received().len(), calls_before, "a call went to the old address");
    }
}

/// How the relay comes to know an agent that has taken the place of another one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AgentReplaced {
    /// The old agent's connections end.
    Closed,
    /// They stay open and silent.
    Silent,
    /// The relay is killed before, and starts after it.
    BeforeAStart,
    /// Another process takes over right behind it.
    BeforeATakeover,
}

/// A new agent at the address of the old one begins its versions anew; a host has left meanwhile. Guards against a
/// relay that takes it for the old one and keeps the old list: messages went to whoever had the host's address. What a
/// silent connection misses counts as told after 6 s, anything else at once, and after a takeover 2 s behind its yes.
#[test]
fn host_that_left_before_a_new_agent_took_the_place_of_the_old_one_gets_no_call() {
    // The grace, 50 ms for each limit, and for a new connection.
    const AT_ONCE: Duration = Duration::from_millis(250 + 50 + 100);
    let play = |how: AgentReplaced, relays: usize, discovery: &str, first_version: u64| {
        let case = format!("{how:?}, {relays} relays, {discovery}, versions from {first_version}");
        let (leaving, host) = (Host::ok(), Host::ok());
        let agent = Agent::new(&[("gone", 1, &leaving)]);
        agent.answer_with_changes();
        (0..40).for_each(|_| agent.list("gone", 1, leaving.address, "active"));
        let mut config = config(agent.address);
        config["settings"]["Balancers"] = json!(relays);
        config["settings"]["Discovery"] = json!(discovery);
        config["known"]["endpoints"] = json!([endpoint("gone", 1, &leaving, "active")]);
        let mut relay = Relay::with(program!(), config, &agent);
        until("a continued watch", || (agent.watches() > 1).then_some(()));
        let replace = || agent.replace(first_version, &[("other", 2, &host), ("host", 1, &host)]);
        let mut told_after =
            if discovery == "push" { AT_ONCE } else { Duration::from_millis(6000) + AT_ONCE };
        let mut old = None;
        match how {
            AgentReplaced::Closed => replace(),
            AgentReplaced::Silent => {
                agent.silence();
                told_after = Duration::from_millis(6000) + AT_ONCE;
                std::thread::sleep(Duration::from_millis(100));
                replace();
            }
            AgentReplaced::BeforeAStart => relay = relay.killed(|_| replace()),
            AgentReplaced::BeforeATakeover => {
                replace();
                let next = relay.beside();
                old = Some(std::mem::replace(&mut relay, next));
                told_after = told_after.max(Duration::from_millis(2000) + AT_ONCE);
            }
        }
        std::thread::sleep(told_after);
        let calls_before = leaving.received().len();
        for number in 0..20 {
            relay.take("safe", &format!("m{number}"), 1);
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(leaving.received().len(), calls_before, "{case}: calls to a host that has left");
        until(&format!("deliveries: {case}"), || {
            (0..20).all(|n| host.delivered(&format!("m{n}"))).then_some(())
        });
        // Its next changes are followed as well.
        agent.list("third", 3, host.address, "active");
        relay.submit_accepted_once_listed("safe", "third", 3);
        until("the delivery", || host.delivered("third").then_some(()));
        drop(old);
    };
    std::thread::scope(|scope| {
        for (relays, discovery, first_version) in [
            (1, "push", 0),
            (1, "push", 100),
            (300, "push", 0),
            (300, "push", 100),
            (3, "ask", 0),
            (3, "ask", 100),
            (8, "ask", 0),
            (300, "ask", 0),
        ] {
            for how in [
                AgentReplaced::Closed,
                AgentReplaced::Silent,
                AgentReplaced::BeforeAStart,
                AgentReplaced::BeforeATakeover,
            ] {
                scope.spawn(move || play(how, relays, discovery, first_version));
            }
        }
    });
}
