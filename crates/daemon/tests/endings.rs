//! The program on loopback at moments at which one thing ends while another is still pending. Each test stops
//! the other side at that moment and then lets it continue; docs/endings.md has the table of these paths.
use mulleinslip_testkit::*;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// When an ordered message is given up, the next message of its order key may go only after the notice is
/// confirmed, as the sender doesn't know of the end before. This holds in the process that gave the message
/// up and in one that starts with the notice pending.
#[test]
fn next_message_of_order_key_waits_for_confirmation_of_notice() {
    for kill in [false, true] {
        let host = Host::ok();
        let agent = Agent::new(&[]);
        agent.hold(1);
        agent.reply_to_notices(vec![500; 10_000]);
        let mut relay = Relay::start(PROGRAM, &agent);
        assert_eq!(relay.client().submit("ordered/k", "first", 1, 100, b"").status(), 202);
        assert_eq!(relay.client().submit("ordered/k", "second", 1, 5000, b"").status(), 202);
        assert_eq!(agent.wait_notice("first")["status"], "deferred");
        if kill {
            relay = relay.killed(|_| {});
        }
        agent.list("a", 1, host.address, "active");
        // A delivery of another key shows that the second message could have been sent by now.
        relay.submit_accepted_once_listed("ordered/other", "other", 1);
        until("the other key's delivery", || host.delivered("other").then_some(()));
        assert_eq!(host.calls_of("second"), 0, "killed: {kill}");
        agent.reply_to_notices(Vec::new());
        until("the delivery of the second message", || host.delivered("second").then_some(()));
        assert_eq!(host.calls_of("first"), 0);
    }
}

/// A process is killed with hundreds of accepted and untried messages, the next one before it can try them,
/// and a third starts with a smaller MaxOpen. Each message must still be tried, exactly once.
#[test]
fn untried_messages_found_by_a_restart_are_each_tried_once() {
    const MESSAGES: usize = 300;
    let host = Host::new(|_, _| Reply::Late(5));
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = serde_json::json!(MESSAGES + 20);
    let relay = Relay::with(PROGRAM, config.clone(), &agent);
    let mut client = relay.client();
    for n in 0..MESSAGES {
        assert_eq!(client.submit("unsafe", &format!("m{n}"), 1, 5000, b"order").status(), 202);
    }
    let relay = relay.killed(|_| {});
    config["settings"]["Limits"]["MaxOpen"] = serde_json::json!(50);
    let relay = relay.killed(|journal| {
        let file = journal.parent().and_then(|state| state.parent()).unwrap().join("config.json");
        std::fs::write(file, config.to_string()).unwrap();
        agent.list("a", 1, host.address, "active");
    });
    let line = format!("found {MESSAGES} taken on and untried: {MESSAGES} tried, 0 given up with no call");
    until("the log line on untried messages", || relay.logged(&line).then_some(()));
    until("their answers", || (host.all_answered().len() == MESSAGES).then_some(()));
    assert!((0..MESSAGES).all(|n| host.calls_of(&format!("m{n}")) == 1));
    assert!(agent.all_notices().is_empty());
}

/// Messages that a restart finds and can't try any more are counted by cause in the same log line: past their
/// deadline, or of a class that is no longer configured.
#[test]
fn untried_messages_that_are_given_up_are_logged_by_cause() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    agent.hold(1);
    let config = config(agent.address);
    let relay = Relay::with(PROGRAM, config.clone(), &agent);
    relay.take("safe", "tried", 1);
    relay.take("keyed", "no-class", 1);
    assert_eq!(
        relay.client().submit("safe", "overdue", 1, 1, b"").status(),
        503,
        "a message with 1 ms must end in its first round"
    );
    assert_eq!(relay.client().submit("safe", "late", 1, 400, b"").status(), 202);
    let relay = relay.killed(|journal| {
        std::thread::sleep(std::time::Duration::from_millis(450));
        let file = journal.parent().and_then(|state| state.parent()).unwrap().join("config.json");
        std::fs::write(file, config.to_string().replace("\"keyed\"", "\"renamed\"")).unwrap();
        agent.list("a", 1, host.address, "active");
    });
    let line = "found 3 taken on and untried: 1 tried, 2 given up with no call: 1 out of time at the start, 1 of a class that \
                is no more";
    until("the log line on untried messages", || relay.logged(line).then_some(()));
    assert_eq!(agent.wait_notice("no-class")["status"], "undeliverable");
    assert_eq!(agent.wait_notice("late")["status"], "deferred");
}

