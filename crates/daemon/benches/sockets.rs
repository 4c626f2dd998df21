//! Compares the program on loopback sockets with a bare forwarder: CPU per message of both, with none, 2,000
//! and 20,000 messages queued for slow partners. `cargo bench --bench sockets` prints a table and takes about
//! a minute.
//!
//! The forwarder is hyper with one request in and one out: it has no journal, decisions, ids or queue.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

use mulleinslip_testkit::{config, program, until, Agent, Program, Relay};

const PROGRAM: Program = program!();

/// Number of client connections, each with one request at a time.
const CLIENTS: usize = 16;
const MESSAGES: usize = 16_000;
const ROUNDS: usize = 15;
/// Number of destinations without an active host, for which messages are queued.
const SLOW_DESTINATIONS: u64 = 50;

/// Starts a host that answers each request with 200 at once; returns its address and the count of its
/// answers.
fn start_host() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, served) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let count = served.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let count = count.clone();
            std::thread::spawn(move || answer(stream, &count));
        }
    });
    (address, served)
}

/// Answers all requests of one connection and counts them.
fn answer(mut stream: TcpStream, count: &AtomicUsize) {
    let mut unread: Vec<u8> = Vec::new();
    while read_one(&mut stream, &mut unread).is_some() {
        count.fetch_add(1, Ordering::SeqCst);
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Reads one request or answer; returns the second word of its first line as a number, which is an answer's
/// status. Bytes behind it stay in `unread`.
fn read_one(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<u16> {
    loop {
        if let Some(head) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&unread[..head]).to_ascii_lowercase();
            let length =
                text.split("content-length: ").nth(1).and_then(|t| t.split('\r').next()?.parse().ok());
            let end = head + 4 + length.unwrap_or(0);
            if unread.len() >= end {
                unread.drain(..end);
                return Some(text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0));
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(n) if n > 0 => unread.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// Submits `count` messages over all clients, each to the destination that `dest` gives for its number.
fn submit(to: SocketAddr, name: &str, count: usize, dest: impl Fn(usize) -> u64 + Copy + Send + 'static) {
    let clients = (0..CLIENTS).map(|client| {
        let name = name.to_string();
        std::thread::spawn(move || {
            let mut stream = TcpStream::connect(to).unwrap();
            stream.set_nodelay(true).unwrap();
            let mut unread = Vec::new();
            for n in (client..count).step_by(CLIENTS) {
                let request = format!(
                    "POST /safe HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {name}-{n}\r\nX-Caller: acme\r\n\
                     X-Budget: 900000m\r\nContent-Length: 200\r\nX-Envelope: dest={}\r\n\r\n{}",
                    dest(n),
                    "x".repeat(200)
                );
                stream.write_all(request.as_bytes()).unwrap();
                let status = read_one(&mut stream, &mut unread);
                assert_eq!(status, Some(202), "message {name}-{n}");
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
}

/// Returns the CPU time that a process has used, in microseconds, to a hundredth of a second.
fn cpu_us(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let after = text.rsplit(')').next().unwrap();
    let ticks: u64 = after.split(' ').skip(12).take(2).map(|x| x.parse::<u64>().unwrap()).sum();
    ticks as f64 * 10_000.0
}

/// Returns CPU microseconds per message and messages per second.
fn measure(process: u32, to: SocketAddr, served: &AtomicUsize, name: &str) -> (f64, f64) {
    let (before, cpu, start) = (served.load(Ordering::SeqCst), cpu_us(process), Instant::now());
    submit(to, name, MESSAGES, |_| 0);
    until("all deliveries", || (served.load(Ordering::SeqCst) >= before + MESSAGES).then_some(()));
    let wall = start.elapsed().as_secs_f64();
    ((cpu_us(process) - cpu) / MESSAGES as f64, MESSAGES as f64 / wall)
}

/// Runs the forwarder: each request is sent on to `host`, and answered with 202 after the host's answer.
async fn forward(host: SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    println!("{}", listener.local_addr().unwrap());
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        tokio::task::spawn_local(async move {
            let out = tokio::net::TcpStream::connect(host).await.unwrap();
            out.set_nodelay(true).unwrap();
            let (sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(out)).await.unwrap();
            tokio::task::spawn_local(conn);
            let sender = std::rc::Rc::new(tokio::sync::Mutex::new(sender));
            let service = service_fn(move |request: Request<Incoming>| {
                let sender = sender.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await?.to_bytes();
                    let mut out = Request::post("/inbox");
                    for name in ["X-Call-Id", "X-Budget", "Idempotency-Key"] {
                        if let Some(value) = head.headers.get(name) {
                            out = out.header(name, value);
                        }
                    }
                    let out = out.body(Full::new(body)).unwrap();
                    let answer = sender.lock().await.send_request(out).await?;
                    answer.into_body().collect().await?;
                    let mut accepted = Response::new(Full::new(Bytes::new()));
                    *accepted.status_mut() = StatusCode::ACCEPTED;
                    Ok::<_, hyper::Error>(accepted)
                }
            });
            let _client_gone = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// The forwarder's process, which is killed on drop.
struct Forwarder(Child);

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ended_already = self.0.kill();
        let _reaped = self.0.wait();
    }
}

/// Starts the forwarder as a process of its own; returns it with its address.
fn start_forwarder(host: SocketAddr) -> (Forwarder, SocketAddr) {
    let this = std::env::current_exe().unwrap();
    let mut child =
        Command::new(this).env("FORWARD_TO", host.to_string()).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = Vec::new();
    let mut out = child.stdout.take().unwrap();
    let mut byte = [0];
    while out.read(&mut byte).unwrap() == 1 && byte[0] != b'\n' {
        line.push(byte[0]);
    }
    (Forwarder(child), String::from_utf8(line).unwrap().parse().unwrap())
}

/// Starts a relay with `queued` messages for destinations without an active host.
fn start_relay(host: SocketAddr, queued: usize) -> Relay {
    let agent = Agent::new(&[]);
    agent.list("h0", 0, host, "active");
    (1..=SLOW_DESTINATIONS).for_each(|dest| agent.hold(dest));
    let mut config = config(agent.address);
    let settings = &mut config["settings"];
    settings["Domain"]["Slots"] = json!(64);
    settings["Limits"]["MaxOpen"] = json!(60_000);
    settings["Orgs"][0]["QuotaRps"] = json!(100_000.0);
    for class in settings["Profiles"].as_array_mut().unwrap() {
        class["DeadlineMs"] = json!(900_000.0);
    }
    config["limits"] = json!({"cores": 1.0, "memory_mb": 512, "sockets": 1024, "disk_mb": 256});
    let relay = Relay::with(PROGRAM, config, &agent);
    until("the list", || (relay.submit("safe", "first", 0).status() == 202).then_some(()));
    submit(relay.address, "held", queued, |n| 1 + n as u64 % SLOW_DESTINATIONS);
    relay
}

/// Requests that bad clients send at full speed: a name, the expected status, and the bytes.
const BAD_REQUESTS: [(&str, u16, &str); 5] = [
    ("no such class", 404, "POST /none HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
    ("no id", 400, "POST /safe HTTP/1.1\r\nHost: x\r\nX-Caller: acme\r\nContent-Length: 0\r\n\r\n"),
    (
        "two lengths",
        400,
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nTransfer-Encoding: chunked\r\n\
         Content-Length: 0\r\n\r\n0\r\n\r\n",
    ),
    (
        "unknown destination",
        503,
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget: 900m\r\n\
         Content-Length: 0\r\nX-Envelope: dest=999999\r\n\r\n",
    ),
    // A message that was accepted before and is queued, submitted again and again.
    (
        "handed in again",
        202,
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: again-0\r\nX-Caller: acme\r\nX-Budget: 900000m\r\n\
         Content-Length: 0\r\nX-Envelope: dest=1\r\n\r\n",
    ),
];
const FLOOD_REQUESTS: usize = 4000;

/// Sends one bad request from all clients, as fast as answers come; returns CPU microseconds per request.
fn flood(relay: &Relay, status: u16, request: &'static str) -> f64 {
    let (cpu, to) = (cpu_us(relay.child.id()), relay.address);
    let client = move || {
        let mut stream: Option<TcpStream> = None;
        let mut unread = Vec::new();
        for _ in 0..FLOOD_REQUESTS / CLIENTS {
            let open = stream.get_or_insert_with(|| TcpStream::connect(to).unwrap());
            open.write_all(request.as_bytes()).unwrap();
            assert_eq!(read_one(open, &mut unread), Some(status), "{request}");
            // The relay closes the connection after a malformed request.
            if (400..500).contains(&status) {
                (stream, unread) = (None, Vec::new());
            }
        }
    };
    let clients: Vec<_> = (0..CLIENTS).map(|_| std::thread::spawn(client)).collect();
    clients.into_iter().for_each(|c| c.join().unwrap());
    (cpu_us(relay.child.id()) - cpu) / FLOOD_REQUESTS as f64
}

/// Prints the CPU per bad request of each kind, for each relay.
fn measure_bad_clients(relays: &[Relay], sizes: &[usize]) {
    println!("\nbad clients, CPU a request in us, medians of {ROUNDS} rounds");
    println!("{:<24} {}", "held", sizes.iter().map(|s| format!("{s:>10}")).collect::<String>());
    relays.iter().for_each(|r| submit(r.address, "again", 1, |_| 1));
    for (name, status, request) in BAD_REQUESTS {
        let median_cpu = |r: &Relay| median((0..ROUNDS).map(|_| flood(r, status, request)).collect());
        println!(
            "{name:<24} {}",
            relays.iter().map(|r| format!("{:>10.1}", median_cpu(r))).collect::<String>()
        );
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    if let Ok(host) = std::env::var("FORWARD_TO") {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let local = tokio::task::LocalSet::new();
        return local.block_on(&runtime, forward(host.parse().unwrap()));
    }
    // `cargo test --benches` only checks that it starts.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let (host, served) = start_host();
    let (forwarder, forwarder_address) = start_forwarder(host);
    let sizes = [0, 2000, 20_000];
    let relays: Vec<Relay> = sizes.iter().map(|queued| start_relay(host, *queued)).collect();
    // CPU per message, messages per second, and the ratio of the first to that of the forwarder measured just
    // before, as the speed of a machine drifts.
    let mut rows: Vec<Vec<[f64; 3]>> = vec![Vec::new(); 1 + sizes.len()];
    for round in 0..=ROUNDS {
        for (index, (relay, queued)) in relays.iter().zip(sizes).enumerate() {
            let (forwarder_cpu, forwarder_rate) =
                measure(forwarder.0.id(), forwarder_address, &served, &format!("b{queued}-{round}"));
            let (cpu, rate) =
                measure(relay.child.id(), relay.address, &served, &format!("r{queued}-{round}"));
            // The first round is a warm-up.
            if round > 0 {
                rows[0].push([forwarder_cpu, forwarder_rate, 1.0]);
                rows[1 + index].push([cpu, rate, cpu / forwarder_cpu]);
            }
        }
    }
    let median_of = |row: usize, column: usize| median(rows[row].iter().map(|m| m[column]).collect());
    println!("{MESSAGES} messages a round, medians of {ROUNDS} rounds");
    println!(
        "{:<24} {:>14} {:>12} {:>14} {:>14}",
        "", "CPU a message", "messages/s", "to forwarder", "to none held"
    );
    for (row, name) in
        ["forwarder", "relay, 0 held", "relay, 2000 held", "relay, 20000 held"].iter().enumerate()
    {
        let (cpu, rate, ratio) = (median_of(row, 0), median_of(row, 1), median_of(row, 2));
        println!("{name:<24} {cpu:>11.1} us {rate:>12.0} {ratio:>14.2} {:>14.2}", ratio / median_of(1, 2));
    }
    measure_bad_clients(&relays, &sizes);
}
