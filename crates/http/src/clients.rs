//! Client connections: how many there may be, and the end of those that say nothing or take too long. What a
//! request says is intake.rs's job.

use crate::guest::{Guest, Turn, MOST_HEAD};
use crate::intake::{Away, Intake};
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
    io: TcpStream,
    /// What an earlier process had read of it and not answered, and how far that has been read anew.
    before: (Vec<u8>, usize),
    guest: Rc<Guest>,
}

/// A client's connection on its way from one process to the next.
#[derive(Debug)]
pub struct Passed {
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
            self.guest.saw(&more);
            buf.put_slice(&more);
            return Poll::Ready(Ok(()));
        }
        let mut read = ReadBuf::uninit(&mut bytes[..most]);
        std::task::ready!(Pin::new(&mut self.io).poll_read(cx, &mut read))?;
        self.guest.saw(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        // Asked for when nothing is left to be written.
        self.guest.flushed();
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// All client connections.
pub struct Clients {
    intake: Rc<Intake>,
    places: Arc<Semaphore>,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
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
    pass: watch::Sender<Option<UnboundedSender<Passed>>>,
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
        let already = self.intake.away.get() > Away::No;
        if on == already {
            return;
        }
        self.drains.set(self.drains.get() + 1);
        if !on {
            self.intake.away.set(Away::No);
            self.close.send_replace(false);
            return;
        }
        self.intake.away.set(Away::Unwell);
        let (this, drain, start) = (self.clone(), self.drains.get(), tokio::time::Instant::now());
        tokio::task::spawn_local(async move {
            for after in [DRAIN_CLOSING, DRAIN_IDLE, DRAIN_ALL] {
                tokio::time::sleep_until(start + after).await;
                if this.drains.get() != drain {
                    return;
                }
                match after {
                    DRAIN_CLOSING => this.intake.away.set(Away::Closing),
                    DRAIN_IDLE => this.close_idle(),
                    _ => this.dismiss_all(),
                }
            }
        });
    }

    /// The process is about to end: closes what is idle, and lasts until whoever has begun a request has its answer. What is
    /// written on a connection counts as handed in once its last byte is there, read or not.
    pub async fn finish(&self) {
        loop {
            let idle = |g: &&Rc<Guest>| g.turn.get() == Turn::Idle && !g.unwritten();
            self.guests.borrow().values().filter(idle).for_each(|g| g.dismiss());
            // One more turn of the event loop: what has come by now is seen, and what was dismissed has gone.
            tokio::time::sleep(FINISH_LOOK).await;
            if self.guests.borrow().is_empty() {
                return;
            }
        }
    }

    fn dismiss_all(&self) {
        let waits = |g: &&Rc<Guest>| g.turn.get() != Turn::Answering;
        self.guests.borrow().values().filter(waits).for_each(|g| g.dismiss());
    }

    fn come(&self, number: u64) -> Rc<Guest> {
        let guest = Rc::new(Guest::new(self.crowded.clone()));
        let mut guests = self.guests.borrow_mut();
        guests.insert(number, guest.clone());
        self.crowded.set(guests.len() > self.crowd);
        guest
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
            self.guests.borrow().values().filter(|g| g.overstays(now)).for_each(|g| g.dismiss());
        }
    }

    /// With all places taken the connection that has stood idle for longest goes, else the one that takes
    /// longest over its request: a few that say nothing must not shut out all others.
    fn make_room(&self) {
        let guests = self.guests.borrow();
        let stays = |g: &&Rc<Guest>| !g.told_to_leave.get() && g.turn.get() != Turn::Answering;
        let longest =
            guests.values().filter(stays).min_by_key(|g| (g.turn.get() != Turn::Idle, g.since.get()));
        longest.into_iter().for_each(|g| g.dismiss());
    }

    /// Another process goes on: all connections go there, each once no answer is due on it. The listener is left to
    /// it, too.
    pub fn pass(&self, to: UnboundedSender<Passed>) {
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
    pub async fn take_over(self: &Rc<Self>, passed: Passed) -> io::Result<()> {
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
        let guest = self.come(number);
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            clients.entertain(stream, unread, guest).await;
            clients.go(number);
            drop(place);
        });
    }

    async fn entertain(&self, io: TcpStream, unread: Vec<u8>, guest: Rc<Guest>) {
        let _slower_without = io.set_nodelay(true);
        let service = service_fn(|request| self.intake.request(request, &guest));
        let mut server = http1::Builder::new();
        server.max_buf_size(MOST_HEAD);
        let watched = Watched { io, before: (unread, 0), guest: guest.clone() };
        let mut conn = server.serve_connection(watched, service);
        let (mut close, mut pass) = (self.close.subscribe(), self.pass.subscribe());
        // What comes after idle connections were closed may be a request that crossed the close, sent once
        // more: it is answered, not closed on.
        let late = *close.borrow();
        tokio::select! {
            _client_gone = Pin::new(&mut conn) => return,
            () = guest.leave.notified() => return,
            Ok(_) = pass.wait_for(Option::is_some) => {}
            Ok(_) = close.wait_for(|close| *close), if !late => {
                // Ends it after the request that has been read, or at once if there is none.
                Pin::new(&mut conn).graceful_shutdown();
            }
        }
        tokio::select! {
            _client_gone = Pin::new(&mut conn) => return,
            () = guest.leave.notified() => return,
            Ok(_) = pass.wait_for(Option::is_some) => {}
        }
        // Once nothing is due on it, it goes to the other process as it stands.
        let unread = poll_fn(|cx| match Pin::new(&mut conn).poll(cx) {
            Poll::Ready(_client_gone) => Poll::Ready(None),
            Poll::Pending => guest.hand_over().map_or(Poll::Pending, |unread| Poll::Ready(Some(unread))),
        });
        let unread = tokio::select! {
            unread = unread => unread,
            () = guest.leave.notified() => None,
        };
        let Some(unread) = unread else { return };
        let Watched { io, before: (earlier, at), .. } = conn.into_parts().io;
        let unread = [&unread[..], earlier.get(at..).unwrap_or_default()].concat();
        if let (Ok(stream), Some(to)) = (io.into_std(), &*self.pass.borrow()) {
            let _process_ends = to.send(Passed { stream, unread });
        }
    }
}
