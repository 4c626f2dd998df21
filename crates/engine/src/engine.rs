//! Events in, the module's actions out, and what is kept in between, in the order that the crate's page states.

use crate::destination_table::DestinationTable;
use crate::message::{Attempt, AttemptEnd, FinalAnswer, FrontReply, Input, Message, Output, Rejection};
use crate::open::{Ledger, Open, Out};
use crate::store::Store;
use crate::tally::Tally;
use crate::timers::Timers;
use crate::untried::Untried;

use linenhall::{Action, Effect, Event, Outage, Outcome, Relay, Settings};
use mulleinslip_journal::{AcceptedMessage, GivenUp, OutageRecord};
use std::collections::HashMap;
use std::fmt;

mod restore;

/// When to come again, for a message that is turned away before the module sees it.
const COME_AGAIN_MS: f64 = 500.0;
/// Final answers that may wait for their confirmation while messages are still taken on: at the busiest, minutes
/// of them. Each takes some hundred bytes, here and in the store.
const MOST_UNCONFIRMED: usize = 4096;

/// An answer that comes less than this before the end of its message's time, in milliseconds, may count as too late for the
/// sender: its own time began with its last byte, and this process may have been held up before it read that. 150 ms of
/// that, and the 50 ms by which every time limit is longer.
const LATE_MS: f64 = 200.0;

/// What the store calls the module's numbers, so that they mean the same to a process with other settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the classes, by index.
    pub classes: Vec<String>,
    /// Of the tenants, by index.
    pub tenants: Vec<String>,
}

/// Why an attempt must not be begun.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptBlocked {
    /// Nobody waits for it any more.
    Cancelled,
    /// It took so long to get here that it might no longer be dropped as a repeat, or its time is over.
    TooLate,
    /// Another process goes on with what was taken on, see [`Engine::release`].
    Released,
    /// The store could not keep it, for this reason.
    NotStored(String),
}

impl fmt::Display for AttemptBlocked {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AttemptBlocked::Released => f.write_str("left to another process"),
            AttemptBlocked::Cancelled => f.write_str("called off"),
            AttemptBlocked::TooLate => f.write_str("too late to be sent"),
            AttemptBlocked::NotStored(why) => write!(f, "journal: {why}; attempt not made"),
        }
    }
}

/// Is shown each round of the module after it: the time, what it was told, what it did.
pub trait Observer {
    /// See the trait.
    fn round(&mut self, now: f64, events: &[Event], actions: &[Action], relay: &Relay);
}

/// A message that the module has not answered for.
struct Asking<T> {
    id: u64,
    taken: AcceptedMessage,
    ticket: T,
}

/// See the crate's page. `S` keeps what outlasts the process, `R` is what a carrier brings back.
pub struct Engine<S, R> {
    relay: Relay,
    settings: Settings,
    names: Names,
    store: S,
    open: Ledger<R>,
    tally: Tally,
    /// What the start found untried.
    untried: Untried,
    destination_table: DestinationTable,
    /// For so long a destination without hosts may yet get one in time for what is taken on for it.
    replaced_within_ms: f64,
    timers: Timers,
    /// The version of the outages in the store.
    outages: u64,
    /// What the module has to hear of its last round's actions, in a round right after it.
    follow_up: Vec<Event>,
    stopping: bool,
    released: bool,
    /// In the round that tells what an earlier process left.
    starting: bool,
    observer: Option<Box<dyn Observer>>,
}

/// What an earlier process that still runs tells of itself, beside what the store has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Predecessor {
    /// It does: what it has taken on and not tried has waited for its turn, and is not found by a restart.
    pub is_running: bool,
    /// Attempts that it makes to their end: message and number. Each end comes as [`Input::Ended`].
    pub attempts_in_flight: Vec<(u64, u32)>,
    /// Waits that it was told: destination, endpoint where endpoints are routes apart and else empty, until when.
    pub retry_afters: Vec<(u64, String, f64)>,
    /// What its module has learnt, in parts, see [`Engine::learnt`].
    pub learnt: Vec<linenhall::Learnt>,
}

impl<S: Store, R> Engine<S, R> {
    /// An engine that has taken on nothing. `seed` is for the module's random numbers.
    pub fn new(settings: Settings, seed: u64, names: Names, store: S) -> Engine<S, R> {
        let tally = Tally::new(settings.classes.len());
        let longest = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        Engine {
            relay: Relay::new(Settings { confirms_answers: true, ..settings.clone() }, seed),
            settings,
            names,
            store,
            open: Ledger::default(),
            tally,
            untried: Untried::default(),
            destination_table: DestinationTable::default(),
            replaced_within_ms: longest.clamp(0.0, 1e9),
            timers: Timers::default(),
            outages: 0,
            follow_up: Vec::new(),
            stopping: false,
            released: false,
            starting: false,
            observer: None,
        }
    }

