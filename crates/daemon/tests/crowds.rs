//! Crowds of clients that write slowly, stop in the middle of a request, or send heads of very many fields: the
//! process stays within its memory, and regular clients are served.
use mulleinslip_testkit::*;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

const MEMORY_MB: u64 = 48;
const SOCKETS: usize = 512;
/// More clients than the relay has places for.
const CLIENTS: usize = 460;
/// Number of threads that play them: a connection may take long to come up.
const CROWD_THREADS: usize = 20;
/// Time that a client waits for its answer.
const CLIENT_WAIT: Duration = Duration::from_millis(400);
const CROWD_TIME: Duration = Duration::from_secs(2);
/// Number of listed hosts besides those that are called.
const HOSTS: u64 = 3000;
const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// What each client of a crowd sends, and how many bytes at a time; it then stops, and connects again once the
/// relay has closed its connection.
struct Crowd {
    name: &'static str,
    request: Vec<u8>,
    piece_bytes: usize,
}

/// Returns the head of a message without its end, of about this length.
fn head(fields_bytes: usize, content_length: usize) -> Vec<u8> {
    let mut head = format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Caller: acme\r\nX-Budget: 4000m\r\nX-Envelope: dest=1\r\n\
         Content-Length: {content_length}\r\n"
    );
    while head.len() + 8 < fields_bytes {
        head.push_str("a: b\r\n");
    }
    head.into_bytes()
}

fn crowds() -> Vec<Crowd> {
    let ended = |head: Vec<u8>| [head, b"\r\n".to_vec()].concat();
    let crowd = |name, request, piece_bytes| Crowd { name, request, piece_bytes };
    let short_body = |fields| [ended(head(fields, MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES - 1]].concat();
    let pipelined = [ended(head(0, MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES], short_body(0)].concat();
    vec![
        crowd("bodies one byte short", short_body(0), usize::MAX),
        crowd("bodies one byte short, slowly", short_body(0), 2000),
        crowd("bodies one byte short behind heads of 50 fields", short_body(500), usize::MAX),
        crowd(
            "half of a body",
            [ended(head(0, MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES / 2]].concat(),
            usize::MAX,
        ),
        crowd("heads of thousands of fields", head(MAX_HEAD_BYTES, 10), usize::MAX),
        crowd("heads of thousands of fields, slowly", head(MAX_HEAD_BYTES, 10), 100),
        crowd("heads byte by byte", head(400, 10), 1),
        crowd("a message, and all but a byte of the next one", pipelined, usize::MAX),
    ]
}

/// One client of a crowd.
struct Writer<'a> {
    address: SocketAddr,
    crowd: &'a Crowd,
    stream: Option<TcpStream>,
    written: usize,
}

impl Writer<'_> {
    /// Writes the next piece, and connects again if the relay has closed the connection.
    fn step(&mut self) {
        let Some(stream) = &mut self.stream else {
            self.stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok();
            self.stream.iter().for_each(|stream| stream.set_nonblocking(true).unwrap());
            self.written = 0;
            return;
        };
        let rest = &self.crowd.request[self.written..];
        let piece = &rest[..rest.len().min(self.crowd.piece_bytes)];
        let closed = match stream.write(piece) {
            Ok(count) => {
                self.written += count;
                false
            }
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        let ended = match stream.read(&mut [0; 1024]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        if closed || ended {
            self.stream = None;
        }
    }
}

/// Lets a part of the clients of a crowd write until `stop` is set.
fn play_crowd(address: SocketAddr, crowd: &Crowd, stop: &AtomicBool) {
    let writer = || Writer { address, crowd, stream: None, written: 0 };
    let mut writers: Vec<Writer> = (0..CLIENTS / CROWD_THREADS).map(|_| writer()).collect();
    while !stop.load(Ordering::SeqCst) {
        writers.iter_mut().for_each(Writer::step);
        std::thread::sleep(Duration::from_millis(2));
    }
}

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
    for crowd in crowds() {
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
        let stop = AtomicBool::new(false);
        let times = std::thread::scope(|scope| {
            for _ in 0..CROWD_THREADS {
                scope.spawn(|| play_crowd(relay.address, &crowd, &stop));
            }
            let regular = [false, true].map(|keep| {
                let (relay, stop) = (&relay, &stop);
                scope.spawn(move || regular_client(relay, keep, stop))
            });
            std::thread::sleep(CROWD_TIME);
            stop.store(true, Ordering::SeqCst);
            regular.map(|client| client.join().unwrap())
        });
        eprintln!("{}: new connections: {}; kept: {}", crowd.name, summary(&times[0]), summary(&times[1]));
        let peak = relay.peak_memory_bytes();
        eprintln!("{}: peak {} MB, {held} and {large} messages held", crowd.name, peak / 1_000_000);
        assert!(peak < MEMORY_MB * 1_000_000, "{}: {peak} bytes", crowd.name);
        let began = Instant::now();
        until("an answer", || (relay.submit("safe", "after", 1).status() == 202).then_some(()));
        assert!(began.elapsed() < Duration::from_secs(3));
    }
}
