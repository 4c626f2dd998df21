//! Runs the relay program as a process; calls to its second address; clients.

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
use std::time::Duration;

/// The relay program, and where its folders go. See [`program!`].
#[derive(Clone, Debug)]
pub struct Program {
    /// The path of the executable.
    pub path: Cow<'static, str>,
    /// A folder for files that are not needed after the test.
    pub tmp: Cow<'static, str>,
}

impl Program {
    /// Returns the program at a path that is known at run time only.
    pub fn at(path: &str, tmp: &str) -> Program {
        Program { path: Cow::Owned(path.into()), tmp: Cow::Owned(tmp.into()) }
    }

    /// Returns the program that Cargo builds with a test; called by [`program!`].
    pub const fn built(path: &'static str, tmp: &'static str) -> Program {
        Program { path: Cow::Borrowed(path), tmp: Cow::Borrowed(tmp) }
    }

    /// Returns the command that starts the relay with the configuration and state in this folder.
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

/// Number of folders made by this process; gives each a name of its own.
static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// Sends a line to a relay's second address and returns the whole answer.
pub fn call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// A running relay process. Dropping it kills the process and removes its folder.
pub struct Relay {
    program: Program,
    pub child: Child,
    /// Where the relay listens for clients.
    pub address: SocketAddr,
    /// Holds the configuration and the state; empty once another process goes on with them.
    pub folder: PathBuf,
    /// Lines on standard error so far.
    log: Arc<Mutex<Vec<String>>>,
    agent: SocketAddr,
}

/// Returns a configuration with four classes (safe, keyed, unsafe, ordered) and this discovery agent.
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

/// Writes the configuration into a new folder. Returns the command that starts a relay there, and the folder.
pub fn command(program: &Program, config: &Value) -> (Command, PathBuf) {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let folder = PathBuf::from(&*program.tmp).join(format!("{}-{number}", std::process::id()));
    let _missing_is_fine = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("state")).unwrap();
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    (program.command(&folder), folder)
}

impl Relay {
    /// Starts a relay with the configuration of [`config`].
    pub fn start(program: Program, agent: &Agent) -> Relay {
        Relay::with(program, config(agent.address), agent)
    }

    /// Starts a relay with this configuration.
    pub fn with(program: Program, config: Value, agent: &Agent) -> Relay {
        let (command, folder) = command(&program, &config);
        Relay::run(program, command, folder, agent.address)
    }

    /// Starts a relay with the configuration of [`config`] and command-line arguments.
    pub fn with_arguments(program: Program, agent: &Agent, arguments: &[&str]) -> Relay {
        let (mut command, folder) = command(&program, &config(agent.address));
        command.args(arguments);
        Relay::run(program, command, folder, agent.address)
    }

