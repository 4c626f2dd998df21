//! The relay as a process on loopback, and around it hosts, discovery and clients that give fixed replies.
#[cfg(feature = "grpc")]
pub mod grpc;

use serde_json::{json, Value};
use std::borrow::Cow;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a condition may take to come true; far more than it should.
const PATIENCE: Duration = Duration::from_secs(15);

/// Waits until something is there.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A message as it stands on a socket: first line, headers by lower-case name, body.
#[derive(Clone, Debug)]
pub struct Heard {
    pub at: Instant,
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Which connection of the host it came on.
    pub conn: usize,
}

impl Heard {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_lowercase()).map_or("", |v| v.as_str())
    }
    pub fn id(&self) -> &str {
        self.header("x-call-id")
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message off a stream. `None` once it has ended.
pub fn hear(stream: &mut BufReader<TcpStream>, conn: usize) -> Option<Heard> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Heard { at: Instant::now(), line: line.trim_end().to_string(), headers, body, conn })
}

/// What a host does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    Status(u16),
    With(u16, &'static str),
    /// Answers 200 after so many milliseconds.
    Late(u64),
    /// Answers 500 after so many milliseconds.
    Fails(u64),
    /// Answers 200 and closes the connection once it has stood idle for a while, without saying so.
    AndClose,
    /// These bytes, and the connection stays open.
    Raw(&'static str),
    Reset,
    Silent,
}

pub fn response(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: 0\r\n\r\n")
}

type Script = dyn Fn(&Heard, usize) -> Reply + Send + Sync;

/// A host: what it heard, and on how many connections.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    heard: Arc<Mutex<Vec<Heard>>>,
    pub conns: Arc<AtomicUsize>,
    /// Connections that it closed by itself.
    pub closed: Arc<AtomicUsize>,
    /// Ids of the calls that it answered, and the statuses.
    answers: Arc<Mutex<Vec<(String, u16)>>>,
}

impl Host {
    /// A host that replies to a call, given how many came before it.
    pub fn new(script: impl Fn(&Heard, usize) -> Reply + Send + Sync + 'static) -> Host {
        Host::on(TcpListener::bind("127.0.0.1:0").unwrap(), Duration::ZERO, script)
    }

    /// A host that takes no new connection for so long: its queue for them is full, and packets that open one are lost.
    /// Whoever lost one tries again a second later (RFC 6298, 2.1).
    pub fn deaf(for_ms: u64, script: impl Fn(&Heard, usize) -> Reply + Send + Sync + 'static) -> Host {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // They fill the queue, and go once that is read.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let fillers: Vec<_> = (0..4).map_while(fill).collect();
        assert!(fillers.len() < 4, "the queue is full");
        Host::on(listener, Duration::from_millis(for_ms), script)
    }

