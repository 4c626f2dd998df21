//! The loop: what happens goes in by one queue, and what the engine wants done goes out to the seams.

use crate::clock::Clock;
use crate::traits::{Cancellation, Carrier, Front, SendGate};
use linenhall::Outcome;
use mulleinslip_engine::journal::RecoveredState;
use mulleinslip_engine::{
    Attempt, AttemptBlocked, AttemptEnd, Engine, Input, Message, Output, Predecessor, Store,
};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Inputs in one round of the engine at most, so that a flood can't keep the timers waiting.
const ROUND: usize = 256;
/// How often time alone is looked at while stopping.
const STOP_LOOK: Duration = Duration::from_millis(20);

enum Happened<T, C: Carrier> {
    Input(Input<T, C::Response>),
    List(C::List),
    Stop(ShutdownTimes),
    CallOff(u64, u32),
    Release(oneshot::Sender<Vec<(u64, u32)>>),
    Retake,
    Pass(UnboundedSender<ForwardedEnd<C::Response>>),
}

/// An attempt of which another process has the message has ended here.
#[derive(Debug)]
pub struct ForwardedEnd<R> {
    /// The message.
    pub id: u64,
    /// The attempt.
    pub attempt: u32,
    /// Since it was asked for, in milliseconds.
    pub took_ms: f64,
    /// How.
    pub end: AttemptEnd<R>,
}

/// Whether what was taken on is this process's matter.
enum Tenure<H, R> {
    Ours,
    /// Another process has the folder and may yet give it back: what happens meanwhile waits as it came, bounded by
    /// what is out, owed and listed, as nothing new is handed in or sent.
    Released {
        out: HashSet<(u64, u32)>,
        waiting: Vec<H>,
    },
    /// It has all but these attempts, whose ends it is told.
    Passed {
        out: HashSet<(u64, u32)>,
        tell: UnboundedSender<ForwardedEnd<R>>,
    },
}

/// Where what happens goes in, from any thread. What waits in it is bounded by whoever hands in: each sender has
/// a bounded number of messages without an answer.
pub struct Handle<T, C: Carrier>(UnboundedSender<Happened<T, C>>);

impl<T, C: Carrier> Clone for Handle<T, C> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

impl<T, C: Carrier> Handle<T, C> {
    /// Hands a message in. `false` if the engine is gone, and the ticket with it.
    pub fn submit(&self, message: Box<Message>, ticket: T) -> bool {
        self.put(Happened::Input(Input::Submitted(message, ticket)))
    }

    /// Nobody waits for this message any more.
    pub fn withdraw(&self, id: u64) -> bool {
        self.put(Happened::Input(Input::Withdrawn { id }))
    }

    /// These final answers have reached whom they concern.
    pub fn confirm(&self, ids: Vec<u64>) -> bool {
        self.put(Happened::Input(Input::AnswersConfirmed(ids)))
    }

    /// News of the list.
    pub fn list(&self, list: C::List) -> bool {
        self.put(Happened::List(list))
    }

    /// Takes on nothing more and ends, see [`ShutdownTimes`].
    pub fn stop(&self, times: ShutdownTimes) -> bool {
        self.put(Happened::Stop(times))
    }

    /// An attempt has ended that an earlier process made, see [`mulleinslip_engine::Predecessor`].
    pub fn ended(&self, ended: ForwardedEnd<C::Response>) -> bool {
        let ForwardedEnd { id, attempt, took_ms, end } = ended;
        self.put(Happened::Input(Input::Ended { id, attempt, took_ms, end }))
    }

    /// Nobody waits for this attempt any more, of which another process has the message.
    pub fn cancel(&self, id: u64, attempt: u32) -> bool {
        self.put(Happened::CallOff(id, attempt))
    }

    /// Stops in the middle, once all that was put in before has been dealt with, so that another process can go on.
    /// Gives the attempts that are out, message and number. Then [`Handle::pass`] or [`Handle::retake`].
    pub async fn release(&self) -> Option<Vec<(u64, u32)>> {
        let (tell, told) = oneshot::channel();
        self.put(Happened::Release(tell));
        told.await.ok()
    }

    /// Goes on after all.
    pub fn retake(&self) -> bool {
        self.put(Happened::Retake)
    }

