//! The connections to hosts: when one is opened, kept, used again or closed.
//!
//! HTTP/1.1 has no id that matches a response to its request, so a host that sends a response twice can make
//! the copy pass for the response to the next request on the connection. Three rules prevent that:
//!
//! - Only after a 200 is a connection kept, so no other response can be repeated on a used connection.
//! - A kept connection rests before it carries the next request. Bytes that arrive meanwhile were requested by
//!   none, and the connections of that host then carry one request each for a while.
//! - A 200 on a used connection may be such a copy, so the connection then rests for longer, in which the right
//!   response would come. If one does, or if the 200 came much sooner than the host delivers, as a hanging host
//!   sends no other, the delivery is in doubt, see [`UnverifiedDelivery`].

use super::{group_key, CallError, HttpCarrier, State};
use crate::conn::{Conn, HttpResponse, IdleInput};
use crate::idle::IdleTimes;
use hyper::StatusCode;
use mulleinslip_engine::RetryAfter;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A connection carries the next request this long after the last response at the earliest.
const REST_AFTER_RESPONSE: Duration = Duration::from_millis(100);
/// After a response that may be a copy of an earlier one, a connection carries the next request this long after
/// the last request at the earliest. A host that refuses a call, which then never ran, answers within this
/// time.
const REST_AFTER_REQUEST: Duration = Duration::from_millis(300);
/// A delivery by a response that may be a copy of an earlier one is verified this long after its request, or
/// when the connection, which has rested, is needed.
const VERIFICATION_TIME: Duration = Duration::from_millis(1000);
/// How long the connections of a host that sent bytes which no request asked for carry one request each.
const DISTRUST_TIME: Duration = Duration::from_secs(60);
/// Shorter delivery times are not compared: they vary by more than half with the load of this machine.
const MIN_COMPARED_DELIVERY: Duration = Duration::from_millis(60);
/// Number of deliveries by a host after which its shortest time is compared.
const MIN_DELIVERIES_COMPARED: u32 = 5;
/// By which part of the difference a host's shortest delivery time approaches a longer one.
const SHORTEST_DELIVERY_AGEING: u32 = 16;
/// Interval between checks of the idle connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of those with an unverified delivery, on which a `Retry-After` may come.
const UNVERIFIED_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Times in which a host delivered, by responses that are known to belong to their requests.
#[derive(Default)]
pub(super) struct DeliveryTimes {
    /// The shortest lately.
    shortest: Duration,
    /// Number of deliveries.
    count: u32,
}

/// Whether a delivery by a response on a used connection is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Not known yet.
    Pending,
    /// The connection was quiet until it was used again.
    Verified,
    /// It can't be verified any more.
    Doubted(Doubt),
}

/// Why a delivery can't be verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Doubt {
    /// Bytes came that no request asked for, perhaps the right response.
    UnrequestedInput {
        /// The `Retry-After` in them.
        retry_after: Option<Duration>,
    },
    /// The host closed the connection.
    ClosedByHost,
    /// This process closed the connection, as others needed the room.
    ClosedHere,
    /// The response came much sooner than the host answers, and no other followed.
    TooEarly,
}

/// A delivery by a response that may be a copy of an earlier one. The right response would then follow on the
/// connection.
#[derive(Clone)]
pub(super) struct UnverifiedDelivery {
    verdict: Rc<Cell<Verdict>>,
    /// Signals that there is a verdict.
    decided: Rc<Notify>,
    verified_at: Instant,
    /// Whether the response came much sooner than the host answers.
    too_early: bool,
}

impl UnverifiedDelivery {
    /// Creates a delivery whose request was written at `requested_at`.
    fn new(requested_at: Instant, too_early: bool) -> UnverifiedDelivery {
        let (verdict, decided) = (Rc::new(Cell::new(Verdict::Pending)), Rc::default());
        UnverifiedDelivery { verdict, decided, verified_at: requested_at + VERIFICATION_TIME, too_early }
    }

