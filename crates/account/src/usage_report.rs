//! The usage report and its text form.

use linenhall::WaitReason;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CallOutcome {
    /// Delivered within the class's aim.
    InTime,
    /// Delivered after the class's aim.
    Late,
    /// Answered with an error.
    Error,
    /// Turned away without being processed.
    Full,
    /// No answer before the time-out.
    TimedOut,
    /// Cancelled by the decision module.
    CalledOff,
    /// No connection could be opened.
    NoConnection,
    /// The connection broke during the call.
    Broken,
    /// A reused connection turned out to be closed.
    Stale,
    /// Never sent.
    NotSent,
    /// In flight when the process ended or handed over to another.
    PassedOn,
}

/// Health of an endpoint group when a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HealthState {
    /// Healthy.
    Well,
    /// Degraded: a call exceeds the usual latency, or the last call failed.
    Sick,
    /// The breaker is open: single half-open trials only.
    Out,
    /// Slow start after an outage, as the destination may be cold.
    Ramp,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MessageOutcome {
    /// Delivered within the class's aim.
    InTime,
    /// Delivered after the class's aim.
    Late,
    /// Refused or failed because its deadline or its dedup window had passed.
    TimeUp,
    /// Shed because the queue was full.
    HoldFull,
    /// Given up after a call that may have run, or after the last attempt.
    Spent,
    /// Withdrawn by the client, or ended for another reason.
    Withdrawn,
}

/// A count and a total time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CountAndTime {
    /// The count.
    pub count: u64,
    /// Total time in milliseconds.
    pub ms: f64,
}

impl CountAndTime {
    pub(crate) fn record(&mut self, ms: f64) {
        self.count += 1;
        self.ms += ms;
    }

    fn add(&mut self, other: CountAndTime) {
        self.count += other.count;
        self.ms += other.ms;
    }
}

/// The end of a message: index of its class, outcome, and the reason for which it waited longest (`None`: it
/// never waited).
pub type MessageEndKey = (usize, MessageOutcome, Option<WaitReason>);

/// What one or more relays used their slots for, and why messages waited, over a period of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageReport {
    /// Length of the period, summed over relays.
    pub span_ms: f64,
    /// Number of slots multiplied by the time.
    pub slot_ms: f64,
    /// Calls by destination, class, the health of the endpoint group at the send, and outcome, with the time
    /// for which they held their slot.
    #[serde(with = "rows")]
    pub calls: BTreeMap<(u64, usize, HealthState, CallOutcome), CountAndTime>,
    /// Time that messages spent in the queue, summed over messages, by destination and wait reason.
    #[serde(with = "rows")]
    pub held: BTreeMap<(u64, WaitReason), f64>,
    /// Number of messages by destination and end.
    #[serde(with = "rows")]
    pub ends: BTreeMap<(u64, MessageEndKey), u64>,
    /// Time for which all slots were taken while messages waited, summed over relays.
    pub full_ms: f64,
}

/// Serializes maps as lists of rows, as JSON has no keys of several parts.
mod rows {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    pub fn serialize<K: Serialize, V: Serialize, S: Serializer>(
        map: &BTreeMap<K, V>, serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(map)
    }

    pub fn deserialize<'de, K: Deserialize<'de> + Ord, V: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<K, V>, D::Error> {
        Ok(Vec::<(K, V)>::deserialize(deserializer)?.into_iter().collect())
    }
}

impl UsageReport {
    /// Adds the report of another period, process or relay.
    pub fn add(&mut self, other: &UsageReport) {
        self.span_ms += other.span_ms;
        self.slot_ms += other.slot_ms;
        self.full_ms += other.full_ms;
        other.calls.iter().for_each(|(k, v)| self.calls.entry(*k).or_default().add(*v));
        other.held.iter().for_each(|(k, v)| *self.held.entry(*k).or_default() += v);
        other.ends.iter().for_each(|(k, v)| *self.ends.entry(*k).or_default() += v);
    }

    /// Returns the calls by outcome.
    pub fn calls_by_outcome(&self) -> BTreeMap<CallOutcome, CountAndTime> {
        let mut sums = BTreeMap::<CallOutcome, CountAndTime>::new();
        self.calls.iter().for_each(|((_, _, _, outcome), used)| sums.entry(*outcome).or_default().add(*used));
        sums
    }

    /// Returns the number of messages by outcome.
    pub fn messages_by_outcome(&self) -> BTreeMap<MessageOutcome, u64> {
        let mut sums = BTreeMap::new();
        self.ends.iter().for_each(|((_, (_, v, _)), n)| *sums.entry(*v).or_default() += n);
        sums
    }

    /// Returns the number of messages that were neither delivered nor withdrawn, by the reason for which they
    /// waited longest.
    pub fn lost_by_wait_reason(&self) -> BTreeMap<Option<WaitReason>, u64> {
        let lost = [MessageOutcome::TimeUp, MessageOutcome::HoldFull, MessageOutcome::Spent];
        let mut sums = BTreeMap::new();
        let rows = self.ends.iter().filter(|((_, (_, v, _)), _)| lost.contains(v));
        rows.for_each(|((_, (_, _, reason)), n)| *sums.entry(*reason).or_default() += n);
        sums
    }
}

