//! A simulated environment for the engine, without sockets: partners, a store and crashes, all from one
//! random seed. The rules for deliveries and answers are checked at each event.
use linenhall::{Class, DedupScope, Effect, Endpoint, EndpointStatus, ListUpdate, Outcome, Settings};
use mulleinslip_engine::journal::{
    AcceptedMessage, Attempt as RecordedAttempt, EndedMessage, GivenUp, OutageRecord, RecoveredMessage,
    RecoveredState,
};
use mulleinslip_engine::{
    Attempt, AttemptEnd, Engine, FinalAnswer, FrontReply, Input, Message, Names, Output, Predecessor,
    Rejection, Store,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

pub const WINDOW_MS: f64 = 2000.0;
pub const CLASSES: [(&str, Effect, bool); 4] = [
    ("safe", Effect::Safe, false),
    ("keyed", Effect::Keyed, false),
    ("unsafe", Effect::Unsafe, false),
    ("ordered", Effect::Safe, true),
];
const DESTINATIONS: u64 = 5;

pub fn settings() -> Settings {
    let class = |(_, effect, in_order): &(&str, Effect, bool)| Class {
        aim_ms: 500.0,
        deadline_ms: 4000.0,
        effect: *effect,
        dedup_scope: DedupScope::All,
        dedup_window_ms: WINDOW_MS,
        value: 1.0,
        late_value: 0.2,
        in_order: *in_order,
    };
    Settings {
        relays: 1,
        slots: 8,
        max_open: 60,
        max_attempts: 5,
        classes: CLASSES.iter().map(class).collect(),
        tenant_rates: vec![1e6],
        over_share_value: 1.0,
        batch_by_kind: vec![1],
        own_limits: vec![false],
        may_cancel: true,
        conn_idle_ms: 5000.0,
        conn_streams: 1,
        cold_share: 0.5,
        warm_after_ms: 2000.0,
        fall_multiple: 3.0,
        fall_ms: 1000.0,
        order_pause_ms: 700.0,
        retry_after: true,
        max_retry_after_ms: 2000.0,
        tick_ms: 5.0,
        ..Settings::default()
    }
}

pub fn names() -> Names {
    Names { classes: CLASSES.iter().map(|c| c.0.to_string()).collect(), tenants: vec!["acme".into()] }
}

/// State of the store, which survives a crash.
#[derive(Default)]
pub struct StoredState {
    pub messages: BTreeMap<u64, RecoveredMessage>,
    pub outages: Vec<OutageRecord>,
    pub key_pauses: Vec<(String, f64)>,
    pub ended: Vec<EndedMessage>,
    /// Which calls to the store fail from now on.
    pub failure: StoreFailure,
    pub writes: u64,
}

#[derive(Clone, Copy, Default, PartialEq)]
pub enum StoreFailure {
    #[default]
    None,
    /// A full disk: new messages and attempts can't be recorded, ends can.
    Full,
}

#[derive(Clone, Default)]
pub struct MemoryStore(pub Rc<RefCell<StoredState>>);

impl MemoryStore {
    pub fn recover(&self) -> RecoveredState {
        let state = self.0.borrow();
        RecoveredState {
            messages: state.messages.values().cloned().collect(),
            outages: state.outages.clone(),
            key_pauses: state.key_pauses.clone(),
            ended: state.ended.clone(),
            ..RecoveredState::default()
        }
    }

    fn update(&mut self, id: u64, change: impl FnOnce(&mut RecoveredMessage)) -> Result<(), &'static str> {
        let mut state = self.0.borrow_mut();
        state.writes += 1;
        if let Some(message) = state.messages.get_mut(&id) {
            change(message);
        }
        Ok(())
    }
}

