//! A stand-in for the discovery agent on loopback: serves a versioned list with a history, and counts calls
//! and bytes. A watch is answered with the changes after its version, or with the full list if the history
//! does not reach back that far.

use mulleinslip_membership::List;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of changes kept for watches from earlier versions.
const MAX_HISTORY_ENTRIES: usize = 10_000;

#[derive(Default)]
struct State {
    /// The full list as JSON, at the version with which the stand-in started.
    full: Arc<str>,
    /// Version, and the changed entries as JSON.
    history: VecDeque<(u64, String)>,
    newest: u64,
    calls: u64,
    full_lists: u64,
    bytes: u64,
    down: bool,
}

/// A stand-in for the discovery agent.
#[derive(Clone)]
pub struct DiscoveryStub {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Calls for the list so far, full lists among the answers, and bytes of all calls and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCounts {
    pub calls: u64,
    pub full_lists: u64,
    pub bytes: u64,
}

impl DiscoveryStub {
    /// Starts a stand-in that serves this full list.
    pub fn start(list: &List) -> Result<DiscoveryStub, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("discovery: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let full = serde_json::to_string(list).map_err(|e| format!("discovery: {e}"))?;
        let state = State { full: full.into(), newest: list.index, ..State::default() };
        let this = DiscoveryStub { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let server = this.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = server.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        Ok(this)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a change of the list: the next version, with the entry that changed.
    pub fn change(&self, list: &List) -> Result<(), String> {
        let text = serde_json::to_string(&list.endpoints).map_err(|e| format!("discovery: {e}"))?;
        let text = text.trim_start_matches('[').trim_end_matches(']').to_string();
        let mut state = self.state();
        state.newest = list.index;
        state.history.push_back((list.index, text));
        if state.history.len() > MAX_HISTORY_ENTRIES {
            state.history.pop_front();
        }
        self.state.1.notify_all();
        Ok(())
    }

    /// While down, the stand-in leaves calls for the list without an answer until it is up again.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
        self.state.1.notify_all();
    }

    /// Returns the counts so far.
    pub fn served(&self) -> ServedCounts {
        let State { calls, full_lists, bytes, .. } = *self.state();
        ServedCounts { calls, full_lists, bytes }
    }

    /// Answers calls on a connection until it is closed: GET with the list, anything else with 204.
    fn serve(&self, stream: TcpStream) {
        let _ignored = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let (mut line, mut length) = (String::new(), 0);
            if reader.read_line(&mut line).is_ok_and(|n| n == 0) {
                return;
            }
            let mut head_bytes = line.len();
            loop {
                let mut header = String::new();
                let read_bytes = reader.read_line(&mut header).unwrap_or(0);
                head_bytes += read_bytes;
                if read_bytes == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
                let value = header.to_ascii_lowercase();
                let value = value.strip_prefix("content-length:").and_then(|v| v.trim().parse().ok());
                length = value.unwrap_or(length);
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let (status, answer) = match line.starts_with("GET") {
                true => ("200 OK", self.answer(&line)),
                false => ("204 No Content", Arc::from("")),
            };
            let answer_head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", answer.len());
            self.state().bytes += (head_bytes + length + answer_head.len() + answer.len()) as u64;
            let out = reader.get_mut();
            if out.write_all(answer_head.as_bytes()).and_then(|()| out.write_all(answer.as_bytes())).is_err()
            {
                return;
            }
        }
    }

    /// Waits until there is something to answer to a call for the list, and returns the answer's body.
    fn answer(&self, line: &str) -> Arc<str> {
        let number = |name: &str| -> Option<u64> {
            line.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name)).and_then(|v| v.parse().ok())
        };
        let wait_until = Instant::now() + Duration::from_millis(number("wait_ms=").unwrap_or(0).min(60_000));
        let after = number("after=");
        let mut state = self.state();
        state.calls += 1;
        loop {
            let has_update = after.is_none_or(|after| state.newest > after);
            let remaining = wait_until.saturating_duration_since(Instant::now());
            if !state.down && (has_update || remaining.is_zero()) {
                break;
            }
            let wait_time = if remaining.is_zero() { Duration::from_millis(100) } else { remaining };
            state = self
                .state
                .1
                .wait_timeout(state, wait_time)
                .map_or_else(|e| e.into_inner().0, |result| result.0);
        }
        let newest = state.newest;
        let history_reaches =
            |after: u64| after == newest || state.history.front().is_some_and(|h| h.0 <= after + 1);
        match after.filter(|after| history_reaches(*after)) {
            Some(after) => {
                let changes: Vec<&str> =
                    state.history.iter().filter(|h| h.0 > after).map(|h| h.1.as_str()).collect();
                format!(r#"{{"index":{newest},"snapshot":false,"endpoints":[{}]}}"#, changes.join(",")).into()
            }
            None => {
                state.full_lists += 1;
                // This is the list at the start; the relay's next watch asks for the changes after it.
                state.full.clone()
            }
        }
    }
}