    /// Sets the verdict, unless there is one already.
    fn decide(&self, verdict: Verdict) {
        if self.verdict.get() == Verdict::Pending {
            self.verdict.set(verdict);
            self.decided.notify_one();
        }
    }

    /// Returns the time until the result is known.
    pub(super) fn time_left(&self) -> Duration {
        // Input that came until then is noticed by the next check of the idle connections.
        self.verified_at.saturating_duration_since(Instant::now()) + 2 * CHECK_INTERVAL
    }

    /// Waits for the result, and returns why the delivery can't be verified, or `None` if it is.
    pub(super) async fn result(self) -> Option<Doubt> {
        let _decided_or_not = tokio::time::timeout(self.time_left(), self.decided.notified()).await;
        match self.verdict.get() {
            Verdict::Pending | Verdict::Verified => self.too_early.then_some(Doubt::TooEarly),
            Verdict::Doubted(doubt) => Some(doubt),
        }
    }
}

/// Whether a response is known to belong to its request.
pub(super) enum Verification {
    /// It is: no other response can have come in its place.
    NotNeeded,
    /// It is if no other follows.
    Pending(UnverifiedDelivery),
    /// It may not be, and the connection is closed.
    Impossible,
}

/// An established connection to a host.
pub(super) struct HostConnection {
    pub(super) conn: Conn,
    /// The address to which it was opened.
    pub(super) address: SocketAddr,
    /// Since when the connection is idle; `None` if it is new.
    pub(super) idle_since: Option<Instant>,
    /// The last delivery, if it has to be verified.
    unverified: Option<UnverifiedDelivery>,
    /// Whether it is kept open only until that delivery is verified.
    closing: bool,
}

impl HostConnection {
    fn new(conn: Conn, address: SocketAddr, idle_since: Option<Instant>) -> HostConnection {
        HostConnection { conn, address, idle_since, unverified: None, closing: false }
    }

    /// Returns whether the connection is kept open only for a delivery that is verified by now.
    fn may_close(&self, now: Instant) -> bool {
        self.closing && self.unverified.as_ref().is_none_or(|delivery| delivery.verified_at <= now)
    }

    /// Ends the verification of the last delivery.
    fn decide(&mut self, verdict: Verdict) {
        if let Some(unverified) = self.unverified.take() {
            unverified.decide(verdict);
        }
    }
}

impl Drop for HostConnection {
    fn drop(&mut self) {
        let in_time = self.unverified.as_ref().is_some_and(|delivery| delivery.verified_at <= Instant::now());
        self.decide(if in_time { Verdict::Verified } else { Verdict::Doubted(Doubt::ClosedHere) });
    }
}

/// Counts a connection as open while this value exists, also while it is being established.
pub(super) struct OpenConnection<'a>(&'a HttpCarrier);

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().open_connections -= 1;
    }
}

impl HttpCarrier {
    /// Returns the newest idle connection that has rested, unless a new one is wanted, or else a new one.
    pub(super) async fn connection(
        &self, endpoint: &str, new_connection: bool,
    ) -> Result<(HostConnection, OpenConnection<'_>), CallError> {
        let address = {
            let mut state = self.state.borrow_mut();
            let Some(host) = state.hosts.get(endpoint) else { return Err(CallError::NotAllowed) };
            let address = host.entry.address;
            let now = Instant::now();
            let may_reuse = !new_connection && self.may_reuse_connections();
            while let Some((since, mut connection)) =
                may_reuse.then(|| state.idle.take_newest(endpoint, now)).flatten()
            {
                if !self.is_quiet(&mut state, endpoint, &mut connection) {
                    continue;
                }
                connection.decide(Verdict::Verified);
                if now - since < self.idle_timeout && !connection.closing {
                    state.open_connections += 1;
                    return Ok((connection, OpenConnection(self)));
                }
            }
            let at_limit = state.open_connections + state.idle.len() >= self.settings.max_open;
            if at_limit && !self.make_room(&mut state, now) {
                return Err(CallError::NotAllowed);
            }
            state.open_connections += 1;
            address
        };
        let open_connection = OpenConnection(self);
        let conn = Conn::open(address, self.settings.connect_timeout).await;
        let conn = conn.map_err(|_| CallError::NoConnection)?;
        self.connections_opened.set(self.connections_opened.get() + 1);
        Ok((HostConnection::new(conn, address, None), open_connection))
    }

