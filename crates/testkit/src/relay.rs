//! The relay's program as a process, its second address, and clients of it.

use crate::agent::Agent;
use crate::host::Host;
use crate::wire::{receive, until, ReceivedRequest, WAIT_LIMIT};
use serde_json::{json, Value};
use std::borrow::Cow;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

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

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// Calls a second address and gives the whole answer.
pub fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
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
    pub fn submit(&self, class: &str, id: &str, dest: u64) -> ReceivedRequest {
        self.client().submit(class, id, dest, 4000, b"body")
    }

    /// The same, again and again, until the relay has the destination's host in its list and takes it on.
    pub fn submit_accepted_once_listed(&self, class: &str, id: &str, dest: u64) {
        until("a listed destination", || (self.submit(class, id, dest).status() == 202).then_some(()));
    }

    /// The same, and it must be taken on.
    pub fn take(&self, class: &str, id: &str, dest: u64) {
        assert_eq!(self.submit(class, id, dest).status(), 202, "{id} is taken on");
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

    pub fn answer(&mut self) -> Option<ReceivedRequest> {
        self.0.get_mut().set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        receive(&mut self.0, 0)
    }

    pub fn submit(&mut self, class: &str, id: &str, dest: u64, budget: u64, body: &[u8]) -> ReceivedRequest {
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

impl Host {
    /// Hands in plain messages until one comes on a connection that carried another: the answer to that one,
    /// and to what came before it, has been read.
    pub fn wait_reuse(&self, relay: &Relay, dest: u64) {
        let start = self.received().len();
        until("a connection used again", || {
            let before = self.received().len();
            relay.take("safe", &format!("again-{before}"), dest);
            let calls = self.wait_calls(before + 1);
            let last = calls[before].conn;
            calls[start..before].iter().any(|c| c.conn == last).then_some(())
        });
    }
}
