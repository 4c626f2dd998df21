//! State of a client connection: its request phase and since when, and a check of each request's framing for
//! what hyper doesn't report.

use crate::audit::{self, Step};
use crate::input_budget::InputBudget;
use crate::request_head::{parse_head, ParsedHead};
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
pub const LARGE_REQUEST_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(200);

/// Memory of the server of a streamed request: hyper's two buffers, and the request's headers.
const STREAMING_SERVER_BYTES: usize = 32 * 1024;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InputPosition {
    /// In a head.
    Head,
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
    position: Cell<InputPosition>,
    /// The current request is passed on as it comes: it may have to be answered before it is complete, or its end
    /// is not known.
    is_streamed: Cell<bool>,
    unanswered: RefCell<UnansweredInput>,
    /// Input is left unread as there is no room for it.
    awaits_room: Cell<bool>,
    /// A request was answered before it was received in full.
    answered_early: Cell<bool>,
    /// An answer is being written.
    writing_answer: Cell<bool>,
    /// The current server has written its answer.
    answer_written: Cell<bool>,
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
    /// The client is known to have reset the connection.
    is_reset: Cell<bool>,
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
            position: Cell::new(InputPosition::Head),
            is_streamed: Cell::new(false),
            unanswered: RefCell::new(UnansweredInput::new(input_budget)),
            awaits_room: Cell::new(false),
            answered_early: Cell::new(false),
            writing_answer: Cell::new(false),
            answer_written: Cell::new(false),
            is_ambiguous: Cell::new(false),
            close_mode: Cell::new(CloseMode::KeepOpen),
            close_requested: Notify::new(),
            has_answered: Cell::new(false),
            awaiting_client_close: Cell::new(false),
            permit_needed: Notify::new(),
            above_keep_alive_limit,
            number,
            is_reset: Cell::new(false),
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
        if socket.is_some_and(|socket| !matches!(socket.borrow().take_error(), Ok(None))) {
            self.set_reset();
        }
        self.is_reset.get()
    }

    /// Records that the client has reset the connection.
    pub fn set_reset(&self) {
        self.is_reset.set(true);
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
        self.is_streamed.set(self.position.get() == InputPosition::Ignored);
        self.has_answered.set(true);
        // Input received along with the answered request may be part of the next one.
        self.set_phase(if self.is_between_requests() { RequestPhase::Idle } else { RequestPhase::Reading });
        self.writing_answer.set(true);
    }

    /// Returns whether no received byte belongs to an unanswered request.
    fn is_between_requests(&self) -> bool {
        match self.position.get() {
            InputPosition::Head => self.unanswered.borrow().is_empty(),
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
            self.answer_written.set(true);
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

    /// Returns how many bytes may be read. If none, `waker` is called when some may.
    pub fn readable_bytes(&self, waker: &Waker) -> usize {
        let readable_bytes = self.unanswered.borrow().readable_bytes(self.number, waker);
        self.awaits_room.set(readable_bytes == 0);
        readable_bytes
    }

    /// Returns whether there is input that a server has to process: a complete request, or one that is streamed.
    pub fn needs_server(&self) -> bool {
        self.is_streamed.get() || self.unanswered.borrow().has_complete_request()
    }

    /// Returns whether the current request submits a message, rather than asking for the health check.
    pub fn submits_message(&self) -> bool {
        self.unanswered.borrow().begins_with(b"POST ")
    }

    /// Returns whether there is room for a server of the current request. If not, `waker` is called when there may
    /// be. A complete request is answered at once, so its server takes memory for a moment only.
    pub fn may_be_served(&self, waker: &Waker) -> bool {
        let unanswered = self.unanswered.borrow();
        let may_be_served = unanswered.has_complete_request() || unanswered.has_room(self.number, waker);
        self.awaits_room.set(!may_be_served);
        may_be_served
    }

    /// Called when a server is created for the current request.
    pub fn on_server_created(&self) {
        self.answer_written.set(false);
        if self.is_streamed.get() {
            self.hold_elsewhere(STREAMING_SERVER_BYTES);
        }
    }

    /// Returns whether the server has written an answer and is not needed until the next request has come.
    pub fn is_served(&self) -> bool {
        self.answer_written.get() && self.phase.get() != RequestPhase::Answering
    }

    /// Returns whether the server is given input as it comes.
    pub fn is_streamed(&self) -> bool {
        self.is_streamed.get()
    }

    /// Passes on input of the current request that the server has not read yet, `max_bytes` at most. Returns
    /// whether there was any.
    pub fn deliver_input(&self, max_bytes: usize, to: impl FnOnce(&[u8])) -> bool {
        if !self.needs_server() || self.is_writing_answer() {
            return false;
        }
        let mut unanswered = self.unanswered.borrow_mut();
        let input = unanswered.deliver(max_bytes);
        to(input);
        !input.is_empty()
    }

    /// Frees the memory of input that is not answered any more.
    pub fn discard_input(&self) {
        self.unanswered.borrow_mut().clear();
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
            || self.position.get() == InputPosition::Ignored
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

    /// Keeps received input, and finds where its requests end.
    pub fn receive(&self, bytes: &[u8]) {
        self.unanswered.borrow_mut().append(bytes);
        let mut unexamined = bytes.len();
        while unexamined > 0 && self.position.get() != InputPosition::Ignored {
            unexamined -= match self.position.get() {
                InputPosition::Body(left) => self.examine_body(unexamined, left),
                _ => self.examine_head(unexamined),
            };
        }
    }

    /// Examines input in a body of which `left` bytes are missing. Returns how much of it belongs to the body.
    fn examine_body(&self, unexamined: usize, left: u64) -> usize {
        let count = (unexamined as u64).min(left);
        self.unanswered.borrow_mut().add_to_incomplete(count as usize);
        self.begin_body(left - count);
        count as usize
    }

    /// Expects a body, of which this many bytes are missing.
    fn begin_body(&self, left: u64) {
        if left > 0 {
            return self.position.set(InputPosition::Body(left));
        }
        self.unanswered.borrow_mut().complete_request();
        self.position.set(InputPosition::Head);
    }

    /// Examines input in a head. Returns how much of it belongs to the head.
    fn examine_head(&self, unexamined: usize) -> usize {
        if self.phase.get() == RequestPhase::Idle {
            self.set_phase(RequestPhase::Reading);
        }
        let mut unanswered = self.unanswered.borrow_mut();
        let earlier_bytes = unanswered.incomplete_bytes();
        let head_bytes = earlier_bytes + unexamined;
        let (length, next) = match unanswered.incomplete_request(head_bytes).map(parse_head) {
            Some(ParsedHead::Incomplete) if head_bytes < MAX_HEAD_BYTES => {
                unanswered.add_to_incomplete(unexamined);
                return unexamined;
            }
            Some(ParsedHead::Sized { head_bytes, body_bytes, needs_early_answer }) => {
                self.is_streamed.set(needs_early_answer);
                (head_bytes, Some(body_bytes))
            }
            Some(ParsedHead::Chunked(length)) => (length, None),
            Some(ParsedHead::Ambiguous) => {
                self.is_ambiguous.set(true);
                (head_bytes, None)
            }
            // hyper rejects the request; no input after it is processed.
            Some(ParsedHead::Incomplete | ParsedHead::Malformed) | None => (head_bytes, None),
        };
        let examined = length.saturating_sub(earlier_bytes).min(unexamined);
        unanswered.add_to_incomplete(examined);
        drop(unanswered);
        match next {
            Some(body_bytes) => self.begin_body(body_bytes),
            None => {
                self.position.set(InputPosition::Ignored);
                self.is_streamed.set(true);
            }
        }
        examined
    }
}
