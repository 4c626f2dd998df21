//! The event loop: events come in by one queue, and the engine's outputs go to the front and the carrier.

use crate::clock::Clock;
use crate::traits::{Cancellation, Carrier, Front, SendGate};
use linenhall::Outcome;
use mulleinslip_engine::journal::RecoveredState;
use mulleinslip_engine::{
    Attempt, AttemptBlocked, AttemptEnd, DeliveryVerdict, Engine, Input, Message, Output, Predecessor, Store,
};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Maximum number of events in one round of the engine, so that a flood of events can't delay the timers.
const MAX_ROUND_EVENTS: usize = 256;
/// How often the loop checks during a shutdown or a takeover whether it may end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An event in the queue.
enum QueuedEvent<T, C: Carrier> {
    Input(Input<T, C::Response>),
    List(C::List),
    Stop(ShutdownTimes),
    CancelAttempt(u64, u32),
    Release(oneshot::Sender<Vec<(u64, u32)>>),
    Resume,
    HandOver(UnboundedSender<ForwardedEnd<C::Response>>),
}

/// The end of an attempt in this process, for another process that has taken over its message.
#[derive(Debug)]
pub struct ForwardedEnd<R> {
    /// The message.
    pub id: u64,
    /// The attempt.
    pub attempt: u32,
    /// Time since the engine asked for the attempt, in milliseconds.
    pub took_ms: f64,
    /// How it ended.
    pub end: AttemptEnd<R>,
}

/// Which process is in charge of the accepted messages.
enum Ownership<E, R> {
    ThisProcess,
    /// Another process has the state folder and may still give it back. Events are deferred meanwhile. Their
    /// number is limited by the attempts in flight, the pending answers and the list, as nothing new is
    /// submitted or sent.
    Released {
        in_flight: HashSet<(u64, u32)>,
        deferred: Vec<E>,
    },
    /// Another process has everything except these attempts in flight, and their ends are sent to it.
    HandedOver {
        in_flight: HashSet<(u64, u32)>,
        end_sender: UnboundedSender<ForwardedEnd<R>>,
    },
}

/// Puts events into the queue, from any thread. The length of the queue is limited by the senders: each of
/// them has a limited number of messages without an answer.
pub struct Handle<T, C: Carrier>(UnboundedSender<QueuedEvent<T, C>>);

impl<T, C: Carrier> Clone for Handle<T, C> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

impl<T, C: Carrier> Handle<T, C> {
    /// Submits a message. Returns `false` if the engine has ended; the ticket is then dropped.
    pub fn submit(&self, message: Box<Message>, ticket: T) -> bool {
        self.put(QueuedEvent::Input(Input::Submitted(message, ticket)))
    }

    /// Withdraws a message for which its sender no longer waits.
    pub fn withdraw(&self, id: u64) -> bool {
        self.put(QueuedEvent::Input(Input::Withdrawn { id }))
    }

    /// Confirms that the final answers of these messages have reached their recipients.
    pub fn confirm(&self, ids: Vec<u64>) -> bool {
        self.put(QueuedEvent::Input(Input::AnswersConfirmed(ids)))
    }

    /// Passes on a list update.
    pub fn apply_list_update(&self, list: C::List) -> bool {
        self.put(QueuedEvent::List(list))
    }

    /// Starts the shutdown: no message is accepted any more, see [`ShutdownTimes`].
    pub fn stop(&self, times: ShutdownTimes) -> bool {
        self.put(QueuedEvent::Stop(times))
    }

    /// Reports the end of an attempt that an earlier process made, see [`mulleinslip_engine::Predecessor`].
    pub fn ended(&self, ended: ForwardedEnd<C::Response>) -> bool {
        let ForwardedEnd { id, attempt, took_ms, end } = ended;
        self.put(QueuedEvent::Input(Input::Ended { id, attempt, took_ms, end }))
    }

