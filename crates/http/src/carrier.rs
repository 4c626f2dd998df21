//! Calls and probes to hosts: connections, when a request may be written, and how each call ended. A call is
//! at most one request on one connection; this module never retries.

use crate::audit::{self, Step};
use crate::conn::{bytes, BodyLimit, Conn, ExchangeError, HttpResponse, Progress, MAX_BODY_BYTES};
use crate::idle::IdlePool;
use crate::outcomes::ParsedOutcome;
use bytes::Bytes;
use hyper::header::{HeaderName, HOST};
use hyper::Request;
use linenhall::{ListUpdate, Outcome};
use mulleinslip_engine::{Attempt, AttemptEnd, DeliveryVerdict};
use mulleinslip_membership::{Entry, List, ListNames, Status, View};
use mulleinslip_runtime::{Cancellation, Carrier, SendGate};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

mod connections;

use connections::{DeliveryTimes, HostConnection, UnverifiedDelivery, Verification};

/// Time limit for a response's body. The outcome depends on the head alone; the body is only read to reuse
/// the connection.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of a probe; a slower host counts as one that fails.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A connection is dropped this long before its host may close it, so that no request crosses the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// A reused connection that breaks this soon after a request was written, without any response, was dead
/// before. The time covers a round trip and a slow machine. A host that fails its calls this fast shows it on
/// new connections as well.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(100);
/// Maximum value of a load report that is accepted: no host handles this many calls per second.
const MAX_REPORTED_VALUE: f64 = 1e6;

const CALL_ID_HEADER: HeaderName = HeaderName::from_static("x-call-id");
const BUDGET_HEADER: HeaderName = HeaderName::from_static("x-budget");
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// A known host.
struct Host {
    /// The host's entry in the list.
    entry: Entry,
    /// Whether the host has limits of its own, rather than those of its destination.
    own_limits: bool,
}

impl Host {
    fn is_active(&self) -> bool {
        self.entry.status == Status::Active
    }
}

/// What shares one `Retry-After`: a destination, or one host where hosts have limits of their own.
type EndpointGroupKey = (u64, Option<String>);

/// The known hosts and the connections to them.
#[derive(Default)]
struct State {
    /// The hosts of the destinations in use, by name.
    hosts: HashMap<String, Host>,
    /// The names of the hosts of each destination.
    names_by_destination: HashMap<u64, HashSet<String>>,
    /// When each group may be called again.
    retry_afters: HashMap<EndpointGroupKey, Instant>,
    /// Number of connections that carry a call or are being established.
    open_connections: usize,
    /// Connections without a call.
    idle: IdlePool<HostConnection>,
    /// Hosts that sent bytes which no request asked for, and until when their connections are not kept.
    distrusted_until: HashMap<String, Instant>,
    /// Times in which each host delivered.
    delivery_times: HashMap<String, DeliveryTimes>,
}

impl State {
    /// Removes a host and its idle connections.
    fn remove(&mut self, name: &str) {
        if let Some(host) = self.hosts.remove(name) {
            self.remove_from_destination(host.entry.group, name);
        }
        self.close_idle(name);
        self.distrusted_until.remove(name);
        self.delivery_times.remove(name);
    }

    /// Removes a host's name from its destination.
    fn remove_from_destination(&mut self, destination: u64, name: &str) {
        let was_last = self
            .names_by_destination
            .get_mut(&destination)
            .is_some_and(|names| names.remove(name) && names.is_empty());
        if was_last {
            self.names_by_destination.remove(&destination);
        }
    }
}

/// Settings of the carrier.
pub struct CarrierSettings {
    /// Maximum number of open connections, idle ones included.
    pub max_open: usize,
    /// Time limit for opening a connection; after it the connection counts as refused.
    pub connect_timeout: Duration,
    /// Idle time after which hosts close a connection, in milliseconds.
    pub conn_idle_ms: f64,
    /// Names of zones and kinds.
    pub names: ListNames,
    /// Whether the hosts of each kind have limits of their own.
    pub own_limits: Vec<bool>,
    /// Columns of a load report, in the order that the decision module expects.
    pub report_columns: Vec<String>,
}

