//! Takeover between two processes of the relay: connects the protocol of `mulleinslip_takeover::protocol`
//! with the components of either side.

use crate::log::log;
use crate::process_control::ProcessControl;
use mulleinslip_engine::{AttemptEnd as EngineAttemptEnd, Engine};
use mulleinslip_http::{Clients, HandedOverConnection, Handle, HttpCarrier, Intake, List};
use mulleinslip_journal::{Journal, RecoveredState};
use mulleinslip_membership::View;
use mulleinslip_runtime::{Clock, ForwardedEnd};
use mulleinslip_takeover::calls_lock::{CallsLock, HeldLocks};
use mulleinslip_takeover::channel::{Channel, TakeoverListener};
use mulleinslip_takeover::message::{
    AttemptEnd, ToNew, ToOld, FIRST_VERSION, MAX_LEARNT_ROWS, MAX_LIST_ROWS, MAX_ROWS, VERSION,
};
use mulleinslip_takeover::protocol::{HandoverState, NewProcess, NewStep, OldEvent, OldProcess, OldStep};
use std::cell::{Cell, RefCell};
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

/// Time that the other process may take to send its next frame. It may read a journal of a few megabytes
/// meanwhile. This is longer than the 400 ms that clients wait for an answer, as an aborted takeover would
/// cost them more.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait for a folder whose owner can't be asked; a process that stops owns it for up to 3.7 s.
const FOLDER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time to wait for the calls of an old process that was lost. It ends them as soon as it notices, or is dead.
const CALLS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two checks, such as whether the folder is free.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the old process answers its second address after it has handed everything over.
const LAST_CALLERS_TIME: Duration = Duration::from_millis(1500);

/// What the old process handed over together with the folder.
pub struct TakenOver {
    pub channel: Channel,
    pub state: HandoverState,
    pub listener: Option<TcpListener>,
}

