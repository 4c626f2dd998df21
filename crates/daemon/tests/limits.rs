//! The program at its limits: descriptors, the folder, a short window for repeats.
use mulleinslip_testkit::*;
use serde_json::json;
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

fn descriptors(relay: &Relay) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", relay.child.id())).unwrap().count()
}

/// Idle clients take all the places that there are while discovery is down and silent: what is kept in reserve lets notices out,
/// the journal be compacted, and the next call for the list succeed at the return.
#[test]
fn idle_clients_that_fill_the_descriptors_hold_up_neither_notices_nor_the_journal_nor_discovery() {
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
    let filled = Instant::now();
    let mut idle: Vec<Client> = Vec::new();
    // Whoever is let go for having been idle comes again.
    while filled.elapsed() < Duration::from_millis(3500) {
        (0..4).for_each(|_| idle.push(relay.client()));
        assert!(descriptors(&relay) <= 80, "{} descriptors", descriptors(&relay));
        std::thread::sleep(Duration::from_millis(20));
    }
    let id = "short";
    until("a client among them", || {
        let heard = std::panic::catch_unwind(|| relay.client().submit("safe", id, 2, 300, &[1; 60_000]));
        heard.ok().filter(|a| a.status() == 202)
    });
    assert_eq!(agent.wait_notice(id)["status"], "deferred", "given up, and told");
    agent.list("a", 1, old.address, "leaving");
    agent.list("b", 1, new.address, "active");
    agent.set_down(false);
    let back = Instant::now();
    let calls = agent.calls();
    until("a call for the list", || (agent.calls() > calls).then_some(()));
    assert!(back.elapsed() < Duration::from_secs(6), "{:?} after the return", back.elapsed());
    relay.submit_accepted_once_listed("safe", "last", 1);
    until("its delivery", || (new.delivered("last") || old.delivered("last")).then_some(()));
    relay.take("safe", "later", 1);
    until("its delivery by the new list", || new.delivered("later").then_some(()));
    drop(idle);
}

/// With as much in the folder as it may hold, and a discovery that says nothing, a process is ready in time: 6 s are the least
/// that is allowed.
#[test]
fn a_process_with_a_full_folder_and_a_silent_discovery_is_ready_in_time() {
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = json!(5000);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "first", 1);
    let (mut client, mut taken) = (relay.client(), 0);
    // Until the folder takes no more; bodies of 4 kB.
    for n in 0..4000 {
        let answer = client.submit("unsafe", &format!("m{n}"), 1, 60_000, &[7; 4096]);
        if answer.status() != 202 {
            break;
        }
        taken += 1;
        if answer.header("connection") == "close" {
            client = relay.client();
        }
    }
    assert!(taken > 200, "{taken} taken on");
    let size = std::fs::metadata(relay.journal()).map_or(0, |m| m.len());
    agent.set_down(true);
    agent.silence();
    let began = Instant::now();
    let relay = relay.killed(|_| {});
    let mut probe = relay.client();
    probe.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(probe.answer().map(|a| a.status()), Some(200));
    assert!(began.elapsed() < Duration::from_secs(6), "{:?} with {taken} of {size} bytes", began.elapsed());
    assert_eq!(relay.figure("edge_router_in_progress") as usize, taken + 1, "and it knows what it owes");
}

/// A window of one second: what may have run in the process before is not sent again once that is over, however soon the restart.
#[test]
fn a_window_of_a_second_is_over_when_a_restart_comes_after_it() {
    for (pause_ms, repeats) in [(1200, false), (0, true)] {
        let host = Host::first(vec![Reply::Silent]);
        let agent = Agent::new(&[("a", 1, &host)]);
        let mut config = config(agent.address);
        for class in config["settings"]["Profiles"].as_array_mut().unwrap() {
            class["DedupWindowMs"] = json!(1000.0);
        }
        let relay = Relay::with(PROGRAM, config, &agent);
        relay.take("keyed", "k", 1);
        let first = host.wait_calls(1)[0].at;
        let relay = relay.killed(|_| std::thread::sleep(Duration::from_millis(pause_ms)));
        if repeats {
            until("a repeat or an end", || {
                (host.calls_of("k") > 1 || !agent.notices_of("k").is_empty()).then_some(())
            });
        } else {
            agent.wait_notice("k");
            assert_eq!(host.calls_of("k"), 1, "its window was over");
        }
        for heard in host.received().iter().filter(|h| h.id() == "k").skip(1) {
            assert!(heard.at - first < Duration::from_millis(1050), "{:?} after the first", heard.at - first);
        }
        drop(relay);
    }
}