/// The relay's connections and calls to hosts.
pub struct HttpCarrier {
    state: RefCell<State>,
    settings: CarrierSettings,
    /// All listed hosts.
    view: Rc<RefCell<View>>,
    /// Idle time after which a connection is closed.
    idle_timeout: Duration,
    /// Number of messages that were written in full.
    attempts_written: Rc<Cell<u64>>,
    /// Number of connections to hosts that were established.
    connections_opened: Cell<u64>,
    /// Number of connections on which a host sent bytes that no request asked for.
    unrequested_responses: Cell<u64>,
    /// Deliveries that are reported and not verified yet, by message and attempt.
    unverified: RefCell<HashMap<(u64, u32), UnverifiedDelivery>>,
    /// Whether another process is taking over, which can't be told later whether a delivery is verified.
    handing_over: Cell<bool>,
}

/// The connection on which an attempt is written.
#[derive(Default)]
struct AttemptTrace {
    progress: RefCell<Option<Rc<Progress>>>,
    /// Whether the connection carried an earlier request.
    used_before: Cell<bool>,
}

impl AttemptTrace {
    /// Starts over on another connection.
    fn begin(&self, conn: &Conn) {
        *self.progress.borrow_mut() = Some(conn.progress());
        self.used_before.set(conn.carried() > 0);
    }

    /// Returns the status in the response's status line, if a valid one was received.
    fn status(&self) -> Option<u16> {
        self.progress.borrow().as_ref().and_then(|p| p.status())
    }

    /// Returns whether the request was written in full.
    fn complete(&self) -> bool {
        self.progress.borrow().as_ref().is_some_and(|p| p.complete())
    }
}

/// Why a call has no response.
enum CallError {
    /// No connection could be established, or it broke.
    NoConnection,
    /// The host is unknown or being removed, a `Retry-After` is in force, the connection limit is reached, or
    /// the attempt may not begin.
    NotAllowed,
    /// A reused connection was already dead when the request was written, which was not detectable.
    StaleConnection,
    /// The request was written and the response is unreadable, except perhaps for its status line.
    Unreadable,
}

impl HttpCarrier {
    /// Creates a carrier without hosts.
    pub fn new(settings: CarrierSettings, view: Rc<RefCell<View>>) -> HttpCarrier {
        let idle_timeout = Duration::from_secs_f64(settings.conn_idle_ms.clamp(0.0, 1e9) / 1000.0);
        let idle_timeout = idle_timeout.saturating_sub(IDLE_MARGIN).max(idle_timeout / 2);
        HttpCarrier {
            state: RefCell::default(),
            settings,
            view,
            idle_timeout,
            attempts_written: Rc::default(),
            connections_opened: Cell::default(),
            unrequested_responses: Cell::default(),
            unverified: RefCell::default(),
            handing_over: Cell::default(),
        }
    }

