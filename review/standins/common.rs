//! Stand-ins for clients, hosts and the platform, and the relay as processes. Standard library only, loopback
//! only, and the real clock. The relay is started with the `run` line of the deploy file.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{}: {e}", path.display())));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ignored = writeln!(file, "{at:>7} ms  {text}");
    }
}

/// Ends the run: the case couldn't be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    end_all_processes();
    std::process::exit(2);
}

static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills the processes that this program started and that still run.
pub fn end_all_processes() {
    if let Ok(mut processes) = PROCESSES.lock() {
        for mut child in processes.drain(..) {
            let _ended_already = child.kill();
            let _reaped = child.wait();
        }
    }
}

/// Ends the run with a verdict: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> ! {
    for text in broken.iter().take(20) {
        record.line(&format!("BROKEN: {text}"));
    }
    let text = match broken.len() {
        0 => "VERDICT: the rule held".to_string(),
        count => format!("VERDICT: the rule was broken, {count} times"),
    };
    record.line(&text);
    println!("{text}");
    if let Some(first) = broken.first() {
        println!("first: {first}");
    }
    end_all_processes();
    std::process::exit(i32::from(!broken.is_empty()));
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the run as not playable after this time, or if this program fails.
pub fn limit_time(limit: Duration) {
    let default = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default(panic);
        if std::thread::current().name() == Some("main") {
            cannot_run("the stand-in failed");
        }
    }));
    spawn(move || {
        sleep(limit);
        cannot_run("out of time");
    });
}

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }
}

/// Reads one message of HTTP/1.1 with a `Content-Length`; `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { line: line.trim_end().to_string(), headers, body })
}

/// Returns the value of a field with a string in a line of flat JSON.
fn json_string(line: &str, field: &str) -> String {
    let rest = line.split_once(&format!("\"{field}\"")).map_or("", |x| x.1);
    rest.split('"').nth(1).unwrap_or("").to_string()
}

/// A host of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u64,
    pub status: &'static str,
    pub since_ms: u64,
    /// The version of the list in which it changed last.
    pub changed: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, group: u64) -> Entry {
        Entry { name: name.into(), address, group, status: "active", since_ms: 0, changed: 0 }
    }
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"type\":\"k\",\"group\":{},\"status\":\"{}\",\
             \"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

#[derive(Default)]
struct AgentState {
    index: u64,
    entries: Vec<Entry>,
    /// When the relay was last sent the list with all changes up to a version.
    told: Vec<(u64, Instant)>,
    down: bool,
    silenced: u64,
    /// When each open watch began.
    open_watches: Vec<(u64, Instant)>,
    next_watch: u64,
    notices: Vec<(String, String, Instant)>,
}

/// The platform's agent: the list, watches on it, and notices.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<AgentState>>,
    record: Record,
}

