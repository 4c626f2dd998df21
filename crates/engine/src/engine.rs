//! Passes events to the decision module, carries out its actions, and keeps the state between them. The order
//! of storing and replying is described in the crate's documentation.

use crate::destination_table::DestinationTable;
use crate::ended_messages::EndedMessages;
use crate::message::{Attempt, AttemptEnd, FinalAnswer, FrontReply, Input, Message, Output, Rejection};
use crate::open_messages::{AttemptInFlight, OpenMessage, OpenMessages};
use crate::store::Store;
use crate::tally::Tally;
use crate::timers::Timers;
use crate::untried::UntriedStats;

use linenhall::{Action, Effect, Event, KeyPause, Outage, Outcome, Relay, Settings};
use mulleinslip_journal::{AcceptedMessage, GivenUp, OutageRecord};
use std::collections::HashMap;
use std::fmt;

mod deliveries;
mod endings;
mod restore;

/// Retry-After for a message that is rejected before the module sees it.
const DEFAULT_RETRY_AFTER_MS: f64 = 500.0;
/// Maximum number of unconfirmed final answers; messages are rejected while there are so many. At the highest
/// load it is reached after minutes. Each answer takes some hundred bytes, in memory and in the store.
const MAX_UNCONFIRMED: usize = 4096;

/// The names under which the store records the module's class and tenant indexes, so that they keep their
/// meaning for a process with other settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
}

/// Why an attempt must not be begun.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptBlocked {
    /// The attempt was cancelled.
    Cancelled,
    /// The time by which it had to begin has passed: the partner might no longer recognise it as a repeat, or
    /// the message's deadline is over.
    TooLate,
    /// Another process has taken over the messages, see [`Engine::release`].
    Released,
    /// The store could not record it, for this reason.
    NotStored(String),
}

impl fmt::Display for AttemptBlocked {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AttemptBlocked::Released => f.write_str("taken over by another process"),
            AttemptBlocked::Cancelled => f.write_str("cancelled"),
            AttemptBlocked::TooLate => f.write_str("too late to be sent"),
            AttemptBlocked::NotStored(why) => write!(f, "journal: {why}; attempt not made"),
        }
    }
}

/// Observes the decision module, for logs and reports.
pub trait Observer {
    /// Called after each round of the module, with the time, the events that it got and the actions that it
    /// returned.
    fn round(&mut self, now: f64, events: &[Event], actions: &[Action], relay: &Relay);
}

/// A submitted message that the module has not decided on.
struct PendingSubmission<T> {
    id: u64,
    accepted: AcceptedMessage,
    ticket: T,
}

/// The engine, see the crate's documentation. `S` is the store, `R` the carrier's response type.
pub struct Engine<S, R> {
    relay: Relay,
    settings: Settings,
    names: Names,
    store: S,
    open_messages: OpenMessages<R>,
    ended_messages: EndedMessages,
    tally: Tally,
    /// Counts of the untried messages that a restart found.
    untried: UntriedStats,
    destination_table: DestinationTable,
    /// How long messages are accepted for a destination that has lost its last host: the longest deadline of
    /// any class, as a new host may come in time to deliver them.
    destination_retention_ms: f64,
    timers: Timers,
    /// Version of the outages in the store.
    outages_version: u64,
    /// Events that follow from the last round's actions; they go to the module in a round right after it.
    follow_up: Vec<Event>,
    stopping: bool,
    released: bool,
    /// Whether the current round restores the state of an earlier process.
    restoring: bool,
    observer: Option<Box<dyn Observer>>,
}

/// State of an earlier process that still runs, in addition to what is in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Predecessor {
    /// Whether an earlier process is running. Its untried messages are then waiting for their turn, and do
    /// not count as found by a restart.
    pub is_running: bool,
    /// Attempts that it completes itself, as message and attempt number. Each end is reported by
    /// [`Input::Ended`].
    pub attempts_in_flight: Vec<(u64, u32)>,
    /// Retry-Afters that it has received: destination, endpoint (empty where the destination's endpoints
    /// share one limit), time at which it ends.
    pub retry_afters: Vec<(u64, String, f64)>,
    /// The learnt state of its decision module, in parts, see [`Engine::export_learnt`].
    pub learnt: Vec<linenhall::Learnt>,
}