    /// Returns the number of messages that were written to hosts in full.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.get()
    }

    /// Returns the number of connections to hosts that were established.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.get()
    }

    /// Returns the number of connections on which a host sent bytes that no request asked for.
    pub fn unrequested_responses(&self) -> u64 {
        self.unrequested_responses.get()
    }

    /// Returns the `Retry-After`s in force: the destination, the endpoint where endpoints have limits of
    /// their own (else empty), and the remaining time.
    pub fn retry_afters(&self) -> Vec<(u64, String, Duration)> {
        let now = Instant::now();
        let state = self.state.borrow();
        let in_force = state.retry_afters.iter().filter(|entry| *entry.1 > now);
        in_force
            .map(|((destination, host), until)| {
                (*destination, host.clone().unwrap_or_default(), *until - now)
            })
            .collect()
    }

    /// Restores `Retry-After`s that an earlier process received, in the form of
    /// [`HttpCarrier::retry_afters`].
    pub fn restore_retry_afters(&self, retry_afters: &[(u64, String, Duration)]) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        for (destination, host, left) in retry_afters {
            let group = (*destination, Some(host.clone()).filter(|host| !host.is_empty()));
            let retry_at = state.retry_afters.entry(group).or_insert(now);
            *retry_at = (*retry_at).max(now + *left);
        }
    }

    /// Restores the `Retry-After` that an earlier process received from this host.
    pub fn restore_host_retry_after(&self, endpoint: &str, left: Duration) {
        let group = self.state.borrow().hosts.get(endpoint).map(|h| group_key(endpoint, h));
        if let Some((destination, host)) = group {
            self.restore_retry_afters(&[(destination, host.unwrap_or_default(), left)]);
        }
    }

    /// Stops sending to hosts that this list has as leaving or, if it is a full list, leaves out. It takes
    /// effect at once, as the engine may process the list later.
    pub fn stop_sending_to_drained(&self, list: &List) {
        let mut state = self.state.borrow_mut();
        if list.snapshot {
            let active = list.endpoints.iter().filter(|e| e.status == Status::Active);
            let active: HashSet<&str> = active.map(|e| e.name.as_str()).collect();
            let drained = state.hosts.iter_mut().filter(|(name, _)| !active.contains(name.as_str()));
            drained.for_each(|(_, host)| host.entry.status = Status::Leaving);
            return;
        }
        for entry in list.endpoints.iter().filter(|entry| entry.status != Status::Active) {
            if let Some(host) = state.hosts.get_mut(&entry.name) {
                host.entry.status = Status::Leaving;
            }
        }
    }

    /// Sends one request on a connection to the host. If a reused connection turns out to be closed before
    /// the first byte is written, the next one is used; after the first byte there is no second try. With
    /// `new_connection` none is reused.
    async fn exchange(
        &self, endpoint: &str, destination: Option<u64>, new_connection: bool,
        request: impl Fn() -> (hyper::http::request::Builder, Bytes),
        begin: impl Fn(&Conn, Option<Instant>) -> bool, trace: &AttemptTrace,
    ) -> Result<(HttpResponse, Verification), CallError> {
        loop {
            let (mut connection, _open_connection) = self.connection(endpoint, new_connection).await?;
            let reused = connection.idle_since.is_some();
            // While the connection was being established, the host may have been drained or moved to another
            // address, or a `Retry-After` received. Asked again for each connection, as time has passed since
            // the first.
            let address = connection.address;
            let is_writable = self.writable_address(endpoint, destination) == Some(address);
            if !is_writable || !begin(&connection.conn, connection.idle_since) {
                self.return_unused(endpoint, connection);
                return Err(CallError::NotAllowed);
            }
            let conn = &mut connection.conn;
            trace.begin(conn);
            if destination.is_some() {
                conn.progress().count_when_complete(self.attempts_written.clone());
            }
            let (head, body) = request();
            let built_request = head.header(HOST, address.to_string()).body(bytes(body));
            let Ok(built_request) = built_request else { return Err(CallError::NotAllowed) };
            let started_at = Instant::now();
            // Only the body of a probe's response means something.
            let body_limit =
                if destination.is_some() { BodyLimit::DISCARD } else { BodyLimit::keep(MAX_BODY_BYTES) };
            match conn.exchange(built_request, BODY_TIMEOUT, body_limit).await {
                Ok(response) => {
                    let used_before = trace.used_before.get();
                    let verification =
                        self.store_after_response(endpoint, connection, started_at, used_before, &response);
                    return Ok((response, verification));
                }
                Err(ExchangeError::Unreadable) => return Err(CallError::Unreadable),
                Err(_) if reused && !conn.progress().started() => continue,
                Err(_) if reused && started_at.elapsed() < STALE_CONNECTION_WINDOW => {
                    return Err(CallError::StaleConnection)
                }
                Err(_) => return Err(CallError::NoConnection),
            }
        }
    }

    /// Makes one attempt; `trace` is set to the connection on which the request is written.
    async fn call_host(
        &self, call: &Attempt, gate: &dyn SendGate, mut cancellation: Cancellation, trace: &AttemptTrace,
    ) -> AttemptEnd<()> {
        let wait = call.wait();
        let request = || {
            let mut request = Request::post("/inbox")
                .header(CALL_ID_HEADER, &call.call_id)
                .header(BUDGET_HEADER, format!("{}m", wait.as_millis()));
            if let Some(key) = &call.idempotency_key {
                request = request.header(IDEMPOTENCY_KEY_HEADER, key.as_ref());
            }
            (request, call.body.clone())
        };
        let begin = |conn: &Conn, idle_since: Option<Instant>| {
            let may_begin = gate.begin();
            if may_begin {
                audit::log_step(&call.call_id, || Step::Begun {
                    attempt: call.attempt,
                    endpoint: &call.endpoint,
                    port: conn.local_port(),
                    carried: conn.carried(),
                    idle_ms: idle_since.map(|since| since.elapsed().as_millis() as u64),
                });
            }
            may_begin
        };
        let exchange =
            self.exchange(&call.endpoint, Some(call.destination), call.others_wait, request, begin, trace);
        let outcome = tokio::select! {
            biased;
            () = cancellation.requested() => Outcome::Cancelled,
            result = tokio::time::timeout(wait, exchange) => match result {
                Ok(Ok((response, verification))) => {
                    let end = self.interpret(&call.endpoint, &response);
                    return self.await_verification(call, end, verification);
                }
                Ok(Err(CallError::NoConnection)) => Outcome::NoConnection,
                Ok(Err(CallError::NotAllowed)) => Outcome::NotSent,
                Ok(Err(CallError::StaleConnection)) => Outcome::Stale,
                // The call has run, as hosts write the status line afterwards; a status of 200 means
                // delivered.
                Ok(Err(CallError::Unreadable)) => Outcome::Error,
                Err(_) => Outcome::TimedOut,
            }
        };
        if trace.status() == Some(200) {
            let end = AttemptEnd {
                settled: true,
                response: Some(()),
                ..AttemptEnd::without_response(Outcome::Delivered)
            };
            let verification = match trace.used_before.get() {
                true => Verification::Impossible,
                false => Verification::NotNeeded,
            };
            return self.await_verification(call, end, verification);
        }
        // The connection is closed by now. A request that was not written in full can't have run.
        let written = trace.complete();
        AttemptEnd::without_response(match outcome {
            Outcome::NoConnection if written => Outcome::Broken,
            Outcome::Stale if !written => Outcome::NotSent,
            Outcome::Cancelled | Outcome::TimedOut if !written => Outcome::NoConnection,
            other => other,
        })
    }

    /// Returns the host's address if a request may be written to it now.
    fn writable_address(&self, endpoint: &str, destination: Option<u64>) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let host = state
            .hosts
            .get(endpoint)
            .filter(|h| h.is_active() && destination.is_none_or(|d| d == h.entry.group))?;
        let retry_after_in_force =
            state.retry_afters.get(&group_key(endpoint, host)).is_some_and(|until| *until > Instant::now());
        (!retry_after_in_force).then_some(host.entry.address)
    }

    /// Returns the end of an attempt with the time until its delivery is verified.
    fn await_verification(
        &self, call: &Attempt, end: AttemptEnd<()>, verification: Verification,
    ) -> AttemptEnd<()> {
        let verification_ms = match verification {
            Verification::NotNeeded => return end,
            Verification::Impossible => f64::INFINITY,
            Verification::Pending(delivery) => {
                let verification_ms = delivery.time_left().as_secs_f64() * 1000.0;
                self.unverified.borrow_mut().insert((call.id, call.attempt), delivery);
                verification_ms
            }
        };
        AttemptEnd { verification_ms, ..end }
    }

    /// Interprets a response.
    fn interpret(&self, endpoint: &str, response: &HttpResponse) -> AttemptEnd<()> {
        let report = response.headers.get("X-Load-Report").and_then(|v| self.parse_report(v.as_bytes()));
        let ParsedOutcome { outcome, settled, retry_after_ms } =
            ParsedOutcome::of(response.status, &response.headers);
        // Only a complete response without surplus bytes proves by its status that a call never ran or is
        // finished. `Retry-After` counts in any case, as its head is complete.
        let complete = response.body.is_some() && !response.surplus;
        let (outcome, settled) = match outcome {
            Outcome::Delivered => (outcome, settled),
            _ if complete => (outcome, settled),
            _ => (Outcome::Error, false),
        };
        if retry_after_ms > 0.0 {
            let until = Instant::now() + Duration::from_secs_f64(retry_after_ms / 1000.0);
            self.state.borrow_mut().record_retry_after(endpoint, until);
        }
        AttemptEnd {
            outcome,
            settled,
            retry_after_ms,
            report: report.unwrap_or_default(),
            response: Some(()),
            verification_ms: 0.0,
        }
    }

    /// Returns the values of a load report in the order of the settings, or `None` if it can't be parsed.
    fn parse_report(&self, json: &[u8]) -> Option<Vec<f64>> {
        let values: HashMap<String, f64> = serde_json::from_slice(json).ok()?;
        let accepted_value =
            |column: &String| values.get(column).copied().filter(|v| v.abs() <= MAX_REPORTED_VALUE);
        Some(
            self.settings
                .report_columns
                .iter()
                .map(|column| accepted_value(column).unwrap_or(f64::NAN))
                .collect(),
        )
    }
}

