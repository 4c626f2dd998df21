//! Keeps the books while the module runs.

use crate::usage_report::{CallOutcome, HealthState, MessageOutcome, UsageReport};
use linenhall::{Action, Event, Outcome, Relay, Settings, WaitReason};
use std::collections::{BTreeMap, HashMap};

/// A message ended this long before its time was up, or less, ended because of it.
const TIME_UP_MS: f64 = 150.0;
/// Destinations that are told apart; what is beyond is booked under [`OTHERS`].
const MOST_DESTINATIONS: usize = 4096;
/// Stands for all destinations beyond [`MOST_DESTINATIONS`].
const OTHERS: u64 = u64::MAX;
/// What holds a destination's messages is looked at this often.
const LOOK_MS: f64 = 5.0;

type Waits = [f64; WaitReason::ALL.len()];

#[derive(Debug)]
struct Message {
    class: usize,
    dest: u64,
    born: f64,
    due: f64,
    /// Number of the next attempt.
    next: u32,
    /// Held: what its destination had waited for by then.
    held: Option<Waits>,
    waited: Waits,
    tries: u32,
}

#[derive(Debug)]
struct Call {
    dest: u64,
    class: usize,
    state: HealthState,
    since: f64,
}

#[derive(Debug, Default)]
struct Line {
    held: usize,
    waits: Waits,
}

/// The books of one relay. What it holds is bounded by what the module holds, and by a number of destinations.
#[derive(Debug)]
pub struct Account {
    classes: Vec<(f64, f64)>,
    slots: usize,
    open: HashMap<u64, Message>,
    calls: HashMap<(u64, u32), Call>,
    lines: BTreeMap<u64, Line>,
    looked: Option<f64>,
    usage_report: UsageReport,
}