    /// Shows each round of the module to this one. Before [`Engine::restore`], to show all of them.
    pub fn observe(&mut self, observer: Box<dyn Observer>) {
        self.observer = Some(observer);
    }

    /// Stops in the middle: no attempt begins any more, nothing is recorded, and the caller hands nothing in. Gives
    /// the attempts that are out, message and number.
    pub fn release(&mut self) -> Vec<(u64, u32)> {
        self.released = true;
        self.open.out()
    }

    /// What a process that goes on for this one should know beside what the store has.
    pub fn learnt(&self, now: f64) -> linenhall::Learnt {
        self.relay.learnt(now)
    }

    /// Goes on after all, as if nothing had been.
    pub fn resume(&mut self) {
        self.released = false;
    }

    /// What keeps for it.
    pub fn store_mut(&mut self) -> &mut S {
        &mut self.store
    }

    /// Takes in what has happened, and the timers that are due.
    pub fn handle<T>(
        &mut self, now: f64, inputs: impl IntoIterator<Item = Input<T, R>>, out: &mut Vec<Output<T, R>>,
    ) {
        let (mut events, mut asking) = (Vec::new(), Vec::new());
        for input in inputs {
            match input {
                Input::Submitted(message, ticket) => {
                    self.handed(now, *message, ticket, &mut events, &mut asking, out)
                }
                Input::Withdrawn { id } => events.extend(self.withdrawn(id, out)),
                Input::Ended { id, attempt, took_ms, end } => {
                    self.ended(now, (id, attempt), took_ms, end, &mut events, out);
                }
                Input::Probed { endpoint, outcome, took_ms, report } => {
                    events.push(Event::Probed { endpoint, outcome, took_ms, report });
                }
                Input::ListUpdate(list) => {
                    self.destination_table.learn(&list, now, self.replaced_within_ms);
                    events.push(Event::ListUpdate(list));
                }
                Input::AnswersConfirmed(ids) => {
                    events.extend(ids.into_iter().filter_map(|id| self.confirmed(id, out)));
                }
                Input::Stop { calls_end_at } => {
                    self.stopping = true;
                    events.push(Event::Stopping { at: calls_end_at });
                }
            }
        }
        while let Some(token) = self.timers.due(now) {
            events.push(Event::Timer { token });
        }
        if !events.is_empty() {
            self.round(now, &events, asking, out);
        }
        out.extend(self.untried.line().map(Output::Log));
    }

    /// Forgets a destination and its hosts, if nothing is held, out or owed there, and nothing is known that binds a later call.
    /// Whoever names it next has its hosts listed first. Whether it was forgotten; `None` for one that is not known.
    pub fn forget(&mut self, now: f64, destination: u64) -> Option<bool> {
        if self.released || !self.destination_table.may_forget(destination) {
            return Some(false);
        }
        let hosts = self.relay.forget(now, destination)?;
        self.destination_table.forget_all(destination, hosts.iter().flatten());
        Some(hosts.is_ok())
    }

