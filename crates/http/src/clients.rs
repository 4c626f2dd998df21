//! Client connections: their number, time limits, draining and handover. Requests are handled in intake.rs.

use crate::client_connection::{
    ClientConnection, CloseMode, RequestPhase, Socket, LARGE_REQUEST_TIMEOUT_WHEN_FULL,
};
use crate::client_counts::ClientCounts;
use crate::client_socket::{poll_request, ServerSocket};
use crate::close;
use crate::input_budget::InputBudget;
use crate::intake::{DrainMode, Intake};
use crate::unanswered_input::MAX_HEAD_BYTES;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Semaphore};

/// Interval at which time limits are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a new connection waits for the permit of a connection that was asked to close, which takes one
/// iteration of the event loop.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time from the failing health check until answers close their connections: the load balancer in front
/// checks ten times a second and sends no new clients from 0.2 s after a failed check.
const DRAIN_CLOSING_AFTER: Duration = Duration::from_millis(300);
/// Time until idle connections are closed. By then, those in use have had an answer that closes the
/// connection, which can't cross a request; a close of an idle connection can.
const DRAIN_IDLE_AFTER: Duration = Duration::from_millis(2300);
/// Time until connections with an incomplete request are closed: no client may be connected 4 s after the
/// call.
const DRAIN_ALL_AFTER: Duration = Duration::from_millis(3600);
/// Shortest time between two log lines about input that finds no room.
const NO_ROOM_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the check for remaining connections when the process ends.
const FINISH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The server of one request.
type Server<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A client's connection that is handed over from one process to the next.
#[derive(Debug)]
pub struct HandedOverConnection {
    /// The connection.
    pub stream: std::net::TcpStream,
    /// The input that was received on it and is not answered.
    pub unanswered_input: Vec<u8>,
}

/// All client connections.
pub struct Clients {
    intake: Rc<Intake>,
    /// Bounds the input of unanswered requests.
    input_budget: Rc<InputBudget>,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    /// Open connections by number.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Number of connections above which each answer closes its connection. Clients have a limited number of
    /// connections, and one that sends one request and stays connected occupies one of them for 2 s that
    /// another client needs.
    keep_alive_limit: usize,
    /// Whether there are more connections than that; shared with each connection.
    above_keep_alive_limit: Rc<Cell<bool>>,
    /// Asks idle connections to close.
    idle_close: watch::Sender<bool>,
    /// Counts the calls that start or end draining.
    drain_changes: Cell<u64>,
    /// Number of the next connection.
    next_number: Cell<u64>,
    /// Why connections were closed; the open ones are not counted here.
    counts: Cell<ClientCounts>,
    /// When it was last logged that there is no room for large requests.
    no_room_logged_at: Cell<Option<Instant>>,
    /// Where connections are sent once another process takes over.
    handover_target: watch::Sender<Option<UnboundedSender<HandedOverConnection>>>,
}

impl Clients {
    /// Creates the set of client connections, which holds at most `max_connections`, and in them at most about
    /// `max_input_bytes` of unanswered requests.
    pub fn new(intake: Rc<Intake>, max_connections: usize, max_input_bytes: usize) -> Rc<Clients> {
        let input_budget = Rc::new(InputBudget::new(max_input_bytes));
        let (permits, keep_alive_limit) = (Arc::new(Semaphore::new(max_connections)), max_connections / 2);
        let (connections, above_keep_alive_limit, drain_changes) =
            (RefCell::default(), Rc::default(), Cell::default());
        let (idle_close, handover_target, next_number) =
            (watch::Sender::new(false), watch::Sender::new(None), Cell::default());
        Rc::new(Clients {
            intake,
            input_budget,
            permits,
            connections,
            keep_alive_limit,
            above_keep_alive_limit,
            idle_close,
            drain_changes,
            next_number,
            counts: Cell::default(),
            no_room_logged_at: Cell::default(),
            handover_target,
        })
    }

    /// Returns what the connections hold, and why others were closed.
    pub fn counts(&self) -> ClientCounts {
        let (connections, input_bytes) = (self.count(), self.input_budget.held_bytes());
        ClientCounts { connections, input_bytes, ..self.counts.get() }
    }

