//! Connections that stand idle, by host and by age. No I/O: what a connection is, and whether it still stands, is
//! its owner's matter.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Instant;

struct Kept<C> {
    host: Rc<str>,
    since: Instant,
    conn: C,
}

/// Each step costs the logarithm of what stands idle, however many hosts there are.
pub struct Idle<C> {
    /// Numbered as they came: the oldest first.
    all: BTreeMap<u64, Kept<C>>,
    /// Numbers of each host's, the oldest first.
    of: HashMap<Rc<str>, VecDeque<u64>>,
    next: u64,
}

impl<C> Default for Idle<C> {
    fn default() -> Idle<C> {
        Idle { all: BTreeMap::new(), of: HashMap::new(), next: 0 }
    }
}

impl<C> Idle<C> {
    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn keep(&mut self, host: &str, now: Instant, conn: C) {
        let number = self.next;
        self.next += 1;
        let host = match self.of.get_key_value(host) {
            Some((host, _)) => host.clone(),
            None => Rc::from(host),
        };
        self.of.entry(host.clone()).or_default().push_back(number);
        self.all.insert(number, Kept { host, since: now, conn });
    }

    /// The host's newest, and since when it stands idle. The host's own entry stays for the next one.
    pub fn take(&mut self, host: &str) -> Option<(Instant, C)> {
        let number = self.of.get_mut(host)?.pop_back()?;
        self.all.remove(&number).map(|kept| (kept.since, kept.conn))
    }

    /// The one that has stood idle for longest: its host, since when, itself.
    pub fn take_oldest(&mut self) -> Option<(Rc<str>, Instant, C)> {
        let (number, kept) = self.all.pop_first()?;
        self.unlist(&kept.host, number);
        Some((kept.host, kept.since, kept.conn))
    }

    /// Drops the one that has stood idle for longest.
    pub fn drop_oldest(&mut self) -> bool {
        self.take_oldest().is_some()
    }

    /// Drops all of a host's.
    pub fn drop_all(&mut self, host: &str) {
        for number in self.of.remove(host).unwrap_or_default() {
            self.all.remove(&number);
        }
    }

    /// Drops those that don't stay, and hosts without any.
    pub fn retain(&mut self, stays: impl Fn(Instant, &C) -> bool) {
        let go = self.all.iter().filter(|(_, k)| !stays(k.since, &k.conn)).map(|(n, _)| *n);
        for number in go.collect::<Vec<_>>() {
            if let Some(kept) = self.all.remove(&number) {
                self.unlist(&kept.host, number);
            }
        }
        self.of.retain(|_, numbers| !numbers.is_empty());
    }

    fn unlist(&mut self, host: &str, number: u64) {
        if let Some(numbers) = self.of.get_mut(host) {
            if let Ok(at) = numbers.binary_search(&number) {
                numbers.remove(at);
            }
        }
    }
}

#[cfg(test)]
mod tests;