/// After SIGTERM with nothing pending the process exits early. A client in the middle of a request must get
/// its answer before the exit.
#[test]
fn half_read_request_is_answered_before_an_early_exit() {
    let agent = Agent::new(&[("a", 1, &Host::ok())]);
    let mut relay = Relay::start(PROGRAM, &agent);
    let mut idle = relay.client();
    relay.terminate();
    until("the signal", || relay.logged("SIGTERM").then_some(()));
    // Idle connections are closed shortly before the process may exit; the new client is the only one from
    // then on.
    assert!(idle.answer().is_none(), "the idle connection got an answer instead of a close");
    let mut client = relay.client();
    client.send(b"POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: m\r\nX-Caller: acme\r\nX-Budget: 4000m\r\n");
    let half_sent = std::time::Instant::now();
    until("the time at which the process may exit", || (half_sent.elapsed().as_millis() > 350).then_some(()));
    client.send(b"X-Envelope: dest=1\r\nContent-Length: 1\r\n\r\nb");
    assert_eq!(client.answer().map(|a| a.status()), Some(503));
    assert!(relay.wait_exit().success());
}

/// Settings are written by various tools, so fields that are null, absent where optional, in another order or
/// unknown must be accepted.
#[test]
fn settings_with_null_absent_and_unknown_fields_are_accepted() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["control"] = serde_json::json!("");
    config["seed"] = serde_json::Value::Null;
    config["known"] = serde_json::Value::Null;
    let settings = config["settings"].as_object_mut().unwrap();
    for name in ["Discovery", "Costs", "LoadReport", "OverShareWorth", "Weights", "Zones"] {
        settings.insert(name.into(), serde_json::Value::Null);
    }
    settings.insert("Unheard".into(), serde_json::json!({"Of": [1, null]}));
    ["TickMs", "Zone"].iter().for_each(|name| _ = settings.remove(*name));
    for class in settings["Profiles"].as_array_mut().unwrap() {
        class["Group"] = serde_json::Value::Null;
    }
    settings["Safety"]["OrderPauseMs"] = serde_json::Value::Null;
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("keyed", "m", 1);
    until("the delivery", || host.delivered("m").then_some(()));
}

/// The watch falls silent soon after the start of a process, then the next watch does, and meanwhile a host
/// is marked as leaving. What a silent watch missed counts as told 6 s after the silence began; by then the
/// relay must have asked again, and it must send nothing more to that host.
#[test]
fn silent_watch_is_replaced_in_time_and_leaving_host_gets_no_calls() {
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("a", 1, &old)]);
    let relay = Relay::start(PROGRAM, &agent);
    until("a watch", || (agent.watches() > 0).then_some(()));
    for _ in 0..2 {
        let watched = agent.watches();
        agent.silence();
        let silent_since = std::time::Instant::now();
        until("another watch", || (agent.watches() > watched).then_some(()));
        // The time-out, the pause and the connection take 3.2 s; 5 s leave room for a slow machine.
        assert!(
            silent_since.elapsed().as_millis() < 5000,
            "the next watch came {:?} after the silence began",
            silent_since.elapsed()
        );
    }
    let watched = agent.watches();
    agent.silence();
    let silent_since = std::time::Instant::now();
    agent.list("a", 1, old.address, "leaving");
    agent.list("b", 1, new.address, "active");
    relay.take("safe", "unheard", 1);
    until("the watch that brings the missed change", || (agent.watches() > watched + 1).then_some(()));
    assert!(silent_since.elapsed().as_millis() < 6000);
    relay.take("safe", "heard", 1);
    until("its delivery", || new.delivered("heard").then_some(()));
    assert_eq!((old.calls_of("unheard"), old.calls_of("heard")), (1, 0));
}
