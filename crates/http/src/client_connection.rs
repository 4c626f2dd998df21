//! State of a client connection: its request phase and since when, and a check of each request's framing for
//! what hyper doesn't report.

use crate::audit::{self, Step};
use crate::input_budget::InputBudget;
use crate::unanswered_input::{UnansweredInput, MAX_HEAD_BYTES};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Idle time after which a connection is closed; the protocol allows that after 2 s without an open request.
/// Some clients send one request and stay connected forever.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2050);
/// Time limit from a request's first byte to its last. A client waits 400 ms for its answer, so a request
/// that takes twice as long is useless to it. Together with [`IDLE_TIMEOUT`] it stays within the 3 s in
/// which each client must have an answer or see the connection closed.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// The same for a large request while there is no room for the input of others.
const LARGE_REQUEST_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(200);
/// Maximum number of headers, the same as hyper's.
const MAX_HEADERS: usize = 100;

/// A client's socket, which hyper reads and writes and which outlives hyper's connection.
pub type Socket = Rc<RefCell<TcpStream>>;

/// How far the current request of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestPhase {
    /// No request is open.
    Idle,
    /// A request is being received.
    Reading,
    /// The request is complete and waits for its answer.
    Answering,
}

/// How a connection has to close, in increasing strictness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// The connection stays open.
    KeepOpen,
    /// Closes after the current request, or at once if one was answered and none is open. A new connection
    /// may still send its first request.
    AfterAnswer,
    /// Closes as soon as no request is open.
    WhenIdle,
    /// As `WhenIdle`, and an incomplete request is answered with 408, as it took too long.
    RequestTimeout,
    /// As `WhenIdle`, and an incomplete request is answered with 503.
    RefuseIncomplete,
}

/// The part of a request that the next byte of a connection belongs to.
enum InputPosition {
    /// In a head, with its bytes so far.
    Head(Vec<u8>),
    /// In a body, with the number of bytes that are missing.
    Body(u64),
    /// Further input is not examined, as no request is accepted after this one.
    Ignored,
}

/// State of a client connection.
pub struct ClientConnection {
    /// The phase of the current request.
    pub phase: Cell<RequestPhase>,
    /// When the phase began.
    pub phase_since: Cell<Instant>,
    position: RefCell<InputPosition>,
    unanswered: RefCell<UnansweredInput>,
    /// Input is left unread as there is no room for it.
    awaits_room: Cell<bool>,
    /// A request was answered before it was received in full.
    answered_early: Cell<bool>,
    /// An answer is being written.
    writing_answer: Cell<bool>,
    /// A head with an ambiguous length was received: another request may hide in the body.
    is_ambiguous: Cell<bool>,
    close_mode: Cell<CloseMode>,
    /// Signals that `close_mode` was raised.
    pub close_requested: Notify,
    /// At least one request was answered.
    has_answered: Cell<bool>,
    /// This side of the connection is closed, and the client's side is awaited.
    pub awaiting_client_close: Cell<bool>,
    /// Ends the wait for the client's side, as the connection's permit is needed.
    pub permit_needed: Notify,
    /// Shared by all connections: there are too many to keep idle ones open.
    above_keep_alive_limit: Rc<Cell<bool>>,
    /// Number of the connection in this process.
    pub number: u64,
    /// The socket, while it is served here.
    socket: RefCell<Weak<RefCell<TcpStream>>>,
    /// Id of the message whose answer is not written yet, while the audit log is on.
    audited_call_id: RefCell<Option<String>>,
}

impl ClientConnection {
    /// Creates the state of a new connection.
    pub fn new(
        number: u64, above_keep_alive_limit: Rc<Cell<bool>>, input_budget: Rc<InputBudget>,
    ) -> ClientConnection {
        ClientConnection {
            phase: Cell::new(RequestPhase::Idle),
            phase_since: Cell::new(Instant::now()),
            position: RefCell::new(InputPosition::Head(Vec::new())),
            unanswered: RefCell::new(UnansweredInput::new(input_budget)),
            awaits_room: Cell::new(false),
            answered_early: Cell::new(false),
            writing_answer: Cell::new(false),
            is_ambiguous: Cell::new(false),
            close_mode: Cell::new(CloseMode::KeepOpen),
            close_requested: Notify::new(),
            has_answered: Cell::new(false),
            awaiting_client_close: Cell::new(false),
            permit_needed: Notify::new(),
            above_keep_alive_limit,
            number,
            socket: RefCell::default(),
            audited_call_id: RefCell::default(),
        }
    }

    /// Sets the socket that the connection is served on.
    pub fn set_socket(&self, socket: &Socket) {
        self.socket.replace(Rc::downgrade(socket));
    }

    /// Returns whether the client has reset the connection: nobody waits for an answer any more. What the client
    /// had sent before can still be read. A client that has only ended its sending may wait.
    pub fn is_reset(&self) -> bool {
        let socket = self.socket.borrow().upgrade();
        socket.is_some_and(|socket| !matches!(socket.borrow().take_error(), Ok(None)))
    }

