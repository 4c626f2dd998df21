//! A hash table that counts its walks.

use super::step;
use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// A map by key. foldhash: seeded, and made for short keys, of which an event looks up some twenty; what it gains
/// alone was not measured. A look-up is one step; a walk, in no order, is a step a row: so a walk on the way of an event
/// shows in the count of steps, however fast the machine.
#[derive(Clone, Debug)]
pub struct Table<K, V>(HashMap<K, V, RandomState>);

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Table(HashMap::default())
    }
}

impl<K: Eq + Hash, V> Table<K, V> {
    /// The row of a key.
    pub fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        step();
        self.0.get(key)
    }

    /// The same, to change it.
    pub fn get_mut<Q: Eq + Hash + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        step();
        self.0.get_mut(key)
    }

    /// Whether there is such a row.
    pub fn contains_key<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        step();
        self.0.contains_key(key)
    }

    /// The row of a key, made where it was missing.
    pub fn or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        step();
        self.0.entry(key).or_insert_with(make)
    }

    /// Sets a row.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        step();
        self.0.insert(key, value)
    }

    /// Takes a row out. A table that was far larger once gives its room back.
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

    /// Rows.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// All rows, in no order: a step for each.
    pub fn walk(&self) -> impl Iterator<Item = (&K, &V)> {
        self.0.iter().inspect(|_| step())
    }

    /// The same, to change them.
    pub fn walk_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.0.iter_mut().inspect(|_| step())
    }
}

#[cfg(test)]
mod tests {
    use super::super::steps;
    use super::*;

    #[test]
    fn a_walk_costs_a_step_a_row_and_a_look_up_one() {
        let mut table = Table::default();
        for n in 0..1000 {
            table.insert(n, n);
        }
        let before = steps();
        assert_eq!(table.get(&7), Some(&7));
        let looked = steps() - before;
        assert_eq!(table.walk().count(), 1000);
        if cfg!(debug_assertions) {
            assert_eq!((looked, steps() - before), (1, 1001));
        }
    }

    #[test]
    fn a_table_that_was_large_gives_its_room_back() {
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
