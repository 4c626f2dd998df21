//! What is known of a client connection: whose turn it is and since when, and a look at each head for what hyper
//! settles silently.

use crate::audit::{self, Step};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A connection on which no request is open may be closed after 2 s. Some clients ask once and stay for good.
const IDLE: Duration = Duration::from_millis(2050);
/// From a request's first byte to its last. A client waits 400 ms for its answer, so what takes twice as long
/// is of no use to it; with [`IDLE`] before it, this stays within the 3 s in which any client is owed an end.
const REQUEST: Duration = Duration::from_millis(800);
/// The longest head; one of a message has some 300 bytes. hyper buffers no more either.
pub const MOST_HEAD: usize = 16 * 1024;
/// As many header lines as hyper takes.
const MOST_HEADERS: usize = 100;

/// The longest request with its head; chunks may take more room than their body.
const MOST_RAW: usize = MOST_HEAD + 96 * 1024;

/// What has come on a connection and is not answered, as it came, so that another process can read it anew.
#[derive(Default)]
struct Raw {
    bytes: Vec<u8>,
    /// Lengths of the whole requests among them.
    whole: VecDeque<usize>,
    /// Bytes of the one that is coming.
    coming: usize,
    /// It had to be cut: nobody can read it anew.
    cut: bool,
}

