//! Client connections: how many there may be, and the end of those that say nothing or take too long. What a
//! request says is intake.rs's job.

use crate::client_connection::{ClientConnection, CloseMode, RequestPhase, MOST_HEAD};
use crate::close::{self, Socket};
use crate::intake::{DrainMode, Intake};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Semaphore};

const SWEEP: Duration = Duration::from_millis(50);
/// How long one more connection waits for a place that was taken from another. Closing that one takes one turn
/// of the event loop.
const PLACE: Duration = Duration::from_millis(200);
/// From health's no until answers close their connections: the front asks ten times a second, and sends nobody new
/// 0.2 s after a no.
const DRAIN_CLOSING: Duration = Duration::from_millis(300);
/// And until connections are closed that stand idle. Those in use have got their closing answer by then, which
/// crosses no request; only such a close may.
const DRAIN_IDLE: Duration = Duration::from_millis(2300);
/// And until those are left whose request does not come whole: 4 s after the call nobody may be here.
const DRAIN_ALL: Duration = Duration::from_millis(3600);
/// How often it is looked at whether anybody is left when the process ends.
const FINISH_LOOK: Duration = Duration::from_millis(5);
/// What is read at once.
const READ: usize = 4096;

/// A client's socket, as hyper reads and writes it.
struct Watched {
    io: Socket,
    /// What an earlier process had read of it and not answered, and how far that has been read anew.
    before: (Vec<u8>, usize),
    connection: Rc<ClientConnection>,
}

/// A client's connection on its way from one process to the next.
#[derive(Debug)]
pub struct HandedOverConnection {
    /// The connection.
    pub stream: std::net::TcpStream,
    /// What has come on it and is not answered.
    pub unread: Vec<u8>,
}

impl Read for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); READ];
        let most = buf.remaining().min(READ);
        let (before, at) = &mut self.before;
        if *at < before.len() {
            let more = before.get(*at..).unwrap_or_default();
            let more = more.get(..most).unwrap_or(more).to_vec();
            *at += more.len();
            if *at == before.len() {
                self.before = (Vec::new(), 0);
            }
            self.connection.saw(&more);
            buf.put_slice(&more);
            return Poll::Ready(Ok(()));
        }
        let mut read = ReadBuf::uninit(&mut bytes[..most]);
        std::task::ready!(Pin::new(&mut *self.io.borrow_mut()).poll_read(cx, &mut read))?;
        self.connection.saw(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        // Asked for when nothing is left to be written.
        self.connection.flushed();
        Pin::new(&mut *self.io.borrow_mut()).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.io.borrow_mut()).poll_shutdown(cx)
    }
}

/// All client connections.
pub struct Clients {
    intake: Rc<Intake>,
    places: Arc<Semaphore>,
    guests: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// From so many on, an answer closes its connection. Clients hold only so many of their own, and one that
    /// asks once and stays takes one of them for 2 s from a client that has something to hand in.
    crowd: usize,
    crowded: Rc<Cell<bool>>,
    /// Ends connections that stand idle.
    close: watch::Sender<bool>,
    /// Counts the calls to drain and to end that.
    drains: Cell<u64>,
    numbers: Cell<u64>,
    /// Where connections go once another process goes on.
    pass: watch::Sender<Option<UnboundedSender<HandedOverConnection>>>,
}

impl Clients {
    pub fn new(intake: Rc<Intake>, most: usize) -> Rc<Clients> {
        let (places, crowd) = (Arc::new(Semaphore::new(most)), most / 2);
        let (guests, crowded, drains) = (RefCell::default(), Rc::default(), Cell::default());
        let (close, pass, numbers) = (watch::Sender::new(false), watch::Sender::new(None), Cell::default());
        Rc::new(Clients { intake, places, guests, crowd, crowded, close, drains, numbers, pass })
    }

    /// Ends connections that stand idle, now and later, until [`Clients::drain`] ends.
    pub fn close_idle(&self) {
        self.close.send_replace(true);
    }