fn how(outcome: Outcome, late: bool) -> CallOutcome {
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
    /// Books for a relay with these settings.
    pub fn new(settings: &Settings) -> Account {
        Account {
            classes: settings.classes.iter().map(|c| (c.aim_ms, c.deadline_ms)).collect(),
            slots: settings.slots,
            open: HashMap::new(),
            calls: HashMap::new(),
            lines: BTreeMap::new(),
            looked: None,
            usage_report: UsageReport::default(),
        }
    }

    /// One round of the module, after it: what it was told and what it did.
    pub fn round(&mut self, now: f64, events: &[Event], actions: &[Action], relay: &Relay) {
        self.pass(now, relay);
        events.iter().for_each(|e| self.event(now, e, relay));
        actions.iter().for_each(|a| self.action(now, a, relay));
    }

    /// What was booked since the last call. `over`: the process ends here, and what is out goes to another.
    pub fn take(&mut self, now: f64, over: bool) -> UsageReport {
        if over {
            for (_, call) in std::mem::take(&mut self.calls) {
                let row = self
                    .usage_report
                    .calls
                    .entry((call.dest, call.class, call.state, CallOutcome::PassedOn))
                    .or_default();
                row.book(now - call.since);
            }
        }
        std::mem::take(&mut self.usage_report)
    }

    /// Books the time since the last look by what holds each destination now.
    fn pass(&mut self, now: f64, relay: &Relay) {
        let since = *self.looked.get_or_insert(now);
        let ms = now - since;
        if ms < LOOK_MS {
            return;
        }
        self.looked = Some(now);
        self.usage_report.span_ms += ms;
        self.usage_report.slot_ms += ms * self.slots as f64;
        let waiting = self.lines.values().any(|l| l.held > 0);
        self.usage_report.full_ms += if waiting && self.calls.len() >= self.slots { ms } else { 0.0 };
        for (dest, line) in self.lines.iter_mut().filter(|x| x.1.held > 0) {
            let Some(bound) = relay.wait_reason(*dest) else { continue };
            line.waits[bound as usize] += ms;
            *self.usage_report.held.entry((*dest, bound)).or_default() += ms * line.held as f64;
        }
    }

    fn line(&mut self, dest: u64) -> &mut Line {
        self.lines.entry(dest).or_default()
    }

    fn dest(&self, dest: u64) -> u64 {
        let known = self.lines.contains_key(&dest) || self.lines.len() < MOST_DESTINATIONS;
        if known {
            dest
        } else {
            OTHERS
        }
    }

    fn take_on(&mut self, now: f64, id: u64, class: usize, due: f64, dest: u64, next: u32) {
        let deadline = self.classes.get(class).map_or(0.0, |c| c.1);
        let (dest, born) = (self.dest(dest), (due - deadline).min(now));
        let (waited, tries) = (Waits::default(), 0);
        self.open.insert(id, Message { class, dest, born, due, next, held: None, waited, tries });
        self.hold(id);
    }

    fn hold(&mut self, id: u64) {
        let Some(dest) = self.open.get(&id).filter(|m| m.held.is_none()).map(|m| m.dest) else { return };
        let line = self.line(dest);
        line.held += 1;
        let waits = line.waits;
        self.open.entry(id).and_modify(|m| m.held = Some(waits));
    }

    fn unhold(&mut self, id: u64) {
        let Some(m) = self.open.get_mut(&id) else { return };
        let Some(from) = m.held.take() else { return };
        let line = self.lines.entry(m.dest).or_default();
        line.held = line.held.saturating_sub(1);
        for (sum, (now, from)) in m.waited.iter_mut().zip(line.waits.iter().zip(from)) {
            *sum += now - from;
        }
    }

    fn begin(&mut self, now: f64, id: u64, endpoint: &str, relay: &Relay) {
        self.unhold(id);
        let Some(m) = self.open.get_mut(&id) else { return };
        let (dest, class, attempt) = (m.dest, m.class, m.next);
        m.next += 1;
        m.tries += 1;
        let state = match relay.group_health(dest, endpoint) {
            linenhall::GroupHealth::Healthy => HealthState::Well,
            linenhall::GroupHealth::Degraded => HealthState::Sick,
            linenhall::GroupHealth::Open => HealthState::Out,
            linenhall::GroupHealth::SlowStart => HealthState::Ramp,
        };
        self.calls.insert((id, attempt), Call { dest, class, state, since: now });
    }

    fn event(&mut self, now: f64, event: &Event, relay: &Relay) {
        match event {
            Event::Request { id, class, due, destination, .. } => {
                self.take_on(now, *id, *class, *due, *destination, 0);
            }
            Event::Restored { id, class, due, destination, attempts, .. } => {
                self.take_on(now, *id, *class, *due, *destination, *attempts);
            }
            Event::Resumed { id, endpoint, .. } => self.begin(now, *id, endpoint, relay),
            Event::Ended { id, attempt, outcome, settled, .. } => {
                let call = self.calls.remove(&(*id, *attempt));
                let m = self.open.get(id);
                let late = m.is_some_and(|m| self.classes.get(m.class).is_some_and(|c| now > m.born + c.0));
                if let Some(call) = call {
                    let key = (call.dest, call.class, call.state, how(*outcome, late));
                    self.usage_report.calls.entry(key).or_default().book(now - call.since);
                }
                if *settled {
                    let verdict = match outcome {
                        Outcome::Delivered if late => MessageOutcome::Late,
                        Outcome::Delivered => MessageOutcome::InTime,
                        _ => MessageOutcome::Withdrawn,
                    };
                    self.end(*id, verdict);
                } else {
                    self.hold(*id);
                }
            }
            Event::Withdrawn { id } => self.end(*id, MessageOutcome::Withdrawn),
            _ => {}
        }
    }

    fn action(&mut self, now: f64, action: &Action, relay: &Relay) {
        match action {
            Action::Send { id, endpoint, .. } => self.begin(now, *id, endpoint, relay),
            Action::Refuse { id, .. } => {
                let m = self.open.get(id);
                let verdict = match m {
                    Some(m) if m.due - now <= TIME_UP_MS => MessageOutcome::TimeUp,
                    _ => MessageOutcome::HoldFull,
                };
                self.end(*id, verdict);
            }
            Action::Fail { id } => {
                let m = self.open.get(id);
                let up = m.is_some_and(|m| m.due - now <= TIME_UP_MS);
                self.end(*id, if up { MessageOutcome::TimeUp } else { MessageOutcome::Spent });
            }
            _ => {}
        }
    }

    fn end(&mut self, id: u64, verdict: MessageOutcome) {
        self.unhold(id);
        let Some(m) = self.open.remove(&id) else { return };
        let longest = m.waited.iter().zip(WaitReason::ALL).filter(|x| *x.0 > 0.0);
        let longest = longest.max_by(|a, b| a.0.total_cmp(b.0)).map(|x| x.1);
        *self.usage_report.ends.entry((m.dest, (m.class, verdict, longest))).or_default() += 1;
    }
}