impl Carrier for HttpCarrier {
    type Response = ();
    type List = List;

    fn apply_list(&self, mut list: List) -> ListUpdate {
        let mut state = self.state.borrow_mut();
        let view = self.view.borrow();
        // The list may have been queued while its destination was deactivated to make room for another.
        // Further updates of such hosts are not passed on, so they must not be added. A host known in another
        // destination has left that one.
        list.endpoints.retain_mut(|entry| {
            let known = state.hosts.get(&entry.name).map(|h| h.entry.group);
            if view.is_active(entry.group) || known == Some(entry.group) {
                return true;
            }
            (entry.status, entry.group) = (Status::Left, known.unwrap_or(entry.group));
            known.is_some()
        });
        drop(view);
        if list.snapshot {
            let named: HashSet<&str> = list.endpoints.iter().map(|e| e.name.as_str()).collect();
            let hosts = state.hosts.keys().filter(|name| !named.contains(name.as_str()));
            let removed: Vec<String> = hosts.cloned().collect();
            removed.iter().for_each(|name| state.remove(name));
        }
        for entry in &list.endpoints {
            if entry.status == Status::Left {
                state.remove(&entry.name);
                continue;
            }
            let own_limits = self
                .settings
                .own_limits
                .get(self.settings.names.kind_index(&entry.kind))
                .copied()
                .unwrap_or(false);
            let host = Host { entry: entry.clone(), own_limits };
            let is_active = host.is_active();
            let before =
                state.hosts.insert(entry.name.clone(), host).map(|h| (h.entry.group, h.entry.address));
            if before.is_none_or(|before| before.0 != entry.group) {
                before.into_iter().for_each(|before| state.remove_from_destination(before.0, &entry.name));
                state.names_by_destination.entry(entry.group).or_default().insert(entry.name.clone());
            }
            // Drops connections to a host that takes no more calls, or to an address that the host has left.
            if !is_active || before.is_some_and(|before| before.1 != entry.address) {
                state.close_idle(&entry.name);
            }
        }
        self.settings.names.to_list_update(&list)
    }