impl<S: Store, R> Engine<S, R> {
    /// Returns an engine without messages. `seed` is for the module's random numbers.
    pub fn new(settings: Settings, seed: u64, names: Names, store: S) -> Engine<S, R> {
        let tally = Tally::new(settings.classes.len());
        let longest_deadline_ms = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        Engine {
            relay: Relay::new(Settings { confirms_answers: true, ..settings.clone() }, seed),
            settings,
            names,
            store,
            open_messages: OpenMessages::default(),
            ended_messages: EndedMessages::default(),
            tally,
            untried: UntriedStats::default(),
            destination_table: DestinationTable::default(),
            destination_retention_ms: longest_deadline_ms.clamp(0.0, 1e9),
            timers: Timers::default(),
            outages_version: 0,
            follow_up: Vec::new(),
            stopping: false,
            released: false,
            restoring: false,
            observer: None,
        }
    }

    /// Sets the observer. It must be set before [`Engine::restore`] to see all rounds.
    pub fn observe(&mut self, observer: Box<dyn Observer>) {
        self.observer = Some(observer);
    }

    /// Pauses the engine for a takeover: no attempt begins any more, nothing is recorded, and the caller must
    /// not pass in any event. Returns the attempts in flight, as message and attempt number.
    pub fn release(&mut self) -> Vec<(u64, u32)> {
        self.released = true;
        self.open_messages.begun_attempts()
    }

    /// Returns the learnt state that a successor process needs in addition to the store.
    pub fn export_learnt(&self, now: f64) -> linenhall::Learnt {
        self.relay.export_learnt(now)
    }

    /// Undoes [`Engine::release`] when the takeover has failed.
    pub fn resume(&mut self) {
        self.released = false;
    }

    /// Returns the store.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// Processes the inputs and the timers that are due.
    pub fn handle<T>(
        &mut self, now: f64, inputs: impl IntoIterator<Item = Input<T, R>>, outputs: &mut Vec<Output<T, R>>,
    ) {
        let (mut events, mut submissions, mut withdrawn) = (Vec::new(), Vec::new(), Vec::new());
        for input in inputs {
            match input {
                Input::Submitted(message, ticket) => {
                    self.submitted(now, *message, ticket, &mut events, &mut submissions, outputs)
                }
                Input::Withdrawn { id } => events.extend(self.withdrawn(now, id, &mut withdrawn, outputs)),
                Input::Ended { id, attempt, took_ms, end } => {
                    self.attempt_ended(now, (id, attempt), took_ms, end, &mut events, outputs);
                }
                Input::DeliveryVerified { id } => events.extend(self.delivery_verified(now, id, outputs)),
                Input::DeliveryDoubted { id, retry_after } => {
                    self.delivery_doubted(id, outputs);
                    events.extend(retry_after.map(|told| {
                        Event::RetryAfters(vec![(told.destination, told.endpoint, now + told.wait_ms)])
                    }));
                }
                Input::Probed { endpoint, outcome, took_ms, report } => {
                    events.push(Event::Probed { endpoint, outcome, took_ms, report });
                }
                Input::ListUpdate(list) => {
                    self.destination_table.apply(&list, now, self.destination_retention_ms);
                    events.push(Event::ListUpdate(list));
                }
                Input::AnswersConfirmed(ids) => {
                    events.extend(ids.into_iter().filter_map(|id| self.confirm(now, id, outputs)));
                }
                Input::Stop { calls_end_at } => {
                    self.stopping = true;
                    events.push(Event::Stopping { at: calls_end_at });
                }
            }
        }
        while let Some(token) = self.timers.pop_due(now) {
            events.push(Event::Timer { token });
        }
        if !events.is_empty() {
            self.run_round(now, &events, submissions, outputs);
        }
        withdrawn.into_iter().for_each(|id| self.record_ended(now, id, false, outputs));
        outputs.extend(self.untried.take_log_line().map(Output::Log));
    }

    /// Removes a destination and its hosts from memory, unless messages, attempts or answers for it are
    /// pending or there is state that later calls depend on. Before the destination is used again, its hosts
    /// must be listed again. Returns whether it was removed, or `None` if it is not known.
    pub fn forget_destination(&mut self, now: f64, destination: u64) -> Option<bool> {
        if self.released || !self.destination_table.may_remove(destination) {
            return Some(false);
        }
        let hosts = self.relay.forget_destination(now, destination)?;
        self.destination_table.remove(destination, hosts.iter().flatten());
        Some(hosts.is_ok())
    }