    fn add_to_counts(&self, add: impl FnOnce(&mut ClientCounts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }

    /// Logs that there is no room for large requests, at most once per interval.
    fn log_no_room(&self, now: Instant) {
        if self.no_room_logged_at.get().is_some_and(|at| now - at < NO_ROOM_LOG_INTERVAL) {
            return;
        }
        self.no_room_logged_at.set(Some(now));
        let ClientCounts { connections, input_bytes, .. } = self.counts();
        eprintln!(
            "mulleinslip: no room for large requests: {connections} clients' connections hold {input_bytes} bytes; \
             incomplete ones are refused after {} ms",
            LARGE_REQUEST_TIMEOUT_WHEN_FULL.as_millis()
        );
    }

    /// Closes idle connections, now and later, until [`Clients::drain`] is turned off.
    pub fn close_idle(&self) {
        self.idle_close.send_replace(true);
    }

    /// Starts or stops draining clients. First the health check fails; once the load balancer has seen that,
    /// each answer closes its connection, and later the remaining connections are closed. No message is
    /// rejected because of it.
    pub fn drain(self: &Rc<Self>, on: bool) {
        let already = self.intake.drain_mode.get() > DrainMode::NotDraining;
        if on == already {
            return;
        }
        self.drain_changes.set(self.drain_changes.get() + 1);
        if !on {
            self.intake.drain_mode.set(DrainMode::NotDraining);
            self.idle_close.send_replace(false);
            return;
        }
        self.intake.drain_mode.set(DrainMode::Unhealthy);
        let (clients, drain_change, start) =
            (self.clone(), self.drain_changes.get(), tokio::time::Instant::now());
        tokio::task::spawn_local(async move {
            for after in [DRAIN_CLOSING_AFTER, DRAIN_IDLE_AFTER, DRAIN_ALL_AFTER] {
                tokio::time::sleep_until(start + after).await;
                if clients.drain_changes.get() != drain_change {
                    return;
                }
                match after {
                    DRAIN_CLOSING_AFTER => clients.intake.drain_mode.set(DrainMode::Closing),
                    DRAIN_IDLE_AFTER => clients.close_idle(),
                    _ => clients.request_close_all(),
                }
            }
        });
    }

    /// Shuts down before the process ends: closes idle connections and waits until each request that was
    /// begun is answered. A request counts as handed in once its last byte is received by the kernel, read or
    /// not. Requests that are incomplete after `within` are refused, and their connections are closed soon
    /// after.
    pub async fn shut_down(&self, within: Duration) {
        let refuse_at = Instant::now() + within;
        loop {
            if Instant::now() < refuse_at {
                self.connections
                    .borrow()
                    .values()
                    .for_each(|connection| connection.request_close(CloseMode::WhenIdle));
            } else {
                self.request_close_all();
            }
            // One more iteration of the event loop: input received by now is read, and connections asked to
            // close are closed.
            tokio::time::sleep(FINISH_CHECK_INTERVAL).await;
            if self.connections.borrow().is_empty() {
                return;
            }
        }
    }

    /// Closes each connection once no answer is pending on it; incomplete requests are refused.
    fn request_close_all(&self) {
        self.connections
            .borrow()
            .values()
            .for_each(|connection| connection.request_close(CloseMode::RefuseIncomplete));
    }

    /// Adds a connection.
    fn register(&self, number: u64) -> Rc<ClientConnection> {
        let connection = Rc::new(ClientConnection::new(
            number,
            self.above_keep_alive_limit.clone(),
            self.input_budget.clone(),
        ));
        let mut connections = self.connections.borrow_mut();
        connections.insert(number, connection.clone());
        self.above_keep_alive_limit.set(connections.len() > self.keep_alive_limit);
        connection
    }

    /// Removes a connection.
    fn unregister(&self, number: u64) {
        let mut connections = self.connections.borrow_mut();
        connections.remove(&number);
        self.above_keep_alive_limit.set(connections.len() > self.keep_alive_limit);
    }

    /// Closes connections that exceed a time limit. Never returns.
    pub async fn enforce_time_limits(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            if self.input_budget.is_exhausted() {
                self.log_no_room(now);
                let connections = self.connections.borrow();
                let holders = connections.values().filter(|connection| connection.holds_up_others(now));
                holders.for_each(|connection| connection.request_close(CloseMode::RefuseIncomplete));
            }
            for connection in
                self.connections.borrow().values().filter(|connection| connection.exceeds_time_limit(now))
            {
                let already_requested = connection.close_mode() >= CloseMode::WhenIdle;
                let idle = connection.phase.get() == RequestPhase::Idle && !already_requested;
                connection.request_close(if idle { CloseMode::WhenIdle } else { CloseMode::RequestTimeout });
            }
        }
    }