    /// Starts the process, collects its log, and waits until it listens.
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
            let ended = child.try_wait().unwrap();
            let lines = log.lock().unwrap();
            let address = lines.iter().find_map(|l| l.split(" serves on ").nth(1)?.parse().ok());
            assert!(
                address.is_some() || ended.is_none(),
                "the relay ended at its start: {ended:?}, {lines:?}"
            );
            address
        });
        Relay { program, child, address, folder, log, agent }
    }

    /// Waits until the second address is logged, and returns it.
    pub fn control(&self) -> SocketAddr {
        until("the second address", || {
            let lines = self.log.lock().unwrap();
            lines.iter().find_map(|l| l.split(" control on ").nth(1)?.parse().ok())
        })
    }

    /// Sends a line to the second address and returns the whole answer.
    pub fn call(&self, line: &str) -> String {
        call(self.control(), line)
    }

    /// Returns the value of a metric; 0 if there is none by that name.
    pub fn figure(&self, name: &str) -> u64 {
        let vars = self.call("vars");
        let value = vars.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
        value.unwrap_or(0)
    }

    /// Returns the process's largest resident memory so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Whether any log line contains this text.
    pub fn logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Returns the audit's lines about a message: each step's name, and the step as JSON.
    pub fn audit(&self, id: &str) -> Vec<(String, Value)> {
        let lines = self.log.lock().unwrap();
        let steps = lines.iter().filter_map(|line| line.split_once("audit {"));
        let steps = steps.filter_map(|(_, rest)| serde_json::from_str::<Value>(&format!("{{{rest}")).ok());
        let of_id = steps.filter(|step| step["id"] == id);
        of_id.map(|step| (step["step"].as_str().unwrap_or_default().to_string(), step)).collect()
    }

    /// Returns the path of the journal.
    pub fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// Kills the process with SIGKILL, calls `meanwhile` with the journal's path, and starts the relay again
    /// in the same folder.
    pub fn killed(mut self, meanwhile: impl FnOnce(&PathBuf)) -> Relay {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        meanwhile(&self.journal());
        let command = self.program.command(&self.folder);
        Relay::run(self.program.clone(), command, std::mem::take(&mut self.folder), self.agent)
    }

    /// Starts another process with the same configuration and folder, which takes over from this one.
    pub fn beside(&mut self) -> Relay {
        let command = self.program.command(&self.folder);
        Relay::run(self.program.clone(), command, std::mem::take(&mut self.folder), self.agent)
    }

    /// Returns the number of log lines that contain this text.
    pub fn log_lines(&self, text: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits until the process exits.
    pub fn wait_exit(&mut self) -> ExitStatus {
        until("the relay's exit", || self.child.try_wait().unwrap())
    }

    /// Opens a connection to the relay.
    pub fn client(&self) -> Client {
        Client(BufReader::new(TcpStream::connect(self.address).unwrap()))
    }

    /// Submits one message on a connection of its own, and returns the answer.
    pub fn submit(&self, class: &str, id: &str, dest: u64) -> ReceivedRequest {
        self.client().submit(class, id, dest, 4000, b"body")
    }

    /// Like [`Relay::submit`], repeated until the relay has the destination in its list and accepts the
    /// message.
    pub fn submit_accepted_once_listed(&self, class: &str, id: &str, dest: u64) {
        until("the destination to be listed", || {
            (self.submit(class, id, dest).status() == 202).then_some(())
        });
    }

    /// Like [`Relay::submit`]; panics unless the relay accepts the message.
    pub fn take(&self, class: &str, id: &str, dest: u64) {
        assert_eq!(self.submit(class, id, dest).status(), 202, "{id} was not accepted");
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _already_exited = self.child.kill();
        let _reaped = self.child.wait();
        if !self.folder.as_os_str().is_empty() {
            let _ignored = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A client's connection to the relay.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    /// Reads the next answer; `None` if the relay closed the connection, or after [`WAIT_LIMIT`].
    pub fn answer(&mut self) -> Option<ReceivedRequest> {
        self.0.get_mut().set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        receive(&mut self.0, 0)
    }

    /// Submits a message and returns the answer. `budget` is in milliseconds.
    pub fn submit(&mut self, class: &str, id: &str, dest: u64, budget: u64, body: &[u8]) -> ReceivedRequest {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\n\
             X-Budget: {budget}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             X-Envelope: dest={dest}\r\n\r\n",
            body.len()
        );
        self.send(&[head.as_bytes(), body].concat());
        self.answer().expect("the relay closed the connection or did not answer in time")
    }
}

/// Time after which the relay uses a connection to a host again, with some reserve; a connection that it has
/// used more than once rests for longest.
pub const CONNECTION_REST: Duration = Duration::from_millis(400);

impl Host {
    /// Submits messages of class `safe` until one arrives on a connection that carried an earlier one. The
    /// relay has then read the answers to that one and to all calls before it on the connection.
    pub fn wait_reuse(&self, relay: &Relay, dest: u64) {
        let start = self.received().len();
        until("a connection to be reused", || {
            std::thread::sleep(CONNECTION_REST);
            let before = self.received().len();
            relay.take("safe", &format!("again-{before}"), dest);
            let calls = self.wait_calls(before + 1);
            let last = calls[before].conn;
            calls[start..before].iter().any(|c| c.conn == last).then_some(())
        });
    }
}
