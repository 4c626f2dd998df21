//! One HTTP/1.1 connection to a host or to discovery, driven by whoever has a request on it. It carries one
//! exchange at a time, sends nothing again, and knows how much of a request has gone out.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// An answer's body is read this far; what is longer ends the connection.
const MOST_BODY: usize = 1 << 22;

/// How far a request has gone out. A host begins a call when its last byte has come, so a break before that
/// proves that it never ran.
#[derive(Default)]
pub struct Progress {
    any: Cell<bool>,
    head_end: Cell<usize>,
    body_left: Cell<usize>,
}

impl Progress {
    fn begin(&self, body: usize) {
        self.any.set(false);
        self.head_end.set(0);
        self.body_left.set(body);
    }

    fn wrote(&self, bytes: &[u8]) {
        const END: &[u8] = b"\r\n\r\n";
        self.any.set(self.any.get() || !bytes.is_empty());
        let mut rest = bytes;
        while self.head_end.get() < END.len() {
            let Some((byte, after)) = rest.split_first() else { return };
            rest = after;
            let matched = self.head_end.get();
            // A CR that breaks off a match may begin the next one.
            self.head_end.set(match *byte {
                b if b == END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            });
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
}

/// The socket, shared by hyper, which reads and writes it, and by [`Conn::usable`], which looks at it.
type Socket = Rc<RefCell<TokioIo<TcpStream>>>;

struct Stream {
    io: Socket,
    progress: Rc<Progress>,
}

impl Read for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, buf)
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

pub type Body = Full<Bytes>;

/// What came back.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// `None` if it did not come whole.
    pub body: Option<Bytes>,
}

/// A connection with no exchange on it, or the one of its owner.
pub struct Conn {
    sender: http1::SendRequest<Body>,
    driver: Pin<Box<http1::Connection<Stream, Body>>>,
    driver_done: bool,
    socket: Socket,
    progress: Rc<Progress>,
    reusable: bool,
}

impl Conn {
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Conn> {
        let stream = tokio::time::timeout(within, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = Rc::new(RefCell::new(TokioIo::new(stream)));
        let progress = Rc::new(Progress::default());
        let stream = Stream { io: socket.clone(), progress: progress.clone() };
        let (sender, driver) = http1::handshake(stream).await.map_err(io::Error::other)?;
        let driver = Box::pin(driver);
        Ok(Conn { sender, driver, driver_done: false, socket, progress, reusable: true })
    }

    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Whether the next exchange may use it: the other side has neither closed it nor sent anything unasked.
    /// The socket itself is asked, as the event loop may not have seen yet what has come.
    pub fn usable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = self.socket.borrow();
        let peeked = socket2::SockRef::from(socket.inner()).peek(&mut byte);
        let quiet = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        self.reusable && !self.driver_done && quiet
    }

    /// Sends a request and waits for its answer, and then for its body for so long at most. On an error
    /// [`Progress`] tells whether the request can have run.
    pub async fn exchange(&mut self, request: Request<Body>, body_within: Duration) -> hyper::Result<Answer> {
        self.reusable = false;
        self.progress.begin(request.body().size_hint().exact().unwrap_or(u64::MAX) as usize);
        let mut sending = Box::pin(self.sender.send_request(request));
        let response = poll_fn(|cx| {
            self.drive(cx);
            sending.as_mut().poll(cx)
        })
        .await?;
        drop(sending);
        let (head, body) = response.into_parts();
        let body = tokio::time::timeout(body_within, self.drain(body)).await.ok().flatten();
        self.reusable = body.is_some();
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// Lets hyper read and write. Nobody else does, so a connection with nothing on it costs nothing.
    fn drive(&mut self, cx: &mut Context) {
        if !self.driver_done {
            self.driver_done = self.driver.as_mut().poll(cx).is_ready();
        }
    }

    async fn drain(&mut self, mut body: hyper::body::Incoming) -> Option<Bytes> {
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
            if all.len() > MOST_BODY {
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
mod tests {
    use super::Progress;

    /// A break before the last byte proves that the call never ran: an unsafe message may be tried again then,
    /// and only then. Sockets take a small request in one write, so this can't be provoked over one.
    #[test]
    fn a_request_is_complete_with_its_last_byte_and_not_before() {
        let request = b"POST /inbox HTTP/1.1\r\nX-Call-Id: m\r\n\r\nbo\r\n\r\ndy";
        for cut in 0..=request.len() {
            let progress = Progress::default();
            progress.begin(8);
            progress.wrote(&request[..cut]);
            assert_eq!(
                (progress.begun(), progress.complete()),
                (cut > 0, cut == request.len()),
                "cut at {cut}"
            );
            progress.wrote(&request[cut..]);
            assert!(progress.complete());
        }
    }

    #[test]
    fn a_request_without_a_body_is_complete_with_its_head() {
        let progress = Progress::default();
        progress.begin(0);
        progress.wrote(b"GET /ping HTTP/1.1\r\n\r");
        assert!(!progress.complete());
        progress.wrote(b"\n");
        assert!(progress.complete());
        progress.begin(0);
        assert!(!progress.begun() && !progress.complete());
    }
}