impl Raw {
    fn came(&mut self, bytes: &[u8]) {
        if self.cut || self.bytes.len() + bytes.len() > MOST_RAW {
            *self = Raw { cut: true, ..Raw::default() };
            return;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// So many more bytes belong to the request that is coming.
    fn belong(&mut self, count: usize) {
        self.coming += count;
    }

    fn request_is_whole(&mut self) {
        self.whole.push_back(std::mem::take(&mut self.coming));
    }

    fn answered(&mut self) {
        let first = self.whole.pop_front().unwrap_or(0).min(self.bytes.len());
        self.bytes.drain(..first);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestPhase {
    /// No request is open.
    Idle,
    /// A request has begun to come.
    Reading,
    /// It is whole and waits for its answer.
    Answering,
}

/// How a connection has to leave, the sterner the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// It need not.
    No,
    /// After the request at hand, or at once if one was answered and none is at hand. One that is new may still bring its
    /// first.
    AfterAnswer,
    /// As soon as no request is at hand.
    WhenQuiet,
    /// And a request that is not whole has taken too long.
    TooSlow,
    /// And a request that is not whole is refused.
    Now,
}

/// Where the next byte of a connection belongs.
enum Framing {
    Head(Vec<u8>),
    Body(u64),
    /// Nothing more is looked at: no request is taken after this one.
    Last,
}

/// What is known of a client connection.
pub struct ClientConnection {
    pub turn: Cell<RequestPhase>,
    pub since: Cell<Instant>,
    framing: RefCell<Framing>,
    raw: RefCell<Raw>,
    /// An answer is on its way out.
    answering: Cell<bool>,
    /// A head came whose length can be read in two ways: another request may hide in the body.
    ambiguous: Cell<bool>,
    leave: Cell<CloseMode>,
    /// Told to leave: it is to be looked at.
    pub told: Notify,
    /// A request was answered.
    served: Cell<bool>,
    /// It is closed on this side.
    pub lingers: Cell<bool>,
    /// Its place is needed, and it lingers.
    pub hurry: Notify,
    /// Shared by all: too many are here for idle ones to be kept.
    crowded: Rc<Cell<bool>>,
    /// Its number among the connections of this process.
    pub number: u64,
    /// The message whose answer is not written yet, where an audit is kept.
    audited: RefCell<Option<String>>,
}

impl ClientConnection {
    pub fn new(number: u64, crowded: Rc<Cell<bool>>) -> ClientConnection {
        ClientConnection {
            turn: Cell::new(RequestPhase::Idle),
            since: Cell::new(Instant::now()),
            framing: RefCell::new(Framing::Head(Vec::new())),
            raw: RefCell::default(),
            answering: Cell::new(false),
            ambiguous: Cell::new(false),
            leave: Cell::new(CloseMode::No),
            told: Notify::new(),
            served: Cell::new(false),
            lingers: Cell::new(false),
            hurry: Notify::new(),
            crowded,
            number,
            audited: RefCell::default(),
        }
    }

    fn turn(&self, turn: RequestPhase) {
        if self.turn.replace(turn) != turn {
            self.since.set(Instant::now());
        }
    }

    pub fn reading(&self) {
        self.turn(RequestPhase::Reading);
    }

    pub fn answering(&self) {
        self.turn(RequestPhase::Answering);
    }

    /// The request is answered; that has still to be written.
    pub fn idle(&self) {
        self.raw.borrow_mut().answered();
        self.served.set(true);
        // What came along with the request that is answered may be a part of the next one.
        self.turn(if self.between_requests() { RequestPhase::Idle } else { RequestPhase::Reading });
        self.answering.set(true);
    }

    /// No byte has come that belongs to a request without an answer.
    fn between_requests(&self) -> bool {
        let raw = self.raw.borrow();
        match &*self.framing.borrow() {
            Framing::Head(head) => head.is_empty() && raw.whole.is_empty(),
            Framing::Body(_) => false,
            // Nothing more is taken.
            Framing::Last => true,
        }
    }

    /// Nobody is owed anything on it, by the bytes that were read.
    pub fn quiet(&self) -> bool {
        self.turn.get() == RequestPhase::Idle && !self.unwritten() && self.between_requests()
    }

    /// A part of a request has come, and no answer to it is due or on its way out.
    pub fn half_read(&self) -> bool {
        self.turn.get() == RequestPhase::Reading && !self.unwritten()
    }

    /// Whether it is to go, and may: by the bytes that were read.
    pub fn may_go(&self) -> bool {
        match self.leave.get() {
            CloseMode::No => false,
            CloseMode::AfterAnswer => self.quiet() && self.served.get(),
            CloseMode::WhenQuiet => self.quiet(),
            CloseMode::TooSlow | CloseMode::Now => self.quiet() || self.half_read(),
        }
    }

    /// How it has to leave.
    pub fn leaves(&self) -> CloseMode {
        self.leave.get()
    }

    /// It has to leave, this way or the sterner one that it was told before.
    pub fn dismiss(&self, how: CloseMode) {
        self.leave.set(how.max(self.leave.get()));
        self.told.notify_one();
    }

    /// All that was to be written is.
    pub fn flushed(&self) {
        if self.answering.replace(false) {
            if let Some(id) = self.audited.take() {
                audit::note(&id, || Step::AnswerWritten { client: self.number });
            }
        }
    }

    /// This message has been read on it and is answered next.
    pub fn audit(&self, call_id: &str) {
        if audit::enabled() {
            self.audited.replace(Some(call_id.to_string()));
        }
    }

    /// It is gone.
    pub fn gone(&self) {
        if let Some(id) = self.audited.take() {
            audit::note(&id, || Step::ClientGone { client: self.number });
        }
    }

    /// Whether an answer is on its way out.
    pub fn unwritten(&self) -> bool {
        self.answering.get()
    }

    /// What another process has to read to go on with this connection. `None` if it must not: an answer is due or
    /// on its way out, or what has come can't be read anew.
    pub fn hand_over(&self) -> Option<Vec<u8>> {
        let raw = self.raw.borrow();
        let busy = self.turn.get() == RequestPhase::Answering || self.answering.get();
        (!busy && !raw.cut && self.leave.get() < CloseMode::WhenQuiet).then(|| raw.bytes.clone())
    }

    /// When the request that is coming must be there.
    pub fn deadline(&self) -> Instant {
        self.since.get() + REQUEST
    }

    /// Whether nothing that comes on this connection may be taken any more.
    pub fn ambiguous(&self) -> bool {
        self.ambiguous.get()
    }

    /// Whether this connection takes no request after the one at hand.
    pub fn ends(&self) -> bool {
        self.ambiguous.get()
            || self.crowded.get()
            || self.leave.get() > CloseMode::No
            || matches!(*self.framing.borrow(), Framing::Last)
    }

    pub fn overstays(&self, now: Instant) -> bool {
        let most = match self.turn.get() {
            RequestPhase::Idle => IDLE,
            RequestPhase::Reading => REQUEST,
            // The module answers each request in the round that takes it.
            RequestPhase::Answering => return false,
        };
        now.saturating_duration_since(self.since.get()) > most
    }

    /// Looks at what was read, before hyper does.
    pub fn saw(&self, mut bytes: &[u8]) {
        let mut framing = self.framing.borrow_mut();
        let mut raw = self.raw.borrow_mut();
        raw.came(bytes);
        while !bytes.is_empty() {
            match &mut *framing {
                Framing::Last => return,
                Framing::Body(left) => {
                    let part = (bytes.len() as u64).min(*left);
                    *left -= part;
                    bytes = bytes.get(part as usize..).unwrap_or_default();
                    raw.belong(part as usize);
                    if *left == 0 {
                        raw.request_is_whole();
                        *framing = Framing::Head(Vec::new());
                    }
                }
                Framing::Head(head) => {
                    if self.turn.get() == RequestPhase::Idle {
                        self.turn(RequestPhase::Reading);
                    }
                    let had = head.len();
                    head.extend_from_slice(bytes);
                    let (next, length) = match framed(head) {
                        Framed::Partial if head.len() < MOST_HEAD => {
                            raw.belong(bytes.len());
                            return;
                        }
                        // hyper will turn it away; nothing after it is read.
                        Framed::Partial | Framed::Unreadable => (Framing::Last, head.len()),
                        Framed::Ambiguous => {
                            self.ambiguous.set(true);
                            (Framing::Last, head.len())
                        }
                        Framed::Chunked(length) => (Framing::Last, length),
                        Framed::Whole(length, 0) => (Framing::Head(Vec::new()), length),
                        Framed::Whole(length, body) => (Framing::Body(body), length),
                    };
                    raw.belong(length.saturating_sub(had));
                    if matches!(next, Framing::Head(_)) {
                        raw.request_is_whole();
                    }
                    bytes = bytes.get(length.saturating_sub(had)..).unwrap_or_default();
                    *framing = next;
                }
            }
        }
    }
}

enum Framed {
    Partial,
    Unreadable,
    /// Its length can be read in two ways.
    Ambiguous,
    /// A head of this length; the body says itself where it ends.
    Chunked(usize),
    /// A head of this length and a body of that one.
    Whole(usize, u64),
}

/// How the request at the start of `bytes` is framed. hyper takes `Transfer-Encoding` where there is a
/// `Content-Length` as well and drops the other, so the service could not tell.
fn framed(bytes: &[u8]) -> Framed {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Framed::Partial,
        Err(_) => return Framed::Unreadable,
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
        _ if lengths.next().is_some() || encodings.next().is_some() => Framed::Ambiguous,
        (Some(_), Some(_)) => Framed::Ambiguous,
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case(b"chunked") => Framed::Chunked(length),
        (None, Some(_)) => Framed::Ambiguous,
        (None, None) => Framed::Whole(length, 0),
        (Some(body), None) => {
            let digits = !body.is_empty() && body.iter().all(u8::is_ascii_digit);
            let body = std::str::from_utf8(body).ok().filter(|_| digits).and_then(|b| b.parse().ok());
            body.map_or(Framed::Ambiguous, |body| Framed::Whole(length, body))
        }
    }
}