    /// Cancels an attempt of this process, for another process that has taken over its message.
    pub fn cancel(&self, id: u64, attempt: u32) -> bool {
        self.put(QueuedEvent::CancelAttempt(id, attempt))
    }

    /// Pauses the engine for a takeover by another process, once all events that are already queued are
    /// processed. Returns the attempts in flight, as message and attempt number. Must be followed by
    /// [`Handle::hand_over`] or [`Handle::resume`].
    pub async fn release(&self) -> Option<Vec<(u64, u32)>> {
        let (sender, receiver) = oneshot::channel();
        self.put(QueuedEvent::Release(sender));
        receiver.await.ok()
    }

    /// Resumes the engine when the takeover has failed.
    pub fn resume(&self) -> bool {
        self.put(QueuedEvent::Resume)
    }

    /// Hands over to another process, which is sent the ends of the attempts that are still in flight. The
    /// runtime ends with the last of them.
    pub fn hand_over(&self, end_sender: UnboundedSender<ForwardedEnd<C::Response>>) -> bool {
        self.put(QueuedEvent::HandOver(end_sender))
    }

    fn put(&self, event: QueuedEvent<T, C>) -> bool {
        self.0.send(event).is_ok()
    }
}

/// The receiving end of [`Handle`].
pub struct Queue<T, C: Carrier>(UnboundedReceiver<QueuedEvent<T, C>>);

/// The times of a shutdown, in milliseconds from its start.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// No attempt is begun that may still be in flight at this time.
    pub calls_end_ms: f64,
    /// Minimum duration, even if no message is open, as senders may not know of the shutdown yet.
    pub grace_ms: f64,
    /// Maximum duration.
    pub exit_ms: f64,
}

/// An engine with its front, its carrier and its clock.
pub struct Runtime<S, T, C: Carrier, F> {
    engine: Rc<RefCell<Engine<S, C::Response>>>,
    carrier: Rc<C>,
    front: F,
    clock: Clock,
    handle: Handle<T, C>,
    queue: Queue<T, C>,
    /// Cancels the attempts in flight, by message and attempt number.
    cancellations: HashMap<(u64, u32), oneshot::Sender<()>>,
    /// The start and the times of a shutdown.
    stopping: Option<(f64, ShutdownTimes)>,
    ownership: Ownership<QueuedEvent<T, C>, C::Response>,
    /// Cancels attempts that another process makes.
    cancel_in_predecessor: Option<Box<dyn Fn(u64, u32)>>,
    log: fn(&str),
}

impl<S: Store + 'static, T: 'static, C: Carrier, F: Front<T, C::Response>> Runtime<S, T, C, F> {
    /// Returns an event queue. It is created first, as fronts need its handle.
    pub fn queue() -> (Handle<T, C>, Queue<T, C>) {
        let (sender, receiver) = unbounded_channel();
        (Handle(sender), Queue(receiver))
    }

    /// Returns a runtime of these parts. `log` is called with each log line.
    pub fn new(
        engine: Engine<S, C::Response>, carrier: Rc<C>, front: F, clock: Clock,
        (handle, queue): (Handle<T, C>, Queue<T, C>), log: fn(&str),
    ) -> Self {
        let engine = Rc::new(RefCell::new(engine));
        let (cancellations, stopping, ownership, cancel_in_predecessor) =
            (HashMap::new(), None, Ownership::ThisProcess, None);
        Runtime {
            engine,
            carrier,
            front,
            clock,
            handle,
            queue,
            cancellations,
            stopping,
            ownership,
            cancel_in_predecessor,
            log,
        }
    }

    /// Sets the function that cancels an attempt which an earlier process still makes, by message and attempt
    /// number.
    pub fn cancel_in_predecessor(&mut self, cancel: impl Fn(u64, u32) + 'static) {
        self.cancel_in_predecessor = Some(Box::new(cancel));
    }

    /// Returns the engine, for use between its rounds: only on its own thread, and not across an `await`.
    pub fn engine(&self) -> Rc<RefCell<Engine<S, C::Response>>> {
        self.engine.clone()
    }

