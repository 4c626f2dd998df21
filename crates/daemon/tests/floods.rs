//! One client that sends small or unsound requests at full speed, also under ever new names: other clients are
//! answered in time, and memory does not grow.
use mulleinslip_testkit::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

const MEMORY_MB: u64 = 48;
const FLOOD_TIME: Duration = Duration::from_secs(1);
/// Time that a client waits for its answer.
const CLIENT_WAIT: Duration = Duration::from_millis(400);
/// Number of requests that are built ahead for each write.
const REQUESTS_PER_WRITE: usize = 200;

/// Makes the requests of a flood, by their number.
type Flood = fn(usize) -> String;

fn message(class: &str, id: &str, caller: &str, dest: usize) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Caller: {caller}\r\nX-Budget: 300m\r\n\
         Idempotency-Key: key-{id}\r\nX-Envelope: dest={dest}\r\nContent-Length: 0\r\n\r\n"
    )
}

const FLOODS: [(&str, Flood); 13] = [
    ("health checks", |_| "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n".into()),
    ("messages under new ids", |n| message("safe", &format!("f{n}"), "acme", 1)),
    ("unsafe messages under new ids", |n| message("unsafe", &format!("f{n}"), "acme", 1)),
    ("long new ids", |n| message("unsafe", &format!("{n:0>250}"), "acme", 1)),
    ("one id", |_| message("unsafe", "same", "acme", 1)),
    ("new keys", |n| message(&format!("ordered/{n:0>200}"), &format!("f{n}"), "acme", 1)),
    ("new destinations", |n| message("safe", &format!("f{n}"), "acme", 1000 + n)),
    ("new tenants", |n| message("safe", &format!("f{n}"), &format!("tenant-{n}"), 1)),
    ("new classes", |n| message(&format!("class-{n}"), &format!("f{n}"), "acme", 1)),
    ("chunked", |n| {
        let message = message("safe", &format!("f{n}"), "acme", 1);
        message.replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n")
    }),
    ("noise", |n| format!("{n} \u{1}\u{2} noise\r\n\r\n")),
    ("empty lines", |_| "\r\n".into()),
    ("heads without an end", |n| format!("GET /{n} HTTP/1.1\r\n{}", "a: b\r\n".repeat(90))),
];

/// Sends requests of a flood at full speed, `piece_bytes` at a time, and reads what comes, until `stop` is set.
/// Connects again once the relay has closed the connection.
fn flood(relay: &Relay, flood: Flood, piece_bytes: usize, stop: &AtomicBool) -> usize {
    let (mut number, mut connections) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&relay.address, CLIENT_WAIT) else { continue };
        connections += 1;
        stream.set_nodelay(true).unwrap();
        stream.set_nonblocking(true).unwrap();
        let (mut pending, mut written, mut open) = (Vec::new(), 0, true);
        while open && !stop.load(Ordering::SeqCst) {
            if written == pending.len() {
                (pending, written) =
                    ((number..number + REQUESTS_PER_WRITE).map(flood).collect::<String>().into(), 0);
                number += REQUESTS_PER_WRITE;
            }
            let piece = &pending[written..];
            let piece = &piece[..piece.len().min(piece_bytes)];
            match stream.write(piece) {
                Ok(count) => written += count,
                Err(e) => open &= e.kind() == ErrorKind::WouldBlock,
            }
            match stream.read(&mut [0; 64 * 1024]) {
                Ok(count) => open &= count > 0,
                Err(e) => open &= e.kind() == ErrorKind::WouldBlock,
            }
        }
    }
    connections
}

/// Hands in messages for another destination one after the other until `stop` is set. Returns the statuses and
/// how long each answer took.
fn regular_client(relay: &Relay, keep: bool, stop: &AtomicBool) -> Vec<(u16, Duration)> {
    let (mut answers, mut client) = (Vec::new(), relay.client());
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        if !keep {
            client = relay.client();
        }
        let answer = client.submit("safe", &format!("regular-{keep}-{}", answers.len()), 2, 4000, b"body");
        if answer.header("connection") == "close" {
            client = relay.client();
        }
        answers.push((answer.status(), began.elapsed()));
        std::thread::sleep(Duration::from_millis(10));
    }
    answers
}

fn play(name: &str, make: Flood, piece_bytes: usize) {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host), ("b", 2, &host)]);
    let mut config = config(agent.address);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.submit_accepted_once_listed("safe", "listed", 2);
    let stop = AtomicBool::new(false);
    let (answers, connections) = std::thread::scope(|scope| {
        let (relay, stop) = (&relay, &stop);
        let flooding = scope.spawn(move || flood(relay, make, piece_bytes, stop));
        let regular = [false, true].map(|keep| scope.spawn(move || regular_client(relay, keep, stop)));
        std::thread::sleep(FLOOD_TIME);
        stop.store(true, Ordering::SeqCst);
        (regular.map(|client| client.join().unwrap()).concat(), flooding.join().unwrap())
    });
    let slowest = answers.iter().map(|answer| answer.1).max().unwrap();
    let accepted = answers.iter().filter(|answer| answer.0 == 202).count();
    let peak = relay.peak_memory_bytes();
    eprintln!(
        "{name}, {piece_bytes} bytes: {connections} connections; others: {accepted} of {} accepted, {slowest:?} at most; \
         peak {} kB",
        answers.len(),
        peak / 1000
    );
    assert!(slowest < CLIENT_WAIT, "{name}: another client was answered after {slowest:?}");
    assert!(peak < MEMORY_MB * 1_000_000, "{name}: {peak} bytes");
}

/// Guards against answers to others that come late or never, and against memory that grows without end.
#[test]
fn flood_of_one_client_delays_no_other_and_takes_no_memory() {
    for (name, make) in FLOODS {
        play(name, make, usize::MAX);
    }
    play("messages", FLOODS[1].1, 1);
    play("heads without an end", FLOODS[12].1, 1);
    play("a long head byte by byte", |_| format!("GET / HTTP/1.1\r\na: {}", "b".repeat(15_000)), 7);
}