impl Store for MemoryStore {
    type Error = &'static str;
    fn record_accepted(&mut self, id: u64, message: AcceptedMessage) -> Result<(), Self::Error> {
        let mut state = self.0.borrow_mut();
        if state.failure == StoreFailure::Full {
            return Err("disk full");
        }
        state.writes += 1;
        let previous =
            state.messages.insert(id, RecoveredMessage { id, message, attempts: Vec::new(), given_up: None });
        assert!(previous.is_none(), "number {id} was assigned twice");
        Ok(())
    }
    fn record_attempt(&mut self, id: u64, number: u32, at: f64, endpoint: &str) -> Result<(), Self::Error> {
        if self.0.borrow().failure == StoreFailure::Full {
            return Err("disk full");
        }
        let endpoint = endpoint.to_string();
        self.update(id, |message| {
            assert!(
                message.attempts.iter().all(|a| a.number != number),
                "attempt {number} of message {id} was begun twice"
            );
            message.attempts.push(RecordedAttempt {
                number,
                at,
                endpoint,
                may_have_run: true,
                may_run_yet: true,
            });
        })
    }
    fn record_outcome(
        &mut self, id: u64, number: u32, may_have_run: bool, may_run_yet: bool,
    ) -> Result<(), Self::Error> {
        self.update(id, |message| {
            for attempt in message.attempts.iter_mut().filter(|a| a.number == number) {
                (attempt.may_have_run, attempt.may_run_yet) = (may_have_run, may_run_yet);
            }
        })
    }
    fn record_given_up(&mut self, id: u64, given_up: GivenUp) -> Result<(), Self::Error> {
        self.update(id, |message| message.given_up = Some(given_up))
    }
    fn record_key_pause(&mut self, key: &str, until: f64, now: f64) -> Result<(), Self::Error> {
        let mut state = self.0.borrow_mut();
        state.writes += 1;
        state.key_pauses.retain(|(paused, end)| paused != key && *end > now);
        state.key_pauses.push((key.to_string(), until));
        Ok(())
    }
    fn record_ended(&mut self, id: u64) -> Result<(), Self::Error> {
        let mut state = self.0.borrow_mut();
        state.writes += 1;
        state.messages.remove(&id);
        Ok(())
    }
    fn record_ended_remembered(&mut self, id: u64, ended: EndedMessage) -> Result<(), Self::Error> {
        self.0.borrow_mut().ended.push(ended);
        self.record_ended(id)
    }
    fn record_outages(&mut self, outages: Vec<OutageRecord>) -> Result<(), Self::Error> {
        self.0.borrow_mut().outages = outages;
        Ok(())
    }
}

/// How a partner handles attempts at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Healthy,
    Refusing,
    /// The call runs, but its response is lost.
    LosingResponses,
    NotResponding,
    Failing,
    /// The partner is full and sends a Retry-After.
    SendingRetryAfter,
    /// A copy of an earlier response may pass for the response to the call, which may then not have run.
    RepeatingResponses,
}

/// A scheduled event of the simulation.
enum Scheduled {
    Begin(Attempt),
    /// The partner runs the call.
    Run {
        call_id: String,
        class: usize,
        order_key: Option<String>,
        destination: u64,
        at: f64,
    },
    End {
        id: u64,
        attempt: u32,
        sent: f64,
        end: AttemptEnd<u32>,
    },
    Confirm(u64),
    /// The delivery of this message is verified, or can't be.
    Verification(u64, bool),
}

/// What the environment knows of a message.
#[derive(Default)]
pub struct MessageState {
    class: usize,
    order_key: Option<String>,
    destination: u64,
    accepted: bool,
    rejected: bool,
    withdrawn: bool,
    /// When the partner ran it.
    runs: Vec<f64>,
    effects: u32,
    /// Final answers, and whether the last one was confirmed.
    answers: Vec<FinalAnswer<u32>>,
    confirmed: bool,
}