    /// Another process has gone on: it is told the ends of the attempts that are still out. With the last, this
    /// process is done.
    pub fn pass(&self, tell: UnboundedSender<ForwardedEnd<C::Response>>) -> bool {
        self.put(Happened::Pass(tell))
    }

    fn put(&self, happened: Happened<T, C>) -> bool {
        self.0.send(happened).is_ok()
    }
}

/// The other end of [`Handle`].
pub struct Queue<T, C: Carrier>(UnboundedReceiver<Happened<T, C>>);

/// The course of a stop, in milliseconds from its beginning.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// No attempt is begun that may be out at this time.
    pub calls_end_ms: f64,
    /// It lasts so long even if nothing is owed, as whoever hands in may not know of it yet.
    pub linger_ms: f64,
    /// It lasts no longer.
    pub exit_ms: f64,
}

/// An engine, its seams and its clock.
pub struct Runtime<S, T, C: Carrier, F> {
    engine: Rc<RefCell<Engine<S, C::Response>>>,
    carrier: Rc<C>,
    front: F,
    clock: Clock,
    handle: Handle<T, C>,
    queue: Queue<T, C>,
    /// What calls attempts off that are out.
    out: HashMap<(u64, u32), oneshot::Sender<()>>,
    /// Since when, and how long it may last.
    stopping: Option<(f64, ShutdownTimes)>,
    tenure: Tenure<Happened<T, C>, C::Response>,
    /// Calls attempts off that another process makes.
    elsewhere: Option<Box<dyn Fn(u64, u32)>>,
    log: fn(&str),
}

impl<S: Store + 'static, T: 'static, C: Carrier, F: Front<T, C::Response>> Runtime<S, T, C, F> {
    /// A queue of what happens. Made first, as fronts are built around its handle.
    pub fn queue() -> (Handle<T, C>, Queue<T, C>) {
        let (send, receive) = unbounded_channel();
        (Handle(send), Queue(receive))
    }

    /// Puts the parts together. `log` takes lines.
    pub fn new(
        engine: Engine<S, C::Response>, carrier: Rc<C>, front: F, clock: Clock,
        (handle, queue): (Handle<T, C>, Queue<T, C>), log: fn(&str),
    ) -> Self {
        let engine = Rc::new(RefCell::new(engine));
        let (out, stopping, tenure, elsewhere) = (HashMap::new(), None, Tenure::Ours, None);
        Runtime { engine, carrier, front, clock, handle, queue, out, stopping, tenure, elsewhere, log }
    }

    /// An earlier process makes attempts to their end: this calls one off, by message and number.
    pub fn cancel_elsewhere(&mut self, cancel: impl Fn(u64, u32) + 'static) {
        self.elsewhere = Some(Box::new(cancel));
    }

    /// The engine, to be looked at between its rounds: on its own thread, and not across an `await`.
    pub fn engine(&self) -> Rc<RefCell<Engine<S, C::Response>>> {
        self.engine.clone()
    }

    /// Goes on with what an earlier process left. Before [`Runtime::run`].
    pub fn restore(&mut self, lists: Vec<C::List>, left: RecoveredState, alive: &Predecessor) {
        let of_left = left.messages.iter().filter_map(|kept| self.carrier.activate(kept.message.dest));
        let lists: Vec<_> = lists.into_iter().chain(of_left).collect();
        let lists = lists.into_iter().map(|l| self.carrier.apply_list(l)).collect();
        let mut wanted = Vec::new();
        self.engine.borrow_mut().restore(self.clock.now(), lists, left, alive, &mut wanted);
        self.act(wanted);
    }

    /// Serves until a stop has been carried out.
    pub async fn run(mut self) {
        loop {
            if self.finished() {
                return;
            }
            let mut batch = Vec::new();
            let due = self.engine.borrow().next_timer().map(|at| self.clock.instant(at));
            let due = due.unwrap_or_else(|| Instant::now() + Duration::from_secs(1));
            let due = match self.stopping {
                _ if !self.is_ours() => Instant::now() + STOP_LOOK,
                Some(_) => due.min(Instant::now() + STOP_LOOK),
                None => due,
            };
            tokio::select! {
                biased;
                count = self.queue.0.recv_many(&mut batch, ROUND) => if count == 0 { return },
                () = sleep_until(due.into()) => {}
            }
            self.take(batch);
        }
    }

