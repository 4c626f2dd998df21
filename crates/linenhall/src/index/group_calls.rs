//! Calls in flight of one endpoint group, in sets within which the oldest call is the first to become
//! overdue.

use super::OrderedF64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What decides, besides the time of sending, how long a call is given.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKind {
    /// The endpoint that it went to.
    pub endpoint: Arc<str>,
    /// The aim of its first message.
    pub aim_ms: OrderedF64,
    /// Whether it is a half-open trial.
    pub trial: bool,
    /// Whether it carries an unsafe message.
    pub carries_unsafe: bool,
}

/// The calls in flight by kind, each kind by the time of sending.
#[derive(Clone, Debug, Default)]
pub struct GroupCalls(BTreeMap<CallKind, BTreeSet<(OrderedF64, u64)>>);

impl GroupCalls {
    /// Adds a call.
    pub fn insert(&mut self, kind: CallKind, sent_at: f64, call: u64) {
        self.0.entry(kind).or_default().insert((OrderedF64::new(sent_at), call));
    }

    /// Removes a call that ended.
    pub fn remove(&mut self, kind: &CallKind, sent_at: f64, call: u64) {
        if let Some(calls) = self.0.get_mut(kind) {
            calls.remove(&(OrderedF64::new(sent_at), call));
            if calls.is_empty() {
                self.0.remove(kind);
            }
        }
    }

    /// Whether a call is in flight.
    pub fn contains(&self, kind: &CallKind, sent_at: f64, call: u64) -> bool {
        self.0.get(kind).is_some_and(|calls| calls.contains(&(OrderedF64::new(sent_at), call)))
    }

    /// Returns the call of each kind that was sent first.
    pub fn oldest(&self) -> impl Iterator<Item = (&CallKind, f64, u64)> {
        self.0.iter().filter_map(|(kind, calls)| calls.first().map(|(at, call)| (kind, at.get(), *call)))
    }

    /// Returns the first `count` calls of each kind that were sent after `since`.
    pub fn after(&self, since: f64, count: usize) -> impl Iterator<Item = (&CallKind, f64, u64)> {
        self.0.iter().flat_map(move |(kind, calls)| {
            let later = calls.range((OrderedF64::new(since), u64::MAX)..).take(count);
            later.map(move |(at, call)| (kind, at.get(), *call))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lists_oldest_and_later_calls_of_each_kind() {
        let kind = |endpoint: &str| CallKind {
            endpoint: endpoint.into(),
            aim_ms: OrderedF64::new(9.0),
            trial: false,
            carries_unsafe: false,
        };
        let mut calls = GroupCalls::default();
        [(1.0, 1), (2.0, 2), (2.0, 3), (4.0, 4)]
            .into_iter()
            .for_each(|(t, id)| calls.insert(kind("a"), t, id));
        calls.insert(kind("b"), 3.0, 5);
        let ids = |it: &mut dyn Iterator<Item = (&CallKind, f64, u64)>| it.map(|x| x.2).collect::<Vec<_>>();
        assert_eq!(ids(&mut calls.oldest()), [1, 5]);
        assert_eq!(ids(&mut calls.after(1.0, 2)), [2, 3, 5]);
        assert_eq!(
            ids(&mut calls.after(2.0, 2)),
            [4, 5],
            "calls sent exactly at the given time are excluded"
        );
        calls.remove(&kind("a"), 1.0, 1);
        calls.remove(&kind("b"), 3.0, 5);
        calls.remove(&kind("b"), 3.0, 5);
        assert_eq!(ids(&mut calls.oldest()), [2]);
    }
}