    /// Restores the state of an earlier process. Must be called before [`Runtime::run`].
    pub fn restore(&mut self, lists: Vec<C::List>, recovered: RecoveredState, predecessor: &Predecessor) {
        let activated = recovered.messages.iter().filter_map(|m| self.carrier.activate(m.message.dest));
        let lists: Vec<_> = lists.into_iter().chain(activated).collect();
        let lists = lists.into_iter().map(|l| self.carrier.apply_list(l)).collect();
        let mut outputs = Vec::new();
        self.engine.borrow_mut().restore(self.clock.now(), lists, recovered, predecessor, &mut outputs);
        self.perform(outputs);
    }

    /// Runs until the shutdown or the takeover is complete.
    pub async fn run(mut self) {
        loop {
            if self.finished() {
                return;
            }
            let mut batch = Vec::new();
            let wake_at = self.engine.borrow().next_timer().map(|at| self.clock.instant(at));
            let wake_at = wake_at.unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
            let wake_at = match self.stopping {
                _ if !self.is_owner() => Instant::now() + STOP_CHECK_INTERVAL,
                Some(_) => wake_at.min(Instant::now() + STOP_CHECK_INTERVAL),
                None => wake_at,
            };
            tokio::select! {
                biased;
                count = self.queue.0.recv_many(&mut batch, MAX_ROUND_EVENTS) => if count == 0 { return },
                () = sleep_until(wake_at.into()) => {}
            }
            self.process(batch);
        }
    }

    fn finished(&self) -> bool {
        if let Ownership::HandedOver { in_flight, end_sender } = &self.ownership {
            if in_flight.is_empty() || end_sender.is_closed() {
                return true;
            }
        }
        let Some((started_at, times)) = self.stopping else { return false };
        let elapsed_ms = self.clock.now() - started_at;
        (self.engine.borrow().is_idle() && elapsed_ms >= times.grace_ms) || elapsed_ms >= times.exit_ms
    }

    fn process(&mut self, batch: Vec<QueuedEvent<T, C>>) {
        let mut inputs = Vec::with_capacity(batch.len());
        let mut batch = batch.into_iter();
        while let Some(event) = batch.next() {
            let changes_ownership =
                matches!(event, QueuedEvent::Release(_) | QueuedEvent::Resume | QueuedEvent::HandOver(_));
            if let (Ownership::Released { deferred, .. }, false) = (&mut self.ownership, changes_ownership) {
                deferred.push(event);
                continue;
            }
            match event {
                QueuedEvent::Input(input) => self.route(input, &mut inputs),
                QueuedEvent::List(list) if self.is_owner() => {
                    inputs.push(Input::ListUpdate(self.carrier.apply_list(list)));
                }
                QueuedEvent::List(_) => {}
                QueuedEvent::Stop(times) => {
                    let now = self.clock.now();
                    self.stopping = Some((now, times));
                    inputs.push(Input::Stop { calls_end_at: now + times.calls_end_ms });
                }
                QueuedEvent::CancelAttempt(id, attempt) => self.cancel(id, attempt),
                QueuedEvent::Release(in_flight_sender) => {
                    // Submissions that are already queued are answered by this process, so the queue is
                    // emptied first.
                    self.run_round(std::mem::take(&mut inputs));
                    let mut queued: Vec<_> = batch.collect();
                    while let Ok(event) = self.queue.0.try_recv() {
                        queued.push(event);
                    }
                    self.process(queued);
                    let in_flight = self.engine.borrow_mut().release();
                    self.ownership = Ownership::Released {
                        in_flight: in_flight.iter().copied().collect(),
                        deferred: Vec::new(),
                    };
                    let _receiver_gone = in_flight_sender.send(in_flight);
                    return;
                }
                QueuedEvent::Resume => {
                    if let Ownership::Released { deferred, .. } =
                        std::mem::replace(&mut self.ownership, Ownership::ThisProcess)
                    {
                        self.engine.borrow_mut().resume();
                        self.process(deferred);
                    }
                }
                QueuedEvent::HandOver(end_sender) => {
                    if let Ownership::Released { in_flight, deferred } =
                        std::mem::replace(&mut self.ownership, Ownership::ThisProcess)
                    {
                        self.ownership = Ownership::HandedOver { in_flight, end_sender };
                        self.process(deferred);
                    }
                }
            }
        }
        self.run_round(inputs);
    }