    /// Frees a permit when none is left: that of a connection whose client's close is awaited, else of the
    /// connection that has been idle for longest, else of the one whose request takes longest. A few silent
    /// connections must not lock out all others.
    fn free_permit(&self) {
        let connections = self.connections.borrow();
        if let Some(closed) = connections.values().find(|connection| connection.awaiting_client_close.get()) {
            return closed.permit_needed.notify_one();
        }
        let candidate = |connection: &&Rc<ClientConnection>| {
            connection.close_mode() < CloseMode::WhenIdle && connection.phase.get() != RequestPhase::Answering
        };
        let longest = connections
            .values()
            .filter(candidate)
            .min_by_key(|connection| (!connection.is_idle(), connection.phase_since.get()));
        longest.into_iter().for_each(|connection| {
            connection.request_close(if connection.is_idle() {
                CloseMode::WhenIdle
            } else {
                CloseMode::RefuseIncomplete
            })
        });
    }

    /// Starts the handover to another process: each connection is sent there once no answer is pending on it,
    /// and the listener is no longer used here.
    pub fn hand_over(&self, to: UnboundedSender<HandedOverConnection>) {
        self.handover_target.send_replace(Some(to));
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections until they are handed over.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut handover_target = self.handover_target.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = handover_target.wait_for(Option::is_some) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, Vec::new()).await,
                Err(e) => {
                    eprintln!("mulleinslip: accept: {e}");
                    self.free_permit();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Continues with a connection that an earlier process handed over.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be registered with the event loop.
    pub async fn take_over(self: &Rc<Self>, handed_over: HandedOverConnection) -> io::Result<()> {
        handed_over.stream.set_nonblocking(true)?;
        self.admit(TcpStream::from_std(handed_over.stream)?, handed_over.unanswered_input).await;
        Ok(())
    }

    /// Serves a connection once a permit is free, or drops it if none becomes free in time.
    async fn admit(self: &Rc<Self>, stream: TcpStream, unread: Vec<u8>) {
        if self.permits.available_permits() == 0 {
            self.free_permit();
        }
        let permit = tokio::time::timeout(PERMIT_TIMEOUT, self.permits.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = permit else {
            return self.add_to_counts(|counts| counts.no_place += 1);
        };
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = self.register(number);
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.serve_client(stream, unread, &connection).await;
            connection.on_closed();
            clients.unregister(number);
            drop(permit);
        });
    }

