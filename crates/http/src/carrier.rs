//! Calls and probes to hosts: connections, what may be written when, and how each call ended. One call is at
//! most one request on one connection; nothing is sent again here.

use crate::audit::{self, Step};
use crate::conn::{bytes, Answer, Conn, Failure, Progress, SMALL};
use crate::idle::IdlePool;
use crate::outcomes::ParsedOutcome;
use bytes::Bytes;
use hyper::header::{HeaderName, HOST};
use hyper::Request;
use linenhall::{ListUpdate, Outcome};
use mulleinslip_engine::{Attempt, AttemptEnd};
use mulleinslip_membership::{Entry, List, ListNames, Status, View};
use mulleinslip_runtime::{Cancellation, Carrier, SendGate};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// An answer stands with its head; its body is only waited for to use the connection again.
const BODY: Duration = Duration::from_millis(250);
/// A probe that takes longer says as much as one that fails.
const PROBE: Duration = Duration::from_millis(1000);
/// A connection is dropped so long before its host may close it, so that no request crosses the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// A kept connection that breaks so soon after a request was written, with nothing come back, was dead before: a
/// round trip, and room for a slow machine. A host that fails its calls so soon shows it on new connections.
const STALE: Duration = Duration::from_millis(100);
/// The largest figure of a load report that is believed: no host takes so many calls a second.
const MOST_REPORTED: f64 = 1e6;

const CALL_ID: HeaderName = HeaderName::from_static("x-call-id");
const BUDGET: HeaderName = HeaderName::from_static("x-budget");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");

struct Host {
    /// What the list says of it.
    entry: Entry,
    own_limits: bool,
}

impl Host {
    fn active(&self) -> bool {
        self.entry.status == Status::Active
    }
}

/// What shares a told wait: a destination, or one host where hosts are routes apart.
type EndpointGroupKey = (u64, Option<String>);

#[derive(Default)]
struct State {
    /// Those of the destinations in use.
    hosts: HashMap<String, Host>,
    /// Their names, by destination.
    of: HashMap<u64, HashSet<String>>,
    waits: HashMap<EndpointGroupKey, Instant>,
    open: usize,
    idle: IdlePool<Conn>,
}

impl State {
    fn remove(&mut self, name: &str) {
        if let Some(host) = self.hosts.remove(name) {
            self.leave(host.entry.group, name);
        }
        self.idle.drop_host(name);
    }

    fn leave(&mut self, destination: u64, name: &str) {
        let left = self.of.get_mut(&destination).is_some_and(|of| of.remove(name) && of.is_empty());
        if left {
            self.of.remove(&destination);
        }
    }
}

/// What the carrier is told at its start.
pub struct CarrierSettings {
    /// Connections that may be open at once, idle ones among them.
    pub max_open: usize,
    /// A connection that is not up by then counts as refused.
    pub connect_timeout: Duration,
    /// Hosts close a connection that stands idle for so long, in milliseconds.
    pub conn_idle_ms: f64,
    /// Zones and kinds.
    pub names: ListNames,
    /// For each kind: whether its hosts are routes apart.
    pub own_limits: Vec<bool>,
    /// Columns of a load report, in the order in which the module reads them.
    pub report_columns: Vec<String>,
}

/// The relay's side towards all hosts.
pub struct HttpCarrier {
    state: RefCell<State>,
    s: CarrierSettings,
    /// All that is listed.
    view: Rc<RefCell<View>>,
    idle: Duration,
    attempts_written: Rc<Cell<u64>>,
}

/// A connection counts as open for as long as this lives, also while it is being set up.
struct Lease<'a>(&'a HttpCarrier);

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().open -= 1;
    }
}

/// Why there is no answer.
enum Held {
    /// No connection came up.
    NoConnection,
    /// The host is leaving, or was told to wait for, or the journal can't take the attempt.
    NotNow,
    /// Not that: a kept connection was dead before anything was written on it, and did not show it.
    Stale,
    /// Not that: it was written, and what came back can't be read, but perhaps for its first line.
    Spoilt,
}

