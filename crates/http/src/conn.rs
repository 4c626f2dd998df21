//! An HTTP/1.1 connection to a host or to the discovery agent, driven by the task that has a request on it.
//! It carries one exchange at a time, never retries, and tracks how much of a request was written and what
//! came back, even if hyper rejects the response.

use crate::outcomes::parse_retry_after_ms;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{HeaderMap, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io::{self, Read as _};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Maximum size of a body by the protocol, except of a list.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a response head, with any interim responses before it; hyper has the same limit.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time limit from a response's first byte to the end of its head, which normally arrives in one piece.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Length of the status line up to the reason phrase: `HTTP/1.1 200 `.
const STATUS_LINE_BYTES: usize = 13;
/// Maximum number of bytes of unrequested input that are examined, and of headers in them.
const MAX_UNREQUESTED_BYTES: usize = 1024;
const MAX_UNREQUESTED_HEADERS: usize = 32;
/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 4096;

/// How much of a request was written. A host begins a call when it has the last byte, so a connection that
/// breaks before that proves that the call never ran.
#[derive(Default)]
pub struct Progress {
    /// Whether any byte was written.
    any_written: Cell<bool>,
    /// Number of bytes of the head's end that the last written bytes match; 4 once the head is written.
    head_end_matched: Cell<usize>,
    /// Number of bytes of the body that are not written yet.
    body_left_bytes: Cell<usize>,
    /// What was received of the response.
    response: RefCell<ResponseScanner>,
    /// Counter of requests that were written in full.
    complete_counter: RefCell<Option<Rc<Cell<u64>>>>,
}

impl Progress {
    /// Starts over for a request with a body of this length.
    fn begin(&self, body: usize) {
        self.any_written.set(false);
        self.head_end_matched.set(0);
        self.body_left_bytes.set(body);
        *self.response.borrow_mut() = ResponseScanner::default();
    }

    /// Adds one to `counter` once the next request is written in full.
    pub fn count_when_complete(&self, counter: Rc<Cell<u64>>) {
        *self.complete_counter.borrow_mut() = Some(counter);
    }

    fn on_written(&self, bytes: &[u8]) {
        self.advance(bytes);
        if self.complete() {
            if let Some(counter) = self.complete_counter.take() {
                counter.set(counter.get() + 1);
            }
        }
    }

    fn advance(&self, bytes: &[u8]) {
        self.any_written.set(self.any_written.get() || !bytes.is_empty());
        let mut rest = bytes;
        while self.head_end_matched.get() < 4 {
            let Some((byte, after)) = rest.split_first() else { return };
            rest = after;
            self.head_end_matched.set(match_head_end(self.head_end_matched.get(), *byte));
        }
        self.body_left_bytes.set(self.body_left_bytes.get().saturating_sub(rest.len()));
    }

    /// Returns whether any of the request was written.
    pub fn started(&self) -> bool {
        self.any_written.get()
    }

    /// Returns whether all of the request was written, after which the call may have run.
    pub fn complete(&self) -> bool {
        self.head_end_matched.get() == 4 && self.body_left_bytes.get() == 0
    }

    /// Returns the status in the response's status line, if a valid one was received.
    pub fn status(&self) -> Option<u16> {
        self.response.borrow().status()
    }
}

/// The part of a response that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ScanState {
    /// In the status line of a response or an interim response.
    StatusLine,
    /// In the head of an interim (1xx) response, with this many bytes of the head's end matched.
    Interim(usize),
    /// In the head of the response, with this many bytes of the head's end matched.
    Head { status: u16, end: usize },
    /// After the head, by this many bytes.
    AfterHead { status: u16, bytes: u64 },
    /// The input does not begin with a valid status line.
    Invalid,
}

/// Scans the bytes of a response before hyper gets them, as hyper reports nothing about a head that it
/// rejects.
struct ResponseScanner {
    state: ScanState,
    line: Vec<u8>,
    /// Number of bytes up to the end of the head.
    head_bytes: usize,
}

impl Default for ResponseScanner {
    fn default() -> ResponseScanner {
        ResponseScanner { state: ScanState::StatusLine, line: Vec::new(), head_bytes: 0 }
    }
}

impl ResponseScanner {
    /// Returns whether a response has begun and its head is not complete.
    fn in_head(&self) -> bool {
        match self.state {
            ScanState::StatusLine => !self.line.is_empty(),
            ScanState::AfterHead { .. } => false,
            ScanState::Interim(_) | ScanState::Head { .. } | ScanState::Invalid => true,
        }
    }

