//! The process at the least memory that a relay is given, with as many descriptors as it is given at most: crowds
//! of slow clients, processes that are killed and replaced, a full folder. What counts is the memory of all
//! processes of the relay together, and of the files in its folder.
use mulleinslip_testkit::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
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
/// Time that a client waits for an answer.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
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

/// Starts a relay whose memory is watched, and fills its folder.
fn start_full(config: Value, agent: &Agent) -> (Relay, MemoryWatch) {
    let relay = Relay::with(PROGRAM, config, agent);
    let watch = MemoryWatch::new(&relay.folder.join("state"));
    watch.add(relay.child.id());
    fill_folder(&relay);
    (relay, watch)
}

/// Hands in a small message on a new connection, and waits for an answer that may not come.
fn submit_unheard(address: SocketAddr, id: &str, dest: u64) {
    let request = format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 4000m\r\n\
         X-Envelope: dest={dest}\r\nContent-Length: 0\r\n\r\n"
    );
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        let _refused = stream.write_all(request.as_bytes()).and_then(|()| stream.read(&mut [0; 64]));
    }
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
        let (relay, watch) = start_full(config_of(&agent), &agent);
        let (stop, address) = (AtomicBool::new(false), Mutex::new(relay.address));
        std::thread::scope(|scope| {
            scope.spawn(|| play_crowd(&address, CLIENTS, requests, &stop));
            std::thread::sleep(CROWD_TIME);
            stop.store(true, Ordering::SeqCst);
        });
        assert_within_limit(name, &watch);
        if name == "bodies one byte short" {
            assert!(relay.logged("no room for large requests: "));
            assert!(relay.figure("edge_router_client_closed_total{reason=\"refused_incomplete\"}") > 0);
        }
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
    let (mut relay, watch) = start_full(config_of(&agent), &agent);
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
    let (mut relay, watch) = start_full(config_of(&agent), &agent);
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

/// Guards against held messages that take more than the memory where the folder has room for them: those beyond it
/// are refused, and what was accepted stays within it over a restart.
#[test]
fn messages_held_do_not_exceed_the_least_memory_in_a_large_folder() {
    let agent = agent_with_hosts();
    for (body_bytes, count) in [(MAX_BODY_BYTES, 700), (4000, 5000), (10, 12_000)] {
        let mut config = config_of(&agent);
        config["limits"]["disk_mb"] = json!(256);
        config["settings"]["Limits"]["MaxOpen"] = json!(count);
        let mut relay = Relay::with(PROGRAM, config, &agent);
        let watch = MemoryWatch::new(Path::new("no files: the folder is on a disk"));
        watch.add(relay.child.id());
        relay.submit_accepted_once_listed("unsafe", "listed", 1);
        let (mut client, body) = (relay.client(), vec![1; body_bytes]);
        let held = (0..count)
            .take_while(|n| client.submit("unsafe", &format!("held-{n}"), 1, 60_000, &body).status() == 202);
        eprintln!("{} messages of {body_bytes} bytes held", held.count());
        relay = relay.killed(|_| ());
        watch.add(relay.child.id());
        relay.submit_accepted_once_listed("safe", "after", 1);
        assert_within_limit(&format!("messages of {body_bytes} bytes"), &watch);
    }
}

/// Guards against connections to hosts that pass the memory: as many calls as there are slots, to hosts that begin a
/// long response head and stop, beside a crowd of clients.
#[test]
fn calls_to_hosts_beside_a_crowd_do_not_exceed_the_least_memory() {
    let long_head: &str =
        Box::leak(format!("HTTP/1.1 200 OK\r\n{}", "a: b\r\n".repeat(2500)).into_boxed_str());
    let host = Host::new(move |_, _| Reply::Raw(long_head));
    let silent = Host::new(|_, _| Reply::Silent);
    let agent = agent_with_hosts();
    agent.list("long-heads", 2, host.address, "active");
    agent.list("silent", 3, silent.address, "active");
    let mut config = config_of(&agent);
    config["settings"]["Domain"]["Slots"] = json!(600);
    config["settings"]["Limits"]["MaxOpen"] = json!(900);
    let (relay, watch) = start_full(config, &agent);
    let (stop, address) = (AtomicBool::new(false), Mutex::new(relay.address));
    let requests = slow_requests();
    std::thread::scope(|scope| {
        scope.spawn(|| play_crowd(&address, CLIENTS, &requests, &stop));
        for client in 0..4 {
            let (stop, address) = (&stop, relay.address);
            scope.spawn(move || {
                let ids = (0..).take_while(|_| !stop.load(Ordering::SeqCst));
                ids.for_each(|n| submit_unheard(address, &format!("c-{client}-{n}"), 2 + client % 2));
            });
        }
        std::thread::sleep(CROWD_TIME);
        stop.store(true, Ordering::SeqCst);
    });
    eprintln!("{} calls to silent hosts, {} to others", silent.received().len(), host.received().len());
    assert_within_limit("calls to hosts", &watch);
}