    fn finished(&self) -> bool {
        if let Tenure::Passed { out, tell } = &self.tenure {
            if out.is_empty() || tell.is_closed() {
                return true;
            }
        }
        let Some((since, times)) = self.stopping else { return false };
        let spent = self.clock.now() - since;
        (self.engine.borrow().is_idle() && spent >= times.linger_ms) || spent >= times.exit_ms
    }

    fn take(&mut self, batch: Vec<Happened<T, C>>) {
        let mut inputs = Vec::with_capacity(batch.len());
        let mut batch = batch.into_iter();
        while let Some(happened) = batch.next() {
            let decides = matches!(happened, Happened::Release(_) | Happened::Retake | Happened::Pass(_));
            if let (Tenure::Released { waiting, .. }, false) = (&mut self.tenure, decides) {
                waiting.push(happened);
                continue;
            }
            match happened {
                Happened::Input(input) => self.sort(input, &mut inputs),
                Happened::List(list) if self.is_ours() => {
                    inputs.push(Input::ListUpdate(self.carrier.apply_list(list)));
                }
                Happened::List(_) => {}
                Happened::Stop(times) => {
                    let now = self.clock.now();
                    self.stopping = Some((now, times));
                    inputs.push(Input::Stop { calls_end_at: now + times.calls_end_ms });
                }
                Happened::CallOff(id, attempt) => self.cancel(id, attempt),
                Happened::Release(told) => {
                    // Whoever has handed in is answered here: what is in the queue goes first.
                    self.round(std::mem::take(&mut inputs));
                    let mut waiting: Vec<_> = batch.collect();
                    while let Ok(more) = self.queue.0.try_recv() {
                        waiting.push(more);
                    }
                    self.take(waiting);
                    let out = self.engine.borrow_mut().release();
                    self.tenure =
                        Tenure::Released { out: out.iter().copied().collect(), waiting: Vec::new() };
                    let _nobody_asks = told.send(out);
                    return;
                }
                Happened::Retake => {
                    if let Tenure::Released { waiting, .. } =
                        std::mem::replace(&mut self.tenure, Tenure::Ours)
                    {
                        self.engine.borrow_mut().resume();
                        self.take(waiting);
                    }
                }
                Happened::Pass(tell) => {
                    if let Tenure::Released { out, waiting } =
                        std::mem::replace(&mut self.tenure, Tenure::Ours)
                    {
                        self.tenure = Tenure::Passed { out, tell };
                        self.take(waiting);
                    }
                }
            }
        }
        self.round(inputs);
    }

    fn is_ours(&self) -> bool {
        matches!(self.tenure, Tenure::Ours)
    }

    /// Who hears of an input: the engine, or whoever has the message.
    fn sort(&mut self, input: Input<T, C::Response>, inputs: &mut Vec<Input<T, C::Response>>) {
        match input {
            Input::Submitted(_, ticket) if !self.front.waits(&ticket) => {}
            Input::Submitted(message, ticket) if self.is_ours() => {
                if let Some(list) = self.carrier.activate(message.destination) {
                    inputs.push(Input::ListUpdate(self.carrier.apply_list(list)));
                }
                inputs.push(Input::Submitted(message, ticket));
            }
            // Fronts hand nothing in any more, and what they have is told to the other process as well.
            Input::Ended { id, attempt, took_ms, end } => {
                self.out.remove(&(id, attempt));
                if self.is_ours() {
                    inputs.push(Input::Ended { id, attempt, took_ms, end });
                } else {
                    self.ended_here(ForwardedEnd { id, attempt, took_ms, end });
                }
            }
            _ if !self.is_ours() => {}
            Input::Withdrawn { id } => {
                self.front.withdrawn(id);
                inputs.push(Input::Withdrawn { id });
            }
            input => inputs.push(input),
        }
    }

    fn ended_here(&mut self, end: ForwardedEnd<C::Response>) {
        // One that had not begun was never out to whoever has its message.
        if let Tenure::Passed { out, tell } = &mut self.tenure {
            if out.remove(&(end.id, end.attempt)) {
                let _gone = tell.send(end);
            }
        }
    }

    fn round(&mut self, inputs: Vec<Input<T, C::Response>>) {
        if !self.is_ours() {
            return;
        }
        let mut wanted = Vec::new();
        self.engine.borrow_mut().handle(self.clock.now(), inputs, &mut wanted);
        self.act(wanted);
        let now = self.clock.now();
        self.carrier.forget(&mut |destination| self.engine.borrow_mut().forget(now, destination));
    }