    /// Returns the status in the status line, if a valid one was received.
    fn status(&self) -> Option<u16> {
        match self.state {
            ScanState::Head { status, .. } | ScanState::AfterHead { status, .. } => Some(status),
            _ => None,
        }
    }

    /// Scans received bytes. An unrequested 101 means no more than any other interim response, but hyper
    /// would stop there, so it is changed into a 100.
    fn read(&mut self, bytes: &mut [u8]) {
        for at in 0..bytes.len() {
            if let ScanState::AfterHead { bytes: after_head, .. } = &mut self.state {
                *after_head += (bytes.len() - at) as u64;
                return;
            }
            self.head_bytes += 1;
            if self.head_bytes > MAX_HEAD_BYTES && !matches!(self.state, ScanState::Head { .. }) {
                self.state = ScanState::Invalid;
            }
            let byte = &mut bytes[at];
            self.state = match self.state {
                ScanState::Invalid => return,
                ScanState::StatusLine if self.line.is_empty() && matches!(byte, b'\r' | b'\n') => {
                    ScanState::StatusLine
                }
                ScanState::StatusLine => {
                    if *byte == b'1' && self.line.starts_with(b"HTTP/1.") && self.line.ends_with(b" 10") {
                        *byte = b'0';
                    }
                    self.line.push(*byte);
                    self.check_status_line()
                }
                ScanState::Interim(end) => match match_head_end(end, *byte) {
                    4 => ScanState::StatusLine,
                    end => ScanState::Interim(end),
                },
                ScanState::Head { status, end } => match match_head_end(end, *byte) {
                    4 => ScanState::AfterHead { status, bytes: 0 },
                    end => ScanState::Head { status, end },
                },
                rest => rest,
            };
        }
    }

    /// Checks the status line so far, which is `HTTP/1.1 200` and then a space or the end of the line.
    fn check_status_line(&mut self) -> ScanState {
        const FORM: &[u8; STATUS_LINE_BYTES] = b"HTTP/1.d ddd ";
        let fits = |(byte, form): (&u8, &u8)| match form {
            b'd' => byte.is_ascii_digit(),
            _ => byte == form,
        };
        let full_length = self.line.len() == FORM.len();
        let line_ended = self.line.last().is_some_and(|b| matches!(b, b'\r' | b'\n'));
        let form = &FORM[..FORM.len() - usize::from(full_length && line_ended)];
        if !self.line.iter().zip(form).all(fits) {
            return ScanState::Invalid;
        }
        if !full_length {
            return ScanState::StatusLine;
        }
        let status = self.line[9..12].iter().fold(0, |n, digit| n * 10 + u16::from(digit - b'0'));
        let end = match_head_end(0, self.line[12]);
        self.line.clear();
        match status {
            100..200 => ScanState::Interim(end),
            _ => ScanState::Head { status, end },
        }
    }
}

/// Returns how many bytes of the end of a head are matched after one more byte.
fn match_head_end(matched: usize, byte: u8) -> usize {
    const END: &[u8; 4] = b"\r\n\r\n";
    match byte {
        b if END.get(matched) == Some(&b) => matched + 1,
        // A CR that breaks a match may begin the next one.
        b'\r' => 1,
        _ => 0,
    }
}

/// The socket, shared by hyper, which reads and writes it, and by [`Conn::usable`], which peeks at it.
type Socket = Rc<RefCell<TcpStream>>;

/// The socket as hyper reads and writes it, with `progress` updated.
struct ObservedStream {
    socket: Socket,
    progress: Rc<Progress>,
}

impl Read for ObservedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
        let max_bytes = buf.remaining().min(READ_BUFFER_BYTES);
        let mut read = ReadBuf::uninit(&mut bytes[..max_bytes]);
        std::task::ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, &mut read))?;
        self.progress.response.borrow_mut().read(read.filled_mut());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for ObservedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &written {
            self.progress.on_written(&buf[..*count]);
        }
        written
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}

/// Resets the connection if its exchange is dropped before it is finished. After a normal close the kernel
/// would go on sending what the other side has not received yet, and a host that was unreachable for a while
/// would run the call later, perhaps after its retry.
struct ResetOnDrop {
    socket: Socket,
    finished: bool,
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if !self.finished {
            let socket = self.socket.borrow();
            let _already_closed = socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
    }
}

/// The body of a request or of an answer to a client.
pub type Body = Full<Bytes>;

/// How much of a response's body is read, and whether it is kept.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimit {
    /// Maximum size; after a longer body the connection is closed.
    pub max_bytes: usize,
    /// Whether the content is kept. Else only its end is awaited, and [`HttpResponse::body`] is empty.
    pub keep: bool,
}