    /// When to come back at the latest, if nothing happens.
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.next()
    }

    /// Whether nothing is owed and no attempt is out.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Messages that are not over, and final answers that wait for their confirmation.
    pub fn held(&self) -> (usize, usize) {
        (self.open.owed(), self.open.unconfirmed())
    }

    /// How messages have ended since this process started.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Hosts in the list, and those of them to which nothing would be sent just now.
    pub fn hosts(&self, now: f64) -> (usize, usize) {
        self.relay.hosts(now)
    }

    /// The first byte of an attempt is about to go out. On an error it must not, and the attempt ends as one that
    /// was never sent. To be asked again where a connection was of no use and another one had to come up.
    pub fn begin(&mut self, now: f64, id: u64, attempt: u32, endpoint: &str) -> Result<(), AttemptBlocked> {
        let out = self.open.get_mut(id).and_then(|o| o.out.iter_mut().find(|x| x.attempt == attempt));
        if self.released {
            return Err(AttemptBlocked::Released);
        }
        let Some(out) = out.filter(|x| !x.called_off) else { return Err(AttemptBlocked::Cancelled) };
        if now >= out.begin_by {
            return Err(AttemptBlocked::TooLate);
        }
        if out.begun {
            return Ok(());
        }
        self.store
            .record_attempt(id, attempt, now, endpoint)
            .map_err(|e| AttemptBlocked::NotStored(e.to_string()))?;
        out.begun = true;
        self.untried.begun(id);
        Ok(())
    }

    fn handed<T>(
        &mut self, now: f64, message: Message, ticket: T, events: &mut Vec<Event>,
        asking: &mut Vec<Asking<T>>, out: &mut Vec<Output<T, R>>,
    ) {
        let known = self.open.known(&message.call_id);
        let deciding = known.is_some_and(|id| asking.iter().any(|a| a.id == id));
        if let Some(id) = known.filter(|_| !deciding) {
            return out.push(Output::Reply(FrontReply::Duplicate { id, ticket }));
        }
        let Some(class) = self.settings.classes.get(message.class) else {
            let why = Rejection::Failed;
            return out.push(Output::Reply(FrontReply::Rejected { ticket, why }));
        };
        let keyed = class.effect == Effect::Keyed;
        let full = self.open.owed() >= self.settings.max_open || self.open.unconfirmed() >= MOST_UNCONFIRMED;
        // A destination in no list may be one that is not listed yet.
        if deciding || full || self.stopping || !self.destination_table.knows(message.destination, now) {
            let why = Rejection::Refused { retry_after_ms: Some(COME_AGAIN_MS) };
            self.tally.turned(message.class, &why);
            return out.push(Output::Reply(FrontReply::Rejected { ticket, why }));
        }
        let id = self.open.number();
        let Message { call_id, class, tenant, destination, due, order_key, idempotency_key, body } = message;
        let taken = AcceptedMessage {
            call_id: call_id.clone(),
            class: self.names.classes.get(class).cloned().unwrap_or_default(),
            tenant: self.names.tenants.get(tenant).cloned().unwrap_or_default(),
            order_key: order_key.clone(),
            idempotency_key: idempotency_key.as_ref().map(|k| k.to_vec()),
            due,
            dest: destination,
            body: body.to_vec(),
        };
        let open = Open {
            call_id,
            class,
            idempotency_key: idempotency_key.filter(|_| keyed),
            body,
            destination,
            due,
            in_order: order_key.is_some(),
            attempts: 0,
            out: Vec::new(),
            may_have_run: false,
            over: false,
            unconfirmed: false,
            last: None,
        };
        self.open.insert(id, open);
        events.push(Event::Request { id, class, tenant, key: order_key, due, destination });
        asking.push(Asking { id, taken, ticket });
    }

    fn withdrawn<T>(&mut self, id: u64, out: &mut Vec<Output<T, R>>) -> Option<Event> {
        self.open.get(id).filter(|o| !o.over)?;
        self.untried.withdrawn(id);
        self.open.over(id);
        self.close(id, out);
        Some(Event::Withdrawn { id })
    }

    fn ended<T>(
        &mut self, now: f64, (id, attempt): (u64, u32), took_ms: f64, end: AttemptEnd<R>,
        events: &mut Vec<Event>, out: &mut Vec<Output<T, R>>,
    ) {
        let AttemptEnd { outcome, settled, wait_ms, report, response } = end;
        let event = Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report };
        let Some(open) = self.open.get_mut(id) else { return events.push(event) };
        let wait_until = if wait_ms > 0.0 { now + wait_ms } else { 0.0 };
        self.untried.ended(id, open.destination, outcome, wait_until);
        let at = open.out.iter().position(|x| x.attempt == attempt);
        let begun = at.is_some_and(|at| open.out.swap_remove(at).begun);
        open.may_have_run |= !outcome.never_ran();
        let was_over = open.over;
        if settled && !was_over {
            let late = outcome == Outcome::Delivered && now >= open.due - LATE_MS;
            let owed = late && open.in_order;
            events.extend(owed.then_some(Event::AnswerExpected { id }));
            events.push(event);
            match response {
                Some(response) if late => self.delivered_late(id, response, out),
                Some(response) if outcome == Outcome::Delivered => {
                    self.settle(id, FinalAnswer::Delivered(response), out)
                }
                response => self.settle(id, FinalAnswer::EndedByPartner(response), out),
            }
            return;
        }
        if response.is_some() {
            open.last = response;
        }
        if begun && !settled && !was_over {
            let runs_yet =
                matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Stale | Outcome::Cancelled);
            if let Err(e) = self.store.record_outcome(id, attempt, !outcome.never_ran(), runs_yet) {
                let words = format!("journal: {e}; a restart will take attempt {attempt} for open");
                out.push(Output::Log(words));
            }
        }
        self.open.remove_if_done(id);
        events.push(event);
    }

    /// The partner's answer is all that was owed.
    fn settle<T>(&mut self, id: u64, answer: FinalAnswer<R>, out: &mut Vec<Output<T, R>>) {
        let Some(open) = self.open.get(id) else { return };
        let call_id = open.call_id.clone();
        self.tally.ended(open.class, &answer);
        self.open.over(id);
        // What is over needs no outcome: its end is recorded at once.
        self.close(id, out);
        out.push(Output::Reply(FrontReply::Final { id, call_id, answer }));
    }

    /// It is delivered and not sent again, but its sender may have counted it as not answered before the partner's answer
    /// came. Told nothing more it would wait for good, so it is told as for a message that was given up: that does no harm
    /// where the delivery did count.
    fn delivered_late<T>(&mut self, id: u64, response: R, out: &mut Vec<Output<T, R>>) {
        self.keep_verdict(id, GivenUp::Undeliverable, out);
        self.open.over(id);
        self.open.set_unconfirmed(id, true);
        let Some(open) = self.open.get(id) else { return };
        let answer = FinalAnswer::DeliveredLate(response);
        self.tally.ended(open.class, &answer);
        out.push(Output::Reply(FrontReply::Final { id, call_id: open.call_id.clone(), answer }));
    }

    fn keep_verdict<T>(&mut self, id: u64, verdict: GivenUp, out: &mut Vec<Output<T, R>>) {
        if let Err(e) = self.store.record_given_up(id, verdict) {
            let words = format!("journal: {e}; a restart would go on with a message that was given up");
            out.push(Output::Log(words));
        }
    }

    fn decide(&mut self, now: f64, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.relay.handle(now, events, &mut actions);
        if let Some(observer) = &mut self.observer {
            observer.round(now, events, &actions, &self.relay);
        }
        actions
    }

    /// One round of the module, and those that follow from it.
    fn round<T>(&mut self, now: f64, events: &[Event], asking: Vec<Asking<T>>, out: &mut Vec<Output<T, R>>) {
        let actions = self.decide(now, events);
        // Senders hear first, as a delivery counts only once its sender has.
        self.answer(asking, &actions, out);
        for action in actions {
            self.act(now, action, out);
        }
        // Each one reports attempts or messages that are no more, of which the last round made so many.
        while !self.follow_up.is_empty() {
            let more = std::mem::take(&mut self.follow_up);
            for action in self.decide(now, &more) {
                self.act(now, action, out);
            }
        }
        let version = self.relay.outages_version();
        if version != self.outages {
            let kept = self.relay.outages().iter().map(kept_outage).collect();
            if let Err(e) = self.store.record_outages(kept) {
                out.push(Output::Log(format!("journal: {e}; outages not kept")));
            }
            self.outages = version;
        }
    }

    /// Answers those whose messages the module has just seen: refused in the same round, a message was never owed
    /// anything; else it is taken on once the store has it.
    fn answer<T>(&mut self, asking: Vec<Asking<T>>, actions: &[Action], out: &mut Vec<Output<T, R>>) {
        if asking.is_empty() {
            return;
        }
        let ended = actions.iter().filter_map(|a| match a {
            Action::Refuse { id, retry_after_ms } => {
                Some((*id, Rejection::Refused { retry_after_ms: *retry_after_ms }))
            }
            Action::Fail { id } => Some((*id, Rejection::Failed)),
            _ => None,
        });
        let ended: HashMap<u64, Rejection> = ended.collect();
        for Asking { id, taken, ticket } in asking {
            let why = match ended.get(&id) {
                Some(why) => *why,
                None => match self.store.record_accepted(id, taken) {
                    Ok(()) => {
                        out.push(Output::Reply(FrontReply::Accepted { id, ticket }));
                        continue;
                    }
                    Err(e) => {
                        out.push(Output::Log(format!("journal: {e}; message refused")));
                        self.follow_up.push(Event::Withdrawn { id });
                        Rejection::Refused { retry_after_ms: Some(COME_AGAIN_MS) }
                    }
                },
            };
            // Whatever else the module wants done for it is not done.
            if let Some(open) = self.open.get(id) {
                self.tally.turned(open.class, &why);
                // Its sender hears at once, on its own connection.
                self.follow_up.extend(open.in_order.then_some(Event::AnswerConfirmed { id }));
            }
            self.open.remove(id);
            out.push(Output::Reply(FrontReply::Rejected { ticket, why }));
        }
    }

    fn act<T>(&mut self, now: f64, action: Action, out: &mut Vec<Output<T, R>>) {
        match action {
            Action::Send { id, endpoint, timeout_ms, begin_by } => {
                self.send(now, id, endpoint, (timeout_ms, begin_by), out)
            }
            Action::Cancel { id, attempt } => {
                let found =
                    self.open.get_mut(id).and_then(|o| o.out.iter_mut().find(|x| x.attempt == attempt));
                if let Some(x) = found {
                    x.called_off = true;
                    out.push(Output::CancelAttempt { id, attempt });
                }
            }
            Action::Refuse { id, retry_after_ms } => {
                self.end(now, id, GivenUp::Deferred { retry_after_ms }, out)
            }
            Action::Fail { id } => self.end(now, id, GivenUp::Undeliverable, out),
            Action::Timer { at, token } => self.timers.set(at, token),
            Action::Probe { endpoint } => out.push(Output::Probe { endpoint }),
            Action::CloseIdle { endpoint } => out.push(Output::CloseIdle { endpoint }),
            Action::Log(words) => out.push(Output::Log(words)),
            // There are no peers yet, and the list comes by itself.
            Action::SendToPeer { .. } | Action::Watch(_) | Action::Fetch => {}
        }
    }

    fn send<T>(
        &mut self, now: f64, id: u64, endpoint: String, (timeout_ms, begin_by): (Option<f64>, f64),
        out: &mut Vec<Output<T, R>>,
    ) {
        let Some(open) = self.open.get_mut(id) else {
            // Not taken on after all: the module waits for an outcome of its first attempt all the same.
            let (outcome, report) = (Outcome::NotSent, Vec::new());
            let (attempt, took_ms, settled, wait_ms) = (0, 0.0, true, 0.0);
            self.follow_up.push(Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report });
            return;
        };
        let attempt = open.attempts;
        open.attempts += 1;
        open.out.push(Out { attempt, begun: false, called_off: false, begin_by });
        out.push(Output::Attempt(Attempt {
            id,
            attempt,
            endpoint,
            destination: open.destination,
            call_id: open.call_id.clone(),
            idempotency_key: open.idempotency_key.clone(),
            body: open.body.clone(),
            wait_ms: timeout_ms.unwrap_or(f64::MAX).min((open.due - now).max(0.0)),
            begin_by,
        }));
    }

    /// The module has given a message up: its sender hears at once.
    fn end<T>(&mut self, now: f64, id: u64, verdict: GivenUp, out: &mut Vec<Output<T, R>>) {
        if self.open.get(id).is_none_or(|o| o.over) {
            return;
        }
        self.keep_verdict(id, verdict, out);
        self.untried.given_up(id, now, self.starting, true);
        self.give_up(id, verdict, true, out);
    }

    /// `counts`: by this process, and not by an earlier one.
    fn give_up<T>(&mut self, id: u64, verdict: GivenUp, counts: bool, out: &mut Vec<Output<T, R>>) {
        self.open.over(id);
        self.open.set_unconfirmed(id, true);
        let Some(open) = self.open.get_mut(id) else { return };
        let (may_have_run, last) = (open.may_have_run || open.out.iter().any(|x| x.begun), open.last.take());
        let answer = match verdict {
            GivenUp::Undeliverable => FinalAnswer::Failed { may_have_run, last },
            GivenUp::Deferred { retry_after_ms } => {
                FinalAnswer::Refused { retry_after_ms, may_have_run, last }
            }
        };
        if counts {
            self.tally.ended(open.class, &answer);
        }
        out.push(Output::Reply(FrontReply::Final { id, call_id: open.call_id.clone(), answer }));
    }

    /// What the module has to hear of it.
    fn confirmed<T>(&mut self, id: u64, out: &mut Vec<Output<T, R>>) -> Option<Event> {
        let in_order = self.open.get(id).filter(|o| o.unconfirmed)?.in_order;
        self.open.set_unconfirmed(id, false);
        self.close(id, out);
        in_order.then_some(Event::AnswerConfirmed { id })
    }

    /// The message's end has reached whom it concerns.
    fn close<T>(&mut self, id: u64, out: &mut Vec<Output<T, R>>) {
        if let Err(e) = self.store.record_ended(id) {
            out.push(Output::Log(format!("journal: {e}; a restart will end a message once more")));
        }
        self.open.remove_if_done(id);
    }
}

fn kept_outage(o: &Outage) -> OutageRecord {
    (o.destination, o.endpoint.clone(), o.recovered_at, o.rate_before)
}