    /// Sends clients elsewhere, or takes them again. First health says no; once the front has seen that, each answer
    /// closes its connection, and later whoever is still here is left. Nothing that is handed in is turned away for it.
    pub fn drain(self: &Rc<Self>, on: bool) {
        let already = self.intake.away.get() > DrainMode::No;
        if on == already {
            return;
        }
        self.drains.set(self.drains.get() + 1);
        if !on {
            self.intake.away.set(DrainMode::No);
            self.close.send_replace(false);
            return;
        }
        self.intake.away.set(DrainMode::Unwell);
        let (this, drain, start) = (self.clone(), self.drains.get(), tokio::time::Instant::now());
        tokio::task::spawn_local(async move {
            for after in [DRAIN_CLOSING, DRAIN_IDLE, DRAIN_ALL] {
                tokio::time::sleep_until(start + after).await;
                if this.drains.get() != drain {
                    return;
                }
                match after {
                    DRAIN_CLOSING => this.intake.away.set(DrainMode::Closing),
                    DRAIN_IDLE => this.close_idle(),
                    _ => this.dismiss_all(),
                }
            }
        });
    }

    /// The process is about to end: closes what is idle, and lasts until whoever has begun a request has its answer. What is
    /// written on a connection counts as handed in once its last byte is there, read or not. Requests that are not whole by
    /// the end of `within` are refused; the connections are closed soon after that.
    pub async fn finish(&self, within: Duration) {
        let all_go = Instant::now() + within;
        loop {
            if Instant::now() < all_go {
                self.guests.borrow().values().for_each(|g| g.dismiss(CloseMode::WhenQuiet));
            } else {
                self.dismiss_all();
            }
            // One more turn of the event loop: what has come by now is seen, and what was dismissed has gone.
            tokio::time::sleep(FINISH_LOOK).await;
            if self.guests.borrow().is_empty() {
                return;
            }
        }
    }

    /// Each goes once no answer is due on it; a request that is not whole is refused.
    fn dismiss_all(&self) {
        self.guests.borrow().values().for_each(|g| g.dismiss(CloseMode::Now));
    }

    fn come(&self, number: u64) -> Rc<ClientConnection> {
        let connection = Rc::new(ClientConnection::new(number, self.crowded.clone()));
        let mut guests = self.guests.borrow_mut();
        guests.insert(number, connection.clone());
        self.crowded.set(guests.len() > self.crowd);
        connection
    }

    fn go(&self, number: u64) {
        let mut guests = self.guests.borrow_mut();
        guests.remove(&number);
        self.crowded.set(guests.len() > self.crowd);
    }