    /// Closes the connection that has been idle for longest, if possible one without an unverified delivery or
    /// one that has rested. Returns whether there was one.
    fn make_room(&self, state: &mut State, now: Instant) -> bool {
        if state.idle.take_oldest(|_, connection| connection.unverified.is_none()).is_some() {
            return true;
        }
        let rested = state.idle.take_oldest(|times, _| times.rested_at <= now);
        let Some((host, _, mut connection)) = rested else { return state.idle.drop_oldest() };
        if self.is_quiet(state, &host, &mut connection) {
            connection.decide(Verdict::Verified);
        }
        true
    }

    /// Returns whether connections may be used again: no takeover is prepared, and there are not so many
    /// unverified deliveries that their connections might have to be closed to make room.
    fn may_reuse_connections(&self) -> bool {
        let max_unverified = self.settings.max_open / 2;
        !self.handing_over.get() && self.unverified.borrow().len() < max_unverified
    }

    /// Returns a connection that was not used to the pool.
    pub(super) fn return_unused(&self, endpoint: &str, mut connection: HostConnection) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if connection.conn.reusable() && state.may_keep(endpoint, connection.address, now) {
            let since = *connection.idle_since.get_or_insert(now);
            state.idle.insert(endpoint, IdleTimes { since, rested_at: now, preferred_at: now }, connection);
        }
    }

    /// Keeps a connection for reuse after a response, or closes it. Returns whether the response is known to
    /// belong to the request, which was written at `requested_at`. `used_before` tells whether the connection
    /// carried an earlier request.
    pub(super) fn store_after_response(
        &self, endpoint: &str, mut connection: HostConnection, requested_at: Instant, used_before: bool,
        response: &HttpResponse,
    ) -> Verification {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if response.surplus {
            let status = Some(response.status.as_u16());
            self.on_unrequested_input(&mut state, endpoint, &mut connection, (status, None));
        }
        let delivered = response.status == StatusCode::OK;
        let verifiable = delivered && connection.conn.reusable();
        connection.closing = !state.may_keep(endpoint, connection.address, now);
        if !verifiable || (connection.closing && !used_before) {
            return if delivered && used_before { Verification::Impossible } else { Verification::NotNeeded };
        }
        let took = now - requested_at;
        if !used_before {
            state.record_delivery_time(endpoint, took);
        }
        connection.idle_since = Some(now);
        let rested_at = now + REST_AFTER_RESPONSE;
        let mut times = IdleTimes { since: now, rested_at, preferred_at: rested_at };
        let mut verification = Verification::NotNeeded;
        if used_before {
            let too_early = state.is_too_early(endpoint, took);
            let delivery = UnverifiedDelivery::new(requested_at, too_early);
            times.rested_at = rested_at.max(requested_at + REST_AFTER_REQUEST);
            times.preferred_at = times.rested_at.max(delivery.verified_at);
            connection.unverified = Some(delivery.clone());
            verification = Verification::Pending(delivery);
        }
        state.idle.insert(endpoint, times, connection);
        verification
    }

    /// Checks the idle connections, and closes those that have been idle for too long or got input. Never
    /// returns.
    pub async fn check_idle_connections(&self) {
        let mut all_checked_at = Instant::now();
        loop {
            tokio::time::sleep(UNVERIFIED_CHECK_INTERVAL).await;
            let now = Instant::now();
            let check_all = now - all_checked_at >= CHECK_INTERVAL;
            if check_all {
                all_checked_at = now;
            }
            self.check_connections(now, check_all);
        }
    }

    /// Checks the idle connections, or only those with an unverified delivery.
    fn check_connections(&self, now: Instant, check_all: bool) {
        if !check_all && self.unverified.borrow().is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let mut idle = std::mem::take(&mut state.idle);
        let mut distrusted = Vec::new();
        idle.retain(|endpoint, times, connection| {
            if !check_all && connection.unverified.is_none() {
                return true;
            }
            let quiet = self.is_quiet(&mut state, endpoint, connection);
            if state.distrusted_until.contains_key(endpoint) {
                distrusted.push(endpoint.to_string());
            }
            quiet && !connection.may_close(now) && now - times.since < self.idle_timeout
        });
        state.idle = idle;
        distrusted.iter().for_each(|endpoint| state.close_idle(endpoint));
        state.distrusted_until.retain(|_, until| *until > now);
        state.retry_afters.retain(|_, until| *until > now);
    }

    /// Prepares for a takeover by another process, which can't be told later whether a delivery is verified:
    /// calls use new connections, and those that are in flight on used ones end only once they are verified.
    /// Waits until the deliveries so far are verified.
    pub async fn prepare_hand_over(&self) {
        self.handing_over.set(true);
        let deadline = Instant::now() + VERIFICATION_TIME + 2 * CHECK_INTERVAL;
        while !self.unverified.borrow().is_empty() && Instant::now() < deadline {
            tokio::time::sleep(CHECK_INTERVAL / 5).await;
        }
    }

    /// Undoes [`HttpCarrier::prepare_hand_over`] when the takeover has failed.
    pub fn cancel_hand_over(&self) {
        self.handing_over.set(false);
    }

    /// Takes an idle connection that has rested for another process, the oldest first: its host, its idle time
    /// and its socket.
    pub fn hand_over_idle(&self) -> Option<(String, Duration, OwnedFd)> {
        let now = Instant::now();
        loop {
            let mut state = self.state.borrow_mut();
            let (host, since, mut connection) = state.idle.take_oldest(|times, _| times.rested_at <= now)?;
            let socket = connection.conn.duplicate_socket();
            if !self.is_quiet(&mut state, &host, &mut connection) {
                continue;
            }
            connection.decide(Verdict::Verified);
            if let (false, Ok(socket)) = (connection.closing, socket) {
                return Some((host.to_string(), since.elapsed(), socket));
            }
        }
    }

    /// Takes over a connection that has been idle for this long in an earlier process. An unusable one is
    /// closed.
    pub async fn take_over_idle(&self, endpoint: &str, idle: Duration, socket: OwnedFd) -> io::Result<()> {
        let stream = std::net::TcpStream::from(socket);
        let peer = stream.peer_addr()?;
        stream.set_nonblocking(true)?;
        let mut conn = Conn::from_stream(TcpStream::from_std(stream)?).await?;
        conn.set_used_before();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let host = state.hosts.get(endpoint).filter(|h| h.is_active() && h.entry.address == peer);
        let has_room = state.open_connections + state.idle.len() < self.settings.max_open;
        if let (Some(_), true, Some(since)) = (host, has_room, now.checked_sub(idle)) {
            let times = IdleTimes { since, rested_at: now, preferred_at: now };
            state.idle.insert(endpoint, times, HostConnection::new(conn, peer, Some(since)));
        }
        Ok(())
    }

    /// Returns the `Retry-After` that came instead of the response to a call, as the decision module needs it.
    pub(super) fn retry_after_of(&self, endpoint: &str, doubt: Doubt) -> Option<RetryAfter> {
        let Doubt::UnrequestedInput { retry_after: Some(wait) } = doubt else { return None };
        let state = self.state.borrow();
        let (destination, host) = state.hosts.get(endpoint).map(|host| group_key(endpoint, host))?;
        let wait_ms = wait.as_secs_f64() * 1000.0;
        Some(RetryAfter { destination, endpoint: host.unwrap_or_default(), wait_ms })
    }

    /// Returns whether a connection without an open request is still usable and has got no input.
    fn is_quiet(&self, state: &mut State, endpoint: &str, connection: &mut HostConnection) -> bool {
        match connection.conn.input_while_idle() {
            IdleInput::Nothing => connection.conn.reusable(),
            IdleInput::Closed => {
                connection.decide(Verdict::Doubted(Doubt::ClosedByHost));
                false
            }
            IdleInput::Unrequested { status, retry_after } => {
                self.on_unrequested_input(state, endpoint, connection, (status, retry_after));
                false
            }
        }
    }

    /// Records, logs and counts bytes from a host that no request asked for, with their status and
    /// `Retry-After`.
    fn on_unrequested_input(
        &self, state: &mut State, endpoint: &str, connection: &mut HostConnection,
        (status, retry_after): (Option<u16>, Option<Duration>),
    ) {
        let now = Instant::now();
        if let Some(wait) = retry_after {
            state.record_retry_after(endpoint, now + wait);
        }
        connection.decide(Verdict::Doubted(Doubt::UnrequestedInput { retry_after }));
        state.distrust(endpoint, now);
        self.unrequested_responses.set(self.unrequested_responses.get() + 1);
        let status = status.map_or_else(|| "none".to_string(), |status| status.to_string());
        let idle_ms = connection.idle_since.map_or(0, |since| (now - since).as_millis());
        eprintln!(
            "mulleinslip: host {endpoint} sent bytes that no request asked for: status {status}, local port \
             {}, {} requests carried, idle for {idle_ms} ms; connection closed, its connections carry one \
             request each for {} s",
            connection.conn.local_port(),
            connection.conn.carried(),
            DISTRUST_TIME.as_secs()
        );
    }
}