    /// Returns the time at which [`Engine::handle`] must be called even if there is no event.
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.next()
    }

    /// Returns whether there is no open message and no attempt in flight.
    pub fn is_idle(&self) -> bool {
        self.open_messages.is_empty()
    }

    /// Returns the number of unfinished messages and the number of unconfirmed final answers.
    pub fn queued_and_unconfirmed(&self) -> (usize, usize) {
        (self.open_messages.pending(), self.open_messages.unconfirmed())
    }

    /// Returns the counts of how messages have ended since this process started.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the number of listed hosts, and how many of them would be sent no message at this time.
    pub fn host_counts(&self, now: f64) -> (usize, usize) {
        self.relay.host_counts(now)
    }

    /// Records that the first byte of an attempt is about to be sent. On an error it must not be sent, and
    /// the attempt ends as [`Outcome::NotSent`]. Must be called again before the attempt is sent on another
    /// connection.
    pub fn begin(&mut self, now: f64, id: u64, attempt: u32, endpoint: &str) -> Result<(), AttemptBlocked> {
        let entry = self
            .open_messages
            .get_mut(id)
            .and_then(|m| m.in_flight.iter_mut().find(|x| x.attempt == attempt));
        if self.released {
            return Err(AttemptBlocked::Released);
        }
        let Some(entry) = entry.filter(|x| !x.cancelled) else { return Err(AttemptBlocked::Cancelled) };
        if now >= entry.begin_by {
            return Err(AttemptBlocked::TooLate);
        }
        if entry.begun {
            return Ok(());
        }
        self.store
            .record_attempt(id, attempt, now, endpoint)
            .map_err(|e| AttemptBlocked::NotStored(e.to_string()))?;
        entry.begun = true;
        self.untried.attempt_begun(id);
        Ok(())
    }

    fn submitted<T>(
        &mut self, now: f64, message: Message, ticket: T, events: &mut Vec<Event>,
        submissions: &mut Vec<PendingSubmission<T>>, outputs: &mut Vec<Output<T, R>>,
    ) {
        let existing = self.open_messages.find(&message.call_id);
        let undecided = existing.is_some_and(|id| submissions.iter().any(|a| a.id == id));
        if let Some(id) = existing.filter(|_| !undecided) {
            return outputs.push(Output::Reply(FrontReply::Duplicate { id, ticket }));
        }
        if let Some(delivered) = self.ended_messages.find(&message.call_id, now) {
            return outputs.push(Output::Reply(FrontReply::Ended { delivered, ticket }));
        }
        let Some(class) = self.settings.classes.get(message.class) else {
            let why = Rejection::Failed;
            return outputs.push(Output::Reply(FrontReply::Rejected { ticket, why }));
        };
        let keyed = class.effect == Effect::Keyed;
        let full = self.open_messages.pending() >= self.settings.max_open
            || self.open_messages.unconfirmed() >= MAX_UNCONFIRMED;
        // A destination that is not in the list may be one that is not listed yet, so the sender may retry.
        if undecided || full || self.stopping || !self.destination_table.contains(message.destination, now) {
            let why = Rejection::Refused { retry_after_ms: Some(DEFAULT_RETRY_AFTER_MS) };
            self.tally.count_rejection(message.class, &why);
            return outputs.push(Output::Reply(FrontReply::Rejected { ticket, why }));
        }
        let id = self.open_messages.allocate_id();
        let Message { call_id, class, tenant, destination, due, order_key, idempotency_key, body } = message;
        let accepted = AcceptedMessage {
            call_id: call_id.clone(),
            class: self.names.classes.get(class).cloned().unwrap_or_default(),
            tenant: self.names.tenants.get(tenant).cloned().unwrap_or_default(),
            order_key: order_key.clone(),
            idempotency_key: idempotency_key.as_ref().map(|k| k.to_vec()),
            due,
            dest: destination,
            body: body.to_vec(),
        };
        let open_message = OpenMessage {
            call_id,
            class,
            idempotency_key: idempotency_key.filter(|_| keyed),
            body,
            destination,
            due,
            in_order: order_key.is_some(),
            attempts: 0,
            in_flight: Vec::new(),
            may_have_run: false,
            finished: false,
            unconfirmed: false,
            unverified: false,
            last_response: None,
        };
        self.open_messages.insert(id, open_message);
        events.push(Event::Request { id, class, tenant, key: order_key, due, destination });
        submissions.push(PendingSubmission { id, accepted, ticket });
    }

    fn attempt_ended<T>(
        &mut self, now: f64, (id, attempt): (u64, u32), took_ms: f64, end: AttemptEnd<R>,
        events: &mut Vec<Event>, outputs: &mut Vec<Output<T, R>>,
    ) {
        let AttemptEnd { outcome, settled, retry_after_ms, report, response, verification_ms } = end;
        let event = Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report };
        let Some(message) = self.open_messages.get_mut(id) else { return events.push(event) };
        let retry_after_until = if retry_after_ms > 0.0 { now + retry_after_ms } else { 0.0 };
        self.untried.attempt_ended(id, message.destination, outcome, retry_after_until);
        let index = message.in_flight.iter().position(|x| x.attempt == attempt);
        let begun = index.is_some_and(|index| message.in_flight.swap_remove(index).begun);
        message.may_have_run |= !outcome.never_ran();
        let was_finished = message.finished;
        if settled && !was_finished {
            match response {
                Some(response) if outcome == Outcome::Delivered => {
                    self.delivered(now, id, response, verification_ms, events, outputs)
                }
                response => self.finish_with_answer(now, id, FinalAnswer::EndedByPartner(response), outputs),
            }
            return events.push(event);
        }
        if response.is_some() {
            message.last_response = response;
        }
        if begun && !settled && !was_finished {
            let may_run_yet =
                matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Stale | Outcome::Cancelled);
            if let Err(e) = self.store.record_outcome(id, attempt, !outcome.never_ran(), may_run_yet) {
                let line = format!("journal: {e}; after a restart attempt {attempt} will count as in flight");
                outputs.push(Output::Log(line));
            }
        }
        self.open_messages.remove_if_done(id);
        events.push(event);
    }

    fn decide<T>(&mut self, now: f64, events: &[Event], outputs: &mut Vec<Output<T, R>>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.relay.handle(now, events, &mut actions);
        for KeyPause { key, until } in self.relay.key_pauses() {
            if let Err(e) = self.store.record_key_pause(key, *until, now) {
                let line = format!("journal: {e}; after a restart an order key would not be paused");
                outputs.push(Output::Log(line));
            }
        }
        if let Some(observer) = &mut self.observer {
            observer.round(now, events, &actions, &self.relay);
        }
        actions
    }

    /// Runs one round of the module, and the rounds that follow from it.
    fn run_round<T>(
        &mut self, now: f64, events: &[Event], submissions: Vec<PendingSubmission<T>>,
        outputs: &mut Vec<Output<T, R>>,
    ) {
        let actions = self.decide(now, events, outputs);
        // Senders get their replies first, as a delivery counts only once its sender knows that the message
        // was accepted.
        self.reply_to_submissions(submissions, &actions, outputs);
        for action in actions {
            self.perform(now, action, outputs);
        }
        // The loop ends: each event reports an attempt or a message that no longer exists, and a round makes
        // only so many.
        while !self.follow_up.is_empty() {
            let events = std::mem::take(&mut self.follow_up);
            for action in self.decide(now, &events, outputs) {
                self.perform(now, action, outputs);
            }
        }
        let version = self.relay.outages_version();
        if version != self.outages_version {
            let records = self.relay.outages().iter().map(outage_record).collect();
            if let Err(e) = self.store.record_outages(records) {
                outputs.push(Output::Log(format!("journal: {e}; outages not stored")));
            }
            self.outages_version = version;
        }
    }

    /// Replies to the submissions that the module has just decided on. A message that the module refuses in
    /// the same round is rejected; any other is accepted once it is stored.
    fn reply_to_submissions<T>(
        &mut self, submissions: Vec<PendingSubmission<T>>, actions: &[Action],
        outputs: &mut Vec<Output<T, R>>,
    ) {
        if submissions.is_empty() {
            return;
        }
        let rejected = actions.iter().filter_map(|a| match a {
            Action::Refuse { id, retry_after_ms } => {
                Some((*id, Rejection::Refused { retry_after_ms: *retry_after_ms }))
            }
            Action::Fail { id } => Some((*id, Rejection::Failed)),
            _ => None,
        });
        let rejected: HashMap<u64, Rejection> = rejected.collect();
        for PendingSubmission { id, accepted, ticket } in submissions {
            let why = match rejected.get(&id) {
                Some(why) => *why,
                None => match self.store.record_accepted(id, accepted) {
                    Ok(()) => {
                        outputs.push(Output::Reply(FrontReply::Accepted { id, ticket }));
                        continue;
                    }
                    Err(e) => {
                        outputs.push(Output::Log(format!("journal: {e}; message refused")));
                        self.follow_up.push(Event::Withdrawn { id });
                        Rejection::Refused { retry_after_ms: Some(DEFAULT_RETRY_AFTER_MS) }
                    }
                },
            };
            // Other actions of the module for this message are dropped.
            if let Some(message) = self.open_messages.get(id) {
                self.tally.count_rejection(message.class, &why);
                // The rejection reaches its sender at once, on the sender's own connection.
                self.follow_up.extend(message.in_order.then_some(Event::AnswerConfirmed { id }));
            }
            self.open_messages.remove(id);
            outputs.push(Output::Reply(FrontReply::Rejected { ticket, why }));
        }
    }

    fn perform<T>(&mut self, now: f64, action: Action, outputs: &mut Vec<Output<T, R>>) {
        match action {
            Action::Send { id, endpoint, timeout_ms, begin_by } => {
                self.start_attempt(now, id, endpoint, (timeout_ms, begin_by), outputs)
            }
            Action::Cancel { id, attempt } => {
                let found = self
                    .open_messages
                    .get_mut(id)
                    .and_then(|m| m.in_flight.iter_mut().find(|x| x.attempt == attempt));
                if let Some(in_flight) = found {
                    in_flight.cancelled = true;
                    outputs.push(Output::CancelAttempt { id, attempt });
                }
            }
            Action::Refuse { id, retry_after_ms } => {
                self.give_up(now, id, GivenUp::Deferred { retry_after_ms }, outputs)
            }
            Action::Fail { id } => self.give_up(now, id, GivenUp::Undeliverable, outputs),
            Action::Timer { at, token } => self.timers.set(at, token),
            Action::Probe { endpoint } => outputs.push(Output::Probe { endpoint }),
            Action::CloseIdle { endpoint } => outputs.push(Output::CloseIdle { endpoint }),
            Action::Log(line) => outputs.push(Output::Log(line)),
            // There are no peers to send to yet, and the list is fetched independently of the engine.
            Action::SendToPeer { .. } | Action::WatchList(_) | Action::FetchList => {}
        }
    }

    fn start_attempt<T>(
        &mut self, now: f64, id: u64, endpoint: String, (timeout_ms, begin_by): (Option<f64>, f64),
        outputs: &mut Vec<Output<T, R>>,
    ) {
        let Some(message) = self.open_messages.get_mut(id) else {
            // The message was not accepted in the end, but the module still waits for the outcome of its
            // first attempt.
            let (outcome, report) = (Outcome::NotSent, Vec::new());
            let (attempt, took_ms, settled, retry_after_ms) = (0, 0.0, true, 0.0);
            self.follow_up.push(Event::Ended {
                id,
                attempt,
                outcome,
                took_ms,
                settled,
                retry_after_ms,
                report,
            });
            return;
        };
        let attempt = message.attempts;
        message.attempts += 1;
        message.in_flight.push(AttemptInFlight { attempt, begun: false, cancelled: false, begin_by });
        outputs.push(Output::Attempt(Attempt {
            id,
            attempt,
            endpoint,
            destination: message.destination,
            call_id: message.call_id.clone(),
            idempotency_key: message.idempotency_key.clone(),
            body: message.body.clone(),
            wait_ms: timeout_ms.unwrap_or(f64::MAX).min((message.due - now).max(0.0)),
            begin_by,
            others_wait: message.in_order,
        }));
    }
}

fn outage_record(outage: &Outage) -> OutageRecord {
    (outage.destination, outage.endpoint.clone(), outage.recovered_at, outage.rate_before)
}
