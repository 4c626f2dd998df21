//! One process of the relay takes over from another: the parts of each side put together. What each may do when is
//! `mulleinslip_takeover::protocol`'s.

use crate::operate::Operator;
use mulleinslip_engine::{AttemptEnd as EngineAttemptEnd, Engine};
use mulleinslip_http::{Clients, HandedOverConnection, Handle, HttpCarrier, Intake, List};
use mulleinslip_journal::{Journal, RecoveredState};
use mulleinslip_membership::View;
use mulleinslip_runtime::{Clock, ForwardedEnd};
use mulleinslip_takeover::channel::{Channel, TakeoverListener};
use mulleinslip_takeover::message::{
    AttemptEnd, ToNew, ToOld, FIRST_VERSION, MAX_LEARNT_ROWS, MAX_LIST_ROWS, MAX_ROWS, VERSION,
};
use mulleinslip_takeover::protocol::{HandoverState, NewProcess, NewStep, OldEvent, OldProcess, OldStep};
use std::cell::RefCell;
use std::collections::HashSet;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// What the other process may take to say what comes next. It reads a journal of a few megabytes in between; clients
/// wait 400 ms for an answer, but those whose request waits that long lose less than by a takeover that breaks off.
const NEXT: Duration = Duration::from_secs(2);
/// How long the folder may belong to another process that can't be asked: one that stops takes 3.7 s for it.
const FOLDER_FREE: Duration = Duration::from_secs(15);
/// Between looks whether it is free.
const LOOK: Duration = Duration::from_millis(20);
/// So long the old process stays once it has nothing more to do, for who asks its second address.
const LINGER: Duration = Duration::from_millis(1500);

fn log(words: &str) {
    eprintln!("mulleinslip: {words}");
}

/// What came with the folder, if another process had it.
pub struct TakenOver {
    pub channel: Channel,
    pub offer: HandoverState,
    pub listener: Option<TcpListener>,
}

/// Opens the folder, and takes over from a process that serves from it.
pub async fn open(folder: &Path, most: u64) -> io::Result<(Journal, RecoveredState, Option<TakenOver>)> {
    let start = Instant::now();
    let mut said = false;
    loop {
        match Journal::open(folder.to_path_buf(), most) {
            Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < FOLDER_FREE => {}
            other => return other.map(|(journal, left)| (journal, left, None)),
        }
        // One of an older version goes on all the same, with what that version tells.
        for version in (FIRST_VERSION..=VERSION).rev() {
            let Ok(channel) = Channel::connect(folder) else { break };
            match ask(channel, version, folder, most).await {
                Ok((journal, left, taken)) => return Ok((journal, left, Some(taken))),
                Err(why) if !said && version == FIRST_VERSION => {
                    log(&format!("no takeover: {why}; waiting for the folder"));
                    said = true;
                }
                Err(_) => {}
            }
        }
        sleep(LOOK).await;
    }
}

async fn ask(
    channel: Channel, version: u16, folder: &Path, most: u64,
) -> io::Result<(Journal, RecoveredState, TakenOver)> {
    channel.send(&ToOld::Ask { version }, None).await?;
    let (mut new, mut listener, mut opened) = (NewProcess::default(), None, None);
    loop {
        let heard =
            timeout(NEXT, channel.receive()).await.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        let (frame, with) = heard.map_or((None, None), |(frame, with)| (Some(frame), with));
        match new.on(frame) {
            NewStep::Wait => {}
            NewStep::Open => {
                listener = with.map(TcpListener::from);
                opened = Some(Journal::open(folder.to_path_buf(), most)?);
                channel.send(&ToOld::FolderOpened, None).await?;
            }
            NewStep::Serve(offer) => {
                let (journal, left) = opened.ok_or_else(|| io::Error::other("the folder is not open"))?;
                return Ok((journal, left, TakenOver { channel, offer, listener }));
            }
            NewStep::GiveUp(why) => return Err(io::Error::other(why)),
        }
    }
}

