//! Discovery's agent: serves the list, its watches and notices.

use crate::host::{response, Host};
use crate::wire::{receive, until};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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
    pub fn silence(&self) {
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
        while let Some(heard) = receive(&mut reader, 0) {
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