    fn activate(&self, destination: u64) -> Option<List> {
        self.view.borrow_mut().activate(destination)
    }

    fn evict_unused(&self, may_forget: &mut dyn FnMut(u64) -> Option<bool>) {
        let mut view = self.view.borrow_mut();
        if !view.is_over_capacity() {
            return;
        }
        view.evict_surplus(|destination| {
            let removable = may_forget(destination);
            if removable == Some(true) {
                let mut state = self.state.borrow_mut();
                let names = state.names_by_destination.remove(&destination).unwrap_or_default();
                names.iter().for_each(|name| state.remove(name));
            }
            removable
        });
    }

    async fn attempt(
        &self, call: &Attempt, gate: &dyn SendGate, cancellation: Cancellation,
    ) -> AttemptEnd<()> {
        let trace = AttemptTrace::default();
        let mut ended = self.call_host(call, gate, cancellation, &trace).await;
        audit::log_step(&call.call_id, || Step::Ended {
            attempt: call.attempt,
            outcome: format!("{:?}", ended.outcome),
            settled: ended.settled,
            status: trace.status(),
            whole: trace.complete(),
        });
        if ended.verification_ms > 0.0 && self.handing_over.get() {
            ended = match self.verify_delivery(call).await {
                DeliveryVerdict::Verified => AttemptEnd { verification_ms: 0.0, ..ended },
                DeliveryVerdict::Doubted { retry_after } => {
                    let retry_after_ms = retry_after.map_or(0.0, |told| told.wait_ms);
                    AttemptEnd { retry_after_ms, ..ended.doubted() }
                }
            };
        }
        ended
    }