    /// Closes what overstays. For good.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let now = Instant::now();
            for connection in self.guests.borrow().values().filter(|g| g.overstays(now)) {
                let told = connection.leaves() >= CloseMode::WhenQuiet;
                let idle = connection.turn.get() == RequestPhase::Idle && !told;
                connection.dismiss(if idle { CloseMode::WhenQuiet } else { CloseMode::TooSlow });
            }
        }
    }

    /// With all places taken one that is closed already goes at once, else the connection that has stood idle for longest,
    /// else the one that takes longest over its request: a few that say nothing must not shut out all others.
    fn make_room(&self) {
        let guests = self.guests.borrow();
        if let Some(closed) = guests.values().find(|g| g.lingers.get()) {
            return closed.hurry.notify_one();
        }
        let stays = |g: &&Rc<ClientConnection>| {
            g.leaves() < CloseMode::WhenQuiet && g.turn.get() != RequestPhase::Answering
        };
        let longest = guests.values().filter(stays).min_by_key(|g| (!g.quiet(), g.since.get()));
        longest
            .into_iter()
            .for_each(|g| g.dismiss(if g.quiet() { CloseMode::WhenQuiet } else { CloseMode::Now }));
    }

    /// Another process goes on: all connections go there, each once no answer is due on it. The listener is left to
    /// it, too.
    pub fn pass(&self, to: UnboundedSender<HandedOverConnection>) {
        self.pass.send_replace(Some(to));
    }

    /// Connections that are here.
    pub fn count(&self) -> usize {
        self.guests.borrow().len()
    }

    /// Accepts connections until they are passed on.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut pass = self.pass.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = pass.wait_for(Option::is_some) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, Vec::new()).await,
                Err(e) => {
                    eprintln!("mulleinslip: accept: {e}");
                    self.make_room();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Goes on with a connection that an earlier process had.
    ///
    /// # Errors
    /// What making it a connection of this process gives.
    pub async fn take_over(self: &Rc<Self>, passed: HandedOverConnection) -> io::Result<()> {
        passed.stream.set_nonblocking(true)?;
        self.admit(TcpStream::from_std(passed.stream)?, passed.unread).await;
        Ok(())
    }

    async fn admit(self: &Rc<Self>, stream: TcpStream, unread: Vec<u8>) {
        if self.places.available_permits() == 0 {
            self.make_room();
        }
        let place = tokio::time::timeout(PLACE, self.places.clone().acquire_owned()).await;
        let Ok(Ok(place)) = place else { return };
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let connection = self.come(number);
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.serve_client(stream, unread, &connection).await;
            connection.gone();
            clients.go(number);
            drop(place);
        });
    }

    async fn serve_client(&self, io: TcpStream, unread: Vec<u8>, connection: &Rc<ClientConnection>) {
        let _slower_without = io.set_nodelay(true);
        let service = service_fn(|request| self.intake.request(request, connection));
        let mut server = http1::Builder::new();
        server.max_buf_size(MOST_HEAD);
        let io: Socket = Rc::new(RefCell::new(io));
        let watched = Watched { io: io.clone(), before: (unread, 0), connection: connection.clone() };
        let mut conn = server.serve_connection(watched, service);
        let (mut close, mut pass) = (self.close.subscribe(), self.pass.subscribe());
        // What comes after idle connections were closed may be a request that crossed the close, sent once
        // more: it is answered, not closed on.
        let late = *close.borrow();
        let mut give_up_at = None;
        let passed = loop {
            let passing = pass.borrow().is_some();
            // hyper first: what has come is read before it is judged whether anything has.
            let over = poll_fn(|cx| {
                if Pin::new(&mut conn).poll(cx).is_ready() {
                    return Poll::Ready(None);
                }
                if passing {
                    // Once nothing is due on it, it goes to the other process as it stands.
                    if let Some(unread) = connection.hand_over() {
                        return Poll::Ready(Some(unread));
                    }
                }
                match connection.may_go() && !close::unread(&io) {
                    true => Poll::Ready(None),
                    false => Poll::Pending,
                }
            });
            tokio::select! {
                biased;
                over = over => break over,
                () = connection.told.notified() => {
                    // It goes at the next look, or an answer is due on it, which comes soon or never.
                    let now = (connection.leaves() >= CloseMode::TooSlow).then(Instant::now);
                    give_up_at = give_up_at.or(now.map(|now| now + close::LAST_ANSWER));
                }
                () = until(give_up_at) => break None,
                Ok(_) = pass.wait_for(Option::is_some), if !passing => {}
                Ok(_) = close.wait_for(|close| *close), if !late && connection.leaves() == CloseMode::No => {
                    connection.dismiss(CloseMode::AfterAnswer);
                }
            }
        };
        if let Some(unread) = passed {
            drop(io);
            let Watched { io, before: (earlier, at), .. } = conn.into_parts().io;
            let unread = [&unread[..], earlier.get(at..).unwrap_or_default()].concat();
            let stream = Rc::into_inner(io).map(|io| io.into_inner().into_std());
            if let (Some(Ok(stream)), Some(to)) = (stream, &*self.pass.borrow()) {
                let _process_ends = to.send(HandedOverConnection { stream, unread });
            }
            return;
        }
        // hyper answers for itself what it can make nothing of.
        let answer = match connection.leaves() {
            CloseMode::TooSlow if connection.half_read() => Some(close::TOO_SLOW),
            CloseMode::Now if connection.half_read() => Some(close::REFUSAL),
            _ => None,
        };
        drop(conn);
        if let Some(answer) = answer {
            // With nothing else on its way out, this is written at once or never.
            let _client_gone = io.borrow().try_write(answer);
        }
        let Some(io) = Rc::into_inner(io) else { return };
        let crowded = self.places.available_permits() == 0;
        let within = if crowded { close::LINGER_CROWDED } else { close::LINGER };
        close::close(io.into_inner(), connection, within).await;
    }
}

/// For good, if there is no such time.
async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