impl Agent {
    pub fn start(record: &Record, index: u64, entries: Vec<Entry>) -> Agent {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("agent: {e}")));
        let state = AgentState { index, entries, ..AgentState::default() };
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let this = agent.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                spawn(move || this.serve(stream));
            }
        });
        agent
    }

    /// Adds or changes entries, in one change of the list.
    pub fn change(&self, changes: &[Entry]) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        for change in changes {
            state.entries.retain(|e| e.name != change.name);
            state.entries.push(Entry { changed: index, ..change.clone() });
            self.record.line(&format!(
                "discovery: version {index}: {} at {}, destination {}, is {}",
                change.name, change.address, change.group, change.status
            ));
        }
        index
    }

    /// While down, calls for the list get no answer; notices do.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.record.line(&format!("discovery: {}", if down { "down: the agent is silent" } else { "back" }));
    }

    /// Lets the open watches fall silent: their connections stay open, and nothing comes any more. Returns
    /// when the last of them began.
    pub fn silence_watches(&self) -> Option<Instant> {
        let mut state = self.state.lock().unwrap();
        state.silenced = state.next_watch;
        self.record.line(&format!("discovery: {} open watches fall silent", state.open_watches.len()));
        state.open_watches.iter().map(|watch| watch.1).max()
    }

    /// When the last of the open watches began.
    pub fn open_watch(&self) -> Option<Instant> {
        self.state.lock().unwrap().open_watches.iter().map(|watch| watch.1).max()
    }

    /// When an answer was written that holds all changes up to this version.
    pub fn told(&self, index: u64) -> Option<Instant> {
        self.state.lock().unwrap().told.iter().find(|told| told.0 >= index).map(|told| told.1)
    }

    pub fn notices_of(&self, id: &str) -> Vec<(String, Instant)> {
        let state = self.state.lock().unwrap();
        state.notices.iter().filter(|n| n.0 == id).map(|n| (n.1.clone(), n.2)).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _only_slower = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let answer = if request.line.starts_with("POST /v1/outcomes") {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let mut state = self.state.lock().unwrap();
                for line in text.lines() {
                    let (id, status) = (json_string(line, "id"), json_string(line, "status"));
                    self.record.line(&format!("notice: {id} {status}"));
                    state.notices.push((id, status, Instant::now()));
                }
                "HTTP/1.1 204 No Content\r\n\r\n".to_string()
            } else {
                match self.list(&request.line) {
                    Some(body) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
                    None => {
                        // Silent: the connection stays open until the relay closes it.
                        let _closed = reader.read(&mut [0; 1]);
                        return;
                    }
                }
            };
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call for the list: the whole of it, or, for a watch, what changed. `None` if it fell silent.
    fn list(&self, line: &str) -> Option<String> {
        let number = |name: &str| -> Option<u64> {
            let text = line.split_once(name)?.1;
            text.split(['&', ' ']).next()?.parse().ok()
        };
        let (after, wait) = (number("after="), ms(number("wait_ms=").unwrap_or(0).min(60_000)));
        let start = Instant::now();
        let watch = {
            let mut state = self.state.lock().unwrap();
            let watch = state.next_watch;
            state.next_watch += 1;
            if after.is_some() {
                state.open_watches.push((watch, start));
            }
            watch
        };
        loop {
            let mut state = self.state.lock().unwrap();
            if after.is_some() && watch < state.silenced {
                state.open_watches.retain(|open| open.0 != watch);
                return None;
            }
            let ready = after.is_none_or(|after| state.index > after) || start.elapsed() >= wait;
            if ready && !state.down {
                state.open_watches.retain(|open| open.0 != watch);
                let index = state.index;
                state.told.push((index, Instant::now()));
                let rows: Vec<String> = match after {
                    Some(after) => {
                        state.entries.iter().filter(|e| e.changed > after).map(Entry::json).collect()
                    }
                    None => state.entries.iter().filter(|e| e.status != "left").map(Entry::json).collect(),
                };
                return Some(list_json(index, after.is_none(), &rows));
            }
            drop(state);
            sleep(ms(2));
        }
    }
}

pub fn list_json(index: u64, snapshot: bool, rows: &[String]) -> String {
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", rows.join(","))
}

pub fn entries_json(index: u64, entries: &[Entry]) -> String {
    list_json(index, true, &entries.iter().map(Entry::json).collect::<Vec<_>>())
}

/// A call that a host received.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Instant,
    pub address: SocketAddr,
    pub id: String,
    /// Number of the connection.
    pub conn: u64,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Starts a host. `serve` is given each call and its connection, and writes the answer; it returns whether the