impl fmt::Display for UsageReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let percent_of_slots = |ms: f64| 100.0 * ms / self.slot_ms.max(1.0);
        let used: f64 = self.calls.values().map(|s| s.ms).sum();
        writeln!(
            f,
            "{:.1} s of relays; slots used {:.0}%, all taken with something waiting {:.0}% of the time",
            self.span_ms / 1000.0,
            percent_of_slots(used),
            100.0 * self.full_ms / self.span_ms.max(1.0)
        )?;
        writeln!(f, "calls by end:        count   slot-s   % of slots")?;
        for (outcome, used) in self.calls_by_outcome() {
            let name = format!("{outcome:?}");
            writeln!(
                f,
                "  {name:<16} {:>8} {:>8.1} {:>8.1}",
                used.count,
                used.ms / 1000.0,
                percent_of_slots(used.ms)
            )?;
        }
        writeln!(f, "calls by state:      count   slot-s   delivered")?;
        let mut states = BTreeMap::<HealthState, (CountAndTime, u64)>::new();
        for ((_, _, state, outcome), used) in &self.calls {
            let row = states.entry(*state).or_default();
            row.0.add(*used);
            row.1 += if matches!(outcome, CallOutcome::InTime | CallOutcome::Late) { used.count } else { 0 };
        }
        for (state, (used, delivered)) in states {
            let name = format!("{state:?}");
            writeln!(f, "  {name:<16} {:>8} {:>8.1} {delivered:>8}", used.count, used.ms / 1000.0)?;
        }
        writeln!(f, "messages by end:")?;
        for (outcome, count) in self.messages_by_outcome() {
            writeln!(f, "  {:<16} {count:>8}", format!("{outcome:?}"))?;
        }
        writeln!(f, "classes: calls delivered (slot-s), other calls (slot-s); messages by end")?;
        let classes: BTreeSet<usize> = self.ends.keys().map(|(_, (class, ..))| *class).collect();
        for class in classes {
            let (mut delivered, mut other, mut ends) =
                (CountAndTime::default(), CountAndTime::default(), BTreeMap::new());
            for ((_, _, _, outcome), used) in self.calls.iter().filter(|x| x.0 .1 == class) {
                if matches!(outcome, CallOutcome::InTime | CallOutcome::Late) {
                    &mut delivered
                } else {
                    &mut other
                }
                .add(*used);
            }
            for ((_, (_, outcome, _)), count) in self.ends.iter().filter(|x| x.0 .1 .0 == class) {
                *ends.entry(*outcome).or_insert(0) += count;
            }
            let (delivered_s, other_s) = (delivered.ms / 1000.0, other.ms / 1000.0);
            writeln!(
                f,
                "  {class:>4} {:>6} ({delivered_s:>5.1}) {:>6} ({other_s:>5.1})  {ends:?}",
                delivered.count, other.count
            )?;
        }
        writeln!(f, "lost messages by what held them longest:")?;
        for (reason, count) in self.lost_by_wait_reason() {
            writeln!(f, "  {:<16} {count:>8}", reason.map_or("nothing".into(), |b| format!("{b:?}")))?;
        }
        self.destinations(f)
    }
}

impl UsageReport {
    /// Writes the table of the twelve destinations with most lost messages.
    fn destinations(&self, f: &mut fmt::Formatter) -> fmt::Result {
        #[derive(Default)]
        struct Row {
            delivered: CountAndTime,
            other: CountAndTime,
            lost: u64,
            queued: BTreeMap<WaitReason, f64>,
        }
        let mut rows = BTreeMap::<u64, Row>::new();
        for ((destination, _, _, outcome), used) in &self.calls {
            let row = rows.entry(*destination).or_default();
            match outcome {
                CallOutcome::InTime | CallOutcome::Late => row.delivered.add(*used),
                _ => row.other.add(*used),
            }
        }
        for ((destination, (_, outcome, _)), count) in &self.ends {
            let lost =
                matches!(outcome, MessageOutcome::TimeUp | MessageOutcome::HoldFull | MessageOutcome::Spent);
            rows.entry(*destination).or_default().lost += if lost { *count } else { 0 };
        }
        for ((destination, reason), ms) in &self.held {
            *rows.entry(*destination).or_default().queued.entry(*reason).or_default() += ms;
        }
        let mut rows: Vec<_> = rows.into_iter().collect();
        rows.sort_by_key(|x| std::cmp::Reverse((x.1.lost, x.1.other.count)));
        writeln!(
            f,
            "destinations, most lost first: delivered (slot-s), other calls (slot-s), lost, message-s held"
        )?;
        for (destination, row) in rows.iter().take(12) {
            let mut queued: Vec<_> = row.queued.iter().collect();
            queued.sort_by(|a, b| b.1.total_cmp(a.1));
            let queued = queued.iter().take(4).map(|(b, ms)| format!("{b:?} {:.0}", **ms / 1000.0));
            writeln!(
                f,
                "  {destination:>4} {:>6} ({:>5.1}) {:>6} ({:>5.1}) {:>6}  {}",
                row.delivered.count,
                row.delivered.ms / 1000.0,
                row.other.count,
                row.other.ms / 1000.0,
                row.lost,
                queued.collect::<Vec<_>>().join(", ")
            )?;
        }
        Ok(())
    }
}