/// Goes on with what an old process still has, until it is gone.
pub async fn follow(
    channel: Channel, out: Vec<(u64, u32)>, mut call_offs: UnboundedReceiver<(u64, u32)>,
    clients: Rc<Clients>, carrier: Rc<HttpCarrier>, handle: Handle,
) {
    let mut out: HashSet<(u64, u32)> = out.into_iter().collect();
    loop {
        let heard = tokio::select! {
            biased;
            Some((id, attempt)) = call_offs.recv() => {
                let _gone = channel.send(&ToOld::CancelAttempt { id, attempt }, None).await;
                continue;
            }
            heard = channel.receive() => heard,
        };
        match heard {
            Ok(Some((ToNew::Client { unread }, Some(fd)))) => {
                let clients = clients.clone();
                let passed = HandedOverConnection { stream: TcpStream::from(fd), unread };
                spawn_local(async move {
                    if let Err(e) = clients.take_over(passed).await {
                        log(&format!("a client's connection: {e}"));
                    }
                });
            }
            Ok(Some((ToNew::RetryAfters(rows), _))) => restore_retry_afters(&carrier, &rows),
            Ok(Some((ToNew::Host { endpoint, idle_ms }, Some(fd)))) => {
                let idle = Duration::from_secs_f64(idle_ms.clamp(0.0, 1e9) / 1000.0);
                if let Err(e) = carrier.take_over_idle(&endpoint, idle, fd).await {
                    log(&format!("a connection to {endpoint}: {e}"));
                }
            }
            Ok(Some((ToNew::Ended(e), _))) => {
                if out.remove(&(e.id, e.attempt)) {
                    let AttemptEnd { id, attempt, took_ms, outcome, settled, answered, wait_ms, report } = e;
                    let response = answered.then_some(());
                    let end = EngineAttemptEnd { outcome, settled, wait_ms, report, response };
                    handle.ended(ForwardedEnd { id, attempt, took_ms, end });
                }
            }
            Ok(Some(_)) => log("the process before this one doesn't keep to the protocol"),
            other => {
                if let Err(e) = other {
                    log(&format!("the process before this one: {e}"));
                }
                break;
            }
        }
    }
    // It is gone, or can't be understood: what it had out may have run.
    for (id, attempt) in out {
        let end = EngineAttemptEnd::without_response(linenhall::Outcome::Broken);
        handle.ended(ForwardedEnd { id, attempt, took_ms: 0.0, end });
    }
}

/// What the old process has learnt. A part that can't be read is left out: it is of use, and nothing depends on it.
pub fn learnt(offer: &HandoverState) -> Vec<linenhall::Learnt> {
    let read = offer.learnt.iter().filter_map(|part| match serde_json::from_str(part) {
        Ok(part) => Some(part),
        Err(e) => {
            log(&format!("takeover: a part of what was learnt: {e}"));
            None
        }
    });
    read.collect()
}

/// What `agent` told, the newest last, and the version that is held. The old process's may be newer than the one just asked
/// for, or the only one there is.
pub fn lists(offer: &HandoverState, first: Option<List>, agent: SocketAddr) -> (Vec<List>, Option<u64>) {
    let mut passed: Option<List> = None;
    for (_, part) in offer.list.iter().filter(|(told_by, _)| *told_by == agent.to_string()) {
        match serde_json::from_str::<List>(part) {
            Ok(part) => passed
                .get_or_insert_with(|| List { endpoints: Vec::new(), ..part })
                .endpoints
                .extend(part.endpoints),
            Err(e) => log(&format!("takeover: a part of the list: {e}")),
        }
    }
    let index = [&first, &passed].into_iter().flatten().map(|list| list.index).max();
    let mut told: Vec<List> = passed.into_iter().chain(first).collect();
    // Of equals the one just asked for.
    told.sort_by_key(|list| list.index);
    (told, index)
}

/// Has the carrier heed waits as they stand in a frame.
pub fn restore_retry_afters(carrier: &HttpCarrier, rows: &[(u64, String, f64)]) {
    let spans = rows
        .iter()
        .map(|(dest, host, ms)| (*dest, host.clone(), Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0)));
    carrier.restore_retry_afters(&spans.collect::<Vec<_>>());
}