/// connection goes on.
pub fn host(serve: impl Fn(&Call, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("host: {e}")));
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            spawn(move || {
                let conn = CONNECTIONS.fetch_add(1, Ordering::SeqCst);
                let _only_slower = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_message(&mut reader) {
                    let call = Call {
                        at: Instant::now(),
                        address,
                        id: request.header("x-call-id").to_string(),
                        conn,
                    };
                    if !serve(&call, reader.get_mut()) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// An answer of a host that keeps no connections.
pub const OK_AND_CLOSE: &[u8] = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The relay's folder, addresses and configuration.
pub struct Place {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub listen: SocketAddr,
    run: String,
    record: Record,
    starts: AtomicU64,
    discovery: SocketAddr,
}

/// One process of the relay.
pub struct Relay {
    pub pid: u32,
    pub control: SocketAddr,
    pub name: String,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .unwrap_or_else(|e| cannot_run(&e.to_string()))
}

impl Place {
    /// `known` is a list as JSON; `discovery_mode` is `push` or `ask`; `balancers` the number of relays of the
    /// deployment.
    pub fn create(
        record: &Record, discovery: SocketAddr, known: &str, discovery_mode: &str, balancers: usize,
    ) -> Place {
        let root = std::env::var("ROOT").map(PathBuf::from).unwrap_or_else(|_| ".".into());
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(String::from));
        let run = run.unwrap_or_else(|| cannot_run("the deploy file has no run line"));
        let folder = PathBuf::from(
            std::env::var("CASE_TMP")
                .unwrap_or_else(|_| cannot_run("CASE_TMP, the temporary folder, is not set")),
        );
        let listen = free_address();
        let place =
            Place { folder, root, listen, run, record: record.clone(), starts: AtomicU64::new(0), discovery };
        std::fs::create_dir_all(place.folder.join("state")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let class = |name: &str, effect: &str, aim: f64, deadline: f64, window: f64, points: f64| {
            format!(
                "{{\"Name\":\"{name}\",\"Effect\":\"{effect}\",\"Group\":\"all\",\"AimMs\":{aim:.1},\
                 \"DeadlineMs\":{deadline:.1},\"DedupWindowMs\":{window:.1},\"Points\":{points:.1},\
                 \"LateValue\":0.3,\"Streaming\":false}}"
            )
        };
        let classes = [
            class("orders", "dedup", 2000.0, 24000.0, 6000.0, 1.0),
            class("stock", "retryable", 800.0, 6000.0, 5000.0, 3.0),
            class("bookings", "fragile", 2000.0, 6000.0, 0.0, 1.0),
        ];
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\"known\":{known},\
             \"settings\":{{\"Balancers\":{balancers},\"Clients\":{{\"MarksRetry\":true}},\
             \"Costs\":{{\"Handshake\":0.02,\"LateFail\":0.03,\"Probe\":0.01,\"Waste\":0.08}},\
             \"Discovery\":\"{discovery_mode}\",\
             \"Domain\":{{\"BatchByKind\":[1],\"Fades\":\"by_half\",\"OwnLimits\":[false],\"RefusalCost\":0.05,\
             \"RouteFee\":[0.0],\"Slots\":18}},\"Index\":0,\
             \"Limits\":{{\"Cancel\":true,\"ConnIdleMs\":5000.0,\"ConnectTimeoutMs\":1500.0,\"CpuUsPerS\":520000,\
             \"MaxAttempts\":12,\"MaxOpen\":140,\"MaxRetryAfterMs\":2000.0,\"MaxStreams\":1,\"Peers\":false,\
             \"Probing\":true,\"RetryAfter\":true,\"SecondCopies\":false}},\
             \"LoadReport\":{{\"Columns\":[\"x0\",\"x1\"],\"Source\":\"answers\"}},\"MachineTypes\":[\"k\"],\
             \"Orgs\":[{{\"Fraction\":1.0,\"Name\":\"acme\",\"QuotaRps\":40.0}}],\"OverShareWorth\":0.05,\
             \"Profiles\":[{}],\
             \"Safety\":{{\"AnswerSlackMs\":20.0,\"AskWithinMs\":10000.0,\"ColdShare\":0.22,\"DrainGraceMs\":250.0,\
             \"FallMs\":3000.0,\"FallMultiple\":2.0,\"WarmAfterMs\":14000.0}},\
             \"Stage\":0,\"TickMs\":5.0,\"Tiers\":[\"partners\"],\"Weights\":\"none\",\"Workload\":\"deliver\",\
             \"WorthBy\":\"request\",\"Zone\":0,\"Zones\":[\"z\"]}}}}",
            classes.join(",")
        );
        std::fs::write(place.folder.join("config.json"), config)
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        place
    }

    /// Starts a process of the relay, as the deploy file says, and returns at once.
    pub fn start(&self) -> Relay {
        let number = self.starts.fetch_add(1, Ordering::SeqCst) + 1;
        let control = free_address();
        let log = File::create(self.folder.join(format!("relay-{number}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("ROUTER_CONTROL", control.to_string())
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the relay does not start: {e}")));
        let (pid, name) = (child.id(), format!("process {number}"));
        PROCESSES.lock().unwrap().push(child);
        self.record.line(&format!("relay: {name} started"));
        Relay { pid, control, name }
    }

    /// Waits until the process says yes on its second address and the relay answers `GET /_health` with 200.
    /// Returns how long that took.
    pub fn wait_ready(&self, relay: &Relay) -> Duration {
        let start = Instant::now();
        while !(said_yes(relay.control) && self.healthy()) {
            if start.elapsed() > ms(10_000) {
                cannot_run(&format!("{} is not ready after 10 s", relay.name));
            }
            sleep(ms(2));
        }
        self.record.line(&format!("relay: {} is ready", relay.name));
        start.elapsed()
    }

    /// Hands in a message every `pause`, for these destinations in turn, until the returned flag is set.
    pub fn traffic(
        self: &Arc<Self>, class: &'static str, prefix: &'static str, dests: Vec<u64>, pause: Duration,
    ) -> Arc<AtomicBool> {
        let (place, over) = (self.clone(), Arc::new(AtomicBool::new(false)));
        let stop = over.clone();
        spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                place.hand_in(class, &format!("{prefix}{number:04}"), dests[number % dests.len()], 6000);
                number += 1;
                sleep(pause);
            }
        });
        over
    }

    fn healthy(&self) -> bool {
        let mut get = || -> Option<bool> {
            let mut stream = TcpStream::connect(self.listen).ok()?;
            stream.set_read_timeout(Some(ms(1000))).ok()?;
            stream
                .write_all(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                .ok()?;
            let answer = read_message(&mut BufReader::new(stream))?;
            Some(answer.line.contains(" 200"))
        };
        get().unwrap_or(false)
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&self, relay: &Relay) {
        let mut processes = PROCESSES.lock().unwrap();
        let Some(at) = processes.iter().position(|child| child.id() == relay.pid) else { return };
        let mut child = processes.remove(at);
        let _ended_already = child.kill();
        let _reaped = child.wait();
        drop(processes);
        self.record.line(&format!("relay: {} got SIGKILL", relay.name));
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, relay: &Relay, name: &str) {
        let _status = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", relay.pid)]).status();
        self.record.line(&format!("relay: {} got SIG{name}", relay.name));
    }

    /// Hands in one message on a connection of its own, and returns the status; 0 if there was no answer
    /// within 400 ms.
    pub fn hand_in(&self, class: &str, id: &str, dest: u64, budget_ms: u64) -> u16 {
        let body = format!("message {id} for destination {dest}");
        let text = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\n\
             X-Budget: {budget_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             X-Envelope: dest={dest}\r\n\r\n{body}",
            body.len()
        );
        let send = || -> Option<u16> {
            let mut stream = TcpStream::connect(self.listen).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(ms(400))).ok()?;
            stream.write_all(text.as_bytes()).ok()?;
            let answer = read_message(&mut BufReader::new(stream))?;
            answer.line.split(' ').nth(1)?.parse().ok()
        };
        let status = send().unwrap_or(0);
        self.record.line(&format!("client: {class} {id} for destination {dest}: {status}"));
        status
    }
}

fn said_yes(control: SocketAddr) -> bool {
    let check = || -> Option<bool> {
        let mut stream = TcpStream::connect(control).ok()?;
        stream.set_read_timeout(Some(ms(1000))).ok()?;
        stream.write_all(b"check\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer.starts_with("+OK"))
    };
    check().unwrap_or(false)
}