    fn set_phase(&self, phase: RequestPhase) {
        if self.phase.replace(phase) != phase {
            self.phase_since.set(Instant::now());
        }
    }

    /// Called when a request's head is received.
    pub fn set_reading(&self) {
        self.set_phase(RequestPhase::Reading);
    }

    /// Called when the request is complete and submitted.
    pub fn set_answering(&self) {
        self.set_phase(RequestPhase::Answering);
    }

    /// Called when the request has its answer, which is still to be written.
    pub fn request_answered(&self) {
        if !self.unanswered.borrow_mut().discard_first() {
            self.answered_early.set(true);
        }
        self.has_answered.set(true);
        // Input received along with the answered request may be part of the next one.
        self.set_phase(if self.is_between_requests() { RequestPhase::Idle } else { RequestPhase::Reading });
        self.writing_answer.set(true);
    }

    /// Returns whether no received byte belongs to an unanswered request.
    fn is_between_requests(&self) -> bool {
        let unanswered = self.unanswered.borrow();
        match &*self.position.borrow() {
            InputPosition::Head(head) => head.is_empty() && !unanswered.has_complete_request(),
            InputPosition::Body(_) => false,
            // No further request is accepted.
            InputPosition::Ignored => true,
        }
    }

    /// Returns whether no request is open and no answer is being written, as far as input was read.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == RequestPhase::Idle && !self.is_writing_answer() && self.is_between_requests()
    }

    /// Returns whether a part of a request was received, and no answer is being written.
    pub fn has_incomplete_request(&self) -> bool {
        self.phase.get() == RequestPhase::Reading && !self.is_writing_answer()
    }

    /// Returns whether the connection has to close and may do so now, as far as input was read.
    pub fn may_close(&self) -> bool {
        match self.close_mode.get() {
            CloseMode::KeepOpen => false,
            CloseMode::AfterAnswer => self.is_idle() && self.has_answered.get(),
            CloseMode::WhenIdle => self.is_idle(),
            CloseMode::RequestTimeout | CloseMode::RefuseIncomplete => {
                self.is_idle() || self.has_incomplete_request()
            }
        }
    }

    /// Returns how the connection has to close.
    pub fn close_mode(&self) -> CloseMode {
        self.close_mode.get()
    }

    /// Asks the connection to close in this mode, or in the stricter one that was requested before.
    pub fn request_close(&self, mode: CloseMode) {
        self.close_mode.set(mode.max(self.close_mode.get()));
        self.close_requested.notify_one();
    }

    /// Called when everything that hyper had to write is written.
    pub fn on_flushed(&self) {
        if self.writing_answer.replace(false) {
            if let Some(id) = self.audited_call_id.take() {
                audit::log_step(&id, || Step::AnswerWritten { client: self.number });
            }
        }
    }

    /// Records for the audit log that this message was read from the connection and is answered next.
    pub fn audit_call(&self, call_id: &str) {
        if audit::enabled() {
            self.audited_call_id.replace(Some(call_id.to_string()));
        }
    }

    /// Called when the connection is closed.
    pub fn on_closed(&self) {
        if let Some(id) = self.audited_call_id.take() {
            audit::log_step(&id, || Step::ClientGone { client: self.number });
        }
    }

    /// Returns whether an answer is being written.
    pub fn is_writing_answer(&self) -> bool {
        self.writing_answer.get()
    }

    /// Returns the input that another process needs to continue with this connection, or `None` if it must
    /// not: an answer is pending or being written, or the input can't be read again.
    pub fn input_to_hand_over(&self) -> Option<Vec<u8>> {
        let unanswered = self.unanswered.borrow();
        let pending = self.phase.get() == RequestPhase::Answering || self.writing_answer.get();
        (!pending && self.close_mode.get() < CloseMode::WhenIdle).then(|| unanswered.to_hand_over())?
    }

    /// Returns the body of the current request, which was received in full and has this length; `None` if its
    /// input is not kept.
    pub fn request_body(&self, length: usize) -> Option<Bytes> {
        self.unanswered.borrow().first_body(length)
    }

    /// Records that this many more bytes of the current request are held elsewhere.
    pub fn hold_elsewhere(&self, count: usize) {
        self.unanswered.borrow_mut().hold_elsewhere(count);
    }

    /// Returns whether more input may be read. If not, `waker` is called when it may.
    pub fn may_read(&self, waker: &Waker) -> bool {
        let may_read = self.unanswered.borrow().may_read(self.number, waker);
        self.awaits_room.set(!may_read);
        may_read
    }

    /// Returns whether a part of a request was received, and there is no room for the rest.
    pub fn awaits_room(&self) -> bool {
        self.awaits_room.get() && self.has_incomplete_request()
    }

    /// Returns whether a large request has been incomplete for longer than there is time for it while other
    /// connections wait for room.
    pub fn holds_up_others(&self, now: Instant) -> bool {
        self.has_incomplete_request()
            && self.unanswered.borrow().is_large()
            && now.saturating_duration_since(self.phase_since.get()) > LARGE_REQUEST_TIMEOUT_WHEN_FULL
    }

    /// Returns the time by which the request must be complete.
    pub fn request_deadline(&self) -> Instant {
        self.phase_since.get() + REQUEST_TIMEOUT
    }

    /// Returns whether the framing of a request was ambiguous, after which no input may be processed.
    pub fn is_ambiguous(&self) -> bool {
        self.is_ambiguous.get()
    }

    /// Returns whether the connection closes after the current request.
    pub fn closes_after_request(&self) -> bool {
        self.is_ambiguous.get()
            || self.answered_early.get()
            || self.above_keep_alive_limit.get()
            || self.close_mode.get() > CloseMode::KeepOpen
            || matches!(*self.position.borrow(), InputPosition::Ignored)
    }

    /// Returns whether the connection has been idle, or its request incomplete, for too long.
    pub fn exceeds_time_limit(&self, now: Instant) -> bool {
        let limit = match self.phase.get() {
            RequestPhase::Idle => IDLE_TIMEOUT,
            RequestPhase::Reading => REQUEST_TIMEOUT,
            // The decision module answers each request in the round that accepts it.
            RequestPhase::Answering => return false,
        };
        now.saturating_duration_since(self.phase_since.get()) > limit
    }

    /// Examines input before hyper gets it.
    pub fn examine_input(&self, mut bytes: &[u8]) {
        let mut position = self.position.borrow_mut();
        let mut unanswered = self.unanswered.borrow_mut();
        unanswered.append(bytes);
        while !bytes.is_empty() {
            match &mut *position {
                InputPosition::Ignored => return,
                InputPosition::Body(left) => {
                    let count = (bytes.len() as u64).min(*left);
                    *left -= count;
                    bytes = bytes.get(count as usize..).unwrap_or_default();
                    unanswered.add_to_incomplete(count as usize);
                    if *left == 0 {
                        unanswered.complete_request();
                        *position = InputPosition::Head(Vec::new());
                    }
                }
                InputPosition::Head(head) => {
                    if self.phase.get() == RequestPhase::Idle {
                        self.set_phase(RequestPhase::Reading);
                    }
                    let previous_len = head.len();
                    head.extend_from_slice(bytes);
                    let (next, length) = match parse_head(head) {
                        ParsedHead::Incomplete if head.len() < MAX_HEAD_BYTES => {
                            unanswered.add_to_incomplete(bytes.len());
                            return;
                        }
                        // hyper rejects the request; no input after it is processed.
                        ParsedHead::Incomplete | ParsedHead::Malformed => {
                            (InputPosition::Ignored, head.len())
                        }
                        ParsedHead::Ambiguous => {
                            self.is_ambiguous.set(true);
                            (InputPosition::Ignored, head.len())
                        }
                        ParsedHead::Chunked(length) => (InputPosition::Ignored, length),
                        ParsedHead::Sized(length, 0) => (InputPosition::Head(Vec::new()), length),
                        ParsedHead::Sized(length, body) => (InputPosition::Body(body), length),
                    };
                    unanswered.add_to_incomplete(length.saturating_sub(previous_len));
                    if matches!(next, InputPosition::Head(_)) {
                        unanswered.complete_request();
                    }
                    bytes = bytes.get(length.saturating_sub(previous_len)..).unwrap_or_default();
                    *position = next;
                }
            }
        }
    }
}