/// Hosts of a list that is passed on.
const MOST_PASSED: usize = 8192;

/// The parts of a process that serves, for one that takes over.
pub struct Stand {
    pub folder: PathBuf,
    pub listener: OwnedFd,
    pub intake: Rc<Intake>,
    pub clients: Rc<Clients>,
    pub carrier: Rc<HttpCarrier>,
    pub view: Rc<RefCell<View>>,
    pub engine: Rc<RefCell<Engine<Journal, ()>>>,
    pub clock: Clock,
    /// Where discovery's agent is.
    pub place: watch::Receiver<SocketAddr>,
    pub handle: Handle,
    pub operator: Rc<Operator>,
}

impl Stand {
    /// Waits for a process that takes over, and serves it until there is nothing left to pass on. Gives up only if
    /// the socket can't be opened.
    pub async fn wait(self) {
        let door = match TakeoverListener::open(&self.folder) {
            Ok(door) => door,
            Err(e) => {
                return log(&format!("takeover: {e}; a new process will have to wait for this one's end"))
            }
        };
        loop {
            match door.accept().await {
                Ok(channel) => {
                    if let Err(e) = self.meet(channel).await {
                        log(&format!("takeover: {e}"));
                    }
                    if self.operator.has_passed() {
                        return;
                    }
                }
                Err(e) => {
                    log(&format!("takeover: {e}"));
                    sleep(LOOK).await;
                }
            }
        }
    }

    async fn meet(&self, channel: Channel) -> io::Result<()> {
        let mut old = OldProcess::default();
        let mut next = hear(&channel).await;
        let speaks = if let OldEvent::Received(ToOld::Ask { version }) = next { version } else { 0 };
        loop {
            next = match old.on(next) {
                OldStep::Wait => hear(&channel).await,
                OldStep::Release => {
                    self.intake.paused.send_replace(true);
                    let out = self.handle.release().await.unwrap_or_default();
                    let released = self.engine.borrow_mut().store_mut().release();
                    match released {
                        Ok(()) => {
                            self.tell_out(&channel, &out).await;
                            OldEvent::Released
                        }
                        Err(_) => OldEvent::Lost,
                    }
                }
                OldStep::SendState => match self.tell(&channel, speaks).await {
                    Ok(()) => hear(&channel).await,
                    Err(_) => OldEvent::Lost,
                },
                OldStep::HandOver => {
                    self.operator.passed();
                    // Even if it does not hear this, it has the folder: nothing may be written here any more.
                    let _gone = channel.send(&ToNew::Go, None).await;
                    log("another process goes on");
                    return self.pass(&channel, &mut old, speaks).await;
                }
                OldStep::Reject(why) => return channel.send(&ToNew::Rejected(why.into()), None).await,
                OldStep::Retake => {
                    drop(channel);
                    self.retake().await;
                    return Err(io::Error::other("broke off; this process goes on"));
                }
                OldStep::CancelAttempt(..) | OldStep::Exit => return Ok(()),
            };
        }
    }

    async fn tell_out(&self, channel: &Channel, out: &[(u64, u32)]) {
        for rows in out.chunks(MAX_ROWS) {
            let _gone = channel.send(&ToNew::AttemptsInFlight(rows.to_vec()), None).await;
        }
    }

    /// All that the new process needs, in the frames of the version that it speaks.
    async fn tell(&self, channel: &Channel, speaks: u16) -> io::Result<()> {
        self.tell_waits(channel).await?;
        if speaks > FIRST_VERSION {
            let agent = self.place.borrow().to_string();
            // A longer one is asked for anew: it would hold this process up.
            let list = self.view.borrow().list(MOST_PASSED).unwrap_or_default();
            for rows in list.endpoints.chunks(MAX_LIST_ROWS) {
                let part = List { endpoints: rows.to_vec(), ..list };
                let part = serde_json::to_string(&part).map_err(io::Error::other)?;
                channel.send(&ToNew::List { agent: agent.clone(), part }, None).await?;
            }
        }
        let learnt = self.engine.borrow().learnt(self.clock.now());
        for part in learnt.parts(MAX_LEARNT_ROWS).iter().filter(|_| speaks > FIRST_VERSION) {
            let text = serde_json::to_string(part).map_err(io::Error::other)?;
            channel.send(&ToNew::Learnt(text), None).await?;
        }
        let drained = self.intake.away.get() > mulleinslip_http::DrainMode::No;
        channel.send(&ToNew::Ready { drained }, Some(self.listener.as_fd())).await
    }

