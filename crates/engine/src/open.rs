//! Messages that are owed an end, or of which an attempt is still out.

use bytes::Bytes;
use std::collections::HashMap;

/// An attempt that is out.
pub struct Out {
    pub attempt: u32,
    /// Its first byte may have gone out.
    pub begun: bool,
    pub called_off: bool,
    /// It must have begun by then.
    pub begin_by: f64,
}

pub struct Open<R> {
    pub call_id: String,
    /// Index of its class; beyond all where an earlier process knew it by another name.
    pub class: usize,
    pub idempotency_key: Option<Bytes>,
    pub body: Bytes,
    pub destination: u64,
    pub due: f64,
    /// It goes in order with others of its key: the module is told when its end has reached its sender.
    pub in_order: bool,
    /// Made so far: the next one has this number.
    pub attempts: u32,
    pub out: Vec<Out>,
    /// An attempt may have run.
    pub may_have_run: bool,
    /// Delivered, withdrawn or given up: the module is done with it.
    pub over: bool,
    /// Its final answer is to be confirmed.
    pub unconfirmed: bool,
    /// What the last attempt with an answer brought.
    pub last: Option<R>,
}

/// All of them, by the engine's number and by their senders' ids, and how many are how far.
pub struct Ledger<R> {
    open: HashMap<u64, Open<R>>,
    by_call_id: HashMap<String, u64>,
    /// Not over.
    owed: usize,
    unconfirmed: usize,
    next_id: u64,
}

impl<R> Default for Ledger<R> {
    fn default() -> Ledger<R> {
        Ledger { open: HashMap::new(), by_call_id: HashMap::new(), owed: 0, unconfirmed: 0, next_id: 1 }
    }
}

impl<R> Ledger<R> {
    /// A number for a new one.
    pub fn number(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Numbers up to this one are in use.
    pub fn used(&mut self, id: u64) {
        self.next_id = self.next_id.max(id.saturating_add(1));
    }

    pub fn insert(&mut self, id: u64, open: Open<R>) {
        self.by_call_id.insert(open.call_id.clone(), id);
        self.owed += usize::from(!open.over);
        self.unconfirmed += usize::from(open.unconfirmed);
        self.open.insert(id, open);
    }

    pub fn get(&self, id: u64) -> Option<&Open<R>> {
        self.open.get(&id)
    }

    /// Whether it is over and whether it is to be confirmed are not for the caller to change.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut Open<R>> {
        self.open.get_mut(&id)
    }

    /// Attempts that are out and have begun: message and number.
    pub fn out(&self) -> Vec<(u64, u32)> {
        let begun = |(id, open): (&u64, &Open<R>)| {
            let begun = open.out.iter().filter(|x| x.begun).map(|x| x.attempt);
            begun.map(|attempt| (*id, attempt)).collect::<Vec<_>>()
        };
        self.open.iter().flat_map(begun).collect()
    }

    pub fn known(&self, call_id: &str) -> Option<u64> {
        self.by_call_id.get(call_id).copied()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn owed(&self) -> usize {
        self.owed
    }

    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed
    }

    /// The module is done with it. It is not sent again, and a confirmation may take long.
    pub fn over(&mut self, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            self.owed -= usize::from(!std::mem::replace(&mut open.over, true));
            open.body = Bytes::new();
        }
    }

    pub fn set_unconfirmed(&mut self, id: u64, yet: bool) {
        if let Some(open) = self.open.get_mut(&id) {
            self.unconfirmed -= usize::from(std::mem::replace(&mut open.unconfirmed, yet));
            self.unconfirmed += usize::from(yet);
        }
    }

    pub fn remove(&mut self, id: u64) {
        if let Some(open) = self.open.remove(&id) {
            self.owed -= usize::from(!open.over);
            self.unconfirmed -= usize::from(open.unconfirmed);
            self.by_call_id.remove(&open.call_id);
        }
    }

    pub fn remove_if_done(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(|o| o.over && !o.unconfirmed && o.out.is_empty()) {
            self.remove(id);
        }
    }
}