    async fn verify_delivery(&self, call: &Attempt) -> DeliveryVerdict {
        let key = (call.id, call.attempt);
        let delivery = self.unverified.borrow().get(&key).cloned();
        let Some(delivery) = delivery else { return DeliveryVerdict::Doubted { retry_after: None } };
        let doubt = delivery.result().await;
        self.unverified.borrow_mut().remove(&key);
        audit::log_step(&call.call_id, || Step::Verified {
            attempt: call.attempt,
            verified: doubt.is_none(),
        });
        let Some(doubt) = doubt else { return DeliveryVerdict::Verified };
        eprintln!(
            "mulleinslip: the delivery of {} to {} can't be verified: {doubt:?}; it is ended by a notice",
            call.call_id, call.endpoint
        );
        DeliveryVerdict::Doubted { retry_after: self.retry_after_of(&call.endpoint, doubt) }
    }

    async fn probe(&self, endpoint: &str) -> (Outcome, Vec<f64>) {
        let path = if self.settings.report_columns.is_empty() { "/ping" } else { "/_load" };
        let trace = AttemptTrace::default();
        let request = || (Request::get(path), Bytes::new());
        let exchange = self.exchange(endpoint, None, false, request, |_, _| true, &trace);
        let outcome = match tokio::time::timeout(PROBE_TIMEOUT, exchange).await {
            Ok(Ok((response, _))) => {
                let end = self.interpret(endpoint, &response);
                let body_report = response.body.as_ref().and_then(|b| self.parse_report(b));
                let report = body_report.filter(|_| end.report.is_empty()).unwrap_or(end.report);
                return (end.outcome, report);
            }
            Ok(Err(CallError::Unreadable)) => Outcome::Error,
            Ok(Err(CallError::StaleConnection)) => Outcome::Stale,
            Ok(Err(_)) => Outcome::NoConnection,
            Err(_) => Outcome::TimedOut,
        };
        (outcome, Vec::new())
    }

    fn close_idle(&self, endpoint: &str) {
        self.state.borrow_mut().close_idle(endpoint);
    }
}

/// Returns the group that a host shares its `Retry-After` with.
fn group_key(endpoint: &str, host: &Host) -> EndpointGroupKey {
    (host.entry.group, host.own_limits.then(|| endpoint.to_string()))
}

#[cfg(test)]
mod tests;