    fn is_owner(&self) -> bool {
        matches!(self.ownership, Ownership::ThisProcess)
    }

    /// Passes an input to the engine, or to the process that has taken over its message.
    fn route(&mut self, input: Input<T, C::Response>, inputs: &mut Vec<Input<T, C::Response>>) {
        match input {
            Input::Submitted(_, ticket) if !self.front.is_waiting(&ticket) => {}
            Input::Submitted(message, ticket) if self.is_owner() => {
                if let Some(list) = self.carrier.activate(message.destination) {
                    inputs.push(Input::ListUpdate(self.carrier.apply_list(list)));
                }
                inputs.push(Input::Submitted(message, ticket));
            }
            // While another process is in charge, fronts submit nothing more, and their other events reach
            // that process as well. Only the ends of attempts are forwarded from here.
            Input::Ended { id, attempt, took_ms, end } => {
                self.cancellations.remove(&(id, attempt));
                if self.is_owner() {
                    inputs.push(Input::Ended { id, attempt, took_ms, end });
                } else {
                    self.forward_end(ForwardedEnd { id, attempt, took_ms, end });
                }
            }
            _ if !self.is_owner() => {}
            Input::Withdrawn { id } => {
                self.front.on_withdrawn(id);
                inputs.push(Input::Withdrawn { id });
            }
            input => inputs.push(input),
        }
    }

    fn forward_end(&mut self, mut end: ForwardedEnd<C::Response>) {
        // The other process can't be told later whether the delivery is verified.
        if end.end.verification_ms > 0.0 {
            end.end = end.end.doubted();
        }
        // An attempt that had not begun at the takeover is not in flight for the other process.
        if let Ownership::HandedOver { in_flight, end_sender } = &mut self.ownership {
            if in_flight.remove(&(end.id, end.attempt)) {
                let _receiver_gone = end_sender.send(end);
            }
        }
    }

    fn run_round(&mut self, inputs: Vec<Input<T, C::Response>>) {
        if !self.is_owner() {
            return;
        }
        let mut outputs = Vec::new();
        self.engine.borrow_mut().handle(self.clock.now(), inputs, &mut outputs);
        self.perform(outputs);
        let now = self.clock.now();
        self.carrier
            .evict_unused(&mut |destination| self.engine.borrow_mut().forget_destination(now, destination));
    }

    fn cancel(&mut self, id: u64, attempt: u32) {
        match (self.cancellations.remove(&(id, attempt)), &self.cancel_in_predecessor) {
            (Some(cancel), _) => {
                let _already_ended = cancel.send(());
            }
            (None, Some(cancel)) => cancel(id, attempt),
            (None, None) => {}
        }
    }