    async fn tell_waits(&self, channel: &Channel) -> io::Result<()> {
        let waits = self.carrier.retry_afters().into_iter();
        let rows: Vec<_> =
            waits.map(|(dest, host, left)| (dest, host, left.as_secs_f64() * 1000.0)).collect();
        for rows in rows.chunks(MAX_ROWS) {
            channel.send(&ToNew::RetryAfters(rows.to_vec()), None).await?;
        }
        Ok(())
    }

    /// The new process may hold the folder for as long as it reads it.
    async fn retake(&self) {
        loop {
            let retaken = self.engine.borrow_mut().store_mut().retake();
            match retaken {
                Ok(()) => break,
                Err(e) if e.kind() != ErrorKind::WouldBlock => log(&format!("journal: {e}")),
                Err(_) => {}
            }
            sleep(LOOK).await;
        }
        self.handle.retake();
        self.intake.paused.send_replace(false);
    }

    /// Passes on connections as nothing is due on them, and the ends of attempts that are out.
    async fn pass(&self, channel: &Channel, old: &mut OldProcess, speaks: u16) -> io::Result<()> {
        let (tell_ended, mut ended) = unbounded_channel();
        let (tell_passed, mut passed) = unbounded_channel();
        self.handle.pass(tell_ended);
        self.clients.pass(tell_passed);
        let mut calls = true;
        while calls || self.clients.count() > 0 || !passed.is_empty() {
            // Those whose call has just ended here too: the next call on them needs no handshake.
            while let Some((endpoint, idle, socket)) = self.carrier.pass_idle() {
                if speaks > FIRST_VERSION {
                    let idle_ms = idle.as_secs_f64() * 1000.0;
                    channel.send(&ToNew::Host { endpoint, idle_ms }, Some(socket.as_fd())).await?;
                }
            }
            tokio::select! {
                biased;
                Some(HandedOverConnection { stream, unread }) = passed.recv() => {
                    channel.send(&ToNew::Client { unread }, Some(stream.as_fd())).await?;
                }
                end = ended.recv(), if calls => match end {
                    Some(end) => self.tell_ended(channel, end).await?,
                    None => calls = false,
                },
                heard = receive(channel) => match old.on(heard) {
                    OldStep::CancelAttempt(id, attempt) => drop(self.handle.cancel(id, attempt)),
                    OldStep::Exit => return Ok(()),
                    _ => {}
                },
                () = sleep(LOOK) => {}
            }
        }
        Ok(())
    }

    async fn tell_ended(&self, channel: &Channel, end: ForwardedEnd<()>) -> io::Result<()> {
        let ForwardedEnd { id, attempt, took_ms, end } = end;
        let EngineAttemptEnd { outcome, settled, wait_ms, report, response } = end;
        if wait_ms > 0.0 {
            self.tell_waits(channel).await?;
        }
        let answered = response.is_some();
        let ended = AttemptEnd { id, attempt, took_ms, outcome, settled, answered, wait_ms, report };
        channel.send(&ToNew::Ended(ended), None).await
    }
}

/// Once everything is passed on, those who ask the second address get their answer for a while.
pub async fn linger() {
    sleep(LINGER).await;
}

async fn receive(channel: &Channel) -> OldEvent {
    match channel.receive::<ToOld>().await {
        Ok(Some((frame, _))) => OldEvent::Received(frame),
        Ok(None) | Err(_) => OldEvent::Lost,
    }
}

async fn hear(channel: &Channel) -> OldEvent {
    timeout(NEXT, receive(channel)).await.unwrap_or(OldEvent::Lost)
}