    fn on(
        listener: TcpListener, deaf: Duration,
        script: impl Fn(&Heard, usize) -> Reply + Send + Sync + 'static,
    ) -> Host {
        let host = Host {
            address: listener.local_addr().unwrap(),
            heard: Arc::default(),
            conns: Arc::default(),
            closed: Arc::default(),
            answers: Arc::default(),
        };
        let (this, script): (Host, Arc<Script>) = (host.clone(), Arc::new(script));
        std::thread::spawn(move || {
            std::thread::sleep(deaf);
            for stream in listener.incoming().flatten() {
                let (this, script) = (this.clone(), script.clone());
                let conn = this.conns.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || this.serve(stream, conn, &*script));
            }
        });
        host
    }

    pub fn ok() -> Host {
        Host::new(|_, _| Reply::Status(200))
    }

    /// First the given replies, one a call, then 200.
    pub fn first(replies: Vec<Reply>) -> Host {
        Host::new(move |_, n| replies.get(n).cloned().unwrap_or(Reply::Status(200)))
    }

    fn serve(&self, stream: TcpStream, conn: usize, script: &Script) {
        let mut reader = BufReader::new(stream);
        while let Some(heard) = hear(&mut reader, conn) {
            let place = {
                let mut all = self.heard.lock().unwrap();
                all.push(heard.clone());
                all.len() - 1
            };
            let reply = script(&heard, place);
            let text = match &reply {
                Reply::Status(status) => response(*status, ""),
                Reply::With(status, headers) => response(*status, headers),
                Reply::Late(ms) => {
                    std::thread::sleep(Duration::from_millis(*ms));
                    response(200, "")
                }
                Reply::Fails(ms) => {
                    std::thread::sleep(Duration::from_millis(*ms));
                    response(500, "")
                }
                Reply::AndClose => response(200, ""),
                Reply::Raw(bytes) => bytes.to_string(),
                Reply::Reset => return,
                Reply::Silent => {
                    // Until the relay gives up.
                    let _nothing = reader.read(&mut [0; 1]);
                    return;
                }
            };
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
            let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            self.answers.lock().unwrap().push((heard.id().to_string(), status));
            if matches!(reply, Reply::AndClose) {
                std::thread::sleep(Duration::from_millis(150));
                drop(reader);
                self.closed.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }

    pub fn heard(&self) -> Vec<Heard> {
        self.heard.lock().unwrap().clone()
    }

    pub fn served(&self) -> usize {
        self.answers.lock().unwrap().len()
    }

    pub fn answered(&self, id: &str) -> bool {
        self.answers.lock().unwrap().iter().any(|a| a.0 == id)
    }

    /// Whether it has answered a call of this message with 200.
    pub fn delivered(&self, id: &str) -> bool {
        self.answers.lock().unwrap().iter().any(|a| a.0 == id && a.1 == 200)
    }

    /// Ids of all calls that it answered, and the statuses.
    pub fn all_answered(&self) -> Vec<(String, u16)> {
        self.answers.lock().unwrap().clone()
    }

    pub fn calls_of(&self, id: &str) -> usize {
        self.heard().iter().filter(|h| h.id() == id).count()
    }

    /// Hands in plain messages until one comes on a connection that carried another: the answer to that one,
    /// and to what came before it, has been read.
    pub fn wait_reuse(&self, relay: &Relay, dest: u64) {
        let start = self.heard().len();
        until("a connection used again", || {
            let before = self.heard().len();
            relay.take("safe", &format!("again-{before}"), dest);
            let calls = self.wait_calls(before + 1);
            let last = calls[before].conn;
            calls[start..before].iter().any(|c| c.conn == last).then_some(())
        });
    }

    pub fn wait_calls(&self, count: usize) -> Vec<Heard> {
        until(&format!("{count} calls"), || Some(self.heard()).filter(|h| h.len() >= count))
    }
}

#[derive(Default)]
struct Told {
    index: u64,
    endpoints: Vec<Value>,
    notices: Vec<Value>,
    /// Statuses for the next notices, before they get 204.
    notice_replies: Vec<u16>,
    down: bool,
    watches: usize,
    /// Calls for the list, watches too.
    calls: usize,
    /// How often all watches that were open have fallen silent.
    hushed: usize,
}

/// Discovery's agent.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Agent {
    pub fn new(hosts: &[(&str, u64, &Host)]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent { address: listener.local_addr().unwrap(), told: Arc::default() };
        hosts.iter().for_each(|(name, dest, host)| agent.list(name, *dest, host.address, "active"));
        let this = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        agent
    }

    pub fn list(&self, name: &str, dest: u64, address: SocketAddr, status: &str) {
        let mut told = self.told.lock().unwrap();
        told.index += 1;
        told.endpoints.retain(|e| e["name"] != name);
        told.endpoints.push(json!({"name": name, "address": address.to_string(), "zone": "z", "type": "k",
            "group": dest, "status": status, "weight": 1.0, "since_ms": 0}));
    }

    /// Many active hosts at once: name, destination, address.
    pub fn list_all(&self, hosts: impl Iterator<Item = (String, u64, SocketAddr)>) {
        let rows: Vec<Value> = hosts
            .map(|(name, dest, address)| {
                json!({"name": name, "address": address.to_string(), "zone": "z", "type": "k",
                    "group": dest, "status": "active", "weight": 1.0, "since_ms": 0})
            })
            .collect();
        let mut told = self.told.lock().unwrap();
        let named: std::collections::HashSet<String> = rows.iter().map(|r| r["name"].to_string()).collect();
        told.index += 1;
        told.endpoints.retain(|e| !named.contains(&e["name"].to_string()));
        told.endpoints.extend(rows);
    }

    /// These hosts are listed no more.
    pub fn unlist(&self, names: &[&str]) {
        let mut told = self.told.lock().unwrap();
        told.index += 1;
        told.endpoints.retain(|e| !names.iter().any(|name| e["name"] == *name));
    }

    /// A destination that is in the list and has nobody to send to yet: messages for it are held.
    pub fn hold(&self, dest: u64) {
        self.list(&format!("draining-{dest}"), dest, ([127, 0, 0, 1], 9).into(), "leaving");
    }

    pub fn set_down(&self, down: bool) {
        self.told.lock().unwrap().down = down;
    }

    /// All watches that are open fall silent: their connections stay, and nothing comes on them any more.
    pub fn hush(&self) {
        self.told.lock().unwrap().hushed += 1;
    }

    pub fn reply_to_notices(&self, statuses: Vec<u16>) {
        self.told.lock().unwrap().notice_replies = statuses;
    }

    pub fn watches(&self) -> usize {
        self.told.lock().unwrap().watches
    }

    /// Calls for the list, watches too.
    pub fn calls(&self) -> usize {
        self.told.lock().unwrap().calls
    }

    pub fn notices_of(&self, id: &str) -> Vec<Value> {
        self.told.lock().unwrap().notices.iter().filter(|n| n["id"] == id).cloned().collect()
    }

    pub fn all_notices(&self) -> Vec<Value> {
        self.told.lock().unwrap().notices.clone()
    }

    pub fn wait_notice(&self, id: &str) -> Value {
        until(&format!("a notice of {id}"), || self.notices_of(id).into_iter().next())
    }

    fn snapshot(&self) -> Value {
        let told = self.told.lock().unwrap();
        json!({"index": told.index, "snapshot": true, "endpoints": told.endpoints})
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(heard) = hear(&mut reader, 0) {
            let answer = if heard.line.starts_with("POST /v1/outcomes") {
                let mut told = self.told.lock().unwrap();
                let text = String::from_utf8_lossy(&heard.body).into_owned();
                told.notices.extend(text.lines().map(|l| serde_json::from_str::<Value>(l).unwrap()));
                let queued = !told.notice_replies.is_empty();
                let status = if queued { told.notice_replies.remove(0) } else { 204 };
                response(status, "")
            } else {
                let after: Option<u64> =
                    heard.line.split("after=").nth(1).and_then(|t| t.split('&').next()?.parse().ok());
                let wait_ms = heard
                    .line
                    .split("wait_ms=")
                    .nth(1)
                    .and_then(|t| t.split(['&', ' ']).next()?.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                let start = Instant::now();
                let hushed = {
                    let mut told = self.told.lock().unwrap();
                    told.calls += 1;
                    told.watches += usize::from(after.is_some());
                    told.hushed
                };
                loop {
                    let told = self.told.lock().unwrap();
                    if told.hushed > hushed {
                        drop(told);
                        let _nothing = reader.read(&mut [0; 1]);
                        return;
                    }
                    let news = after.is_none_or(|a| told.index > a) || start.elapsed() >= wait;
                    if news && !told.down {
                        break;
                    }
                    drop(told);
                    std::thread::sleep(Duration::from_millis(2));
                }
                let body = self.snapshot().to_string();
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            };
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The relay's program, and where its folders go. See [`program!`].
#[derive(Clone, Debug)]
pub struct Program {
    /// The program's file.
    pub path: Cow<'static, str>,
    /// A folder for what is of no use after the test.
    pub tmp: Cow<'static, str>,
}

impl Program {
    /// A program that was built before.
    pub fn at(path: &str, tmp: &str) -> Program {
        Program { path: Cow::Owned(path.into()), tmp: Cow::Owned(tmp.into()) }
    }

    /// See [`program!`].
    pub const fn built(path: &'static str, tmp: &'static str) -> Program {
        Program { path: Cow::Borrowed(path), tmp: Cow::Borrowed(tmp) }
    }

    fn command(&self, folder: &Path) -> Command {
        let mut command = Command::new(&*self.path);
        for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONTROL"] {
            command.env_remove(name);
        }
        command.env("ROUTER_CONFIG", folder.join("config.json")).env("ROUTER_STATE", folder.join("state"));
        command.stderr(Stdio::piped()).stdin(Stdio::null());
        command
    }
}

/// The program as built along with a test or benchmark of its package.
#[macro_export]
macro_rules! program {
    () => {
        $crate::Program::built(env!("CARGO_BIN_EXE_mulleinslip"), env!("CARGO_TARGET_TMPDIR"))
    };
}

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// Calls a second address and gives the whole answer.
pub fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// The program itself.
pub struct Relay {
    program: Program,
    pub child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
    agent: SocketAddr,
}

pub fn config(agent: SocketAddr) -> Value {
    let class = |name: &str, effect: &str, order: bool| {
        json!({"Name": name, "Effect": effect, "Group": "all", "AimMs": 300.0, "DeadlineMs": 5000.0,
               "DedupWindowMs": 4000.0, "Points": 1.0, "LateValue": 0.3, "SerialByKey": order, "New": [1]})
    };
    json!({"name": "t0", "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "discovery": agent.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
        "known": {"index": 0, "snapshot": true, "endpoints": []},
        "settings": {"Balancers": 1, "Zone": 0, "Zones": ["z"], "MachineTypes": ["k"], "TickMs": 5.0,
            "Domain": {"Slots": 8, "BatchByKind": [1], "OwnLimits": [false], "Fades": "by_half"},
            "Limits": {"Cancel": true, "ConnIdleMs": 3000.0, "ConnectTimeoutMs": 500.0, "MaxAttempts": 6,
                "MaxOpen": 40, "MaxRetryAfterMs": 2000.0, "MaxStreams": 1, "Probing": false,
                "RetryAfter": true, "SecondCopies": false},
            "LoadReport": {"Columns": ["x0", "x1"], "Source": "answers"},
            "Orgs": [{"Name": "acme", "QuotaRps": 1000.0, "Fraction": 1.0}],
            "Profiles": [class("safe", "retryable", false), class("keyed", "dedup", false),
                class("unsafe", "fragile", false), class("ordered", "retryable", true)],
            "Safety": {"ColdShare": 0.5, "WarmAfterMs": 2000.0, "FallMultiple": 3.0, "FallMs": 1000.0,
                "OrderPauseMs": 300.0}}})
}

/// A command with the environment of a relay, its configuration and its folder.
pub fn command(program: &Program, config: &Value) -> (Command, PathBuf) {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let folder = PathBuf::from(&*program.tmp).join(format!("{}-{number}", std::process::id()));
    let _not_there = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    (program.command(&folder), folder)
}

impl Relay {
    pub fn start(program: Program, agent: &Agent) -> Relay {
        Relay::with(program, config(agent.address), agent)
    }

    pub fn with(program: Program, config: Value, agent: &Agent) -> Relay {
        let (command, folder) = command(&program, &config);
        Relay::run(program, command, folder, agent.address)
    }

    /// With arguments for the program.
    pub fn with_arguments(program: Program, agent: &Agent, arguments: &[&str]) -> Relay {
        let (mut command, folder) = command(&program, &config(agent.address));
        command.args(arguments);
        Relay::run(program, command, folder, agent.address)
    }

    fn run(program: Program, mut command: Command, folder: PathBuf, agent: SocketAddr) -> Relay {
        let mut child = command.spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = log.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        let address = until("the relay's start", || {
            let lines = log.lock().unwrap();
            lines.iter().find_map(|l| l.split(" serves on ").nth(1)?.parse().ok())
        });
        Relay { program, child, address, folder, log, agent }
    }

    /// The second address.
    pub fn control(&self) -> SocketAddr {
        until("the second address", || {
            let lines = self.log.lock().unwrap();
            lines.iter().find_map(|l| l.split(" control on ").nth(1)?.parse().ok())
        })
    }

    /// Calls the second address and gives the whole answer.
    pub fn call(&self, line: &str) -> String {
        call(self.control(), line)
    }

    /// One figure; 0 if there is none by that name.
    pub fn figure(&self, name: &str) -> u64 {
        let vars = self.call("vars");
        let value = vars.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
        value.unwrap_or(0)
    }

    pub fn logged(&self, words: &str) -> bool {
        self.log.lock().unwrap().iter().any(|l| l.contains(words))
    }

    /// The lines of the audit about this message: each step's name and the whole step.
    pub fn audit(&self, id: &str) -> Vec<(String, Value)> {
        let lines = self.log.lock().unwrap();
        let steps = lines.iter().filter_map(|l| l.split_once("audit {"));
        let steps = steps.filter_map(|(_, rest)| serde_json::from_str::<Value>(&format!("{{{rest}")).ok());
        let of_id = steps.filter(|step| step["id"] == id);
        of_id.map(|step| (step["step"].as_str().unwrap_or_default().to_string(), step)).collect()
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// SIGKILL, and then what the journal goes through before the next start.
    pub fn killed(mut self, meanwhile: impl FnOnce(&PathBuf)) -> Relay {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        meanwhile(&self.journal());
        let command = self.program.command(&self.folder);
        Relay::run(self.program.clone(), command, std::mem::take(&mut self.folder), self.agent)
    }

    /// Another process with the same configuration and folder, which takes over from this one.
    pub fn beside(&mut self) -> Relay {
        let command = self.program.command(&self.folder);
        Relay::run(self.program.clone(), command, std::mem::take(&mut self.folder), self.agent)
    }

    pub fn log_lines(&self, words: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|l| l.contains(words)).count()
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn wait_exit(&mut self) -> ExitStatus {
        until("the relay's end", || self.child.try_wait().unwrap())
    }

    pub fn client(&self) -> Client {
        Client(BufReader::new(TcpStream::connect(self.address).unwrap()))
    }

    /// Hands one message in on a connection of its own.
    pub fn hand_in(&self, class: &str, id: &str, dest: u64) -> Heard {
        self.client().hand_in(class, id, dest, 4000, b"body")
    }

    /// The same, again and again, until the relay has the destination's host in its list and takes it on.
    pub fn take_once_listed(&self, class: &str, id: &str, dest: u64) {
        until("a listed destination", || (self.hand_in(class, id, dest).status() == 202).then_some(()));
    }

    /// The same, and it must be taken on.
    pub fn take(&self, class: &str, id: &str, dest: u64) {
        assert_eq!(self.hand_in(class, id, dest).status(), 202, "{id} is taken on");
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ended_already = self.child.kill();
        let _reaped = self.child.wait();
        if !self.folder.as_os_str().is_empty() {
            let _left = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A client's connection.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    pub fn answer(&mut self) -> Option<Heard> {
        self.0.get_mut().set_read_timeout(Some(PATIENCE)).unwrap();
        hear(&mut self.0, 0)
    }

    pub fn hand_in(&mut self, class: &str, id: &str, dest: u64, budget: u64, body: &[u8]) -> Heard {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\n\
             X-Budget: {budget}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             X-Envelope: dest={dest}\r\n\r\n",
            body.len()
        );
        self.send(&[head.as_bytes(), body].concat());
        self.answer().expect("an answer")
    }
}
