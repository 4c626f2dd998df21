//! The queued messages of one destination that differ only in their times: same class, same tenant.

use super::OrderedF64;
use std::collections::BTreeSet;
use std::ops::Bound;

/// A queued message: the time until which it may be delivered, its place in the order of arrival, its id, and
/// the time since which it ages. Everything that ranks it is stored here, so that ranking does not load the
/// message itself, which is seldom in a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedMessage {
    pub due: OrderedF64,
    pub seq: u64,
    pub id: u64,
    pub arrived_at: OrderedF64,
}

impl QueuedMessage {
    /// Returns an entry that sorts before all that are due at this time.
    fn lower_bound(due: OrderedF64) -> QueuedMessage {
        QueuedMessage { due, seq: 0, id: 0, arrived_at: OrderedF64::new(f64::NEG_INFINITY) }
    }
}

/// Messages by due time: those that may be sent, and those that their own state blocks.
#[derive(Clone, Debug, Default)]
pub struct SubQueue {
    ready: BTreeSet<QueuedMessage>,
    blocked: BTreeSet<QueuedMessage>,
}

impl SubQueue {
    /// Adds a message.
    pub fn insert(&mut self, queued_message: QueuedMessage, ready: bool) {
        if ready { &mut self.ready } else { &mut self.blocked }.insert(queued_message);
    }

    /// Removes a message.
    pub fn remove(&mut self, queued_message: QueuedMessage) {
        if !self.ready.remove(&queued_message) {
            self.blocked.remove(&queued_message);
        }
    }

    /// Whether there are no messages.
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.blocked.is_empty()
    }

    /// Returns whether a message may be sent; `None` if it is not here.
    pub fn readiness(&self, queued_message: &QueuedMessage) -> Option<bool> {
        let ready = self.ready.contains(queued_message);
        (ready || self.blocked.contains(queued_message)).then_some(ready)
    }

    /// Returns the message that is due first, ready or not; of several the oldest.
    pub fn first(&self) -> Option<QueuedMessage> {
        [self.ready.first(), self.blocked.first()].into_iter().flatten().min().copied()
    }

    /// Returns the message that is due last, ready or not; of several the youngest.
    pub fn last(&self) -> Option<QueuedMessage> {
        self.ready.last().max(self.blocked.last()).copied()
    }

    /// Returns the first ready message that is due at `from` or later.
    pub fn first_due_from(&self, from: f64) -> Option<QueuedMessage> {
        self.ready.range(QueuedMessage::lower_bound(OrderedF64::new(from))..).next().copied()
    }

    /// Returns the last ready message that is due before `until`; of those due at the same time the oldest.
    fn last_due_before(&self, until: OrderedF64) -> Option<QueuedMessage> {
        let end = QueuedMessage::lower_bound(until);
        let last = self.ready.range((Bound::Unbounded, Bound::Excluded(end))).next_back()?;
        self.ready.range(QueuedMessage::lower_bound(last.due)..).next().copied()
    }

    /// Visits the ready messages that can be the best one when the order within each span between two sorted
    /// `breakpoints` only rises or only falls with the due time: the ends of each span. Due times from
    /// `min_due` to `max_due`, both inclusive, count.
    pub fn visit_candidates(
        &self, min_due: f64, max_due: f64, breakpoints: &[f64], visit: &mut dyn FnMut(QueuedMessage),
    ) {
        let (mut from, max_due) = (min_due, OrderedF64::new(max_due));
        while let Some(first) = self.first_due_from(from).filter(|m| m.due <= max_due) {
            visit(first);
            let breakpoint =
                breakpoints.iter().copied().find(|breakpoint| OrderedF64::new(*breakpoint) > first.due);
            let until = breakpoint.map_or(OrderedF64::NEVER, OrderedF64::new);
            let beyond = OrderedF64::new(max_due.get().next_up());
            if let Some(last) = self.last_due_before(until.min(beyond)).filter(|m| m.id != first.id) {
                visit(last);
            }
            let Some(breakpoint) = breakpoint else { return };
            from = breakpoint;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn queued_message(due: f64, seq: u64) -> QueuedMessage {
        QueuedMessage { due: OrderedF64::new(due), seq, id: seq, arrived_at: OrderedF64::new(0.0) }
    }

    /// When the order rises or falls monotonically between breakpoints, the best message is always among the
    /// candidates.
    #[test]
    fn best_message_of_piecewise_monotonic_order_is_a_candidate() {
        let mut rng = fastrand::Rng::with_seed(5);
        for round in 0..2000 {
            let mut sub_queue = SubQueue::default();
            let messages: Vec<QueuedMessage> =
                (0..rng.u64(0..40)).map(|seq| queued_message(rng.u32(0..60) as f64, seq)).collect();
            messages.iter().for_each(|m| sub_queue.insert(*m, true));
            let mut breakpoints: Vec<f64> = (0..rng.usize(0..5)).map(|_| rng.u32(0..60) as f64).collect();
            breakpoints.sort_by(f64::total_cmp);
            let slopes: Vec<f64> = (0..6).map(|_| f64::from(rng.i32(-1..=1))).collect();
            let level = |due: f64| {
                let span = breakpoints.iter().filter(|m| **m <= due).count();
                100.0 * slopes[5 - span.min(5)] + slopes[span] * due
            };
            let (min_due, max_due) = (rng.u32(0..30) as f64, rng.u32(20..70) as f64);
            let best_of = |it: &mut dyn Iterator<Item = QueuedMessage>| {
                it.map(|m| (OrderedF64::new(-level(m.due.get())), m.due, m.seq)).min()
            };
            let mut candidates = Vec::new();
            sub_queue.visit_candidates(min_due, max_due, &breakpoints, &mut |m| candidates.push(m));
            let inside = messages.iter().filter(|m| (min_due..=max_due).contains(&m.due.get()));
            let best = best_of(&mut inside.copied());
            assert_eq!(best_of(&mut candidates.iter().copied()), best, "round {round}");
            assert!(candidates.len() <= 2 * (breakpoints.len() + 1));
        }
    }

    #[test]
    fn blocked_message_is_no_candidate_but_counts_as_last() {
        let mut sub_queue = SubQueue::default();
        sub_queue.insert(queued_message(1.0, 1), true);
        sub_queue.insert(queued_message(2.0, 2), false);
        let mut candidates = Vec::new();
        sub_queue.visit_candidates(0.0, 9.0, &[], &mut |m| candidates.push(m.seq));
        assert_eq!((candidates, sub_queue.last().map(|m| m.seq)), (vec![1], Some(2)));
        sub_queue.remove(queued_message(2.0, 2));
        sub_queue.remove(queued_message(1.0, 1));
        assert!(sub_queue.is_empty() && sub_queue.first_due_from(0.0).is_none());
    }
}
