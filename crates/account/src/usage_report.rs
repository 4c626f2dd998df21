//! What is booked, and how it reads.

use linenhall::WaitReason;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CallOutcome {
    /// Delivered within the class's aim.
    InTime,
    /// Delivered after it.
    Late,
    /// An error was answered.
    Error,
    /// Turned away unheard.
    Full,
    /// No answer in its time.
    TimedOut,
    /// Called off by the module.
    CalledOff,
    /// It never had a connection.
    NoConnection,
    /// The connection broke under it.
    Broken,
    /// A kept connection was dead under it.
    Stale,
    /// It was not sent.
    NotSent,
    /// Out when the span's process ended or was taken over from.
    PassedOn,
}

/// How a destination stood when a call went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HealthState {
    /// Nothing is known against it.
    Well,
    /// A call outruns its latency, or the last outcome failed.
    Sick,
    /// Single trials.
    Out,
    /// Back, and perhaps cold.
    Ramp,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MessageOutcome {
    /// Delivered within the class's aim.
    InTime,
    /// Delivered after it.
    Late,
    /// Refused or failed because its time, or the window in which it may be repeated, was over.
    TimeUp,
    /// Refused to make room, as the hold was full.
    HoldFull,
    /// Given up after a call that may have run, or after the last attempt.
    Spent,
    /// Withdrawn, or over for another reason.
    Withdrawn,
}

/// A count and its time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CountAndTime {
    /// How many.
    pub count: u64,
    /// Milliseconds in all.
    pub ms: f64,
}

impl CountAndTime {
    pub(crate) fn book(&mut self, ms: f64) {
        self.count += 1;
        self.ms += ms;
    }

    fn add(&mut self, other: CountAndTime) {
        self.count += other.count;
        self.ms += other.ms;
    }
}

/// A message's end: class by index, how, and the bound under which it waited longest (`None`: it never waited).
pub type MessageEndKey = (usize, MessageOutcome, Option<WaitReason>);

/// What was booked in a span.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct UsageReport {
    /// Length of the span, summed over relays.
    pub span_ms: f64,
    /// Slots times time.
    pub slot_ms: f64,
    /// Calls by destination, class, the destination's state when they went out, and how they ended. The time is that of their slot.
    #[serde(with = "rows")]
    pub calls: BTreeMap<(u64, usize, HealthState, CallOutcome), CountAndTime>,
    /// Message-time in the hold, by destination and by what held it.
    #[serde(with = "rows")]
    pub held: BTreeMap<(u64, WaitReason), f64>,
    /// Messages by destination and end.
    #[serde(with = "rows")]
    pub ends: BTreeMap<(u64, MessageEndKey), u64>,
    /// Spans between rounds: with all slots taken while something waited, and all of them.
    pub full_ms: f64,
}

/// Maps as lists of rows: keys of several parts have no form in JSON.
mod rows {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    pub fn serialize<K: Serialize, V: Serialize, S: Serializer>(
        map: &BTreeMap<K, V>, s: S,
    ) -> Result<S::Ok, S::Error> {
        s.collect_seq(map)
    }

    pub fn deserialize<'de, K: Deserialize<'de> + Ord, V: Deserialize<'de>, D: Deserializer<'de>>(
        d: D,
    ) -> Result<BTreeMap<K, V>, D::Error> {
        Ok(Vec::<(K, V)>::deserialize(d)?.into_iter().collect())
    }
}

impl UsageReport {
    /// Adds another span's, process's or relay's.
    pub fn add(&mut self, other: &UsageReport) {
        self.span_ms += other.span_ms;
        self.slot_ms += other.slot_ms;
        self.full_ms += other.full_ms;
        other.calls.iter().for_each(|(k, v)| self.calls.entry(*k).or_default().add(*v));
        other.held.iter().for_each(|(k, v)| *self.held.entry(*k).or_default() += v);
        other.ends.iter().for_each(|(k, v)| *self.ends.entry(*k).or_default() += v);
    }

    /// Calls by how they ended.
    pub fn by_end(&self) -> BTreeMap<CallOutcome, CountAndTime> {
        let mut sums = BTreeMap::<CallOutcome, CountAndTime>::new();
        self.calls.iter().for_each(|((_, _, _, end), spent)| sums.entry(*end).or_default().add(*spent));
        sums
    }

    /// Messages by how they ended.
    pub fn by_verdict(&self) -> BTreeMap<MessageOutcome, u64> {
        let mut sums = BTreeMap::new();
        self.ends.iter().for_each(|((_, (_, v, _)), n)| *sums.entry(*v).or_default() += n);
        sums
    }

    /// Messages that were neither delivered nor withdrawn, by what held them longest.
    pub fn lost_by_bound(&self) -> BTreeMap<Option<WaitReason>, u64> {
        let lost = [MessageOutcome::TimeUp, MessageOutcome::HoldFull, MessageOutcome::Spent];
        let mut sums = BTreeMap::new();
        let rows = self.ends.iter().filter(|((_, (_, v, _)), _)| lost.contains(v));
        rows.for_each(|((_, (_, _, bound)), n)| *sums.entry(*bound).or_default() += n);
        sums
    }
}