    /// Receives requests, and serves one after the other. Ready if the connection is finished.
    fn poll_serve<'a>(
        &'a self, socket: &Socket, connection: &'a Rc<ClientConnection>, server: &mut Option<Server<'a>>,
        cx: &mut Context,
    ) -> Poll<()> {
        loop {
            if server.is_none() {
                if !ready!(poll_request(socket, connection, cx)) {
                    return Poll::Ready(());
                }
                // Messages that wait for the end of a takeover are handed over, and need no server here.
                let is_paused = *self.intake.paused.borrow() && connection.submits_message();
                if is_paused || !connection.may_be_served(cx.waker()) {
                    return Poll::Pending;
                }
            }
            let current = server.get_or_insert_with(|| self.new_server(socket, connection));
            if current.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            if !connection.is_served() {
                return Poll::Pending;
            }
            *server = None;
        }
    }

    /// Creates the server of the current request.
    fn new_server<'a>(&'a self, socket: &Socket, connection: &'a Rc<ClientConnection>) -> Server<'a> {
        connection.on_server_created();
        let service = service_fn(|request| self.intake.handle(request, connection));
        let mut server = http1::Builder::new();
        // A client that has ended its sending may wait for its answer; one that is gone resets the connection.
        server.max_buf_size(MAX_HEAD_BYTES).half_close(true);
        let socket = ServerSocket { socket: socket.clone(), connection: connection.clone() };
        let finished = server.serve_connection(socket, service);
        Box::pin(async move {
            // An error ends the connection, as the end of the client's requests does.
            let _finished_or_failed = finished.await;
        })
    }

    /// Serves a connection until it is closed or handed over.
    async fn serve_client(&self, stream: TcpStream, unread: Vec<u8>, connection: &Rc<ClientConnection>) {
        let _only_slower_if_it_fails = stream.set_nodelay(true);
        let socket: Socket = Rc::new(RefCell::new(stream));
        connection.set_socket(&socket);
        connection.receive(&unread);
        drop(unread);
        let mut server: Option<Server> = None;
        let (mut idle_close, mut handover_target, mut paused) =
            (self.idle_close.subscribe(), self.handover_target.subscribe(), self.intake.paused.subscribe());
        // A request received after idle connections were closed may be a repeat of one that crossed the
        // close, so it is answered rather than closed on.
        let after_idle_close = *idle_close.borrow();
        let mut close_at = None;
        let unread_to_hand_over = loop {
            let handing_over = handover_target.borrow().is_some();
            // Requests are served first, so that received input is read before the connection is considered idle.
            let finished = poll_fn(|cx| {
                if self.poll_serve(&socket, connection, &mut server, cx).is_ready() {
                    return Poll::Ready(None);
                }
                if handing_over {
                    // Once no answer is pending, the connection is handed over as it is.
                    if let Some(unread) = connection.input_to_hand_over() {
                        return Poll::Ready(Some(unread));
                    }
                }
                let all_read = || connection.awaits_room() || !close::has_unread_input(&socket, connection);
                match connection.may_close() && all_read() {
                    true => Poll::Ready(None),
                    false => Poll::Pending,
                }
            });
            tokio::select! {
                biased;
                unread = finished => break unread,
                () = connection.close_requested.notified() => {
                    // The connection closes at the next poll, or an answer is pending, which comes soon or
                    // never.
                    let requested_at =
                        (connection.close_mode() >= CloseMode::RequestTimeout).then(Instant::now);
                    close_at = close_at.or(requested_at.map(|now| now + close::PENDING_ANSWER_TIMEOUT));
                }
                () = until(close_at) => break None,
                Ok(_) = handover_target.wait_for(Option::is_some), if !handing_over => {}
                Ok(()) = paused.changed() => {}
                Ok(_) = idle_close.wait_for(|requested| *requested),
                    if !after_idle_close && connection.close_mode() == CloseMode::KeepOpen =>
                {
                    connection.request_close(CloseMode::AfterAnswer);
                }
            }
        };
        drop(server);
        if let Some(unread) = unread_to_hand_over {
            let stream = Rc::into_inner(socket).map(|socket| socket.into_inner().into_std());
            if let (Some(Ok(stream)), Some(to)) = (stream, &*self.handover_target.borrow()) {
                let _process_ended = to.send(HandedOverConnection { stream, unanswered_input: unread });
            }
            return;
        }
        // hyper itself answers requests that it can't parse.
        let answer = match connection.close_mode() {
            CloseMode::RequestTimeout if connection.has_incomplete_request() && !connection.awaits_room() => {
                self.add_to_counts(|counts| counts.timed_out += 1);
                Some(close::REQUEST_TIMEOUT_RESPONSE)
            }
            CloseMode::RequestTimeout | CloseMode::RefuseIncomplete
                if connection.has_incomplete_request() =>
            {
                self.add_to_counts(|counts| counts.refused_incomplete += 1);
                Some(close::REFUSED_RESPONSE)
            }
            _ => None,
        };
        if let Some(answer) = answer {
            // As nothing else is being written, this succeeds at once or not at all.
            let _client_gone = socket.borrow().try_write(answer);
        }
        let Some(socket) = Rc::into_inner(socket) else { return };
        let full = self.permits.available_permits() == 0;
        let linger_timeout = if full { close::LINGER_TIMEOUT_WHEN_FULL } else { close::LINGER_TIMEOUT };
        close::close_gracefully(socket.into_inner(), connection, linger_timeout).await;
    }
}

/// Waits until `at`, or forever if there is no such time.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
