//! Pool of idle connections, by host and by age. It does no I/O: the owner decides what a connection is and
//! checks whether it is still usable.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Instant;

/// Times of an idle connection, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleTimes {
    /// When it became idle.
    pub since: Instant,
    /// From when on it may be used again.
    pub rested_at: Instant,
    /// From when on it is preferred to connections that have rested for a shorter time.
    pub preferred_at: Instant,
}

/// A connection in the pool.
struct IdleConnection<C> {
    host: Rc<str>,
    times: IdleTimes,
    conn: C,
}

/// Pool of idle connections. Operations on one connection cost O(log n) in the number of idle connections and
/// O(m) in the number of connections of its host that have not rested.
pub struct IdlePool<C> {
    /// Connections by a number that counts up, so the oldest comes first.
    by_age: BTreeMap<u64, IdleConnection<C>>,
    /// The numbers of each host's connections, the oldest first.
    by_host: HashMap<Rc<str>, VecDeque<u64>>,
    next_number: u64,
}

impl<C> Default for IdlePool<C> {
    fn default() -> IdlePool<C> {
        IdlePool { by_age: BTreeMap::new(), by_host: HashMap::new(), next_number: 0 }
    }
}

impl<C> IdlePool<C> {
    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Adds a connection.
    pub fn insert(&mut self, host: &str, times: IdleTimes, conn: C) {
        let number = self.next_number;
        self.next_number += 1;
        let host = match self.by_host.get_key_value(host) {
            Some((host, _)) => host.clone(),
            None => Rc::from(host),
        };
        self.by_host.entry(host.clone()).or_default().push_back(number);
        self.by_age.insert(number, IdleConnection { host, times, conn });
    }

    /// Takes the host's newest connection of those that are preferred at `now`, or else of those that have
    /// rested, and the time since which it is idle. The host's entry stays for later insertions.
    pub fn take_newest(&mut self, host: &str, now: Instant) -> Option<(Instant, C)> {
        let by_age = &self.by_age;
        let numbers = self.by_host.get_mut(host)?;
        let newest = |from: fn(&IdleTimes) -> Instant| {
            numbers.iter().rposition(|number| by_age.get(number).is_some_and(|c| from(&c.times) <= now))
        };
        let index = newest(|times| times.preferred_at).or_else(|| newest(|times| times.rested_at))?;
        let number = numbers.remove(index)?;
        self.by_age.remove(&number).map(|connection| (connection.times.since, connection.conn))
    }

    /// Takes the connection that has been idle for longest of those that `may_take` accepts, with its host and
    /// the time since which it is idle.
    pub fn take_oldest(&mut self, may_take: impl Fn(IdleTimes, &C) -> bool) -> Option<(Rc<str>, Instant, C)> {
        let accepted =
            self.by_age.iter().find(|(_, connection)| may_take(connection.times, &connection.conn));
        let number = *accepted?.0;
        self.take(number)
    }

    /// Drops the connection that has been idle for longest; returns whether there was one.
    pub fn drop_oldest(&mut self) -> bool {
        let oldest = self.by_age.keys().next().copied();
        oldest.and_then(|number| self.take(number)).is_some()
    }

    /// Drops the connections of a host for which `keep` returns false.
    pub fn retain_of_host(&mut self, host: &str, mut keep: impl FnMut(&mut C) -> bool) {
        let Some(numbers) = self.by_host.get_mut(host) else { return };
        let by_age = &mut self.by_age;
        numbers.retain(|number| {
            let kept = by_age.get_mut(number).is_some_and(|connection| keep(&mut connection.conn));
            if !kept {
                by_age.remove(number);
            }
            kept
        });
        if numbers.is_empty() {
            self.by_host.remove(host);
        }
    }

    /// Drops the connections for which `keep` returns false, and the entries of hosts without connections.
    pub fn retain(&mut self, mut keep: impl FnMut(&str, IdleTimes, &mut C) -> bool) {
        let expired = self
            .by_age
            .iter_mut()
            .filter_map(|(number, c)| (!keep(&c.host, c.times, &mut c.conn)).then_some(*number));
        for number in expired.collect::<Vec<_>>() {
            self.take(number);
        }
        self.by_host.retain(|_, numbers| !numbers.is_empty());
    }

    /// Takes a connection by its number.
    fn take(&mut self, number: u64) -> Option<(Rc<str>, Instant, C)> {
        let connection = self.by_age.remove(&number)?;
        if let Some(numbers) = self.by_host.get_mut(&connection.host) {
            if let Ok(index) = numbers.binary_search(&number) {
                numbers.remove(index);
            }
        }
        Some((connection.host, connection.times.since, connection.conn))
    }
}

#[cfg(test)]
mod tests;