    fn cancel(&mut self, id: u64, attempt: u32) {
        match (self.out.remove(&(id, attempt)), &self.elsewhere) {
            (Some(off), _) => {
                let _ended_already = off.send(());
            }
            (None, Some(elsewhere)) => elsewhere(id, attempt),
            (None, None) => {}
        }
    }

    fn act(&mut self, wanted: Vec<Output<T, C::Response>>) {
        for output in wanted {
            match output {
                Output::Reply(told) => self.front.reply(told),
                Output::Attempt(attempt) => self.attempt(attempt),
                Output::CancelAttempt { id, attempt } => self.cancel(id, attempt),
                Output::Probe { endpoint } => self.probe(endpoint),
                Output::CloseIdle { endpoint } => self.carrier.close_idle(&endpoint),
                Output::Log(words) => (self.log)(&words),
            }
        }
    }

    fn attempt(&mut self, attempt: Attempt) {
        let (off, wanted) = oneshot::channel();
        self.out.insert((attempt.id, attempt.attempt), off);
        let (carrier, engine) = (self.carrier.clone(), self.engine.clone());
        let (clock, log) = (self.clock, self.log);
        let ending = Ending {
            handle: self.handle.clone(),
            of: (attempt.id, attempt.attempt),
            began: Instant::now(),
            end: None,
        };
        tokio::task::spawn_local(async move {
            let gate = At { engine, clock, log, attempt: &attempt };
            ending.with(carrier.attempt(&attempt, &gate, Cancellation(wanted)).await);
        });
    }

    fn probe(&self, endpoint: String) {
        let carrier = self.carrier.clone();
        let seen = (Outcome::NoConnection, Vec::new());
        let mut probing = Probing { handle: self.handle.clone(), endpoint, began: Instant::now(), seen };
        tokio::task::spawn_local(async move {
            let seen = carrier.probe(&probing.endpoint).await;
            probing.see(seen);
        });
    }
}

/// Tells what a probe showed, whatever happens to its task: the module waits for it.
struct Probing<T, C: Carrier> {
    handle: Handle<T, C>,
    endpoint: String,
    began: Instant,
    seen: (Outcome, Vec<f64>),
}

impl<T, C: Carrier> Probing<T, C> {
    fn see(&mut self, seen: (Outcome, Vec<f64>)) {
        self.seen = seen;
    }
}

impl<T, C: Carrier> Drop for Probing<T, C> {
    fn drop(&mut self) {
        let took_ms = self.began.elapsed().as_secs_f64() * 1000.0;
        let (endpoint, report) = (std::mem::take(&mut self.endpoint), std::mem::take(&mut self.seen.1));
        let probed = Input::Probed { endpoint, outcome: self.seen.0, took_ms, report };
        self.handle.put(Happened::Input(probed));
    }
}

/// Tells how an attempt ended, whatever happens to its task: one that panics may have run.
struct Ending<T, C: Carrier> {
    handle: Handle<T, C>,
    of: (u64, u32),
    began: Instant,
    end: Option<AttemptEnd<C::Response>>,
}

impl<T, C: Carrier> Ending<T, C> {
    fn with(mut self, end: AttemptEnd<C::Response>) {
        self.end = Some(end);
    }
}

impl<T, C: Carrier> Drop for Ending<T, C> {
    fn drop(&mut self) {
        let (id, attempt) = self.of;
        let took_ms = self.began.elapsed().as_secs_f64() * 1000.0;
        let end = self.end.take().unwrap_or_else(|| AttemptEnd::without_response(Outcome::Broken));
        self.handle.put(Happened::Input(Input::Ended { id, attempt, took_ms, end }));
    }
}

/// The gate of one attempt.
struct At<'a, S, R> {
    engine: Rc<RefCell<Engine<S, R>>>,
    clock: Clock,
    log: fn(&str),
    attempt: &'a Attempt,
}

impl<S: Store, R> SendGate for At<'_, S, R> {
    fn begin(&self) -> bool {
        let Attempt { id, attempt, endpoint, .. } = self.attempt;
        let begun = self.engine.borrow_mut().begin(self.clock.now(), *id, *attempt, endpoint);
        if let Err(why @ AttemptBlocked::NotStored(_)) = &begun {
            (self.log)(&why.to_string());
        }
        begun.is_ok()
    }
}