    fn perform(&mut self, outputs: Vec<Output<T, C::Response>>) {
        for output in outputs {
            match output {
                Output::Reply(reply) => self.front.reply(reply),
                Output::Attempt(attempt) => self.start_attempt(attempt),
                Output::CancelAttempt { id, attempt } => self.cancel(id, attempt),
                Output::Probe { endpoint } => self.start_probe(endpoint),
                Output::CloseIdle { endpoint } => self.carrier.close_idle(&endpoint),
                Output::Log(line) => (self.log)(&line),
            }
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        let (cancel, cancelled) = oneshot::channel();
        self.cancellations.insert((attempt.id, attempt.attempt), cancel);
        let (carrier, engine) = (self.carrier.clone(), self.engine.clone());
        let (clock, log) = (self.clock, self.log);
        let report = AttemptReport {
            handle: self.handle.clone(),
            attempt: (attempt.id, attempt.attempt),
            started_at: Instant::now(),
            end: None,
        };
        let handle = self.handle.clone();
        tokio::task::spawn_local(async move {
            let gate = AttemptGate { engine, clock, log, attempt: &attempt };
            let end = carrier.attempt(&attempt, &gate, Cancellation(cancelled)).await;
            let is_verified_later = end.verification_ms > 0.0 && end.verification_ms.is_finite();
            report.send(end);
            if is_verified_later {
                let id = attempt.id;
                handle.put(QueuedEvent::Input(match carrier.verify_delivery(&attempt).await {
                    DeliveryVerdict::Verified => Input::DeliveryVerified { id },
                    DeliveryVerdict::Doubted { retry_after } => Input::DeliveryDoubted { id, retry_after },
                }));
            }
        });
    }

    fn start_probe(&self, endpoint: String) {
        let carrier = self.carrier.clone();
        let result = (Outcome::NoConnection, Vec::new());
        let mut report =
            ProbeReport { handle: self.handle.clone(), endpoint, started_at: Instant::now(), result };
        tokio::task::spawn_local(async move {
            let result = carrier.probe(&report.endpoint).await;
            report.set_result(result);
        });
    }
}

/// Reports the result of a probe when it is dropped, so also if the task panics: the decision module waits
/// for it.
struct ProbeReport<T, C: Carrier> {
    handle: Handle<T, C>,
    endpoint: String,
    started_at: Instant,
    result: (Outcome, Vec<f64>),
}

impl<T, C: Carrier> ProbeReport<T, C> {
    fn set_result(&mut self, result: (Outcome, Vec<f64>)) {
        self.result = result;
    }
}

impl<T, C: Carrier> Drop for ProbeReport<T, C> {
    fn drop(&mut self) {
        let took_ms = self.started_at.elapsed().as_secs_f64() * 1000.0;
        let (endpoint, report) = (std::mem::take(&mut self.endpoint), std::mem::take(&mut self.result.1));
        let probed = Input::Probed { endpoint, outcome: self.result.0, took_ms, report };
        self.handle.put(QueuedEvent::Input(probed));
    }
}

/// Reports the end of an attempt when it is dropped, so also if the task panics. The attempt then counts as
/// one that may have run.
struct AttemptReport<T, C: Carrier> {
    handle: Handle<T, C>,
    /// Message and attempt number.
    attempt: (u64, u32),
    started_at: Instant,
    end: Option<AttemptEnd<C::Response>>,
}

impl<T, C: Carrier> AttemptReport<T, C> {
    fn send(mut self, end: AttemptEnd<C::Response>) {
        self.end = Some(end);
    }
}

impl<T, C: Carrier> Drop for AttemptReport<T, C> {
    fn drop(&mut self) {
        let (id, attempt) = self.attempt;
        let took_ms = self.started_at.elapsed().as_secs_f64() * 1000.0;
        let end = self.end.take().unwrap_or_else(|| AttemptEnd::without_response(Outcome::Broken));
        self.handle.put(QueuedEvent::Input(Input::Ended { id, attempt, took_ms, end }));
    }
}

/// The [`SendGate`] of one attempt.
struct AttemptGate<'a, S, R> {
    engine: Rc<RefCell<Engine<S, R>>>,
    clock: Clock,
    log: fn(&str),
    attempt: &'a Attempt,
}

impl<S: Store, R> SendGate for AttemptGate<'_, S, R> {
    fn begin(&self) -> bool {
        let Attempt { id, attempt, endpoint, .. } = self.attempt;
        let begun = self.engine.borrow_mut().begin(self.clock.now(), *id, *attempt, endpoint);
        if let Err(why @ AttemptBlocked::NotStored(_)) = &begun {
            (self.log)(&why.to_string());
        }
        begun.is_ok()
    }
}
