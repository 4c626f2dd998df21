//! Accounting of slots and waiting time while the decision module runs.

use crate::usage_report::{CallOutcome, HealthState, MessageOutcome, UsageReport};
use linenhall::{Action, Event, Outcome, Relay, Settings, WaitReason};
use std::collections::{BTreeMap, HashMap};

/// A message that is refused or failed at most this long before its deadline ended because of the deadline.
const DEADLINE_MARGIN_MS: f64 = 150.0;
/// Number of destinations with separate records; further ones are recorded under [`OTHER_DESTINATIONS`].
const MAX_DESTINATIONS: usize = 4096;
/// Number that stands for all destinations beyond [`MAX_DESTINATIONS`].
const OTHER_DESTINATIONS: u64 = u64::MAX;
/// Interval at which the wait reason of each destination is sampled.
const SAMPLE_INTERVAL_MS: f64 = 5.0;

/// Milliseconds by [`WaitReason`].
type WaitTimes = [f64; WaitReason::ALL.len()];

#[derive(Debug)]
struct Message {
    class: usize,
    destination: u64,
    arrived_at: f64,
    due: f64,
    next_attempt: u32,
    /// While queued: the wait times of its destination when it was queued.
    queued_from: Option<WaitTimes>,
    waited: WaitTimes,
    attempts: u32,
}

#[derive(Debug)]
struct Call {
    destination: u64,
    class: usize,
    state: HealthState,
    sent_at: f64,
}

#[derive(Debug, Default)]
struct DestinationQueue {
    queued: usize,
    wait_times: WaitTimes,
}

/// Accounting of one relay. Its memory is bounded by the open messages of the module and
/// [`MAX_DESTINATIONS`].
#[derive(Debug)]
pub struct Account {
    /// Aim and deadline of each class in milliseconds.
    classes: Vec<(f64, f64)>,
    slots: usize,
    open: HashMap<u64, Message>,
    /// Calls in flight by message and attempt.
    calls: HashMap<(u64, u32), Call>,
    queues: BTreeMap<u64, DestinationQueue>,
    sampled_at: Option<f64>,
    usage_report: UsageReport,
}

fn call_outcome(outcome: Outcome, late: bool) -> CallOutcome {
    match outcome {
        Outcome::Delivered if late => CallOutcome::Late,
        Outcome::Delivered => CallOutcome::InTime,
        Outcome::Error => CallOutcome::Error,
        Outcome::Full => CallOutcome::Full,
        Outcome::TimedOut => CallOutcome::TimedOut,
        Outcome::NoConnection => CallOutcome::NoConnection,
        Outcome::Broken => CallOutcome::Broken,
        Outcome::Stale => CallOutcome::Stale,
        Outcome::Cancelled => CallOutcome::CalledOff,
        Outcome::NotSent => CallOutcome::NotSent,
    }
}

impl Account {
    /// Creates the accounting for a relay with these settings.
    pub fn new(settings: &Settings) -> Account {
        Account {
            classes: settings.classes.iter().map(|c| (c.aim_ms, c.deadline_ms)).collect(),
            slots: settings.slots,
            open: HashMap::new(),
            calls: HashMap::new(),
            queues: BTreeMap::new(),
            sampled_at: None,
            usage_report: UsageReport::default(),
        }
    }

    /// Records one round of the module, to be called after it, with its events and actions.
    pub fn record_round(&mut self, now: f64, events: &[Event], actions: &[Action], relay: &Relay) {
        self.record_elapsed(now, relay);
        events.iter().for_each(|e| self.record_event(now, e, relay));
        actions.iter().for_each(|a| self.record_action(now, a, relay));
    }

    /// Returns what has been recorded since the last call. With `process_ends` the process ends now, and the
    /// calls in flight are passed on to another one.
    pub fn take_report(&mut self, now: f64, process_ends: bool) -> UsageReport {
        if process_ends {
            for (_, call) in std::mem::take(&mut self.calls) {
                let row = self
                    .usage_report
                    .calls
                    .entry((call.destination, call.class, call.state, CallOutcome::PassedOn))
                    .or_default();
                row.record(now - call.sent_at);
            }
        }
        std::mem::take(&mut self.usage_report)
    }

    /// Records the time since the last sample under the wait reason that each destination has now.
    fn record_elapsed(&mut self, now: f64, relay: &Relay) {
        let since = *self.sampled_at.get_or_insert(now);
        let ms = now - since;
        if ms < SAMPLE_INTERVAL_MS {
            return;
        }
        self.sampled_at = Some(now);
        self.usage_report.span_ms += ms;
        self.usage_report.slot_ms += ms * self.slots as f64;
        let waiting = self.queues.values().any(|q| q.queued > 0);
        self.usage_report.full_ms += if waiting && self.calls.len() >= self.slots { ms } else { 0.0 };
        for (destination, queue) in self.queues.iter_mut().filter(|x| x.1.queued > 0) {
            let Some(reason) = relay.wait_reason(*destination) else { continue };
            queue.wait_times[reason as usize] += ms;
            *self.usage_report.held.entry((*destination, reason)).or_default() += ms * queue.queued as f64;
        }
    }

    fn queue(&mut self, destination: u64) -> &mut DestinationQueue {
        self.queues.entry(destination).or_default()
    }