impl HttpCarrier {
    /// A carrier that knows no host yet.
    pub fn new(s: CarrierSettings, view: Rc<RefCell<View>>) -> HttpCarrier {
        let idle = Duration::from_secs_f64(s.conn_idle_ms.clamp(0.0, 1e9) / 1000.0);
        let idle = idle.saturating_sub(IDLE_MARGIN).max(idle / 2);
        HttpCarrier { state: RefCell::default(), s, view, idle, attempts_written: Rc::default() }
    }

    /// Messages that were written whole to hosts.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.get()
    }

    /// Waits that bind just now: destination, endpoint where endpoints are routes apart and else empty, and for how
    /// much longer.
    pub fn retry_afters(&self) -> Vec<(u64, String, Duration)> {
        let now = Instant::now();
        let state = self.state.borrow();
        let bind = state.waits.iter().filter(|w| *w.1 > now);
        bind.map(|((dest, host), until)| (*dest, host.clone().unwrap_or_default(), *until - now)).collect()
    }

    /// Heeds waits that an earlier process was told, in the form of [`HttpCarrier::retry_afters`].
    pub fn restore_retry_afters(&self, waits: &[(u64, String, Duration)]) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        for (dest, host, left) in waits {
            let group = (*dest, Some(host.clone()).filter(|host| !host.is_empty()));
            let wait = state.waits.entry(group).or_insert(now);
            *wait = (*wait).max(now + *left);
        }
    }

    /// Heeds a wait that an earlier process was told by this host.
    pub fn restore_host_retry_after(&self, endpoint: &str, left: Duration) {
        let group = self.state.borrow().hosts.get(endpoint).map(|h| group(endpoint, h));
        if let Some((dest, host)) = group {
            self.restore_retry_afters(&[(dest, host.unwrap_or_default(), left)]);
        }
    }

    /// Nothing more goes to the hosts that this list has as leaving or, if it is whole, leaves out, from now on: what tells
    /// the decisions of it may have to wait for its turn.
    pub fn stop_sending_to_drained(&self, list: &List) {
        let mut state = self.state.borrow_mut();
        if list.snapshot {
            let active = list.endpoints.iter().filter(|e| e.status == Status::Active);
            let active: HashSet<&str> = active.map(|e| e.name.as_str()).collect();
            let gone = state.hosts.iter_mut().filter(|(name, _)| !active.contains(name.as_str()));
            gone.for_each(|(_, host)| host.entry.status = Status::Leaving);
            return;
        }
        for e in list.endpoints.iter().filter(|e| e.status != Status::Active) {
            if let Some(host) = state.hosts.get_mut(&e.name) {
                host.entry.status = Status::Leaving;
            }
        }
    }

    /// A connection that stands idle, for another process: host, for how long, socket. The oldest first.
    pub fn pass_idle(&self) -> Option<(String, Duration, OwnedFd)> {
        loop {
            let (host, since, conn) = self.state.borrow_mut().idle.take_oldest()?;
            if let (true, Ok(socket)) = (conn.usable(), conn.to_pass()) {
                return Some((host.to_string(), since.elapsed(), socket));
            }
        }
    }

    /// Takes a connection over that has stood idle for so long in an earlier process. One that is of no use is closed.
    pub async fn take_over_idle(&self, endpoint: &str, idle: Duration, socket: OwnedFd) -> io::Result<()> {
        let stream = std::net::TcpStream::from(socket);
        let peer = stream.peer_addr()?;
        stream.set_nonblocking(true)?;
        let conn = Conn::on(TcpStream::from_std(stream)?).await?;
        let mut state = self.state.borrow_mut();
        let host = state.hosts.get(endpoint).filter(|h| h.active() && h.entry.address == peer);
        let room = state.open + state.idle.len() < self.s.max_open;
        if let (Some(_), true, Some(since)) = (host, room, Instant::now().checked_sub(idle)) {
            state.idle.insert(endpoint, since, conn);
        }
        Ok(())
    }

    /// Closes what has stood idle for too long. For good.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let now = Instant::now();
            let mut state = self.state.borrow_mut();
            state.idle.retain(|since, conn| now - since < self.idle && conn.usable());
            state.waits.retain(|_, until| *until > now);
        }
    }

    /// Puts one request on a connection of the host. A kept connection that turns out closed before the first
    /// byte is left for the next one; once a byte is out there is no second try.
    async fn exchange(
        &self, endpoint: &str, dest: Option<u64>,
        request: impl Fn() -> (hyper::http::request::Builder, Bytes), begin: impl Fn(&Conn) -> bool,
        progress: &RefCell<Option<Rc<Progress>>>,
    ) -> Result<Answer, Held> {
        loop {
            let (kept, mut conn, _lease) = self.connection(endpoint).await?;
            // While the connection came up, the host may have begun to leave, or a wait may have been told.
            let address = match self.may_write(endpoint, dest) {
                Some(address) => address,
                None => {
                    self.keep(endpoint, conn);
                    return Err(Held::NotNow);
                }
            };
            // Also where an earlier connection was of no use: another one took time.
            if !begin(&conn) {
                self.keep(endpoint, conn);
                return Err(Held::NotNow);
            }
            *progress.borrow_mut() = Some(conn.progress());
            if dest.is_some() {
                conn.progress().count_in(self.attempts_written.clone());
            }
            let (head, body) = request();
            let built = head.header(HOST, address.to_string()).body(bytes(body));
            let Ok(built) = built else { return Err(Held::NotNow) };
            let began = Instant::now();
            match conn.exchange(built, BODY, SMALL).await {
                Ok(answer) => {
                    self.keep(endpoint, conn);
                    return Ok(answer);
                }
                Err(Failure::Spoilt) => return Err(Held::Spoilt),
                Err(_) if kept && !conn.progress().begun() => continue,
                Err(_) if kept && began.elapsed() < STALE => return Err(Held::Stale),
                Err(_) => return Err(Held::NoConnection),
            }
        }
    }

    /// One attempt; `progress` is that of the connection that it went out on, if it came so far.
    async fn call(
        &self, call: &Attempt, gate: &dyn SendGate, mut off: Cancellation,
        progress: &RefCell<Option<Rc<Progress>>>,
    ) -> AttemptEnd<()> {
        let wait = call.wait();
        let request = || {
            let mut request = Request::post("/inbox")
                .header(CALL_ID, &call.call_id)
                .header(BUDGET, format!("{}m", wait.as_millis()));
            if let Some(key) = &call.idempotency_key {
                request = request.header(KEY, key.as_ref());
            }
            (request, call.body.clone())
        };
        let begin = |conn: &Conn| {
            let begins = gate.begin();
            if begins {
                audit::note(&call.call_id, || Step::Begun {
                    attempt: call.attempt,
                    endpoint: &call.endpoint,
                    port: conn.local_port(),
                    carried: conn.carried(),
                });
            }
            begins
        };
        let exchange = self.exchange(&call.endpoint, Some(call.destination), request, begin, progress);
        let outcome = tokio::select! {
            biased;
            () = off.requested() => Outcome::Cancelled,
            r = tokio::time::timeout(wait, exchange) => match r {
                Ok(Ok(answer)) => return self.read(&call.endpoint, &answer),
                Ok(Err(Held::NoConnection)) => Outcome::NoConnection,
                Ok(Err(Held::NotNow)) => Outcome::NotSent,
                Ok(Err(Held::Stale)) => Outcome::Stale,
                // It has run, as a first line is written once it has; if that says 200 it is delivered.
                Ok(Err(Held::Spoilt)) => Outcome::Error,
                Err(_) => Outcome::TimedOut,
            }
        };
        let said_200 = progress.borrow().as_ref().is_some_and(|p| p.status() == Some(200));
        if said_200 {
            return AttemptEnd {
                settled: true,
                response: Some(()),
                ..AttemptEnd::without_response(Outcome::Delivered)
            };
        }
        // The connection is closed by now. What was not written whole can't have run.
        let written = progress.borrow().as_ref().is_some_and(|p| p.complete());
        AttemptEnd::without_response(match outcome {
            Outcome::NoConnection if written => Outcome::Broken,
            Outcome::Stale if !written => Outcome::NotSent,
            Outcome::Cancelled | Outcome::TimedOut if !written => Outcome::NoConnection,
            other => other,
        })
    }

    /// The newest idle connection that still stands, or a new one.
    async fn connection(&self, endpoint: &str) -> Result<(bool, Conn, Lease<'_>), Held> {
        let address = {
            let mut state = self.state.borrow_mut();
            let Some(host) = state.hosts.get(endpoint) else { return Err(Held::NotNow) };
            let address = host.entry.address;
            while let Some((since, conn)) = state.idle.take_newest(endpoint) {
                if since.elapsed() < self.idle && conn.usable() {
                    state.open += 1;
                    drop(state);
                    return Ok((true, conn, Lease(self)));
                }
            }
            // Room for one more: the longest idle connection of all goes.
            if state.open + state.idle.len() >= self.s.max_open && !state.idle.drop_oldest() {
                return Err(Held::NotNow);
            }
            state.open += 1;
            address
        };
        let lease = Lease(self);
        let conn = Conn::open(address, self.s.connect_timeout).await;
        Ok((false, conn.map_err(|_| Held::NoConnection)?, lease))
    }

    fn keep(&self, endpoint: &str, conn: Conn) {
        let mut state = self.state.borrow_mut();
        // Whether it still stands is asked when it is taken up again.
        if conn.reusable() && state.hosts.get(endpoint).is_some_and(|h| h.active()) {
            state.idle.insert(endpoint, Instant::now(), conn);
        }
    }

    /// The host's address, if a request may be written to it now.
    fn may_write(&self, endpoint: &str, dest: Option<u64>) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let host =
            state.hosts.get(endpoint).filter(|h| h.active() && dest.is_none_or(|d| d == h.entry.group))?;
        let waits = state.waits.get(&group(endpoint, host)).is_some_and(|until| *until > Instant::now());
        (!waits).then_some(host.entry.address)
    }

    /// What an answer means, as it came.
    fn read(&self, endpoint: &str, answer: &Answer) -> AttemptEnd<()> {
        let report = answer.headers.get("X-Load-Report").and_then(|v| self.report(v.as_bytes()));
        let ParsedOutcome { outcome, settled, wait_ms } = ParsedOutcome::of(answer.status, &answer.headers);
        // Only an answer that came whole, and alone, proves by its status that a call never ran or is over. A
        // wait that was told stands all the same, unless the answer broke off.
        let whole = answer.body.is_some();
        let wait_ms = if outcome == Outcome::Full && whole { wait_ms } else { 0.0 };
        let (outcome, settled) = match outcome {
            Outcome::Delivered => (outcome, settled),
            _ if whole && !answer.surplus => (outcome, settled),
            _ => (Outcome::Error, false),
        };
        if wait_ms > 0.0 {
            let until = Instant::now() + Duration::from_secs_f64(wait_ms / 1000.0);
            let mut state = self.state.borrow_mut();
            if let Some(group) = state.hosts.get(endpoint).map(|h| group(endpoint, h)) {
                let wait = state.waits.entry(group).or_insert(until);
                *wait = (*wait).max(until);
            }
        }
        AttemptEnd { outcome, settled, wait_ms, report: report.unwrap_or_default(), response: Some(()) }
    }

    /// A load report's values in the order of the settings; `None` if it can't be read.
    fn report(&self, json: &[u8]) -> Option<Vec<f64>> {
        let values: HashMap<String, f64> = serde_json::from_slice(json).ok()?;
        let value = |c: &String| values.get(c).copied().filter(|v| v.abs() <= MOST_REPORTED);
        Some(self.s.report_columns.iter().map(|c| value(c).unwrap_or(f64::NAN)).collect())
    }
}

