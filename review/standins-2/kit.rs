//! Stand-ins on loopback that follow the pages: hosts, discovery, clients, and the relay as a process. Only the
//! standard library.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: what was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &Path) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }
    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1000.0
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.0 .1.lock().unwrap(), "{:9.1} {}", self.now(), text.as_ref());
    }
}

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the stream ends or breaks before it does.
pub fn receive(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { line: line.trim_end().to_string(), headers, body })
}

/// What a host does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with the status, after a time in milliseconds.
    Status(u16, u64),
    /// Resets the connection without an answer.
    Reset,
    /// Turns the call away with 429 and tells to wait, with a body of so many bytes; with `close` it says
    /// `Connection: close` and closes.
    Wait { wait_ms: u64, body_bytes: usize, close: bool },
    /// Takes the call and answers nothing, until the relay closes the connection.
    Hang,
}

/// A call as a host saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// When its last byte had come.
    pub at: f64,
    pub reply: String,
    /// When it was answered or reset.
    pub ended: f64,
}

#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<Call>>>,
}

impl Host {
    /// Starts a host. The script gets the id of each call and how many calls with that id came before it.
    pub fn start(
        name: &str, record: &Record, script: impl Fn(&str, usize) -> Reply + Send + Sync + 'static,
    ) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a host's address");
        let host = Host { address: listener.local_addr().unwrap(), calls: Arc::default() };
        let (this, record, name, script) = (host.clone(), record.clone(), name.to_string(), Arc::new(script));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record, name, script) =
                    (this.clone(), record.clone(), name.clone(), script.clone());
                spawn(move || this.serve(stream, &name, &record, &*script));
            }
        });
        host
    }

    fn serve(
        &self, stream: TcpStream, name: &str, record: &Record, script: &(dyn Fn(&str, usize) -> Reply + Sync),
    ) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(call) = receive(&mut reader) {
            let (id, at) = (call.header("x-call-id").to_string(), record.now());
            let (index, earlier) = {
                let mut calls = self.calls.lock().unwrap();
                let earlier = calls.iter().filter(|c| c.id == id).count();
                calls.push(Call { id: id.clone(), at, reply: String::new(), ended: f64::MAX });
                (calls.len() - 1, earlier)
            };
            record.line(format!("{name} got call {earlier} of {id}: {}", call.line));
            let reply = script(&id, earlier);
            let (text, status) = match reply {
                Reply::Status(status, after_ms) => {
                    sleep(ms(after_ms));
                    (format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n"), status.to_string())
                }
                Reply::Reset => (String::new(), "reset".to_string()),
                Reply::Wait { wait_ms, body_bytes, close } => {
                    let connection = if close { "Connection: close\r\n" } else { "" };
                    let seconds = wait_ms as f64 / 1000.0;
                    let head = format!("HTTP/1.1 429 x\r\nRetry-After: {seconds:.3}\r\n{connection}");
                    let body = "x".repeat(body_bytes);
                    (format!("{head}Content-Length: {body_bytes}\r\n\r\n{body}"), "429".to_string())
                }
                Reply::Hang => {
                    let _ = reader.read(&mut [0]);
                    (String::new(), "closed by the relay".to_string())
                }
            };
            {
                let mut calls = self.calls.lock().unwrap();
                (calls[index].reply, calls[index].ended) = (status.clone(), record.now());
            }
            record.line(format!("{name} ends call {earlier} of {id}: {status}"));
            if text.is_empty() {
                return reset(reader.into_inner());
            }
            if reader.get_mut().write_all(text.as_bytes()).is_err() || text.contains("Connection: close") {
                return;
            }
        }
    }

    pub fn calls_of(&self, id: &str) -> Vec<Call> {
        self.calls.lock().unwrap().iter().filter(|c| c.id == id).cloned().collect()
    }
}

/// Closes a connection. The relay sees its end with no answer, which is a reset by the protocol's table.
fn reset(stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// A host in the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub group: u64,
    pub status: &'static str,
    /// The version with which it changed last.
    pub changed: u64,
}

