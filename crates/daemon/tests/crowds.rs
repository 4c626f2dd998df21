//! Crowds of clients that write slowly, stop in the middle of a request, or send heads of very many fields: the
//! process stays within its memory, and regular clients are served.
use mulleinslip_testkit::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

const MEMORY_MB: u64 = 48;
const SOCKETS: usize = 512;
/// More clients than the relay has places for.
const CLIENTS: usize = 460;
/// Time that a client waits for its answer.
const CLIENT_WAIT: Duration = Duration::from_millis(400);
const CROWD_TIME: Duration = Duration::from_secs(2);
/// Number of listed hosts besides those that are called.
const HOSTS: u64 = 3000;

/// Hands in messages one after the other until `stop` is set, each on a new connection or all on kept ones.
/// Returns how long each took to be answered; `None`: no answer within the time that clients wait.
fn regular_client(relay: &Relay, keep: bool, stop: &AtomicBool) -> Vec<Option<Duration>> {
    let (mut kept, mut times) = (None, Vec::new());
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        let stream = kept
            .take()
            .filter(|_| keep)
            .or_else(|| TcpStream::connect_timeout(&relay.address, CLIENT_WAIT).ok());
        let answer = stream.and_then(|mut stream| {
            let request = format!(
                "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: r-{keep}-{}\r\nX-Caller: acme\r\nX-Budget: 300m\r\n\
                 X-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n",
                times.len()
            );
            stream.write_all(request.as_bytes()).ok()?;
            stream.set_read_timeout(Some(CLIENT_WAIT.checked_sub(began.elapsed())?)).ok()?;
            let mut answer = [0; 1024];
            let count = stream.read(&mut answer).ok().filter(|count| *count > 0)?;
            let closes = String::from_utf8_lossy(&answer[..count]).to_lowercase().contains("connection: close");
            Some(Some(stream).filter(|_| !closes))
        });
        times.push(answer.is_some().then(|| began.elapsed()));
        kept = answer.flatten();
        std::thread::sleep(Duration::from_millis(10));
    }
    times
}

/// Describes the times of a regular client.
fn summary(times: &[Option<Duration>]) -> String {
    let answered: Vec<Duration> = times.iter().flatten().copied().collect();
    format!("{} of {} answered, in {:?} at most", answered.len(), times.len(), answered.iter().max())
}

fn config_of(agent: &Agent) -> Value {
    let mut config = config(agent.address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3});
    config["settings"]["Limits"]["MaxOpen"] = json!(300);
    config
}

/// Guards against a process that passes its memory limit and is killed: hundreds of clients that write slowly, stop in
/// a large request or send heads of very many fields, beside thousands of hosts and as many large messages as the
/// folder holds.
#[test]
fn crowd_of_slow_clients_does_not_exceed_the_memory_limit() {
    let agent = Agent::new(&[]);
    agent.hold(1);
    agent
        .list_all((0..HOSTS).map(|n| (format!("s-{n:08x}"), 100 + n, SocketAddr::from(([127, 0, 0, 1], 9)))));
    for request in slow_requests() {
        let relay = Relay::with(PROGRAM, config_of(&agent), &agent);
        relay.submit_accepted_once_listed("safe", "listed", 1);
        // As many held messages as the folder takes.
        let mut held = 0;
        while held < 290 && relay.submit("safe", &format!("held-{held}"), 1).status() == 202 {
            held += 1;
        }
        let large = (0..60).take_while(|n| {
            relay.client().submit("safe", &format!("large-{n}"), 1, 5000, &[1; MAX_BODY_BYTES]).status()
                == 202
        });
        let large = large.count();
        let (stop, address) = (AtomicBool::new(false), Mutex::new(relay.address));
        let times = std::thread::scope(|scope| {
            scope.spawn(|| play_crowd(&address, CLIENTS, std::slice::from_ref(&request), &stop));
            let regular = [false, true].map(|keep| {
                let (relay, stop) = (&relay, &stop);
                scope.spawn(move || regular_client(relay, keep, stop))
            });
            std::thread::sleep(CROWD_TIME);
            stop.store(true, Ordering::SeqCst);
            regular.map(|client| client.join().unwrap())
        });
        eprintln!("{}: new connections: {}; kept: {}", request.name, summary(&times[0]), summary(&times[1]));
        let peak = relay.peak_memory_bytes();
        eprintln!("{}: peak {} MB, {held} and {large} messages held", request.name, peak / 1_000_000);
        assert!(peak < MEMORY_MB * 1_000_000, "{}: {peak} bytes", request.name);
        let began = Instant::now();
        until("an answer", || (relay.submit("safe", "after", 1).status() == 202).then_some(()));
        assert!(began.elapsed() < Duration::from_secs(3));
    }
}
