//! The ids of messages that ended lately, may have run, and must not run again. A sender that comes with such an
//! id again is told how the message ended.

use mulleinslip_journal::{EndedMessage, ENDED_RETENTION_MS};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Maximum number of ids; the oldest are dropped. An id has at most a few hundred bytes.
const MAX_ENDED: usize = 4096;

/// The ids, with how each message ended.
#[derive(Default)]
pub struct EndedMessages {
    /// Whether the message was delivered, by id.
    delivered_by_id: HashMap<Rc<str>, bool>,
    /// Time of each end, the oldest first.
    ends: VecDeque<(f64, Rc<str>)>,
}

impl EndedMessages {
    /// Adds a message. Ends are added in the order of their times.
    pub fn add(&mut self, message: &EndedMessage) {
        self.drop_expired(message.at);
        let id: Rc<str> = message.call_id.as_str().into();
        if self.delivered_by_id.insert(id.clone(), message.delivered).is_none() {
            self.ends.push_back((message.at, id));
        }
        while self.ends.len() > MAX_ENDED {
            self.drop_oldest();
        }
    }

    /// Returns whether the message of this id was delivered; `None` if none is remembered.
    pub fn find(&mut self, call_id: &str, now: f64) -> Option<bool> {
        self.drop_expired(now);
        self.delivered_by_id.get(call_id).copied()
    }

    fn drop_expired(&mut self, now: f64) {
        while self.ends.front().is_some_and(|(at, _)| at + ENDED_RETENTION_MS <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.ends.pop_front() {
            self.delivered_by_id.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ended(call_id: &str, at: f64) -> EndedMessage {
        EndedMessage { call_id: call_id.into(), delivered: true, at }
    }

    /// Guards against a table that grows with every message, and against ids that are dropped too early.
    #[test]
    fn ids_are_dropped_after_their_time_and_beyond_the_maximum() {
        let mut messages = EndedMessages::default();
        messages.add(&ended("a", 0.0));
        assert_eq!(messages.find("a", ENDED_RETENTION_MS - 1.0), Some(true));
        assert_eq!(messages.find("a", ENDED_RETENTION_MS), None);
        (0..3 * MAX_ENDED).for_each(|n| messages.add(&ended(&n.to_string(), 1.0)));
        assert_eq!((messages.ends.len(), messages.delivered_by_id.len()), (MAX_ENDED, MAX_ENDED));
        assert_eq!(messages.find(&(3 * MAX_ENDED - 1).to_string(), 2.0), Some(true));
    }
}