impl BodyLimit {
    /// A body whose content means nothing.
    pub const DISCARD: BodyLimit = BodyLimit { max_bytes: MAX_BODY_BYTES, keep: false };

    /// A body that is kept, of at most this size.
    pub fn keep(max_bytes: usize) -> BodyLimit {
        BodyLimit { max_bytes, keep: true }
    }
}

/// A response.
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body, or `None` if it was not received in full.
    pub body: Option<Bytes>,
    /// Length of a body that was not read, as it exceeds the limit.
    pub oversized_bytes: Option<u64>,
    /// Whether more bytes were received than belong to the response.
    pub surplus: bool,
}

/// Why there is no response.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection broke before anything was received.
    Broken(hyper::Error),
    /// The response is unreadable, or its head did not end in time. [`Progress`] has the status of its status
    /// line.
    Unreadable,
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ExchangeError::Broken(e) => e.fmt(f),
            ExchangeError::Unreadable => f.write_str("unreadable response"),
        }
    }
}

/// What the other side has sent on a connection without an open exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleInput {
    /// Nothing.
    Nothing,
    /// It has closed the connection, or the connection broke.
    Closed,
    /// Bytes that no request asked for.
    Unrequested {
        /// The status, if they begin with a status line.
        status: Option<u16>,
        /// The value of `Retry-After`, if they begin with a complete head that has one.
        retry_after: Option<Duration>,
    },
}

/// Returns the value of `Retry-After` in the response head that these bytes begin with.
fn retry_after_in(bytes: &[u8]) -> Option<Duration> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_UNREQUESTED_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(bytes).ok().filter(httparse::Status::is_complete)?;
    let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case("Retry-After"))?;
    let wait_ms = parse_retry_after_ms(std::str::from_utf8(header.value).ok()?);
    (wait_ms > 0.0).then(|| Duration::from_secs_f64(wait_ms / 1000.0))
}

/// Repeats a system call that a signal interrupted.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// A connection, with at most the one exchange of its owner.
pub struct Conn {
    sender: http1::SendRequest<Body>,
    driver: Pin<Box<http1::Connection<ObservedStream, Body>>>,
    driver_done: bool,
    driver_failed: bool,
    socket: Socket,
    progress: Rc<Progress>,
    reusable: bool,
    /// Number of requests that the connection has carried.
    carried: u32,
}

