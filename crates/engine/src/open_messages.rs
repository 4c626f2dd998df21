//! Open messages: those without a confirmed final answer, and those with an attempt still in flight.

use bytes::Bytes;
use std::collections::HashMap;

pub struct AttemptInFlight {
    pub attempt: u32,
    /// Whether its first byte may have been sent.
    pub begun: bool,
    pub cancelled: bool,
    /// The time before which it must have begun.
    pub begin_by: f64,
}

pub struct OpenMessage<R> {
    pub call_id: String,
    /// Index of its class, or `usize::MAX` if the message is of an earlier process and its class is not
    /// configured now.
    pub class: usize,
    pub idempotency_key: Option<Bytes>,
    pub body: Bytes,
    pub destination: u64,
    pub due: f64,
    /// Whether it has an order key: the module is then told when its final answer has been confirmed.
    pub in_order: bool,
    /// Attempts so far, which is the number of the next one.
    pub attempts: u32,
    pub in_flight: Vec<AttemptInFlight>,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Delivered, withdrawn or given up: the module has no further part in it.
    pub finished: bool,
    /// Whether its final answer still has to be confirmed.
    pub unconfirmed: bool,
    /// Delivered, and the delivery still has to be verified.
    pub unverified: bool,
    /// The response to the last attempt that got one.
    pub last_response: Option<R>,
}

impl<R> OpenMessage<R> {
    /// Returns whether an attempt may have run or may still run.
    pub fn may_run(&self) -> bool {
        self.may_have_run || self.in_flight.iter().any(|attempt| attempt.begun)
    }

    /// Returns whether nothing more has to be done for it.
    fn is_done(&self) -> bool {
        self.finished && !self.unconfirmed && !self.unverified && self.in_flight.is_empty()
    }
}

/// All open messages, by the engine's number and by the senders' ids, with counts by state.
pub struct OpenMessages<R> {
    by_id: HashMap<u64, OpenMessage<R>>,
    by_call_id: HashMap<String, u64>,
    /// Messages that are not finished.
    pending: usize,
    unconfirmed: usize,
    next_id: u64,
}

impl<R> Default for OpenMessages<R> {
    fn default() -> OpenMessages<R> {
        OpenMessages {
            by_id: HashMap::new(),
            by_call_id: HashMap::new(),
            pending: 0,
            unconfirmed: 0,
            next_id: 1,
        }
    }
}

impl<R> OpenMessages<R> {
    /// Returns a number for a new message.
    pub fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Marks all numbers up to `id` as used.
    pub fn mark_used(&mut self, id: u64) {
        self.next_id = self.next_id.max(id.saturating_add(1));
    }

    pub fn insert(&mut self, id: u64, message: OpenMessage<R>) {
        self.by_call_id.insert(message.call_id.clone(), id);
        self.pending += usize::from(!message.finished);
        self.unconfirmed += usize::from(message.unconfirmed);
        self.by_id.insert(id, message);
    }

    pub fn get(&self, id: u64) -> Option<&OpenMessage<R>> {
        self.by_id.get(&id)
    }

    /// The caller must not change `finished` and `unconfirmed`: the counts depend on them.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut OpenMessage<R>> {
        self.by_id.get_mut(&id)
    }

    /// Returns the attempts in flight that have begun, as message and attempt number.
    pub fn begun_attempts(&self) -> Vec<(u64, u32)> {
        let begun = |(id, message): (&u64, &OpenMessage<R>)| {
            let begun = message.in_flight.iter().filter(|x| x.begun).map(|x| x.attempt);
            begun.map(|attempt| (*id, attempt)).collect::<Vec<_>>()
        };
        self.by_id.iter().flat_map(begun).collect()
    }

    pub fn find(&self, call_id: &str) -> Option<u64> {
        self.by_call_id.get(call_id).copied()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub fn pending(&self) -> usize {
        self.pending
    }

    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed
    }

    /// Marks a message as finished and drops its body: it is not sent again, and its confirmation may take
    /// long.
    pub fn finish(&mut self, id: u64) {
        if let Some(message) = self.by_id.get_mut(&id) {
            self.pending -= usize::from(!std::mem::replace(&mut message.finished, true));
            message.body = Bytes::new();
        }
    }

    pub fn set_unconfirmed(&mut self, id: u64, unconfirmed: bool) {
        if let Some(message) = self.by_id.get_mut(&id) {
            self.unconfirmed -= usize::from(std::mem::replace(&mut message.unconfirmed, unconfirmed));
            self.unconfirmed += usize::from(unconfirmed);
        }
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(message) = self.by_id.remove(&id) {
            self.pending -= usize::from(!message.finished);
            self.unconfirmed -= usize::from(message.unconfirmed);
            self.by_call_id.remove(&message.call_id);
        }
    }

    pub fn remove_if_done(&mut self, id: u64) {
        if self.by_id.get(&id).is_some_and(OpenMessage::is_done) {
            self.remove(id);
        }
    }
}
