//! One HTTP/1.1 connection to a host or to discovery, driven by whoever has a request on it. It carries one
//! exchange at a time, sends nothing again, and knows how much of a request has gone out and what came back,
//! also of an answer that hyper can make nothing of.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{HeaderMap, Request, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
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

/// How far the body of an answer is read that means nothing; what is longer ends the connection.
pub const SMALL: usize = 16 * 1024;
/// The longest head of an answer, and all that may come ahead of it: hyper takes no longer one either.
const MOST_HEAD: usize = 16 * 1024;
/// From an answer's first byte to the end of its head. Heads come in one piece.
const HEAD: Duration = Duration::from_millis(250);
/// What is read at once.
const READ: usize = 4096;

/// How far a request has gone out. A host begins a call when its last byte has come, so a break before that
/// proves that it never ran.
#[derive(Default)]
pub struct Progress {
    any: Cell<bool>,
    head_end: Cell<usize>,
    body_left: Cell<usize>,
    answer: RefCell<Heard>,
    /// Counts requests that were written whole.
    whole: RefCell<Option<Rc<Cell<u64>>>>,
}

impl Progress {
    fn begin(&self, body: usize) {
        self.any.set(false);
        self.head_end.set(0);
        self.body_left.set(body);
        *self.answer.borrow_mut() = Heard::default();
    }

    /// The next request counts here once it is written whole.
    pub fn count_in(&self, whole: Rc<Cell<u64>>) {
        *self.whole.borrow_mut() = Some(whole);
    }

    fn wrote(&self, bytes: &[u8]) {
        self.written(bytes);
        if self.complete() {
            if let Some(whole) = self.whole.take() {
                whole.set(whole.get() + 1);
            }
        }
    }

    fn written(&self, bytes: &[u8]) {
        self.any.set(self.any.get() || !bytes.is_empty());
        let mut rest = bytes;
        while self.head_end.get() < 4 {
            let Some((byte, after)) = rest.split_first() else { return };
            rest = after;
            self.head_end.set(ended(self.head_end.get(), *byte));
        }
        self.body_left.set(self.body_left.get().saturating_sub(rest.len()));
    }

    /// Some of it was written.
    pub fn begun(&self) -> bool {
        self.any.get()
    }

    /// All of it was written: from here on the call may have run.
    pub fn complete(&self) -> bool {
        self.head_end.get() == 4 && self.body_left.get() == 0
    }