impl State {
    /// Records how long the host took for a delivery whose response is known to belong to it.
    fn record_delivery_time(&mut self, endpoint: &str, took: Duration) {
        if !self.hosts.contains_key(endpoint) {
            return;
        }
        let times = self.delivery_times.entry(endpoint.to_string()).or_default();
        let shortest = if times.count == 0 { took } else { times.shortest };
        times.shortest = took.min(shortest + took.saturating_sub(shortest) / SHORTEST_DELIVERY_AGEING);
        times.count = times.count.saturating_add(1);
    }

    /// Returns whether a response came much sooner than the host delivers.
    fn is_too_early(&self, endpoint: &str, took: Duration) -> bool {
        let times = self.delivery_times.get(endpoint).filter(|times| times.count >= MIN_DELIVERIES_COMPARED);
        let shortest = times.map(|times| times.shortest).filter(|time| *time >= MIN_COMPARED_DELIVERY);
        shortest.is_some_and(|shortest| took < shortest / 2)
    }

    /// Records that the host's group may not be called before `until`.
    pub(super) fn record_retry_after(&mut self, endpoint: &str, until: Instant) {
        if let Some(group) = self.hosts.get(endpoint).map(|host| group_key(endpoint, host)) {
            let retry_at = self.retry_afters.entry(group).or_insert(until);
            *retry_at = (*retry_at).max(until);
        }
    }

    /// Returns whether a connection to this host, at this address, may be kept for another request. A list may
    /// have given the host another address since the connection was opened.
    fn may_keep(&self, endpoint: &str, address: SocketAddr, now: Instant) -> bool {
        let trusted = self.distrusted_until.get(endpoint).is_none_or(|until| *until <= now);
        let host = self.hosts.get(endpoint);
        trusted && host.is_some_and(|host| host.is_active() && host.entry.address == address)
    }

    /// Closes the idle connections to a host; one with an unverified delivery once that is verified.
    pub(super) fn close_idle(&mut self, endpoint: &str) {
        self.idle.retain_of_host(endpoint, |connection| {
            connection.closing = true;
            connection.unverified.is_some()
        });
    }

    /// Closes the idle connections to a host that sent bytes which no request asked for, and keeps none for a
    /// while.
    fn distrust(&mut self, endpoint: &str, now: Instant) {
        self.close_idle(endpoint);
        if self.hosts.contains_key(endpoint) {
            self.distrusted_until.insert(endpoint.to_string(), now + DISTRUST_TIME);
        }
    }
}
