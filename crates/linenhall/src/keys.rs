//! Order keys of classes that keep an order: which message of a key is next, and until when a key is paused.

use crate::fleet::Name;
use crate::index::ordered_index::OrderedIndex;
use crate::index::table::Table;
use crate::index::OrderedF64;
use std::collections::{BTreeMap, BTreeSet};

/// The messages of one key.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    /// Place in the order of arrival and id of each unfinished message.
    queue: BTreeSet<(u64, u64)>,
    /// No other message of the key is sent before this time.
    paused_until: f64,
    /// The message whose attempt may still be running; the pause does not apply to it.
    paused_by: u64,
}

/// The queues of all keys. A key without messages is forgotten when its pause ends.
#[derive(Clone, Debug, Default)]
pub struct OrderKeys {
    keys: Table<Name, KeyQueue>,
    /// Keys without messages, by the end of their pause.
    pause_ends: OrderedIndex<OrderedF64, Name>,
    /// Messages that were given up and whose senders have not received the answer: key, place, and whether
    /// nothing of them is in flight any more. There are as many as answers without a confirmation.
    unconfirmed: BTreeMap<u64, (Name, u64, bool)>,
}

impl OrderKeys {
    /// Adds a message to the queue of its key, if it has one.
    pub fn enqueue(&mut self, key: &Option<Name>, seq: u64, id: u64) {
        if let Some(key) = key {
            self.keys.or_insert_with(key.clone(), KeyQueue::default).queue.insert((seq, id));
        }
    }

    /// Records that a message was given up: it keeps its place until [`OrderKeys::confirm`].
    pub fn await_confirmation(&mut self, key: &Option<Name>, seq: u64, id: u64) {
        key.iter().for_each(|key| _ = self.unconfirmed.insert(id, (key.clone(), seq, false)));
    }

    /// Records that the answer to a message that was given up has reached its sender. Returns the message
    /// that is next in the queue of its key now.
    pub fn confirm(&mut self, id: u64, now: f64) -> Option<u64> {
        let (key, seq, finished) = self.unconfirmed.remove(&id)?;
        if finished {
            self.remove(key, seq, id, now)
        } else {
            None
        }
    }

    /// Removes a finished message. Returns the message that is next in the queue of its key now.
    pub fn remove(&mut self, key: Name, seq: u64, id: u64, now: f64) -> Option<u64> {
        if let Some(unconfirmed) = self.unconfirmed.get_mut(&id) {
            unconfirmed.2 = true;
            return None;
        }
        let entry = self.keys.get_mut(&key)?;
        entry.queue.remove(&(seq, id));
        let next = entry.queue.first().map(|x| x.1);
        if next.is_none() && entry.paused_until > now {
            self.pause_ends.set(key, OrderedF64::new(entry.paused_until));
        } else if next.is_none() {
            self.keys.remove(&key);
        }
        next
    }

    /// Pauses a key for all messages but this one, whose attempt may run until then. Returns the next message
    /// in the queue.
    pub fn pause(&mut self, key: &Name, id: u64, until: f64) -> Option<u64> {
        let entry = self.keys.get_mut(key)?;
        (entry.paused_until, entry.paused_by) = (until, id);
        entry.queue.first().map(|x| x.1)
    }

    /// Pauses a key for all messages, as an earlier process did.
    pub fn restore_pause(&mut self, key: &Name, until: f64) {
        let entry = self.keys.or_insert_with(key.clone(), KeyQueue::default);
        entry.paused_until = entry.paused_until.max(until);
        if entry.queue.is_empty() {
            self.pause_ends.set(key.clone(), OrderedF64::new(entry.paused_until));
        }
    }

    /// Returns from when on a message's key lets it be sent; [`f64::MAX`]: not before an earlier message is
    /// finished.
    pub fn sendable_at(&self, key: &Name, seq: u64, id: u64) -> f64 {
        match self.keys.get(key) {
            Some(entry) if entry.queue.first() != Some(&(seq, id)) => f64::MAX,
            Some(entry) if entry.paused_by != id => entry.paused_until,
            _ => 0.0,
        }
    }

    /// Forgets keys whose pause is over and that have no messages.
    pub fn forget_expired(&mut self, now: f64) {
        while let Some(key) = self.pause_ends.pop_due(now) {
            if self.keys.get(&key).is_some_and(|entry| entry.queue.is_empty() && entry.paused_until <= now) {
                self.keys.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn releases_one_message_at_a_time_and_none_while_key_is_paused() {
        let (mut keys, key) = (OrderKeys::default(), Name::from("k"));
        [(1, 10), (2, 20), (3, 30)]
            .into_iter()
            .for_each(|(seq, id)| keys.enqueue(&Some(key.clone()), seq, id));
        assert_eq!([keys.sendable_at(&key, 1, 10), keys.sendable_at(&key, 2, 20)], [0.0, f64::MAX]);
        assert_eq!(keys.pause(&key, 10, 500.0), Some(10));
        assert_eq!(
            keys.sendable_at(&key, 1, 10),
            0.0,
            "the message whose attempt caused the pause is not paused"
        );
        assert_eq!(keys.remove(key.clone(), 1, 10, 100.0), Some(20));
        assert_eq!(keys.sendable_at(&key, 2, 20), 500.0);
        assert_eq!(
            keys.remove(key.clone(), 3, 30, 100.0),
            Some(20),
            "removing a message from the middle keeps the head"
        );
    }

    #[test]
    fn given_up_message_blocks_its_key_until_confirmed() {
        let (mut keys, name) = (OrderKeys::default(), Name::from("k"));
        let key = Some(name.clone());
        [(1, 10), (2, 20), (3, 30)].into_iter().for_each(|(seq, id)| keys.enqueue(&key, seq, id));
        keys.await_confirmation(&key, 1, 10);
        assert_eq!(keys.remove(name.clone(), 1, 10, 0.0), None);
        assert_eq!(keys.sendable_at(&name, 2, 20), f64::MAX, "its final answer is not confirmed yet");
        assert_eq!(keys.confirm(10, 5.0), Some(20));
        assert_eq!(keys.sendable_at(&name, 2, 20), 0.0);
        // The confirmation arrives while a call is in flight: the end of that call is awaited as well.
        keys.await_confirmation(&key, 2, 20);
        assert_eq!(keys.confirm(20, 6.0), None);
        assert_eq!(keys.sendable_at(&name, 3, 30), f64::MAX, "a call is still in flight");
        assert_eq!(keys.remove(name.clone(), 2, 20, 7.0), Some(30));
        assert_eq!(keys.confirm(20, 8.0), None, "confirmed twice");
        assert_eq!((keys.remove(name, 3, 30, 9.0), keys.keys.len(), keys.unconfirmed.len()), (None, 0, 0));
    }

    #[test]
    fn forgets_key_when_its_pause_ends() {
        let (mut keys, key) = (OrderKeys::default(), Name::from("k"));
        keys.enqueue(&Some(key.clone()), 1, 10);
        keys.pause(&key, 10, 500.0);
        assert_eq!(keys.remove(key.clone(), 1, 10, 100.0), None);
        keys.forget_expired(499.0);
        keys.enqueue(&Some(key.clone()), 2, 20);
        assert_eq!(keys.sendable_at(&key, 2, 20), 500.0, "a pause holds for messages that arrive later");
        assert_eq!(keys.remove(key.clone(), 2, 20, 499.5), None);
        keys.forget_expired(500.0);
        assert_eq!(keys.keys.len(), 0);
    }
}