/// How a request is framed.
enum ParsedHead {
    /// The head is not complete.
    Incomplete,
    /// Not a valid head.
    Malformed,
    /// The length of the body is ambiguous.
    Ambiguous,
    /// A head of this length; the body is chunked.
    Chunked(usize),
    /// A head of the first length and a body of the second.
    Sized(usize, u64),
}

/// Parses the head at the start of `bytes` and determines the length of the body. If a request has both
/// `Transfer-Encoding` and `Content-Length`, hyper uses the first and removes the second, so the service
/// could not detect the conflict.
fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return ParsedHead::Incomplete,
        Err(_) => return ParsedHead::Malformed,
    };
    let all = |name: &'static str| {
        request
            .headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value.trim_ascii())
    };
    let (mut lengths, mut encodings) = (all("Content-Length"), all("Transfer-Encoding"));
    match (lengths.next(), encodings.next()) {
        _ if lengths.next().is_some() || encodings.next().is_some() => ParsedHead::Ambiguous,
        (Some(_), Some(_)) => ParsedHead::Ambiguous,
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case(b"chunked") => ParsedHead::Chunked(length),
        (None, Some(_)) => ParsedHead::Ambiguous,
        (None, None) => ParsedHead::Sized(length, 0),
        (Some(body), None) => {
            let digits = !body.is_empty() && body.iter().all(u8::is_ascii_digit);
            let body = std::str::from_utf8(body).ok().filter(|_| digits).and_then(|b| b.parse().ok());
            body.map_or(ParsedHead::Ambiguous, |body| ParsedHead::Sized(length, body))
        }
    }
}
