//! The program at its limits: all descriptors in use, a full state folder, and a short dedup window.
use mulleinslip_testkit::*;
use serde_json::json;
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Returns the number of descriptors that the relay's process has open.
fn open_descriptors(relay: &Relay) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", relay.child.id())).unwrap().count()
}

/// Idle clients take all places for clients while discovery is down and silent. Descriptors that are kept in
/// reserve must still allow notices, compaction of the journal, and a call for the list once discovery is
/// back.
#[test]
fn idle_clients_that_fill_the_descriptors_block_neither_notices_nor_journal_nor_discovery() {
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("a", 1, &old)]);
    agent.hold(2);
    let mut config = config(agent.address);
    config["limits"]["sockets"] = json!(80);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    until("a watch", || (agent.watches() > 0).then_some(()));
    agent.set_down(true);
    agent.silence();
    let fill_start = Instant::now();
    let mut idle: Vec<Client> = Vec::new();
    // New clients keep coming for those whose idle connection was closed.
    while fill_start.elapsed() < Duration::from_millis(3500) {
        (0..4).for_each(|_| idle.push(relay.client()));
        assert!(open_descriptors(&relay) <= 80, "{} descriptors are open", open_descriptors(&relay));
        std::thread::sleep(Duration::from_millis(20));
    }
    let id = "short";
    until("an accepted message among the idle clients", || {
        let answer = std::panic::catch_unwind(|| relay.client().submit("safe", id, 2, 300, &[1; 60_000]));
        answer.ok().filter(|a| a.status() == 202)
    });
    assert_eq!(
        agent.wait_notice(id)["status"],
        "deferred",
        "expected the notice of a message that was given up"
    );
    agent.list("a", 1, old.address, "leaving");
    agent.list("b", 1, new.address, "active");
    agent.set_down(false);
    let recovered_at = Instant::now();
    let calls = agent.calls();
    until("a call for the list", || (agent.calls() > calls).then_some(()));
    assert!(
        recovered_at.elapsed() < Duration::from_secs(6),
        "the list was asked for {:?} after discovery was back",
        recovered_at.elapsed()
    );
    relay.submit_accepted_once_listed("safe", "last", 1);
    until("the delivery", || (new.delivered("last") || old.delivered("last")).then_some(()));
    relay.take("safe", "later", 1);
    until("a delivery by the new list", || new.delivered("later").then_some(()));
    drop(idle);
}

/// With a full state folder and a discovery that does not answer, a process must be ready in time; the
/// shortest time that is allowed for that is 6 s.
#[test]
fn process_with_full_folder_and_silent_discovery_is_ready_in_time() {
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = json!(5000);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    let (mut client, mut accepted) = (relay.client(), 0);
    // Fills the folder with bodies of 4 kB until a message is refused.
    for n in 0..4000 {
        let answer = client.submit("unsafe", &format!("m{n}"), 1, 60_000, &[7; 4096]);
        if answer.status() != 202 {
            break;
        }
        accepted += 1;
        if answer.header("connection") == "close" {
            client = relay.client();
        }
    }
    assert!(accepted > 200, "{accepted} messages accepted");
    let journal_bytes = std::fs::metadata(relay.journal()).map_or(0, |m| m.len());
    agent.set_down(true);
    agent.silence();
    let start = Instant::now();
    let relay = relay.killed(|_| {});
    let mut probe = relay.client();
    probe.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(probe.answer().map(|a| a.status()), Some(200));
    assert!(
        start.elapsed() < Duration::from_secs(6),
        "ready after {:?} with {accepted} messages in a journal of {journal_bytes} bytes",
        start.elapsed()
    );
    assert_eq!(relay.figure("edge_router_in_progress") as usize, accepted + 1, "pending messages were lost");
}

/// With a dedup window of one second a keyed message that may have run before a kill is sent again only
/// within that second from the first attempt, whether the restart comes at once or after the window.
#[test]
fn keyed_message_is_resent_after_a_restart_only_within_a_window_of_one_second() {
    for (pause_ms, may_repeat) in [(1200, false), (0, true)] {
        let host = Host::first(vec![Reply::Silent]);
        let agent = Agent::new(&[("a", 1, &host)]);
        let mut config = config(agent.address);
        for class in config["settings"]["Profiles"].as_array_mut().unwrap() {
            class["DedupWindowMs"] = json!(1000.0);
        }
        let relay = Relay::with(PROGRAM, config, &agent);
        relay.take("keyed", "k", 1);
        let first_call_at = host.wait_calls(1)[0].at;
        let relay = relay.killed(|_| std::thread::sleep(Duration::from_millis(pause_ms)));
        if may_repeat {
            until("a repeat or a notice", || {
                (host.calls_of("k") > 1 || !agent.notices_of("k").is_empty()).then_some(())
            });
        } else {
            agent.wait_notice("k");
            assert_eq!(host.calls_of("k"), 1, "sent again after its window");
        }
        for repeat in host.received().iter().filter(|call| call.id() == "k").skip(1) {
            assert!(
                repeat.at - first_call_at < Duration::from_millis(1050),
                "repeated {:?} after the first call",
                repeat.at - first_call_at
            );
        }
        drop(relay);
    }
}