    /// The status in the first line of the answer, if one came that can be read.
    pub fn status(&self) -> Option<u16> {
        match self.answer.borrow().part {
            Part::Head { status, .. } | Part::Rest { status, .. } => Some(status),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    /// In the first line, of an answer or of what is told ahead of it.
    Line,
    /// In the head of a 1xx, with so much of its end.
    Interim(usize),
    /// In the head, with so much of its end.
    Head { status: u16, end: usize },
    /// Behind the head by so many bytes.
    Rest { status: u16, bytes: u64 },
    /// No first line of an answer.
    Noise,
}

/// An answer as its bytes show it, ahead of hyper, which tells nothing of a head that it rejects.
struct Heard {
    part: Part,
    line: Vec<u8>,
    /// Bytes up to the end of the head.
    ahead: usize,
}

impl Default for Heard {
    fn default() -> Heard {
        Heard { part: Part::Line, line: Vec::new(), ahead: 0 }
    }
}

impl Heard {
    /// Something of an answer has come, and its head is not over.
    fn amid_head(&self) -> bool {
        match self.part {
            Part::Line => !self.line.is_empty(),
            Part::Rest { .. } => false,
            Part::Interim(_) | Part::Head { .. } | Part::Noise => true,
        }
    }

    /// Looks at what was read. A 101 that nobody asked for says no more than any other 1xx, but hyper would stop
    /// there, so it is handed on as a 100.
    fn read(&mut self, bytes: &mut [u8]) {
        for at in 0..bytes.len() {
            if let Part::Rest { bytes: behind, .. } = &mut self.part {
                *behind += (bytes.len() - at) as u64;
                return;
            }
            self.ahead += 1;
            if self.ahead > MOST_HEAD && !matches!(self.part, Part::Head { .. }) {
                self.part = Part::Noise;
            }
            let byte = &mut bytes[at];
            self.part = match self.part {
                Part::Noise => return,
                Part::Line if self.line.is_empty() && matches!(byte, b'\r' | b'\n') => Part::Line,
                Part::Line => {
                    if *byte == b'1' && self.line.starts_with(b"HTTP/1.") && self.line.ends_with(b" 10") {
                        *byte = b'0';
                    }
                    self.line.push(*byte);
                    self.first_line()
                }
                Part::Interim(end) => match ended(end, *byte) {
                    4 => Part::Line,
                    end => Part::Interim(end),
                },
                Part::Head { status, end } => match ended(end, *byte) {
                    4 => Part::Rest { status, bytes: 0 },
                    end => Part::Head { status, end },
                },
                rest => rest,
            };
        }
    }

    /// What the first line shows so far: `HTTP/1.1 200` and then a space or the end of the line.
    fn first_line(&mut self) -> Part {
        const FORM: &[u8; 13] = b"HTTP/1.d ddd ";
        let fits = |(byte, form): (&u8, &u8)| match form {
            b'd' => byte.is_ascii_digit(),
            _ => byte == form,
        };
        let over = self.line.len() == FORM.len();
        let last = self.line.last().is_some_and(|b| matches!(b, b'\r' | b'\n'));
        let form = &FORM[..FORM.len() - usize::from(over && last)];
        if !self.line.iter().zip(form).all(fits) {
            return Part::Noise;
        }
        if !over {
            return Part::Line;
        }
        let status = self.line[9..12].iter().fold(0, |n, digit| n * 10 + u16::from(digit - b'0'));
        let end = ended(0, self.line[12]);
        self.line.clear();
        match status {
            100..200 => Part::Interim(end),
            _ => Part::Head { status, end },
        }
    }
}

/// How much of the end of a head has come with one more byte.
fn ended(matched: usize, byte: u8) -> usize {
    const END: &[u8; 4] = b"\r\n\r\n";
    match byte {
        b if END.get(matched) == Some(&b) => matched + 1,
        // A CR that breaks off a match may begin the next one.
        b'\r' => 1,
        _ => 0,
    }
}

/// The socket, shared by hyper, which reads and writes it, and by [`Conn::usable`], which looks at it.
type Socket = Rc<RefCell<TcpStream>>;

struct Stream {
    io: Socket,
    progress: Rc<Progress>,
}

impl Read for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); READ];
        let most = buf.remaining().min(READ);
        let mut read = ReadBuf::uninit(&mut bytes[..most]);
        std::task::ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut read))?;
        self.progress.answer.borrow_mut().read(read.filled_mut());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut *self.io.borrow_mut()).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &wrote {
            self.progress.wrote(&buf[..*n]);
        }
        wrote
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_shutdown(cx)
    }
}

/// An exchange that is under way. Given up, its connection is reset and not closed: a kernel that closes goes on sending
/// what the other side has not got yet, and a host that was cut off would begin the call when it is back, long after it
/// was given up and perhaps after its repeat.
struct UnderWay {
    socket: Socket,
    over: bool,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if !self.over {
            let socket = self.socket.borrow();
            let _closed_already = socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
    }
}

pub type Body = Full<Bytes>;

/// What came back.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// `None` if it did not come whole.
    pub body: Option<Bytes>,
    /// How long it is, where it is longer than what is read, and was not read therefore.
    pub too_long: Option<u64>,
    /// More came than belongs to it.
    pub surplus: bool,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// The connection broke before anything came back.
    Broken(hyper::Error),
    /// What came back can't be read, or its head does not end. [`Progress`] has the status in its first line.
    Spoilt,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Failure::Broken(e) => e.fmt(f),
            Failure::Spoilt => f.write_str("an answer that can't be read"),
        }
    }
}

/// A connection with no exchange on it, or the one of its owner.
pub struct Conn {
    sender: http1::SendRequest<Body>,
    driver: Pin<Box<http1::Connection<Stream, Body>>>,
    driver_done: bool,
    driver_failed: bool,
    socket: Socket,
    progress: Rc<Progress>,
    reusable: bool,
    /// Requests that it has carried.
    carried: u32,
}

impl Conn {
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Conn> {
        let stream = timeout(within, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Conn::on(stream).await
    }

    /// On a connection that stands, with no exchange on it.
    pub async fn on(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        let socket = Rc::new(RefCell::new(stream));
        let progress = Rc::new(Progress::default());
        let stream = Stream { io: socket.clone(), progress: progress.clone() };
        let handshake = http1::Builder::new().max_buf_size(MOST_HEAD).handshake(stream);
        let (sender, driver) = handshake.await.map_err(io::Error::other)?;
        let (driver, driver_done, driver_failed) = (Box::pin(driver), false, false);
        Ok(Conn { sender, driver, driver_done, driver_failed, socket, progress, reusable: true, carried: 0 })
    }

    /// Its socket, for another process. It goes on there with nothing left here but to drop this one.
    pub fn to_pass(&self) -> io::Result<OwnedFd> {
        self.socket.borrow().as_fd().try_clone_to_owned()
    }

    /// Requests that it has carried.
    pub fn carried(&self) -> u32 {
        self.carried
    }

    /// The port on this side; 0 if it is gone.
    pub fn local_port(&self) -> u16 {
        self.socket.borrow().local_addr().map_or(0, |address| address.port())
    }

    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Whether the last exchange left it fit for another.
    pub fn reusable(&self) -> bool {
        self.reusable && !self.driver_done
    }

    /// Whether the next exchange may use it: the other side has neither closed it nor sent anything unasked.
    /// The socket itself is asked, as the event loop may not have seen yet what has come.
    pub fn usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket2::SockRef::from(&*socket).peek(&mut byte);
        let quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        self.reusable() && quiet
    }

