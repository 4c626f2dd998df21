//! Keys of classes in order: who is next in the line of each, and until when a key rests.

use crate::fleet::Name;
use crate::index::agenda::Agenda;
use crate::index::table::Table;
use crate::index::At;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
struct Key {
    /// In the order of arrival: place and id.
    line: BTreeSet<(u64, u64)>,
    rest: f64,
    last: u64,
}

/// The lines of all keys. A key that nothing waits for is forgotten when its rest is over.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    keys: Table<Name, Key>,
    rests: Agenda<At, Name>,
    /// Given up, and their ends have not reached their senders: key, place, and whether nothing of them is out any more.
    /// As many as there are ends without a confirmation.
    untold: BTreeMap<u64, (Name, u64, bool)>,
}

impl Keys {
    /// A request joins the line of its key, if it has one.
    pub fn queue(&mut self, key: &Option<Name>, seq: u64, id: u64) {
        if let Some(key) = key {
            self.keys.or_insert_with(key.clone(), Key::default).line.insert((seq, id));
        }
    }

    /// A request is given up: it keeps its place until [`Keys::told`].
    pub fn owe(&mut self, key: &Option<Name>, seq: u64, id: u64) {
        key.iter().for_each(|key| _ = self.untold.insert(id, (key.clone(), seq, false)));
    }

    /// The end of a request that was given up has reached its sender. Gives the one that is next in its line now.
    pub fn told(&mut self, id: u64, now: f64) -> Option<u64> {
        let (key, seq, over) = self.untold.remove(&id)?;
        if over {
            self.leave(key, seq, id, now)
        } else {
            None
        }
    }

    /// A request is over. Gives the one that is next in its line now.
    pub fn leave(&mut self, key: Name, seq: u64, id: u64, now: f64) -> Option<u64> {
        if let Some(untold) = self.untold.get_mut(&id) {
            untold.2 = true;
            return None;
        }
        let k = self.keys.get_mut(&key)?;
        k.line.remove(&(seq, id));
        let next = k.line.first().map(|x| x.1);
        if next.is_none() && k.rest > now {
            self.rests.set(key, At::new(k.rest));
        } else if next.is_none() {
            self.keys.remove(&key);
        }
        next
    }

    /// An attempt of a request may run until then: others of its key rest. Gives the next in line.
    pub fn rest(&mut self, key: &Name, id: u64, until: f64) -> Option<u64> {
        let k = self.keys.get_mut(key)?;
        (k.rest, k.last) = (until, id);
        k.line.first().map(|x| x.1)
    }

    /// From when on a request's key lets it go; [`f64::MAX`]: not before one that is ahead of it is over.
    pub fn free_at(&self, key: &Name, seq: u64, id: u64) -> f64 {
        match self.keys.get(key) {
            Some(k) if k.line.first() != Some(&(seq, id)) => f64::MAX,
            Some(k) if k.last != id => k.rest,
            _ => 0.0,
        }
    }

    /// Forgets keys whose rest is over and that nothing waits for.
    pub fn forget(&mut self, now: f64) {
        while let Some(key) = self.rests.pop_due(now) {
            if self.keys.get(&key).is_some_and(|k| k.line.is_empty() && k.rest <= now) {
                self.keys.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_at_a_time_in_order_and_none_while_the_key_rests() {
        let (mut keys, key) = (Keys::default(), Name::from("k"));
        [(1, 10), (2, 20), (3, 30)].into_iter().for_each(|(seq, id)| keys.queue(&Some(key.clone()), seq, id));
        assert_eq!([keys.free_at(&key, 1, 10), keys.free_at(&key, 2, 20)], [0.0, f64::MAX]);
        assert_eq!(keys.rest(&key, 10, 500.0), Some(10));
        assert_eq!(keys.free_at(&key, 1, 10), 0.0, "the one whose attempt it was");
        assert_eq!(keys.leave(key.clone(), 1, 10, 100.0), Some(20));
        assert_eq!(keys.free_at(&key, 2, 20), 500.0);
        assert_eq!(keys.leave(key.clone(), 3, 30, 100.0), Some(20), "from the middle");
    }

    #[test]
    fn what_is_given_up_keeps_its_place_until_its_sender_has_heard() {
        let (mut keys, name) = (Keys::default(), Name::from("k"));
        let key = Some(name.clone());
        [(1, 10), (2, 20), (3, 30)].into_iter().for_each(|(seq, id)| keys.queue(&key, seq, id));
        keys.owe(&key, 1, 10);
        assert_eq!(keys.leave(name.clone(), 1, 10, 0.0), None);
        assert_eq!(keys.free_at(&name, 2, 20), f64::MAX, "its end is owed yet");
        assert_eq!(keys.told(10, 5.0), Some(20));
        assert_eq!(keys.free_at(&name, 2, 20), 0.0);
        // Its sender hears while a call of it is out yet: then that is waited for.
        keys.owe(&key, 2, 20);
        assert_eq!(keys.told(20, 6.0), None);
        assert_eq!(keys.free_at(&name, 3, 30), f64::MAX, "a call is out yet");
        assert_eq!(keys.leave(name.clone(), 2, 20, 7.0), Some(30));
        assert_eq!(keys.told(20, 8.0), None, "told twice");
        assert_eq!((keys.leave(name, 3, 30, 9.0), keys.keys.len(), keys.untold.len()), (None, 0, 0));
    }

    #[test]
    fn a_key_is_remembered_for_its_rest_and_no_longer() {
        let (mut keys, key) = (Keys::default(), Name::from("k"));
        keys.queue(&Some(key.clone()), 1, 10);
        keys.rest(&key, 10, 500.0);
        assert_eq!(keys.leave(key.clone(), 1, 10, 100.0), None);
        keys.forget(499.0);
        keys.queue(&Some(key.clone()), 2, 20);
        assert_eq!(keys.free_at(&key, 2, 20), 500.0, "a rest binds what comes after it");
        assert_eq!(keys.leave(key.clone(), 2, 20, 499.5), None);
        keys.forget(500.0);
        assert_eq!(keys.keys.len(), 0);
    }
}
