//! Client connections: how many there may be, and the end of those that say nothing or take too long. What a
//! request says is intake.rs's job.

use crate::guest::{Guest, Turn, MOST_HEAD};
use crate::intake::{Away, Intake};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
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
/// What is read at once.
const READ: usize = 4096;

/// A client's socket, as hyper reads and writes it.
struct Watched {
    io: TcpStream,
    guest: Rc<Guest>,
}

impl Read for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); READ];
        let most = buf.remaining().min(READ);
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
}

impl Clients {
    pub fn new(intake: Rc<Intake>, most: usize) -> Rc<Clients> {
        let (places, crowd) = (Arc::new(Semaphore::new(most)), most / 2);
        let (guests, crowded, drains) = (RefCell::default(), Rc::default(), Cell::default());
        Rc::new(Clients { intake, places, guests, crowd, crowded, close: watch::Sender::new(false), drains })
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
            let steps: [(Duration, fn(&Clients)); 3] = [
                (DRAIN_CLOSING, |c| c.intake.away.set(Away::Closing)),
                (DRAIN_IDLE, Clients::close_idle),
                (DRAIN_ALL, Clients::dismiss_all),
            ];
            for (after, step) in steps {
                tokio::time::sleep_until(start + after).await;
                if this.drains.get() != drain {
                    return;
                }
                step(&this);
            }
        });
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

    /// Accepts connections for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    eprintln!("mulleinslip: accept: {e}");
                    self.make_room();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            if self.places.available_permits() == 0 {
                self.make_room();
            }
            let place = tokio::time::timeout(PLACE, self.places.clone().acquire_owned()).await;
            let Ok(Ok(place)) = place else { continue };
            let guest = self.come(number);
            let (clients, close) = (self.clone(), self.close.subscribe());
            tokio::task::spawn_local(async move {
                clients.entertain(stream, guest, close).await;
                clients.go(number);
                drop(place);
            });
        }
    }

    async fn entertain(&self, io: TcpStream, guest: Rc<Guest>, mut close: watch::Receiver<bool>) {
        let _slower_without = io.set_nodelay(true);
        let service = service_fn(|request| self.intake.request(request, &guest));
        let mut server = http1::Builder::new();
        server.max_buf_size(MOST_HEAD);
        let watched = Watched { io, guest: guest.clone() };
        let mut conn = std::pin::pin!(server.serve_connection(watched, service));
        // What comes after idle connections were closed may be a request that crossed the close, sent once
        // more: it is answered, not closed on.
        let late = *close.borrow();
        tokio::select! {
            _client_gone = conn.as_mut() => return,
            () = guest.leave.notified() => return,
            Ok(_) = close.wait_for(|close| *close), if !late => {}
        }
        // Ends it after the request that has been read, or at once if there is none.
        conn.as_mut().graceful_shutdown();
        tokio::select! {
            _client_gone = conn.as_mut() => {}
            () = guest.leave.notified() => {}
        }
    }
}