pub struct Simulation {
    seed: u64,
    random: fastrand::Rng,
    pub now: f64,
    engine: Engine<MemoryStore, u32>,
    pub store: MemoryStore,
    /// By time in microseconds and sequence number.
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    pub messages: HashMap<String, MessageState>,
    /// Call ids by the engine's message numbers, of the current process.
    call_ids: HashMap<u64, String>,
    /// Attempts in flight, of the current process.
    in_flight: HashSet<(u64, u32)>,
    behaviours: HashMap<u64, Behaviour>,
    /// When the Retry-After of each destination ends, of the current process.
    retry_afters: HashMap<u64, f64>,
    stopping: bool,
    pub crashes: u32,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let store = MemoryStore::default();
        let mut simulation = Simulation {
            seed,
            random: fastrand::Rng::with_seed(seed),
            now: 1_000_000.0,
            engine: Engine::new(settings(), seed, names(), store.clone()),
            store,
            scheduled: BTreeMap::new(),
            sequence: 0,
            messages: HashMap::new(),
            call_ids: HashMap::new(),
            in_flight: HashSet::new(),
            behaviours: HashMap::new(),
            retry_afters: HashMap::new(),
            stopping: false,
            crashes: 0,
        };
        simulation.start(RecoveredState::default());
        simulation
    }

    fn list() -> ListUpdate {
        let host = |n: u64| Endpoint {
            name: format!("h{n}"),
            destination: n / 2,
            zone: 0,
            kind: 0,
            weight: 1.0,
            status: EndpointStatus::Active,
        };
        ListUpdate::Full((0..2 * DESTINATIONS).map(host).collect())
    }

    fn start(&mut self, recovered: RecoveredState) {
        self.call_ids = recovered.messages.iter().map(|m| (m.id, m.message.call_id.clone())).collect();
        let mut outputs = Vec::new();
        self.engine.restore(
            self.now,
            vec![Simulation::list()],
            recovered,
            &Predecessor::default(),
            &mut outputs,
        );
        self.perform(outputs);
    }

    /// The process is killed, and the next one starts from the store. Calls that were sent may still run.
    pub fn crash(&mut self) {
        self.crashes += 1;
        self.scheduled.retain(|_, event| matches!(event, Scheduled::Run { .. }));
        self.in_flight.clear();
        self.retry_afters.clear();
        self.stopping = false;
        self.now += self.random.f64() * 300.0;
        self.engine = Engine::new(settings(), self.random.u64(..), names(), self.store.clone());
        let recovered = self.store.recover();
        self.start(recovered);
    }

    pub fn stop(&mut self) {
        self.stopping = true;
        let calls_end_at = self.now + 1000.0;
        self.handle(vec![Input::Stop { calls_end_at }]);
    }

    fn schedule(&mut self, time: f64, event: Scheduled) {
        self.sequence += 1;
        self.scheduled.insert(((time * 1000.0) as u64, self.sequence), event);
    }

    fn handle(&mut self, inputs: Vec<Input<String, u32>>) {
        let mut outputs = Vec::new();
        self.engine.handle(self.now, inputs, &mut outputs);
        self.perform(outputs);
    }

    /// Submits one message of a random class and destination.
    pub fn submit(&mut self) {
        let call_id = format!("m{}", self.messages.len());
        let class = self.random.usize(..CLASSES.len());
        let destination = self.random.u64(..DESTINATIONS);
        let order_key = CLASSES[class].2.then(|| format!("k{destination}"));
        let message = Message {
            call_id: call_id.clone(),
            class,
            tenant: 0,
            destination,
            due: self.now + 300.0 + self.random.f64() * 3700.0,
            order_key: order_key.clone(),
            idempotency_key: Some(call_id.clone().into()),
            body: call_id.clone().into(),
        };
        let state = MessageState { class, order_key, destination, ..MessageState::default() };
        self.messages.insert(call_id.clone(), state);
        self.handle(vec![Input::Submitted(Box::new(message), call_id)]);
    }

    /// The sender of one of the open messages withdraws it.
    pub fn withdraw_one(&mut self) {
        let open = |s: &MessageState| s.accepted && s.answers.is_empty() && !s.withdrawn;
        let mut ids: Vec<u64> = self
            .call_ids
            .iter()
            .filter(|(_, c)| self.messages.get(*c).is_some_and(open))
            .map(|(id, _)| *id)
            .collect();
        ids.sort();
        if let Some(id) = self.random.choice(ids) {
            let state = self.call_ids.get(&id).and_then(|c| self.messages.get_mut(c));
            state.into_iter().for_each(|s| s.withdrawn = true);
            self.handle(vec![Input::Withdrawn { id }]);
        }
    }

    pub fn change_a_behaviour(&mut self) {
        let behaviours = [
            Behaviour::Healthy,
            Behaviour::Refusing,
            Behaviour::LosingResponses,
            Behaviour::NotResponding,
            Behaviour::Failing,
            Behaviour::SendingRetryAfter,
            Behaviour::RepeatingResponses,
        ];
        let behaviour = behaviours[self.random.usize(..behaviours.len())];
        self.behaviours.insert(self.random.u64(..DESTINATIONS), behaviour);
    }

    pub fn make_all_healthy(&mut self) {
        self.behaviours.clear();
    }

    /// Advances the time, with all events that are due.
    pub fn advance(&mut self, ms: f64) {
        let until = self.now + ms;
        loop {
            let event_time = self.scheduled.keys().next().map_or(f64::MAX, |k| k.0 as f64 / 1000.0);
            let timer = self.engine.next_timer().unwrap_or(f64::MAX);
            let next = event_time.min(timer);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if timer <= event_time {
                self.handle(Vec::new());
            } else if let Some((_, event)) = self.scheduled.pop_first() {
                self.run_event(event);
            }
        }
    }

    fn run_event(&mut self, event: Scheduled) {
        match event {
            Scheduled::Begin(attempt) => self.begin(attempt),
            Scheduled::Run { call_id, class, order_key, destination, at } => {
                self.run_call(call_id, class, order_key, destination, at)
            }
            Scheduled::End { id, attempt, sent, end } => {
                if self.in_flight.remove(&(id, attempt)) {
                    let took_ms = self.now - sent;
                    self.handle(vec![Input::Ended { id, attempt, took_ms, end }]);
                }
            }
            Scheduled::Verification(id, true) => self.handle(vec![Input::DeliveryVerified { id }]),
            Scheduled::Verification(id, false) => {
                self.handle(vec![Input::DeliveryDoubted { id, retry_after: None }])
            }
            Scheduled::Confirm(id) => {
                let state = self.call_ids.get(&id).and_then(|c| self.messages.get_mut(c));
                state.into_iter().for_each(|s| s.confirmed = true);
                self.handle(vec![Input::AnswersConfirmed(vec![id])]);
            }
        }
    }

    /// The connection for an attempt is established.
    fn begin(&mut self, attempt: Attempt) {
        let (id, number, now) = (attempt.id, attempt.attempt, self.now);
        let behaviour = self.behaviours.get(&attempt.destination).copied().unwrap_or(Behaviour::Healthy);
        let refused = behaviour == Behaviour::Refusing;
        let must_wait = self.retry_afters.get(&attempt.destination).is_some_and(|until| *until > now);
        if refused || must_wait || self.engine.begin(now, id, number, &attempt.endpoint).is_err() {
            let outcome = if refused { Outcome::NoConnection } else { Outcome::NotSent };
            let end = AttemptEnd::without_response(outcome);
            return self.schedule(now, Scheduled::End { id, attempt: number, sent: now, end });
        }
        let stored = self.store.0.borrow().messages.get(&id).cloned();
        let stored = stored.expect("an attempt was made for a message that is not in the store");
        assert!(
            stored.attempts.iter().any(|a| a.number == number),
            "an attempt was sent before it was in the store"
        );
        let took_ms = 5.0 + self.random.f64() * 60.0;
        let state =
            self.messages.get(&attempt.call_id).expect("an attempt of a message that was never submitted");
        if let Some(key) = &state.order_key {
            let number = |id: &str| id[1..].parse::<u64>().unwrap_or(0);
            let delivered = |s: &MessageState| matches!(s.answers.last(), Some(FinalAnswer::Delivered(_)));
            let unanswered = self.messages.iter().find(|(id, s)| {
                s.order_key.as_ref() == Some(key)
                    && number(id) < number(&attempt.call_id)
                    && s.accepted
                    && !(s.confirmed || s.withdrawn || delivered(s))
            });
            let unanswered = unanswered.map(|(id, _)| id);
            assert!(
                unanswered.is_none(),
                "seed {}: {} was sent before {unanswered:?} of its key had an answer",
                self.seed,
                attempt.call_id
            );
        }
        let (class, order_key, destination) = (state.class, state.order_key.clone(), state.destination);
        let call_id = attempt.call_id.clone();
        let run = Scheduled::Run { call_id, class, order_key, destination, at: now };
        let time_limit_ms = attempt.wait_ms.min(200.0);
        let (ran, after_ms, end) = match behaviour {
            Behaviour::Healthy => {
                let delivered = AttemptEnd {
                    settled: true,
                    response: Some(number),
                    ..AttemptEnd::without_response(Outcome::Delivered)
                };
                (true, took_ms, delivered)
            }
            Behaviour::LosingResponses => (true, took_ms, AttemptEnd::without_response(Outcome::Broken)),
            Behaviour::NotResponding => {
                (self.random.bool(), time_limit_ms, AttemptEnd::without_response(Outcome::TimedOut))
            }
            Behaviour::Failing => {
                let end =
                    AttemptEnd { response: Some(number), ..AttemptEnd::without_response(Outcome::Error) };
                (self.random.bool(), took_ms, end)
            }
            Behaviour::SendingRetryAfter => (
                false,
                took_ms,
                AttemptEnd { retry_after_ms: 400.0, ..AttemptEnd::without_response(Outcome::Full) },
            ),
            Behaviour::RepeatingResponses => {
                let verified = self.random.bool();
                let verification_ms = 20.0 + self.random.f64() * 200.0;
                let end = AttemptEnd {
                    settled: true,
                    response: Some(number),
                    verification_ms,
                    ..AttemptEnd::without_response(Outcome::Delivered)
                };
                let verified_at = now + took_ms + verification_ms * self.random.f64();
                self.schedule(verified_at, Scheduled::Verification(id, verified));
                (verified || self.random.bool(), took_ms, end)
            }
            Behaviour::Refusing => unreachable!("refused attempts have returned above"),
        };
        if ran {
            let run_after_ms = after_ms * self.random.f64();
            self.schedule(now + run_after_ms, run);
        }
        self.schedule(now + after_ms, Scheduled::End { id, attempt: number, sent: now, end });
    }

    fn run_call(
        &mut self, call_id: String, class: usize, order_key: Option<String>, destination: u64, at: f64,
    ) {
        let seed = self.seed;
        if let Some(key) = order_key {
            let number = |id: &str| id[1..].parse::<u64>().unwrap_or(0);
            let later = self.messages.iter().find(|(id, s)| {
                s.order_key.as_ref() == Some(&key) && number(id) > number(&call_id) && !s.runs.is_empty()
            });
            assert!(later.is_none(), "seed {seed}: {call_id} ran after a later message of its key");
        }
        let state = self.messages.get_mut(&call_id).expect("a message ran that was never submitted");
        assert!(!state.rejected, "seed {seed}: {call_id} ran although it was rejected");
        let first = state.runs.first().copied();
        state.runs.push(at);
        // A repeat of a keyed message has no effect within the partner's deduplication window.
        let duplicate =
            CLASSES[class].1 == Effect::Keyed && first.is_some_and(|first| at < first + WINDOW_MS);
        state.effects += u32::from(!duplicate);
        let at_most_once = CLASSES[class].1 != Effect::Safe;
        assert!(
            !at_most_once || state.effects <= 1,
            "seed {seed}: {call_id} to {destination} took effect twice"
        );
    }

    fn perform(&mut self, outputs: Vec<Output<String, u32>>) {
        let seed = self.seed;
        for output in outputs {
            match output {
                Output::Reply(reply) => self.receive_reply(reply),
                Output::Attempt(attempt) => {
                    assert!(
                        self.in_flight.iter().all(|(id, _)| *id != attempt.id),
                        "seed {seed}: two attempts of {} are in flight",
                        attempt.call_id
                    );
                    assert_eq!(
                        self.call_ids.get(&attempt.id),
                        Some(&attempt.call_id),
                        "seed {seed}: attempt of another message"
                    );
                    assert_eq!(
                        attempt.body, attempt.call_id,
                        "seed {seed}: attempt with the body of another message"
                    );
                    self.in_flight.insert((attempt.id, attempt.attempt));
                    // Most connections are established at once; a lost packet in the handshake costs a second
                    // or more.
                    let max_delay_ms = if self.random.u32(..10) == 0 { WINDOW_MS } else { 10.0 };
                    let connected_at = self.now + self.random.f64() * max_delay_ms;
                    self.schedule(connected_at, Scheduled::Begin(attempt));
                }
                Output::CancelAttempt { id, attempt } => {
                    let end = AttemptEnd::without_response(Outcome::Cancelled);
                    self.schedule(self.now, Scheduled::End { id, attempt, sent: self.now, end });
                }
                Output::Probe { .. } | Output::CloseIdle { .. } | Output::Log(_) => {}
            }
        }
    }

    fn receive_reply(&mut self, reply: FrontReply<String, u32>) {
        let seed = self.seed;
        match reply {
            FrontReply::Accepted { id, ticket } => {
                assert!(
                    self.store.0.borrow().messages.contains_key(&id),
                    "seed {seed}: message {id} was accepted but not stored"
                );
                self.messages
                    .get_mut(&ticket)
                    .expect("a reply to a message that was never submitted")
                    .accepted = true;
                self.call_ids.insert(id, ticket);
            }
            FrontReply::Duplicate { ticket, .. } | FrontReply::Ended { ticket, .. } => {
                panic!("seed {seed}: {ticket} was submitted once and counted as a duplicate")
            }
            FrontReply::Rejected { ticket, why } => {
                let state =
                    self.messages.get_mut(&ticket).expect("a reply to a message that was never submitted");
                assert!(
                    !state.accepted && !state.rejected,
                    "seed {seed}: {ticket} was rejected after another reply"
                );
                assert!(why == Rejection::Failed || matches!(why, Rejection::Refused { .. }));
                state.rejected = true;
            }
            FrontReply::Final { id, call_id, answer } => {
                let state =
                    self.messages.get_mut(&call_id).expect("an answer to a message that was never submitted");
                assert!(
                    state.accepted && !state.withdrawn,
                    "seed {seed}: {call_id} was answered but waits for no answer"
                );
                assert!(
                    !state.confirmed,
                    "seed {seed}: {call_id} was answered after its answer was confirmed"
                );
                match &answer {
                    FinalAnswer::Delivered(_) => {
                        assert!(
                            !state.runs.is_empty(),
                            "seed {seed}: {call_id} was answered as delivered but never ran"
                        )
                    }
                    FinalAnswer::DeliveredLate(_) => {
                        assert!(
                            !state.runs.is_empty(),
                            "seed {seed}: {call_id} was answered as delivered but never ran"
                        );
                        let confirm_after_ms = self.random.f64() * 500.0;
                        self.schedule(self.now + confirm_after_ms, Scheduled::Confirm(id));
                    }
                    FinalAnswer::DeliveryDoubted(_) => {
                        let confirm_after_ms = self.random.f64() * 500.0;
                        self.schedule(self.now + confirm_after_ms, Scheduled::Confirm(id));
                    }
                    FinalAnswer::EndedByPartner(_) => panic!(
                        "seed {seed}: {call_id} was answered as ended by the partner, which no partner does"
                    ),
                    FinalAnswer::Refused { may_have_run, .. } | FinalAnswer::Failed { may_have_run, .. } => {
                        assert!(
                            *may_have_run || state.runs.is_empty(),
                            "seed {seed}: {call_id} ran but is answered as never run"
                        );
                        let confirm_after_ms = self.random.f64() * 500.0;
                        self.schedule(self.now + confirm_after_ms, Scheduled::Confirm(id));
                    }
                }
                let state =
                    self.messages.get_mut(&call_id).expect("an answer to a message that was never submitted");
                // An answer that is repeated after a crash is of the same kind. The response that came with
                // it may be lost.
                let kind = |f: &FinalAnswer<u32>| match f {
                    FinalAnswer::Refused { retry_after_ms, .. } => (0, *retry_after_ms),
                    // After a restart a late or doubted delivery is answered as failed.
                    FinalAnswer::Failed { .. }
                    | FinalAnswer::DeliveredLate(_)
                    | FinalAnswer::DeliveryDoubted(_) => (1, None),
                    FinalAnswer::Delivered(_) | FinalAnswer::EndedByPartner(_) => (2, None),
                };
                for before in &state.answers {
                    assert_eq!(
                        kind(before),
                        kind(&answer),
                        "seed {seed}: {call_id} got two different answers"
                    );
                    assert!(kind(before).0 != 2, "seed {seed}: {call_id} was answered as delivered twice");
                }
                state.answers.push(answer);
            }
        }
    }

    /// Waits until no message is open, and checks that each message has its answer.
    pub fn run_to_completion(&mut self) {
        self.make_all_healthy();
        self.store.0.borrow_mut().failure = StoreFailure::None;
        if self.stopping {
            self.crash();
        }
        self.advance(10_000.0);
        let seed = self.seed;
        assert!(
            self.engine.is_idle(),
            "seed {seed}: messages or attempts stay open: {:?}",
            self.engine.queued_and_unconfirmed()
        );
        assert_eq!(
            self.engine.queued_and_unconfirmed(),
            (0, 0),
            "seed {seed}: the counts of open messages are wrong"
        );
        assert!(
            self.store.0.borrow().messages.is_empty(),
            "seed {seed}: the store keeps messages that have ended"
        );
        for (call_id, state) in &self.messages {
            assert!(state.accepted != state.rejected, "seed {seed}: {call_id} got no reply, or two");
            if state.accepted && !state.withdrawn {
                assert!(!state.answers.is_empty(), "seed {seed}: {call_id} has no final answer");
            }
        }
    }

    /// Returns the number of messages that were rejected, delivered, refused, failed and withdrawn.
    pub fn counts(&self) -> [usize; 5] {
        let mut counts = [0; 5];
        for state in self.messages.values() {
            let index = match state.answers.last() {
                _ if state.rejected => 0,
                _ if state.withdrawn => 4,
                Some(FinalAnswer::Refused { .. }) => 2,
                Some(FinalAnswer::Failed { .. }) => 3,
                _ => 1,
            };
            counts[index] += 1;
        }
        counts
    }
}