/// How discovery treats the calls that come to it.
#[derive(Clone, Default)]
pub struct Manner {
    /// How long each answer takes once there is something to answer.
    pub slow_ms: u64,
    /// Each answer with a list says `Connection: close`, and the connection is closed.
    pub closes: bool,
}

#[derive(Default)]
struct DiscoveryState {
    index: u64,
    listed: Vec<Listed>,
    manner: Manner,
    /// Body of each notice.
    notices: Vec<(f64, String)>,
}

/// Discovery: the list, watches on it, and the platform's notices.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl Discovery {
    pub fn start(name: &str, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery's address");
        let discovery = Discovery { address: listener.local_addr().unwrap(), state: Arc::default() };
        discovery.state.lock().unwrap().index = 40;
        let (this, record, name) = (discovery.clone(), record.clone(), name.to_string());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record, name) = (this.clone(), record.clone(), name.clone());
                spawn(move || this.serve(stream, &name, &record));
            }
        });
        discovery
    }

    /// Lists a host with this status.
    pub fn list(&self, name: &str, host: &Host, group: u64, status: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let changed = state.index;
        state.listed.retain(|l| l.name != name);
        state.listed.push(Listed { name: name.into(), address: host.address, group, status, changed });
    }

    pub fn set_manner(&self, manner: Manner) {
        self.state.lock().unwrap().manner = manner;
    }

    pub fn index(&self) -> u64 {
        self.state.lock().unwrap().index
    }

    pub fn notices_of(&self, id: &str) -> Vec<(f64, String)> {
        let state = self.state.lock().unwrap();
        state.notices.iter().filter(|n| n.1.contains(&format!("\"{id}\""))).cloned().collect()
    }

    /// The list as JSON; only what changed after a version, if one is given.
    pub fn json(&self, after: Option<u64>) -> String {
        let state = self.state.lock().unwrap();
        let rows = state.listed.iter().filter(|l| l.changed > after.unwrap_or(0));
        let rows: Vec<String> = rows
            .map(|l| {
                format!(
                    "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"type\":\"k\",\"group\":{},\
                     \"status\":\"{}\",\"weight\":1.0,\"since_ms\":0}}",
                    l.name, l.address, l.group, l.status
                )
            })
            .collect();
        format!(
            "{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}",
            state.index,
            after.is_none(),
            rows.join(",")
        )
    }

    fn serve(&self, stream: TcpStream, name: &str, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(call) = receive(&mut reader) {
            let path = call.line.split(' ').nth(1).unwrap_or("").to_string();
            if path == "/v1/outcomes" {
                let text = String::from_utf8_lossy(&call.body).into_owned();
                for line in text.lines() {
                    record.line(format!("{name} got notice {line}"));
                    self.state.lock().unwrap().notices.push((record.now(), line.to_string()));
                }
                if reader.get_mut().write_all(b"HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            record.line(format!("{name} got {path}"));
            let argument = |key: &str| {
                let rest = path.split(key).nth(1)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let (after, wait_ms) = (argument("after="), argument("wait_ms=").unwrap_or(0));
            let started = Instant::now();
            while after.is_some_and(|after| self.index() <= after) && started.elapsed() < ms(wait_ms) {
                sleep(ms(2));
            }
            let manner = self.state.lock().unwrap().manner.clone();
            sleep(ms(manner.slow_ms));
            let (body, connection) =
                (self.json(after), if manner.closes { "Connection: close\r\n" } else { "" });
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\n{connection}Content-Length: {length}\r\n\r\n{body}");
            let written = reader.get_mut().write_all(text.as_bytes());
            record.line(format!(
                "{name} answers {path}: {body} {}",
                if written.is_ok() { "" } else { "(gone)" }
            ));
            if written.is_err() || manner.closes {
                return;
            }
        }
    }
}

/// A relay's folder, addresses and configuration.
pub struct Setup {
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub record: Record,
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

impl Setup {
    /// Makes a temporary folder for the relay's state and its configuration.
    pub fn new(case: &str, record: &Record) -> Setup {
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("state")).expect("a temporary folder");
        Setup { folder, listen: free_address(), record: record.clone() }
    }

    /// Writes the configuration in place of any earlier one. `settings` are the platform's settings.
    pub fn configure(&self, discovery: SocketAddr, known: &str, settings: &str) {
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":96,\"sockets\":512,\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{settings}}}",
            self.listen
        );
        let new = self.folder.join("config.new");
        std::fs::write(&new, text).expect("the configuration");
        std::fs::rename(new, self.folder.join("config.json")).expect("the configuration");
    }

    /// Starts the program as the deploy file does, and waits until it answers `GET /_health` with 200.
    pub fn start(&self, discovery: SocketAddr, name: &str) -> Relay {
        let control = free_address();
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/mulleinslip"])
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONTROL", control.to_string())
            .env("ROUTER_STATE", self.folder.join("state"))
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the relay");
        RUNNING.lock().unwrap().push(child.id());
        self.record.line(format!("{name} started"));
        Relay { child, control, name: name.into(), record: self.record.clone() }
    }

    /// Waits until the relay says yes at the clients' address.
    pub fn wait_ready(&self) {
        let started = Instant::now();
        while started.elapsed() < ms(30_000) {
            if health(self.listen) == Some(200) {
                self.record.line("the clients' address says yes");
                return;
            }
            sleep(ms(10));
        }
        could_not_run("the relay was not ready in 30 s");
    }

    /// Copies the logs of the relay's processes to the record, and removes the folder.
    pub fn finish(&self, names: &[&str]) {
        for name in names {
            let log = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            log.lines().for_each(|line| self.record.line(format!("log of {name}: {line}")));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The relay's processes that run, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run as one that could not be made, and with it the relay's processes.
pub fn could_not_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    if let Ok(running) = RUNNING.lock() {
        for id in running.iter() {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
    }
    std::process::exit(2)
}

/// Status of `GET /_health`, on a connection of its own.
pub fn health(address: SocketAddr) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(500))).ok()?;
    let mut reader = BufReader::new(stream);
    reader
        .get_mut()
        .write_all(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
        .ok()?;
    receive(&mut reader).map(|m| m.status())
}

/// One process of the relay. It is killed when the value is dropped.
pub struct Relay {
    pub child: Child,
    pub control: SocketAddr,
    pub name: String,
    record: Record,
}

impl Relay {
    /// Sends a line to the second address and returns the first line of the reply.
    pub fn control(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.control, ms(500)) else { return String::new() };
        let _ = stream.set_read_timeout(Some(ms(1000)));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let mut reply = String::new();
        let _ = BufReader::new(stream).read_line(&mut reply);
        reply.trim().to_string()
    }

    /// Waits until `check` at the second address says yes; returns whether it did within the time.
    pub fn wait_check(&self, within_ms: u64) -> bool {
        let started = Instant::now();
        while started.elapsed() < ms(within_ms) {
            if self.control("check").starts_with("+OK") {
                self.record.line(format!("{} says yes", self.name));
                return true;
            }
            sleep(ms(5));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        self.record.line(format!("SIG{name} to {}", self.name));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    pub fn kill(&mut self) {
        self.record.line(format!("SIGKILL to {}", self.name));
        self.end();
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
    }

    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end();
    }
}

/// Hands in a message on a connection of its own and returns the status; 0 if there was no answer in 400 ms.
pub fn submit(
    record: &Record, relay: SocketAddr, path: &str, id: &str, dest: u64, budget_ms: u64, caller: &str,
) -> u16 {
    let request = format!(
        "POST /{path} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Caller: {caller}\r\n\
         X-Budget: {budget_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: 5\r\n\
         X-Envelope: dest={dest}\r\n\r\norder"
    );
    let status = (|| {
        let mut reader = BufReader::new(TcpStream::connect_timeout(&relay, ms(400)).ok()?);
        reader.get_ref().set_read_timeout(Some(ms(400))).ok()?;
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        receive(&mut reader).map(|m| m.status())
    })();
    record.line(format!("client hands in {id} at /{path} for {dest}: {}", status.unwrap_or(0)));
    status.unwrap_or(0)
}