    /// Returns the number under which a destination is recorded.
    fn recorded_destination(&self, destination: u64) -> u64 {
        let is_separate = self.queues.contains_key(&destination) || self.queues.len() < MAX_DESTINATIONS;
        if is_separate {
            destination
        } else {
            OTHER_DESTINATIONS
        }
    }

    fn accept(&mut self, now: f64, id: u64, class: usize, due: f64, destination: u64, next_attempt: u32) {
        let deadline_ms = self.classes.get(class).map_or(0.0, |c| c.1);
        let (destination, arrived_at) =
            (self.recorded_destination(destination), (due - deadline_ms).min(now));
        let (waited, attempts) = (WaitTimes::default(), 0);
        self.open.insert(
            id,
            Message {
                class,
                destination,
                arrived_at,
                due,
                next_attempt,
                queued_from: None,
                waited,
                attempts,
            },
        );
        self.enqueue(id);
    }

    fn enqueue(&mut self, id: u64) {
        let Some(destination) = self.open.get(&id).filter(|m| m.queued_from.is_none()).map(|m| m.destination)
        else {
            return;
        };
        let queue = self.queue(destination);
        queue.queued += 1;
        let wait_times = queue.wait_times;
        self.open.entry(id).and_modify(|m| m.queued_from = Some(wait_times));
    }

    fn dequeue(&mut self, id: u64) {
        let Some(message) = self.open.get_mut(&id) else { return };
        let Some(from) = message.queued_from.take() else { return };
        let queue = self.queues.entry(message.destination).or_default();
        queue.queued = queue.queued.saturating_sub(1);
        for (sum, (now, from)) in message.waited.iter_mut().zip(queue.wait_times.iter().zip(from)) {
            *sum += now - from;
        }
    }

    fn begin_attempt(&mut self, now: f64, id: u64, endpoint: &str, relay: &Relay) {
        self.dequeue(id);
        let Some(message) = self.open.get_mut(&id) else { return };
        let (destination, class, attempt) = (message.destination, message.class, message.next_attempt);
        message.next_attempt += 1;
        message.attempts += 1;
        let state = match relay.group_health(destination, endpoint) {
            linenhall::GroupHealth::Healthy => HealthState::Well,
            linenhall::GroupHealth::Degraded => HealthState::Sick,
            linenhall::GroupHealth::Open => HealthState::Out,
            linenhall::GroupHealth::SlowStart => HealthState::Ramp,
        };
        self.calls.insert((id, attempt), Call { destination, class, state, sent_at: now });
    }

    fn record_event(&mut self, now: f64, event: &Event, relay: &Relay) {
        match event {
            Event::Request { id, class, due, destination, .. } => {
                self.accept(now, *id, *class, *due, *destination, 0);
            }
            Event::RequestRestored { id, class, due, destination, attempts, .. } => {
                self.accept(now, *id, *class, *due, *destination, *attempts);
            }
            Event::AttemptResumed { id, endpoint, .. } => self.begin_attempt(now, *id, endpoint, relay),
            Event::Ended { id, attempt, outcome, settled, .. } => {
                let call = self.calls.remove(&(*id, *attempt));
                let message = self.open.get(id);
                let late = message
                    .is_some_and(|m| self.classes.get(m.class).is_some_and(|c| now > m.arrived_at + c.0));
                if let Some(call) = call {
                    let key = (call.destination, call.class, call.state, call_outcome(*outcome, late));
                    self.usage_report.calls.entry(key).or_default().record(now - call.sent_at);
                }
                if *settled {
                    let message_outcome = match outcome {
                        Outcome::Delivered if late => MessageOutcome::Late,
                        Outcome::Delivered => MessageOutcome::InTime,
                        _ => MessageOutcome::Withdrawn,
                    };
                    self.end(*id, message_outcome);
                } else {
                    self.enqueue(*id);
                }
            }
            Event::Withdrawn { id } => self.end(*id, MessageOutcome::Withdrawn),
            _ => {}
        }
    }

    fn record_action(&mut self, now: f64, action: &Action, relay: &Relay) {
        match action {
            Action::Send { id, endpoint, .. } => self.begin_attempt(now, *id, endpoint, relay),
            Action::Refuse { id, .. } => {
                let message = self.open.get(id);
                let message_outcome = match message {
                    Some(m) if m.due - now <= DEADLINE_MARGIN_MS => MessageOutcome::TimeUp,
                    _ => MessageOutcome::HoldFull,
                };
                self.end(*id, message_outcome);
            }
            Action::Fail { id } => {
                let message = self.open.get(id);
                let time_is_up = message.is_some_and(|m| m.due - now <= DEADLINE_MARGIN_MS);
                self.end(*id, if time_is_up { MessageOutcome::TimeUp } else { MessageOutcome::Spent });
            }
            _ => {}
        }
    }

    fn end(&mut self, id: u64, outcome: MessageOutcome) {
        self.dequeue(id);
        let Some(message) = self.open.remove(&id) else { return };
        let longest = message.waited.iter().zip(WaitReason::ALL).filter(|x| *x.0 > 0.0);
        let longest = longest.max_by(|a, b| a.0.total_cmp(b.0)).map(|x| x.1);
        *self
            .usage_report
            .ends
            .entry((message.destination, (message.class, outcome, longest)))
            .or_default() += 1;
    }
}