impl Carrier for HttpCarrier {
    type Response = ();
    type List = List;

    fn apply_list(&self, mut list: List) -> ListUpdate {
        let mut state = self.state.borrow_mut();
        let view = self.view.borrow();
        // News may have waited for its turn while its destination made room for another: nobody would be told what becomes of
        // these hosts, so nobody may know them. Where a host was known in another destination it has left that.
        list.endpoints.retain_mut(|e| {
            let known = state.hosts.get(&e.name).map(|h| h.entry.group);
            if view.is_active(e.group) || known == Some(e.group) {
                return true;
            }
            (e.status, e.group) = (Status::Left, known.unwrap_or(e.group));
            known.is_some()
        });
        drop(view);
        if list.snapshot {
            let named: HashSet<&str> = list.endpoints.iter().map(|e| e.name.as_str()).collect();
            let hosts = state.hosts.keys().filter(|name| !named.contains(name.as_str()));
            let gone: Vec<String> = hosts.cloned().collect();
            gone.iter().for_each(|name| state.remove(name));
        }
        for e in &list.endpoints {
            if e.status == Status::Left {
                state.remove(&e.name);
                continue;
            }
            let own_limits = self.s.own_limits.get(self.s.names.kind(&e.kind)).copied().unwrap_or(false);
            let host = Host { entry: e.clone(), own_limits };
            let active = host.active();
            let before = state.hosts.insert(e.name.clone(), host).map(|h| (h.entry.group, h.entry.address));
            if before.is_none_or(|before| before.0 != e.group) {
                before.into_iter().for_each(|before| state.leave(before.0, &e.name));
                state.of.entry(e.group).or_default().insert(e.name.clone());
            }
            // Connections to an address that the host has left, or to a host that wants nothing more.
            if !active || before.is_some_and(|before| before.1 != e.address) {
                state.idle.drop_host(&e.name);
            }
        }
        self.s.names.discovery(&list)
    }