impl Conn {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> io::Result<Conn> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Conn::from_stream(stream).await
    }

    /// Uses an established connection without an open exchange.
    pub async fn from_stream(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        let socket = Rc::new(RefCell::new(stream));
        let progress = Rc::new(Progress::default());
        let stream = ObservedStream { socket: socket.clone(), progress: progress.clone() };
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream);
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        let (driver, driver_done, driver_failed) = (Box::pin(driver), false, false);
        Ok(Conn { sender, driver, driver_done, driver_failed, socket, progress, reusable: true, carried: 0 })
    }

    /// Returns a duplicate of the socket for another process, after which this connection must only be
    /// dropped.
    pub fn duplicate_socket(&self) -> io::Result<OwnedFd> {
        self.socket.borrow().as_fd().try_clone_to_owned()
    }

    /// Returns the number of requests that the connection has carried.
    pub fn carried(&self) -> u32 {
        self.carried
    }

    /// Records that the connection carried requests before this process used it.
    pub fn set_used_before(&mut self) {
        self.carried = self.carried.max(1);
    }

    /// Returns the local port, or 0 if the socket has none any more.
    pub fn local_port(&self) -> u16 {
        self.socket.borrow().local_addr().map_or(0, |address| address.port())
    }

    /// Returns the progress of the current exchange, or the last one.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Returns whether the last exchange left the connection reusable.
    pub fn reusable(&self) -> bool {
        self.reusable && !self.driver_done
    }

    /// Returns whether the next exchange may use the connection, see [`Conn::input_while_idle`].
    pub fn usable(&self) -> bool {
        self.reusable() && self.input_while_idle() == IdleInput::Nothing
    }

    /// Returns what the other side has sent since the last exchange. It asks the socket itself, as the event
    /// loop may not have processed new input yet. Input is consumed, so the connection must be dropped then.
    pub fn input_while_idle(&self) -> IdleInput {
        let socket = self.socket.borrow();
        let socket = socket2::SockRef::from(&*socket);
        let peeked = retry_interrupted(|| socket.peek(&mut [MaybeUninit::uninit()]));
        match peeked {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return IdleInput::Nothing,
            Ok(count) if count > 0 => {}
            _ => return IdleInput::Closed,
        }
        let mut bytes = [0; MAX_UNREQUESTED_BYTES];
        let count = retry_interrupted(|| (&*socket).read(&mut bytes)).unwrap_or_default();
        let retry_after = retry_after_in(&bytes[..count]);
        let mut scanner = ResponseScanner::default();
        scanner.read(&mut bytes[..count]);
        IdleInput::Unrequested { status: scanner.status(), retry_after }
    }

    /// Sends a request, waits for the response's head, and then reads its body within `body_timeout` and
    /// `body_limit`. After an error, [`Progress`] tells whether the request can have run.
    pub async fn exchange(
        &mut self, request: Request<Body>, body_timeout: Duration, body_limit: BodyLimit,
    ) -> Result<HttpResponse, ExchangeError> {
        self.reusable = false;
        self.carried = self.carried.saturating_add(1);
        self.progress.begin(request.body().size_hint().exact().unwrap_or(u64::MAX) as usize);
        let mut reset_on_drop = ResetOnDrop { socket: self.socket.clone(), finished: false };
        let mut sending = Box::pin(self.sender.send_request(request));
        let mut head_timeout = None;
        let response = poll_fn(|cx| {
            self.drive(cx);
            if let Poll::Ready(response) = sending.as_mut().poll(cx) {
                return Poll::Ready(Some(response));
            }
            if !self.progress.response.borrow().in_head() {
                head_timeout = None;
                return Poll::Pending;
            }
            let head_timeout = head_timeout.get_or_insert_with(|| Box::pin(sleep(HEAD_TIMEOUT)));
            head_timeout.as_mut().poll(cx).map(|()| None)
        })
        .await;
        drop(sending);
        reset_on_drop.finished = matches!(response, Some(Ok(_)));
        let (head, body) = match response {
            Some(Ok(response)) => response.into_parts(),
            Some(Err(e)) if self.progress.response.borrow().head_bytes == 0 => {
                return Err(ExchangeError::Broken(e))
            }
            Some(Err(_)) | None => return Err(ExchangeError::Unreadable),
        };
        let length = body.size_hint().exact();
        let oversized_bytes = length.filter(|length| *length > body_limit.max_bytes as u64);
        let body = match oversized_bytes {
            Some(_) => None,
            None => timeout(body_timeout, self.read_body(body, body_limit)).await.ok().flatten(),
        };
        let state = self.progress.response.borrow().state;
        let extra_bytes =
            matches!(state, ScanState::AfterHead { bytes, .. } if length.is_some_and(|l| bytes > l));
        let surplus = extra_bytes || self.driver_failed;
        self.reusable = body.is_some() && !surplus;
        Ok(HttpResponse { status: head.status, headers: head.headers, body, oversized_bytes, surplus })
    }

    /// Lets hyper read and write. Nothing else drives the connection, so an idle connection costs nothing.
    fn drive(&mut self, cx: &mut Context) {
        if !self.driver_done {
            let driven = self.driver.as_mut().poll(cx);
            self.driver_done = driven.is_ready();
            // The other side may have closed the connection first.
            self.driver_failed = matches!(driven, Poll::Ready(Err(e)) if !e.is_shutdown());
        }
    }

    /// Reads the body and waits until the connection is ready for the next request; `None` if the body is too
    /// long or incomplete.
    async fn read_body(&mut self, mut body: hyper::body::Incoming, limit: BodyLimit) -> Option<Bytes> {
        let (mut content, mut received_bytes) = (Vec::new(), 0);
        loop {
            let frame = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            })
            .await;
            match frame {
                None => break,
                Some(Err(_)) => return None,
                Some(Ok(frame)) => {
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    received_bytes += data.len();
                    if limit.keep {
                        content.extend_from_slice(data);
                    }
                }
            }
            if received_bytes > limit.max_bytes {
                return None;
            }
        }
        // The connection accepts the next request only after its driver has seen the end of this response; never,
        // if the driver has closed the connection.
        poll_fn(|cx| {
            self.drive(cx);
            match self.driver_done {
                true => Poll::Ready(()),
                false => self.sender.poll_ready(cx).map(|_ready_or_closed| ()),
            }
        })
        .await;
        Some(content.into())
    }
}

/// Returns the pause after this many failures in a row, with jitter, so that relays that lost the same agent
/// don't return to it together.
pub fn backoff(failures: u32, (first_ms, max_ms): (u64, u64)) -> Duration {
    let max_ms = (first_ms << failures.min(6)).min(max_ms);
    Duration::from_millis(fastrand::u64(max_ms / 2..=max_ms))
}

/// Makes a body of these bytes.
pub fn bytes(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
}

#[cfg(test)]
mod tests;
