//! A stand-in for the discovery agent: serves the list and watches on it, and takes notices.

use crate::framing::Framing;
use crate::host::Host;
use crate::wire::{receive, until};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time from a repeated answer to the call's own.
const REPEAT_LEAD: Duration = Duration::from_millis(60);

#[derive(Default)]
struct State {
    index: u64,
    endpoints: Vec<Value>,
    notices: Vec<Value>,
    /// Statuses with which the next calls with notices are answered, one per call; once empty, each gets 204.
    notice_replies: Vec<u16>,
    /// Ids of the messages whose notices were answered with 204.
    confirmed: Vec<String>,
    /// Whether a call on a used connection gets a copy of the last answer first.
    repeats_answers: bool,
    /// Version at which each host was last listed, by name.
    listed_at: HashMap<String, u64>,
    /// Time that each answer to a call for the list takes.
    delay: Duration,
    /// Whether watches are answered with what was listed since, rather than with the whole list.
    answers_changes: bool,
    /// All connections so far.
    streams: Vec<TcpStream>,
    /// The form of all answers.
    framing: Framing,
    down: bool,
    watches: usize,
    /// Number of calls for the list, including watches.
    calls: usize,
    /// How many times [`Agent::silence`] was called.
    silenced_count: usize,
}

/// A scripted discovery agent.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Agent {
    /// Starts an agent that lists these hosts as active: name, destination, host.
    pub fn new(hosts: &[(&str, u64, &Host)]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent { address: listener.local_addr().unwrap(), state: Arc::default() };
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

    /// Lists a host with this status, in place of any host with the same name.
    pub fn list(&self, name: &str, dest: u64, address: SocketAddr, status: &str) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        state.endpoints.retain(|e| e["name"] != name);
        let index = state.index;
        state.listed_at.insert(name.to_string(), index);
        state.endpoints.push(json!({"name": name, "address": address.to_string(), "zone": "z", "type": "k",
            "group": dest, "status": status, "weight": 1.0, "since_ms": 0}));
    }

    /// Lists many active hosts in one change of the list: name, destination, address.
    pub fn list_all(&self, hosts: impl Iterator<Item = (String, u64, SocketAddr)>) {
        self.list_all_as("active", hosts);
    }

    /// Lists many hosts with this status in one change of the list: name, destination, address.
    pub fn list_all_as(&self, status: &str, hosts: impl Iterator<Item = (String, u64, SocketAddr)>) {
        let rows: Vec<Value> = hosts
            .map(|(name, dest, address)| {
                json!({"name": name, "address": address.to_string(), "zone": "z", "type": "k",
                    "group": dest, "status": status, "weight": 1.0, "since_ms": 0})
            })
            .collect();
        let mut state = self.state.lock().unwrap();
        let named: std::collections::HashSet<String> = rows.iter().map(|r| r["name"].to_string()).collect();
        state.index += 1;
        state.endpoints.retain(|e| !named.contains(&e["name"].to_string()));
        state.endpoints.extend(rows);
    }

    /// From now on, takes this long for each answer to a call for the list.
    pub fn delay_lists(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// From now on, answers watches with the hosts that [`Agent::list`] has listed since their version.
    pub fn answer_with_changes(&self) {
        self.state.lock().unwrap().answers_changes = true;
    }

    /// Plays a new agent at this address in place of this one: all connections end, and its versions begin anew
    /// behind `first_version`. It lists these hosts as active, in one change each.
    pub fn replace(&self, first_version: u64, hosts: &[(&str, u64, &Host)]) {
        {
            let mut state = self.state.lock().unwrap();
            (state.index, state.endpoints) = (first_version, Vec::new());
            let _already_closed: Vec<_> =
                state.streams.drain(..).map(|s| s.shutdown(Shutdown::Both)).collect();
        }
        hosts.iter().for_each(|(name, dest, host)| self.list(name, *dest, host.address, "active"));
    }

    /// Removes these hosts from the list, in one change.
    pub fn unlist(&self, names: &[&str]) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        state.endpoints.retain(|e| !names.iter().any(|name| e["name"] == *name));
    }

    /// Lists a destination whose only host is draining: the relay knows the destination, but has no host to
    /// send to, so it queues messages for it.
    pub fn hold(&self, dest: u64) {
        self.list(&format!("draining-{dest}"), dest, ([127, 0, 0, 1], 9).into(), "leaving");
    }

    /// While down, the agent leaves calls for the list without an answer until it is up again; it still takes
    /// notices.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// Stops answering on all connections with an open call for the list. They stay open, so that the relay
    /// sees silence rather than a closed connection.
    pub fn silence(&self) {
        self.state.lock().unwrap().silenced_count += 1;
    }

    /// Sets the statuses of the next answers to notices, one per call; after them, each call gets 204.
    pub fn reply_to_notices(&self, statuses: Vec<u16>) {
        self.state.lock().unwrap().notice_replies = statuses;
    }

    /// From now on, answers each call on a used connection first with a copy of the answer before, and only then
    /// with its own.
    pub fn repeat_answers(&self) {
        self.state.lock().unwrap().repeats_answers = true;
    }

    /// From now on, answers in this form.
    pub fn answer_as(&self, framing: Framing) {
        self.state.lock().unwrap().framing = framing;
    }

    /// Whether a notice about this message was answered with 204.
    pub fn confirmed(&self, id: &str) -> bool {
        self.state.lock().unwrap().confirmed.iter().any(|confirmed| confirmed == id)
    }

    /// Returns the number of watches so far: calls for what changed after a version.
    pub fn watches(&self) -> usize {
        self.state.lock().unwrap().watches
    }

    /// Returns the number of calls for the list so far, including watches.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Returns the notices about a message so far.
    pub fn notices_of(&self, id: &str) -> Vec<Value> {
        self.state.lock().unwrap().notices.iter().filter(|n| n["id"] == id).cloned().collect()
    }

    /// Returns all notices so far.
    pub fn all_notices(&self) -> Vec<Value> {
        self.state.lock().unwrap().notices.clone()
    }

    /// Waits for the first notice about a message.
    pub fn wait_notice(&self, id: &str) -> Value {
        until(&format!("a notice about {id}"), || self.notices_of(id).into_iter().next())
    }

    /// Returns the answer to a call for what changed after this version, or for the whole list.
    fn list_after(&self, version: Option<u64>) -> Value {
        let state = self.state.lock().unwrap();
        if let Some(version) = version.filter(|_| state.answers_changes) {
            let is_newer = |entry: &&Value| {
                entry["name"]
                    .as_str()
                    .and_then(|name| state.listed_at.get(name))
                    .is_some_and(|at| *at > version)
            };
            let changes: Vec<&Value> = state.endpoints.iter().filter(is_newer).collect();
            return json!({"index": state.index, "snapshot": false, "endpoints": changes});
        }
        json!({"index": state.index, "snapshot": true, "endpoints": state.endpoints})
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        self.state.lock().unwrap().streams.extend(reader.get_ref().try_clone());
        self.serve_calls(&mut reader);
        let _already_closed = reader.get_ref().shutdown(Shutdown::Both);
    }

    /// Answers the calls on a connection until it is to be closed.
    fn serve_calls(&self, reader: &mut BufReader<TcpStream>) {
        let mut previous_answer: Vec<u8> = Vec::new();
        while let Some(request) = receive(reader, 0) {
            if self.state.lock().unwrap().repeats_answers && !previous_answer.is_empty() {
                let _closed = reader.get_mut().write_all(&previous_answer);
                std::thread::sleep(REPEAT_LEAD);
            }
            let answer = if request.line.starts_with("POST /v1/outcomes") {
                let mut state = self.state.lock().unwrap();
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let notices: Vec<Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
                let queued = !state.notice_replies.is_empty();
                let status = if queued { state.notice_replies.remove(0) } else { 204 };
                if status == 204 {
                    let ids = notices.iter().filter_map(|n| n["id"].as_str().map(str::to_string));
                    state.confirmed.extend(ids);
                }
                state.notices.extend(notices);
                state.framing.response(status, "", b"")
            } else {
                let after: Option<u64> =
                    request.line.split("after=").nth(1).and_then(|t| t.split('&').next()?.parse().ok());
                let wait_ms = request
                    .line
                    .split("wait_ms=")
                    .nth(1)
                    .and_then(|t| t.split(['&', ' ']).next()?.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                let start = Instant::now();
                let silenced_before = {
                    let mut state = self.state.lock().unwrap();
                    state.calls += 1;
                    state.watches += usize::from(after.is_some());
                    state.silenced_count
                };
                loop {
                    let state = self.state.lock().unwrap();
                    if state.silenced_count > silenced_before {
                        drop(state);
                        let _no_data = reader.read(&mut [0; 1]);
                        return;
                    }
                    let has_update =
                        after.is_none_or(|version| state.index > version) || start.elapsed() >= wait;
                    if has_update && !state.down {
                        break;
                    }
                    drop(state);
                    std::thread::sleep(Duration::from_millis(2));
                }
                let (body, delay) = (self.list_after(after).to_string(), self.state.lock().unwrap().delay);
                std::thread::sleep(delay);
                self.state.lock().unwrap().framing.response(200, "", body.as_bytes())
            };
            let closes = self.state.lock().unwrap().framing.closes();
            if reader.get_mut().write_all(&answer).is_err() || closes {
                return;
            }
            previous_answer = answer;
        }
    }
}
