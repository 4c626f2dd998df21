//! The program on loopback at the instants in which something ends and something else is still owed. Each test holds the
//! other side at that instant and lets it go on; docs/endings.md has the table of these paths.
use mulleinslip_testkit::*;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Given up, a message in order is over for the next of its key once its sender has heard, by the notice's confirmation,
/// and no earlier; so it is in the process that gave it up and in one that starts with the notice still owed.
#[test]
fn the_next_of_a_key_waits_until_the_end_of_the_one_before_is_confirmed() {
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
        // Where one of another key goes, the second could have gone as well.
        relay.submit_accepted_once_listed("ordered/other", "other", 1);
        until("the other key's delivery", || host.delivered("other").then_some(()));
        assert_eq!(host.calls_of("second"), 0, "killed: {kill}");
        agent.reply_to_notices(Vec::new());
        until("the second", || host.delivered("second").then_some(()));
        assert_eq!(host.calls_of("first"), 0);
    }
}

/// Killed with hundreds taken on and none tried, killed again before it could try them, and started with a smaller hold:
/// each is tried, and none is doubled.
#[test]
fn hundreds_that_a_restart_finds_untried_are_tried() {
    const MANY: usize = 300;
    let host = Host::new(|_, _| Reply::Late(5));
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = serde_json::json!(MANY + 20);
    let relay = Relay::with(PROGRAM, config.clone(), &agent);
    let mut client = relay.client();
    for n in 0..MANY {
        assert_eq!(client.submit("unsafe", &format!("m{n}"), 1, 5000, b"order").status(), 202);
    }
    let relay = relay.killed(|_| {});
    config["settings"]["Limits"]["MaxOpen"] = serde_json::json!(50);
    let relay = relay.killed(|journal| {
        let file = journal.parent().and_then(|state| state.parent()).unwrap().join("config.json");
        std::fs::write(file, config.to_string()).unwrap();
        agent.list("a", 1, host.address, "active");
    });
    let line = format!("found {MANY} taken on and untried: {MANY} tried, 0 given up with no call");
    until("the line", || relay.logged(&line).then_some(()));
    until("their answers", || (host.all_answered().len() == MANY).then_some(()));
    assert!((0..MANY).all(|n| host.calls_of(&format!("m{n}")) == 1));
    assert!(agent.all_notices().is_empty());
}

/// What can't be tried any more is told apart in the same line.
#[test]
fn what_a_restart_can_not_try_is_counted_with_its_cause() {
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
        "it ends in its first round"
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
    until("the line", || relay.logged(line).then_some(()));
    assert_eq!(agent.wait_notice("no-class")["status"], "undeliverable");
    assert_eq!(agent.wait_notice("late")["status"], "deferred");
}

/// At SIGTERM with nothing owed the process ends early; whoever is in the middle of handing a message in is answered first.
#[test]
fn a_request_that_is_half_read_when_the_process_may_end_is_answered() {
    let agent = Agent::new(&[("a", 1, &Host::ok())]);
    let mut relay = Relay::start(PROGRAM, &agent);
    let mut idle = relay.client();
    relay.terminate();
    until("the signal", || relay.logged("SIGTERM").then_some(()));
    // Idle ones are closed soon before the process may end; from then on this one alone is left.
    assert!(idle.answer().is_none(), "closed");
    let mut client = relay.client();
    client.send(b"POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: m\r\nX-Caller: acme\r\nX-Budget: 4000m\r\n");
    let told = std::time::Instant::now();
    until("the time at which it may end", || (told.elapsed().as_millis() > 350).then_some(()));
    client.send(b"X-Envelope: dest=1\r\nContent-Length: 1\r\n\r\nb");
    assert_eq!(client.answer().map(|a| a.status()), Some(503));
    assert!(relay.wait_exit().success());
}

/// Settings come from many hands: fields that are null, absent where they may be, in another order or unknown serve as well.
#[test]
fn settings_with_null_absent_and_unknown_fields_serve() {
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

/// The watch falls silent in the first moments of a process, and the next one at once again, and a host leaves meanwhile: what
/// was missed counts as told 6 s after each began, and by then the relay has asked anew and sends there no more.
#[test]
fn a_watch_that_falls_silent_twice_is_noticed_in_time_and_hosts_that_left_are_left_alone() {
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("a", 1, &old)]);
    let relay = Relay::start(PROGRAM, &agent);
    until("a watch", || (agent.watches() > 0).then_some(()));
    for _ in 0..2 {
        let watched = agent.watches();
        agent.silence();
        let silent = std::time::Instant::now();
        until("another watch", || (agent.watches() > watched).then_some(()));
        // Time out, pause and connection take 3.2 s; 5 s are room for a slow machine.
        assert!(silent.elapsed().as_millis() < 5000, "{:?} after the silence began", silent.elapsed());
    }
    let watched = agent.watches();
    agent.silence();
    let silent = std::time::Instant::now();
    agent.list("a", 1, old.address, "leaving");
    agent.list("b", 1, new.address, "active");
    relay.take("safe", "unheard", 1);
    until("the missed news", || (agent.watches() > watched + 1).then_some(()));
    assert!(silent.elapsed().as_millis() < 6000);
    relay.take("safe", "heard", 1);
    until("its delivery", || new.delivered("heard").then_some(()));
    assert_eq!((old.calls_of("unheard"), old.calls_of("heard")), (1, 0));
}
