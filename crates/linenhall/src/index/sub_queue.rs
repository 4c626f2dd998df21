//! The held messages of one destination that differ in nothing but their time: one class, one tenant.

use super::At;
use std::collections::BTreeSet;
use std::ops::Bound;

/// A held message: until when it may be delivered, its place in the order of arrival, its id, and since when it
/// ages. What ranks it stands here, so that ranking does not fetch the message itself, which is seldom in a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedMessage {
    pub due: At,
    pub seq: u64,
    pub id: u64,
    pub born: At,
}

impl QueuedMessage {
    /// Ahead of all that are due then.
    fn ahead(due: At) -> QueuedMessage {
        QueuedMessage { due, seq: 0, id: 0, born: At::new(f64::NEG_INFINITY) }
    }
}

/// A group by due time, what may go and what is held back by something of its own.
#[derive(Clone, Debug, Default)]
pub struct SubQueue {
    ready: BTreeSet<QueuedMessage>,
    later: BTreeSet<QueuedMessage>,
}

impl SubQueue {
    /// Puts a member where it belongs.
    pub fn put(&mut self, queued_message: QueuedMessage, ready: bool) {
        if ready { &mut self.ready } else { &mut self.later }.insert(queued_message);
    }

    /// Takes a member out.
    pub fn take(&mut self, queued_message: QueuedMessage) {
        if !self.ready.remove(&queued_message) {
            self.later.remove(&queued_message);
        }
    }

    /// Nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.later.is_empty()
    }

    /// Whether a member is here, and may go.
    pub fn ready(&self, queued_message: &QueuedMessage) -> Option<bool> {
        let ready = self.ready.contains(queued_message);
        (ready || self.later.contains(queued_message)).then_some(ready)
    }

    /// The member that is due first, ready or not; of those the oldest.
    pub fn first(&self) -> Option<QueuedMessage> {
        [self.ready.first(), self.later.first()].into_iter().flatten().min().copied()
    }

    /// The member that is due last, ready or not; of those the youngest.
    pub fn last(&self) -> Option<QueuedMessage> {
        self.ready.last().max(self.later.last()).copied()
    }

    /// The first ready member that is due at `from` or later.
    pub fn from(&self, from: f64) -> Option<QueuedMessage> {
        self.ready.range(QueuedMessage::ahead(At::new(from))..).next().copied()
    }

    /// The last ready member that is due before `until`: of those due at the same time the oldest.
    fn before(&self, until: At) -> Option<QueuedMessage> {
        let end = QueuedMessage::ahead(until);
        let last = self.ready.range((Bound::Unbounded, Bound::Excluded(end))).next_back()?;
        self.ready.range(QueuedMessage::ahead(last.due)..).next().copied()
    }

    /// The ready members that may be foremost where the order within each span between two `marks` (sorted)
    /// rises or falls evenly with the due time: the ends of each span. `low` to `high`, both counting in.
    pub fn ends(&self, low: f64, high: f64, marks: &[f64], visit: &mut dyn FnMut(QueuedMessage)) {
        let (mut from, high) = (low, At::new(high));
        while let Some(first) = self.from(from).filter(|m| m.due <= high) {
            visit(first);
            let mark = marks.iter().copied().find(|mark| At::new(*mark) > first.due);
            let until = mark.map_or(At::NEVER, At::new);
            let beyond = At::new(high.get().next_up());
            if let Some(last) = self.before(until.min(beyond)).filter(|m| m.id != first.id) {
                visit(last);
            }
            let Some(mark) = mark else { return };
            from = mark;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn queued_message(due: f64, seq: u64) -> QueuedMessage {
        QueuedMessage { due: At::new(due), seq, id: seq, born: At::new(0.0) }
    }

    /// With an order that rises or falls between marks, the foremost is always among the ends.
    #[test]
    fn the_foremost_of_a_piecewise_order_is_among_the_ends() {
        let mut rng = fastrand::Rng::with_seed(5);
        for round in 0..2000 {
            let mut sub_queue = SubQueue::default();
            let members: Vec<QueuedMessage> =
                (0..rng.u64(0..40)).map(|seq| queued_message(rng.u32(0..60) as f64, seq)).collect();
            members.iter().for_each(|m| sub_queue.put(*m, true));
            let mut marks: Vec<f64> = (0..rng.usize(0..5)).map(|_| rng.u32(0..60) as f64).collect();
            marks.sort_by(f64::total_cmp);
            let slopes: Vec<f64> = (0..6).map(|_| f64::from(rng.i32(-1..=1))).collect();
            let level = |due: f64| {
                let span = marks.iter().filter(|m| **m <= due).count();
                100.0 * slopes[5 - span.min(5)] + slopes[span] * due
            };
            let (low, high) = (rng.u32(0..30) as f64, rng.u32(20..70) as f64);
            let foremost = |it: &mut dyn Iterator<Item = QueuedMessage>| {
                it.map(|m| (At::new(-level(m.due.get())), m.due, m.seq)).min()
            };
            let mut ends = Vec::new();
            sub_queue.ends(low, high, &marks, &mut |m| ends.push(m));
            let inside = members.iter().filter(|m| (low..=high).contains(&m.due.get()));
            let best = foremost(&mut inside.copied());
            assert_eq!(foremost(&mut ends.iter().copied()), best, "round {round}");
            assert!(ends.len() <= 2 * (marks.len() + 1));
        }
    }

    #[test]
    fn what_is_held_back_is_not_offered_but_counts_as_the_last() {
        let mut sub_queue = SubQueue::default();
        sub_queue.put(queued_message(1.0, 1), true);
        sub_queue.put(queued_message(2.0, 2), false);
        let mut ends = Vec::new();
        sub_queue.ends(0.0, 9.0, &[], &mut |m| ends.push(m.seq));
        assert_eq!((ends, sub_queue.last().map(|m| m.seq)), (vec![1], Some(2)));
        sub_queue.take(queued_message(2.0, 2));
        sub_queue.take(queued_message(1.0, 1));
        assert!(sub_queue.is_empty() && sub_queue.from(0.0).is_none());
    }
}
