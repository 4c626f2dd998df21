//! Calls that are out on one lane, in sets within which the oldest outruns any patience first.

use super::At;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What decides, beside its time, how long a call is given.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Where it went.
    pub host: Arc<str>,
    /// The aim of its first message.
    pub aim: At,
    /// It is a trial.
    pub trial: bool,
    /// It carries an unsafe message.
    pub fragile: bool,
}

/// The calls out, by kind, each kind by the time of sending.
#[derive(Clone, Debug, Default)]
pub struct GroupCalls(BTreeMap<Kind, BTreeSet<(At, u64)>>);

impl GroupCalls {
    /// A call went out.
    pub fn put(&mut self, kind: Kind, sent: f64, call: u64) {
        self.0.entry(kind).or_default().insert((At::new(sent), call));
    }

    /// A call is over.
    pub fn take(&mut self, kind: &Kind, sent: f64, call: u64) {
        if let Some(calls) = self.0.get_mut(kind) {
            calls.remove(&(At::new(sent), call));
            if calls.is_empty() {
                self.0.remove(kind);
            }
        }
    }

    /// Whether a call is out.
    pub fn has(&self, kind: &Kind, sent: f64, call: u64) -> bool {
        self.0.get(kind).is_some_and(|calls| calls.contains(&(At::new(sent), call)))
    }

    /// Of each kind the call that was sent first.
    pub fn oldest(&self) -> impl Iterator<Item = (&Kind, f64, u64)> {
        self.0.iter().filter_map(|(kind, calls)| calls.first().map(|(at, call)| (kind, at.get(), *call)))
    }

    /// Of each kind the first `count` calls sent after `since`.
    pub fn after(&self, since: f64, count: usize) -> impl Iterator<Item = (&Kind, f64, u64)> {
        self.0.iter().flat_map(move |(kind, calls)| {
            let young = calls.range((At::new(since), u64::MAX)..).take(count);
            young.map(move |(at, call)| (kind, at.get(), *call))
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_and_the_young_of_each_kind() {
        let kind = |host: &str| Kind { host: host.into(), aim: At::new(9.0), trial: false, fragile: false };
        let mut calls = GroupCalls::default();
        [(1.0, 1), (2.0, 2), (2.0, 3), (4.0, 4)].into_iter().for_each(|(t, id)| calls.put(kind("a"), t, id));
        calls.put(kind("b"), 3.0, 5);
        let ids = |it: &mut dyn Iterator<Item = (&Kind, f64, u64)>| it.map(|x| x.2).collect::<Vec<_>>();
        assert_eq!(ids(&mut calls.oldest()), [1, 5]);
        assert_eq!(ids(&mut calls.after(1.0, 2)), [2, 3, 5]);
        assert_eq!(ids(&mut calls.after(2.0, 2)), [4, 5], "after, not at");
        calls.take(&kind("a"), 1.0, 1);
        calls.take(&kind("b"), 3.0, 5);
        calls.take(&kind("b"), 3.0, 5);
        assert_eq!(ids(&mut calls.oldest()), [2]);
    }
}
