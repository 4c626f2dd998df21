//! The process at the least memory that a relay is given, with as many descriptors as it is given at most: crowds
//! of slow clients, processes that are killed and replaced, a full folder. What counts is the memory of all
//! processes of the relay together, and of the files in its folder.
use mulleinslip_testkit::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;
const PROGRAM: Program = mulleinslip_testkit::program!();

/// The least memory that a relay is given.
const MEMORY_MB: u64 = 32;
/// The largest number of descriptors that it is given.
const SOCKETS: usize = 1024;
/// More clients than the relay has places for.
const CLIENTS: usize = 900;
const CROWD_TIME: Duration = Duration::from_secs(2);
/// Time between two kills: a process has to be ready, and the crowd to come back.
const KILL_INTERVAL: Duration = Duration::from_millis(1200);
/// Number of listed hosts besides the one that is called.
const HOSTS: u64 = 200;

fn config_of(agent: &Agent) -> Value {
    let mut config = config(agent.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3});
    config["settings"]["Limits"]["MaxOpen"] = json!(300);
    config
}

fn agent_with_hosts() -> Agent {
    let agent = Agent::new(&[]);
    agent.hold(1);
    agent
        .list_all((0..HOSTS).map(|n| (format!("s-{n:08x}"), 100 + n, SocketAddr::from(([127, 0, 0, 1], 9)))));
    agent
}

/// Hands in as many messages as the folder takes, small and large ones.
fn fill_folder(relay: &Relay) {
    relay.submit_accepted_once_listed("safe", "listed", 1);
    let held = (0..200).take_while(|n| relay.submit("safe", &format!("held-{n}"), 1).status() == 202).count();
    let large = (0..60).take_while(|n| {
        relay.client().submit("safe", &format!("large-{n}"), 1, 5000, &[1; MAX_BODY_BYTES]).status() == 202
    });
    eprintln!("{held} small and {} large messages held", large.count());
}

/// Asserts that the relay's processes and files stayed within its memory.
fn assert_within_limit(what: &str, watch: &MemoryWatch) {
    let peak = watch.peak();
    eprintln!("{what}: peak {:.1} MB: {peak:?}", peak.total() as f64 / 1e6);
    assert!(peak.total() < MEMORY_MB * 1_000_000, "{what}: {peak:?}");
}

/// Guards against a process that passes the least memory that a relay is given, and is killed, as hundreds of
/// clients write slowly, stop in a large request or send heads of very many fields.
#[test]
fn crowd_of_slow_clients_does_not_exceed_the_least_memory() {
    let agent = agent_with_hosts();
    let play = |name: &str, requests: &[SlowRequest]| {
        let relay = Relay::with(PROGRAM, config_of(&agent), &agent);
        let watch = MemoryWatch::new(&relay.folder.join("state"));
        watch.add(relay.child.id());
        fill_folder(&relay);
        let (stop, address) = (AtomicBool::new(false), Mutex::new(relay.address));
        std::thread::scope(|scope| {
            scope.spawn(|| play_crowd(&address, CLIENTS, requests, &stop));
            std::thread::sleep(CROWD_TIME);
            stop.store(true, Ordering::SeqCst);
        });
        assert_within_limit(name, &watch);
    };
    let requests = slow_requests();
    play("all kinds", &requests);
    for request in &requests {
        play(request.name, std::slice::from_ref(request));
    }
}

/// Guards against the same where the process is killed again and again, and goes on with a full folder while the
/// crowd comes back at once.
#[test]
fn crowd_beside_kills_in_series_does_not_exceed_the_least_memory() {
    let agent = agent_with_hosts();
    let mut relay = Relay::with(PROGRAM, config_of(&agent), &agent);
    let watch = MemoryWatch::new(&relay.folder.join("state"));
    watch.add(relay.child.id());
    fill_folder(&relay);
    let (stop, address) = (AtomicBool::new(false), Mutex::new(relay.address));
    let requests = slow_requests();
    std::thread::scope(|scope| {
        scope.spawn(|| play_crowd(&address, CLIENTS, &requests, &stop));
        for _ in 0..4 {
            std::thread::sleep(KILL_INTERVAL);
            assert!(relay.child.try_wait().unwrap().is_none(), "the process ended by itself");
            relay = relay.killed(|_| ());
            watch.add(relay.child.id());
            *address.lock().unwrap() = relay.address;
        }
        std::thread::sleep(KILL_INTERVAL);
        stop.store(true, Ordering::SeqCst);
    });
    assert_within_limit("kills in series", &watch);
}

/// Guards against two processes that together pass the memory as one takes over from the other beside a crowd.
#[test]
fn takeover_beside_a_crowd_does_not_exceed_the_least_memory() {
    let agent = agent_with_hosts();
    let mut relay = Relay::with(PROGRAM, config_of(&agent), &agent);
    let watch = MemoryWatch::new(&relay.folder.join("state"));
    watch.add(relay.child.id());
    fill_folder(&relay);
    let (stop, address) = (AtomicBool::new(false), Mutex::new(relay.address));
    let requests = slow_requests();
    std::thread::scope(|scope| {
        scope.spawn(|| play_crowd(&address, CLIENTS, &requests, &stop));
        std::thread::sleep(CROWD_TIME);
        let next = relay.beside();
        watch.add(next.child.id());
        std::thread::sleep(CROWD_TIME);
        stop.store(true, Ordering::SeqCst);
        next
    });
    assert_within_limit("takeover", &watch);
}
