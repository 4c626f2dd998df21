//! A hash table that counts look-ups and walks.

use super::step;
use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// A map by key. It hashes with foldhash, which is seeded and made for short keys; one event looks up some
/// twenty of them. A look-up counts as one step, and a walk, in no particular order, as one step per row: a
/// walk that an event causes shows in the count of steps, however fast the machine is.
#[derive(Clone, Debug)]
pub struct Table<K, V>(HashMap<K, V, RandomState>);

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Table(HashMap::default())
    }
}

impl<K: Eq + Hash, V> Table<K, V> {
    /// Returns the row of a key.
    pub fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        step();
        self.0.get(key)
    }

    /// Returns the row of a key for changes.
    pub fn get_mut<Q: Eq + Hash + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        step();
        self.0.get_mut(key)
    }

    /// Whether the key has a row.
    pub fn contains_key<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        step();
        self.0.contains_key(key)
    }

    /// Returns the row of a key, created if it was missing.
    pub fn or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        step();
        self.0.entry(key).or_insert_with(make)
    }

    /// Sets a row and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        step();
        self.0.insert(key, value)
    }

    /// Removes a row. A table that was far larger before releases memory.
    pub fn remove<Q: Eq + Hash + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        step();
        let old = self.0.remove(key);
        if self.0.capacity() > 4096 && self.0.len() < self.0.capacity() / 16 {
            self.0.shrink_to(self.0.len() * 4);
        }
        old
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Iterates over all rows, in no order; each row is one step.
    pub fn walk(&self) -> impl Iterator<Item = (&K, &V)> {
        self.0.iter().inspect(|_| step())
    }

    /// Iterates over all rows for changes.
    pub fn walk_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.0.iter_mut().inspect(|_| step())
    }
}

#[cfg(test)]
mod tests {
    use super::super::step_count;
    use super::*;

    #[test]
    fn counts_one_step_per_lookup_and_per_row_walked() {
        let mut table = Table::default();
        for n in 0..1000 {
            table.insert(n, n);
        }
        let before = step_count();
        assert_eq!(table.get(&7), Some(&7));
        let cached_action = step_count() - before;
        assert_eq!(table.walk().count(), 1000);
        if cfg!(debug_assertions) {
            assert_eq!((cached_action, step_count() - before), (1, 1001));
        }
    }

    #[test]
    fn shrinks_after_most_rows_are_removed() {
        let mut table = Table::default();
        for n in 0..100_000 {
            table.insert(n, n);
        }
        let large = table.0.capacity();
        for n in 10..100_000 {
            table.remove(&n);
        }
        assert!(table.0.capacity() < large / 8);
        assert!((0..10).all(|n| table.get(&n) == Some(&n)) && table.len() == 10);
    }
}