    /// Sends a request and waits for its answer, and then for its body, for so long and up to so much at most.
    /// On an error [`Progress`] tells whether the request can have run.
    pub async fn exchange(
        &mut self, request: Request<Body>, body_within: Duration, most: usize,
    ) -> Result<Answer, Failure> {
        self.reusable = false;
        self.carried = self.carried.saturating_add(1);
        self.progress.begin(request.body().size_hint().exact().unwrap_or(u64::MAX) as usize);
        let mut under_way = UnderWay { socket: self.socket.clone(), over: false };
        let mut sending = Box::pin(self.sender.send_request(request));
        let mut late = None;
        let response = poll_fn(|cx| {
            self.drive(cx);
            if let Poll::Ready(response) = sending.as_mut().poll(cx) {
                return Poll::Ready(Some(response));
            }
            if !self.progress.answer.borrow().amid_head() {
                late = None;
                return Poll::Pending;
            }
            let late = late.get_or_insert_with(|| Box::pin(sleep(HEAD)));
            late.as_mut().poll(cx).map(|()| None)
        })
        .await;
        drop(sending);
        under_way.over = matches!(response, Some(Ok(_)));
        let (head, body) = match response {
            Some(Ok(response)) => response.into_parts(),
            Some(Err(e)) if self.progress.answer.borrow().ahead == 0 => return Err(Failure::Broken(e)),
            Some(Err(_)) | None => return Err(Failure::Spoilt),
        };
        let length = body.size_hint().exact();
        let body = match length {
            Some(length) if length > most as u64 => None,
            _ => timeout(body_within, self.drain(body, most)).await.ok().flatten(),
        };
        let part = self.progress.answer.borrow().part;
        let behind = matches!(part, Part::Rest { bytes, .. } if length.is_some_and(|l| bytes > l));
        let surplus = behind || self.driver_failed;
        let too_long = length.filter(|length| *length > most as u64);
        self.reusable = body.is_some() && !surplus;
        Ok(Answer { status: head.status, headers: head.headers, body, too_long, surplus })
    }

    /// Lets hyper read and write. Nobody else does, so a connection with nothing on it costs nothing.
    fn drive(&mut self, cx: &mut Context) {
        if !self.driver_done {
            let driven = self.driver.as_mut().poll(cx);
            self.driver_done = driven.is_ready();
            self.driver_failed = matches!(driven, Poll::Ready(Err(_)));
        }
    }

    async fn drain(&mut self, mut body: hyper::body::Incoming, most: usize) -> Option<Bytes> {
        let mut all = Vec::new();
        loop {
            let frame = poll_fn(|cx| {
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            })
            .await;
            match frame {
                None => break,
                Some(Err(_)) => return None,
                Some(Ok(frame)) => all.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d)),
            }
            if all.len() > most {
                return None;
            }
        }
        // The connection takes its next request only once its driver has seen the end of this one.
        let ready = poll_fn(|cx| {
            self.drive(cx);
            self.sender.poll_ready(cx)
        });
        let _closed_is_fine = ready.await;
        Some(all.into())
    }
}

/// How long to wait after so many failures in a row, with jitter, so that relays that lost the same agent do
/// not come back to it together.
pub fn backoff(failures: u32, (first, most): (u64, u64)) -> Duration {
    let most = (first << failures.min(6)).min(most);
    Duration::from_millis(fastrand::u64(most / 2..=most))
}

/// A body of bytes.
pub fn bytes(body: impl Into<Bytes>) -> Body {
    Full::new(body.into())
}

/// Reads a body whole, up to `most` bytes.
pub async fn collect(body: hyper::body::Incoming, most: usize) -> Result<Bytes, bool> {
    let limited = http_body_util::Limited::new(body, most);
    match limited.collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(e) => Err(e.is::<http_body_util::LengthLimitError>()),
    }
}

#[cfg(test)]
mod tests;