impl fmt::Display for UsageReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let part = |ms: f64| 100.0 * ms / self.slot_ms.max(1.0);
        let used: f64 = self.calls.values().map(|s| s.ms).sum();
        writeln!(
            f,
            "{:.1} s of relays; slots used {:.0}%, all taken with something waiting {:.0}% of the time",
            self.span_ms / 1000.0,
            part(used),
            100.0 * self.full_ms / self.span_ms.max(1.0)
        )?;
        writeln!(f, "calls by end:        count   slot-s   % of slots")?;
        for (end, s) in self.by_end() {
            let name = format!("{end:?}");
            writeln!(f, "  {name:<16} {:>8} {:>8.1} {:>8.1}", s.count, s.ms / 1000.0, part(s.ms))?;
        }
        writeln!(f, "calls by state:      count   slot-s   delivered")?;
        let mut states = BTreeMap::<HealthState, (CountAndTime, u64)>::new();
        for ((_, _, state, end), s) in &self.calls {
            let row = states.entry(*state).or_default();
            row.0.add(*s);
            row.1 += if matches!(end, CallOutcome::InTime | CallOutcome::Late) { s.count } else { 0 };
        }
        for (state, (s, good)) in states {
            let name = format!("{state:?}");
            writeln!(f, "  {name:<16} {:>8} {:>8.1} {good:>8}", s.count, s.ms / 1000.0)?;
        }
        writeln!(f, "messages by end:")?;
        for (verdict, n) in self.by_verdict() {
            writeln!(f, "  {:<16} {n:>8}", format!("{verdict:?}"))?;
        }
        writeln!(f, "classes: calls delivered (slot-s), other calls (slot-s); messages by end")?;
        let classes: BTreeSet<usize> = self.ends.keys().map(|(_, (class, ..))| *class).collect();
        for class in classes {
            let (mut good, mut bad, mut ends) =
                (CountAndTime::default(), CountAndTime::default(), BTreeMap::new());
            for ((_, _, _, end), s) in self.calls.iter().filter(|x| x.0 .1 == class) {
                if matches!(end, CallOutcome::InTime | CallOutcome::Late) { &mut good } else { &mut bad }
                    .add(*s);
            }
            for ((_, (_, v, _)), n) in self.ends.iter().filter(|x| x.0 .1 .0 == class) {
                *ends.entry(*v).or_insert(0) += n;
            }
            let (good_s, bad_s) = (good.ms / 1000.0, bad.ms / 1000.0);
            writeln!(
                f,
                "  {class:>4} {:>6} ({good_s:>5.1}) {:>6} ({bad_s:>5.1})  {ends:?}",
                good.count, bad.count
            )?;
        }
        writeln!(f, "lost messages by what held them longest:")?;
        for (bound, n) in self.lost_by_bound() {
            writeln!(f, "  {:<16} {n:>8}", bound.map_or("nothing".into(), |b| format!("{b:?}")))?;
        }
        self.destinations(f)
    }
}

impl UsageReport {
    fn destinations(&self, f: &mut fmt::Formatter) -> fmt::Result {
        #[derive(Default)]
        struct Row {
            good: CountAndTime,
            bad: CountAndTime,
            lost: u64,
            held: BTreeMap<WaitReason, f64>,
        }
        let mut rows = BTreeMap::<u64, Row>::new();
        for ((dest, _, _, end), s) in &self.calls {
            let row = rows.entry(*dest).or_default();
            match end {
                CallOutcome::InTime | CallOutcome::Late => row.good.add(*s),
                _ => row.bad.add(*s),
            }
        }
        for ((dest, (_, v, _)), n) in &self.ends {
            let lost = matches!(v, MessageOutcome::TimeUp | MessageOutcome::HoldFull | MessageOutcome::Spent);
            rows.entry(*dest).or_default().lost += if lost { *n } else { 0 };
        }
        for ((dest, bound), ms) in &self.held {
            *rows.entry(*dest).or_default().held.entry(*bound).or_default() += ms;
        }
        let mut rows: Vec<_> = rows.into_iter().collect();
        rows.sort_by_key(|x| std::cmp::Reverse((x.1.lost, x.1.bad.count)));
        writeln!(
            f,
            "destinations, most lost first: delivered (slot-s), other calls (slot-s), lost, message-s held"
        )?;
        for (dest, row) in rows.iter().take(12) {
            let mut held: Vec<_> = row.held.iter().collect();
            held.sort_by(|a, b| b.1.total_cmp(a.1));
            let held = held.iter().take(4).map(|(b, ms)| format!("{b:?} {:.0}", **ms / 1000.0));
            writeln!(
                f,
                "  {dest:>4} {:>6} ({:>5.1}) {:>6} ({:>5.1}) {:>6}  {}",
                row.good.count,
                row.good.ms / 1000.0,
                row.bad.count,
                row.bad.ms / 1000.0,
                row.lost,
                held.collect::<Vec<_>>().join(", ")
            )?;
        }
        Ok(())
    }
}