    fn activate(&self, destination: u64) -> Option<List> {
        self.view.borrow_mut().activate(destination)
    }

    fn forget(&self, others: &mut dyn FnMut(u64) -> Option<bool>) {
        let mut view = self.view.borrow_mut();
        if !view.is_crowded() {
            return;
        }
        view.shrink(|destination| {
            let goes = others(destination);
            if goes == Some(true) {
                let mut state = self.state.borrow_mut();
                let names = state.of.remove(&destination).unwrap_or_default();
                names.iter().for_each(|name| state.remove(name));
            }
            goes
        });
    }

    async fn attempt(&self, call: &Attempt, gate: &dyn SendGate, off: Cancellation) -> AttemptEnd<()> {
        let progress: RefCell<Option<Rc<Progress>>> = RefCell::default();
        let ended = self.call(call, gate, off, &progress).await;
        let progress = progress.borrow();
        audit::note(&call.call_id, || Step::Ended {
            attempt: call.attempt,
            outcome: format!("{:?}", ended.outcome),
            settled: ended.settled,
            status: progress.as_ref().and_then(|p| p.status()),
            whole: progress.as_ref().is_some_and(|p| p.complete()),
        });
        ended
    }

    async fn probe(&self, endpoint: &str) -> (Outcome, Vec<f64>) {
        let path = if self.s.report_columns.is_empty() { "/ping" } else { "/_load" };
        let progress = RefCell::default();
        let request = || (Request::get(path), Bytes::new());
        let exchange = self.exchange(endpoint, None, request, |_| true, &progress);
        let outcome = match tokio::time::timeout(PROBE, exchange).await {
            Ok(Ok(answer)) => {
                let end = self.read(endpoint, &answer);
                let body = answer.body.as_ref().and_then(|b| self.report(b));
                let report = body.filter(|_| end.report.is_empty()).unwrap_or(end.report);
                return (end.outcome, report);
            }
            Ok(Err(Held::Spoilt)) => Outcome::Error,
            Ok(Err(Held::Stale)) => Outcome::Stale,
            Ok(Err(_)) => Outcome::NoConnection,
            Err(_) => Outcome::TimedOut,
        };
        (outcome, Vec::new())
    }

    fn close_idle(&self, endpoint: &str) {
        self.state.borrow_mut().idle.drop_host(endpoint);
    }
}

fn group(endpoint: &str, host: &Host) -> EndpointGroupKey {
    (host.entry.group, host.own_limits.then(|| endpoint.to_string()))
}

#[cfg(test)]
mod tests;