/// Opens the state folder. Takes over from the process that owns it, if there is one.
pub async fn open(folder: &Path, max_bytes: u64) -> io::Result<(Journal, RecoveredState, Option<TakenOver>)> {
    let start = Instant::now();
    let mut logged = false;
    loop {
        match Journal::open(folder.to_path_buf(), max_bytes) {
            Err(e) if e.kind() == ErrorKind::WouldBlock && start.elapsed() < FOLDER_TIMEOUT => {}
            Err(e) => return Err(e),
            Ok((journal, recovered)) => {
                wait_for_calls(&CallsLock::held(folder)?, FOLDER_TIMEOUT).await?;
                return Ok((journal, recovered, None));
            }
        }
        // An old process of an earlier version rejects the current one and is asked again with the first.
        for version in (FIRST_VERSION..=VERSION).rev() {
            let Ok(channel) = Channel::connect(folder) else { break };
            match request_takeover(channel, version, folder, max_bytes).await {
                Ok((journal, recovered, taken_over)) => return Ok((journal, recovered, Some(taken_over))),
                Err(why) if !logged && version == FIRST_VERSION => {
                    log(&format!("no takeover: {why}; waiting for the folder"));
                    logged = true;
                }
                Err(_) => {}
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the processes that hold these locks have no calls in flight: nobody reports their ends to this
/// process, and a message must not have a second attempt in flight.
///
/// # Errors
/// `WouldBlock` if a process still has calls in flight after `time_limit`, and any error of the lock.
async fn wait_for_calls(locks: &HeldLocks, time_limit: Duration) -> io::Result<()> {
    let start = Instant::now();
    while locks.any_remains()? {
        if start.elapsed() >= time_limit {
            let why = "another process has calls in flight, and nobody reports their ends";
            return Err(io::Error::new(ErrorKind::WouldBlock, why));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Asks the old process for a takeover in this version of the protocol, and takes the folder over.
async fn request_takeover(
    channel: Channel, version: u16, folder: &Path, max_bytes: u64,
) -> io::Result<(Journal, RecoveredState, TakenOver)> {
    channel.send(&ToOld::Ask { version }, None).await?;
    let (mut new, mut listener, mut opened) = (NewProcess::default(), None, None);
    loop {
        let received = timeout(FRAME_TIMEOUT, channel.receive())
            .await
            .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        let (frame, descriptor) =
            received.map_or((None, None), |(frame, descriptor)| (Some(frame), descriptor));
        match new.on(frame) {
            NewStep::Wait => {}
            NewStep::Open => {
                listener = descriptor.map(TcpListener::from);
                opened = Some(Journal::open(folder.to_path_buf(), max_bytes)?);
                channel.send(&ToOld::FolderOpened, None).await?;
            }
            NewStep::Serve(state) => {
                let (journal, recovered) =
                    opened.ok_or_else(|| io::Error::other("the state folder is not open"))?;
                return Ok((journal, recovered, TakenOver { channel, state, listener }));
            }
            NewStep::GiveUp(why) => return Err(io::Error::other(why)),
        }
    }
}

/// Takes over connections and ends of attempts from the old process until it exits. Cancels attempts there.
/// `earlier_calls` are the locks that were held before this process let another one take over: those of the
/// processes before it.
pub async fn follow_old_process(
    channel: Channel, attempts_in_flight: Vec<(u64, u32)>, mut cancellations: UnboundedReceiver<(u64, u32)>,
    clients: Rc<Clients>, carrier: Rc<HttpCarrier>, handle: Handle, earlier_calls: HeldLocks,
) {
    let mut in_flight: HashSet<(u64, u32)> = attempts_in_flight.into_iter().collect();
    loop {
        let received = tokio::select! {
            biased;
            Some((id, attempt)) = cancellations.recv() => {
                let _gone = channel.send(&ToOld::CancelAttempt { id, attempt }, None).await;
                continue;
            }
            received = channel.receive() => received,
        };
        match received {
            Ok(Some((ToNew::ClientConnection { unread }, Some(descriptor)))) => {
                let clients = clients.clone();
                let connection =
                    HandedOverConnection { stream: TcpStream::from(descriptor), unanswered_input: unread };
                spawn_local(async move {
                    if let Err(e) = clients.take_over(connection).await {
                        log(&format!("cannot take over a client's connection: {e}"));
                    }
                });
            }
            Ok(Some((ToNew::RetryAfters(rows), _))) => restore_retry_afters(&carrier, &rows),
            Ok(Some((ToNew::IdleConnection { endpoint, idle_ms }, Some(descriptor)))) => {
                let idle = Duration::from_secs_f64(idle_ms.clamp(0.0, 1e9) / 1000.0);
                if let Err(e) = carrier.take_over_idle(&endpoint, idle, descriptor).await {
                    log(&format!("cannot take over a connection to {endpoint}: {e}"));
                }
            }
            Ok(Some((ToNew::Ended(ended), _))) => {
                if in_flight.remove(&(ended.id, ended.attempt)) {
                    let AttemptEnd {
                        id,
                        attempt,
                        took_ms,
                        outcome,
                        settled,
                        answered,
                        retry_after_ms,
                        report,
                    } = ended;
                    let response = answered.then_some(());
                    let verification_ms = 0.0;
                    let end = EngineAttemptEnd {
                        outcome,
                        settled,
                        retry_after_ms,
                        report,
                        response,
                        verification_ms,
                    };
                    handle.ended(ForwardedEnd { id, attempt, took_ms, end });
                }
            }
            Ok(Some(_)) => log("the old process violated the takeover protocol"),
            other => {
                if let Err(e) = other {
                    log(&format!("connection to the old process: {e}"));
                }
                break;
            }
        }
    }
    // The old process has exited or can't be understood: its attempts in flight may have run.
    if !in_flight.is_empty() {
        let waited = wait_for_calls(&earlier_calls, CALLS_TIMEOUT).await;
        waited.unwrap_or_else(|e| log(&format!("takeover: {e}")));
    }
    for (id, attempt) in in_flight {
        let end = EngineAttemptEnd::without_response(linenhall::Outcome::Broken);
        handle.ended(ForwardedEnd { id, attempt, took_ms: 0.0, end });
    }
}

/// Decodes the learnt state of the old process. Skips a part that can't be read: the relay works without it.
pub fn decode_learnt(state: &HandoverState) -> Vec<linenhall::Learnt> {
    let decoded = state.learnt.iter().filter_map(|part| match serde_json::from_str(part) {
        Ok(part) => Some(part),
        Err(e) => {
            log(&format!("takeover: cannot read a part of the learnt state: {e}"));
            None
        }
    });
    decoded.collect()
}

/// Returns the lists that came from `agent`, and the version from which to go on; `None` if the full list has to
/// be fetched. The list of the old process comes before `first`, the one that this process has fetched, or is the
/// only one. If it has the higher version, it may be newer, or another agent may have begun its versions anew:
/// this order keeps the departures of either list, and the full list tells the rest.
pub fn decode_lists(
    state: &HandoverState, first: Option<List>, agent: SocketAddr,
) -> (Vec<List>, Option<u64>) {
    let mut handed_over: Option<List> = None;
    for (_, part) in state.list.iter().filter(|(source, _)| *source == agent.to_string()) {
        match serde_json::from_str::<List>(part) {
            Ok(part) => handed_over
                .get_or_insert_with(|| List { endpoints: Vec::new(), ..part })
                .endpoints
                .extend(part.endpoints),
            Err(e) => log(&format!("takeover: cannot read a part of the list: {e}")),
        }
    }
    let index = match (&first, &handed_over) {
        (Some(first), Some(handed_over)) if first.index < handed_over.index => None,
        (Some(first), _) => Some(first.index),
        (None, handed_over) => handed_over.as_ref().map(|list| list.index),
    };
    (handed_over.into_iter().chain(first).collect(), index)
}

/// Restores Retry-After times from the rows of a frame.
pub fn restore_retry_afters(carrier: &HttpCarrier, rows: &[(u64, String, f64)]) {
    let durations = rows
        .iter()
        .map(|(dest, host, ms)| (*dest, host.clone(), Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0)));
    carrier.restore_retry_afters(&durations.collect::<Vec<_>>());
}

/// Maximum number of hosts in a list that is handed over.
const MAX_LIST_HOSTS: usize = 8192;

/// The components of a process that serves, and that another process may take over from.
pub struct TakeoverServer {
    pub folder: PathBuf,
    pub listener: OwnedFd,
    pub intake: Rc<Intake>,
    pub clients: Rc<Clients>,
    pub carrier: Rc<HttpCarrier>,
    pub view: Rc<RefCell<View>>,
    pub engine: Rc<RefCell<Engine<Journal, ()>>>,
    pub clock: Clock,
    /// Address of discovery's agent.
    pub agent_address: watch::Receiver<SocketAddr>,
    pub handle: Handle,
    pub process_control: Rc<ProcessControl>,
    /// Whether another process may have the folder while this one has calls in flight.
    pub calls_remain: Cell<bool>,
    /// Held while that is so, unless the lock can't be taken.
    pub calls_lock: Cell<Option<CallsLock>>,
}

impl TakeoverServer {
    /// Waits for a process that takes over, and returns once everything is handed over to it, or it is gone.
    /// Returns whether calls of this process may still be in flight then: it must exit at once, as the next
    /// process repeats them. The lock is held until it does. Returns early only if the socket can't be opened.
    pub async fn run(self) -> bool {
        let listener = match TakeoverListener::open(&self.folder) {
            Ok(listener) => listener,
            Err(e) => {
                log(&format!("takeover: {e}; a new process has to wait until this one exits"));
                return false;
            }
        };
        loop {
            match listener.accept().await {
                Ok(channel) => {
                    if let Err(e) = self.serve_new_process(channel).await {
                        log(&format!("takeover: {e}"));
                    }
                    if self.process_control.is_handed_over() {
                        self.calls_lock.take().into_iter().for_each(CallsLock::hold_until_exit);
                        return self.calls_remain.get();
                    }
                }
                Err(e) => {
                    log(&format!("takeover: {e}"));
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Runs one takeover over a channel. Returns an error if it fails and this process continues.
    async fn serve_new_process(&self, channel: Channel) -> io::Result<()> {
        let mut old = OldProcess::default();
        let mut next = receive_in_time(&channel).await;
        let version = if let OldEvent::Received(ToOld::Ask { version }) = next { version } else { 0 };
        loop {
            next = match old.on(next) {
                OldStep::Wait => receive_in_time(&channel).await,
                OldStep::Release => {
                    self.carrier.prepare_hand_over().await;
                    self.intake.paused.send_replace(true);
                    let in_flight = self.handle.release().await.unwrap_or_default();
                    let calls_lock = CallsLock::take(&self.folder);
                    self.calls_remain.set(true);
                    self.calls_lock.set(calls_lock.inspect_err(|e| log(&format!("takeover: {e}"))).ok());
                    let released = self.engine.borrow_mut().store_mut().release();
                    match released {
                        Ok(()) => {
                            self.send_attempts_in_flight(&channel, &in_flight).await;
                            OldEvent::Released
                        }
                        Err(_) => OldEvent::Lost,
                    }
                }
                OldStep::SendState => match self.send_state(&channel, version).await {
                    Ok(()) => receive_in_time(&channel).await,
                    Err(_) => OldEvent::Lost,
                },
                OldStep::HandOver => {
                    self.process_control.set_handed_over();
                    // The new process has the folder even if this frame does not arrive: this one may not
                    // write any more.
                    let _gone = channel.send(&ToNew::Go, None).await;
                    log("another process goes on");
                    return self.hand_over(&channel, &mut old, version).await;
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

    async fn send_attempts_in_flight(&self, channel: &Channel, in_flight: &[(u64, u32)]) {
        for rows in in_flight.chunks(MAX_ROWS) {
            let _gone = channel.send(&ToNew::AttemptsInFlight(rows.to_vec()), None).await;
        }
    }

    /// Sends the state that the new process needs, in the frames of its version of the protocol.
    async fn send_state(&self, channel: &Channel, version: u16) -> io::Result<()> {
        self.send_retry_afters(channel).await?;
        if version > FIRST_VERSION {
            let agent = self.agent_address.borrow().to_string();
            // The new process fetches a longer list itself: sending it would block this process for too long.
            let list = self.view.borrow().list(MAX_LIST_HOSTS).unwrap_or_default();
            for rows in list.endpoints.chunks(MAX_LIST_ROWS) {
                let part = List { endpoints: rows.to_vec(), ..list };
                let part = serde_json::to_string(&part).map_err(io::Error::other)?;
                channel.send(&ToNew::List { agent: agent.clone(), part }, None).await?;
            }
        }
        let learnt = self.engine.borrow().export_learnt(self.clock.now());
        for part in learnt.split(MAX_LEARNT_ROWS).iter().filter(|_| version > FIRST_VERSION) {
            let text = serde_json::to_string(part).map_err(io::Error::other)?;
            channel.send(&ToNew::Learnt(text), None).await?;
        }
        let drained = self.intake.drain_mode.get() > mulleinslip_http::DrainMode::NotDraining;
        channel.send(&ToNew::Ready { drained }, Some(self.listener.as_fd())).await
    }

    async fn send_retry_afters(&self, channel: &Channel) -> io::Result<()> {
        let retry_afters = self.carrier.retry_afters().into_iter();
        let rows: Vec<_> = retry_afters
            .map(|(dest, host, remaining)| (dest, host, remaining.as_secs_f64() * 1000.0))
            .collect();
        for rows in rows.chunks(MAX_ROWS) {
            channel.send(&ToNew::RetryAfters(rows.to_vec()), None).await?;
        }
        Ok(())
    }

    /// Takes the folder back and continues to serve. Retries while the new process still owns the folder.
    async fn retake(&self) {
        self.carrier.cancel_hand_over();
        loop {
            let retaken = self.engine.borrow_mut().store_mut().reacquire();
            match retaken {
                Ok(()) => break,
                Err(e) if e.kind() != ErrorKind::WouldBlock => log(&format!("journal: {e}")),
                Err(_) => {}
            }
            sleep(POLL_INTERVAL).await;
        }
        self.release_calls_lock();
        self.handle.resume();
        self.intake.paused.send_replace(false);
    }

    fn release_calls_lock(&self) {
        self.calls_remain.set(false);
        self.calls_lock.set(None);
    }

    /// Hands over connections, each once no answer is pending on it, and the ends of attempts in flight.
    /// Returns an error if the new process is gone before that.
    async fn hand_over(&self, channel: &Channel, old: &mut OldProcess, version: u16) -> io::Result<()> {
        let (ended_sender, mut ended_receiver) = unbounded_channel();
        let (connection_sender, mut connections) = unbounded_channel();
        self.handle.hand_over(ended_sender);
        self.clients.hand_over(connection_sender);
        let mut attempts_remain = true;
        while attempts_remain || self.clients.count() > 0 || !connections.is_empty() {
            // Includes connections whose call has just ended, so that the new process needs no handshake for
            // its next call.
            while let Some((endpoint, idle, socket)) = self.carrier.hand_over_idle() {
                if version > FIRST_VERSION {
                    let idle_ms = idle.as_secs_f64() * 1000.0;
                    channel.send(&ToNew::IdleConnection { endpoint, idle_ms }, Some(socket.as_fd())).await?;
                }
            }
            tokio::select! {
                biased;
                Some(HandedOverConnection { stream, unanswered_input: unread }) = connections.recv() => {
                    channel.send(&ToNew::ClientConnection { unread }, Some(stream.as_fd())).await?;
                }
                end = ended_receiver.recv(), if attempts_remain => match end {
                    Some(end) => self.send_ended(channel, end).await?,
                    None => {
                        attempts_remain = false;
                        self.release_calls_lock();
                    }
                },
                event = receive(channel) => match old.on(event) {
                    OldStep::CancelAttempt(id, attempt) => drop(self.handle.cancel(id, attempt)),
                    OldStep::Exit => return Err(io::Error::other("the new process is gone")),
                    _ => {}
                },
                () = sleep(POLL_INTERVAL) => {}
            }
        }
        Ok(())
    }

    async fn send_ended(&self, channel: &Channel, end: ForwardedEnd<()>) -> io::Result<()> {
        let ForwardedEnd { id, attempt, took_ms, end } = end;
        let EngineAttemptEnd { outcome, settled, retry_after_ms, report, response, .. } = end;
        if retry_after_ms > 0.0 {
            self.send_retry_afters(channel).await?;
        }
        let answered = response.is_some();
        let ended = AttemptEnd { id, attempt, took_ms, outcome, settled, answered, retry_after_ms, report };
        channel.send(&ToNew::Ended(ended), None).await
    }
}

/// Keeps the process running for a while after everything is handed over, so that callers of the second
/// address are answered.
pub async fn serve_last_callers() {
    sleep(LAST_CALLERS_TIME).await;
}

/// Receives the next frame as an event.
async fn receive(channel: &Channel) -> OldEvent {
    match channel.receive::<ToOld>().await {
        Ok(Some((frame, _))) => OldEvent::Received(frame),
        Ok(None) | Err(_) => OldEvent::Lost,
    }
}

/// Receives the next frame as an event; [`OldEvent::Lost`] if it does not arrive in time.
async fn receive_in_time(channel: &Channel) -> OldEvent {
    timeout(FRAME_TIMEOUT, receive(channel)).await.unwrap_or(OldEvent::Lost)
}
