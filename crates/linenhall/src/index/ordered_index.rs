//! Keys ordered by a value that may change at any time: deadlines, times from which calls are allowed, ends
//! of pauses, value rates.

use super::OrderedF64;
use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Keys, each with one place in an order. Setting, removing and finding the first cost O(log n).
#[derive(Clone, Debug)]
pub struct OrderedIndex<P, K> {
    places: HashMap<K, P, RandomState>,
    order: BTreeSet<(P, K)>,
}

impl<P, K> Default for OrderedIndex<P, K> {
    fn default() -> Self {
        OrderedIndex { places: HashMap::default(), order: BTreeSet::new() }
    }
}

impl<P: Copy + Ord, K: Clone + Eq + Hash + Ord> OrderedIndex<P, K> {
    /// Sets the place of a key.
    pub fn set(&mut self, key: K, place: P) {
        match self.places.insert(key.clone(), place) {
            Some(old) if old == place => return,
            Some(old) => drop(self.order.remove(&(old, key.clone()))),
            None => {}
        }
        self.order.insert((place, key));
    }

    /// Removes a key.
    pub fn remove<Q: Eq + Hash + ?Sized>(&mut self, key: &Q)
    where
        K: Borrow<Q>,
    {
        if let Some((key, place)) = self.places.remove_entry(key) {
            self.order.remove(&(place, key));
        }
    }

    /// Sets the place of a key, or removes the key if there is none.
    pub fn set_or_remove(&mut self, key: &K, place: Option<P>) {
        match place {
            Some(place) => self.set(key.clone(), place),
            None => self.remove(key),
        }
    }

    /// Returns the place of a key.
    pub fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<P>
    where
        K: Borrow<Q>,
    {
        self.places.get(key).copied()
    }

    /// Returns the first key and its place.
    pub fn first(&self) -> Option<(P, &K)> {
        self.order.first().map(|(place, key)| (*place, key))
    }

    /// Iterates over the keys in order. The caller bounds the iteration.
    pub fn iter(&self) -> impl Iterator<Item = (P, &K)> {
        self.order.iter().map(|(place, key)| (*place, key))
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.places.clear();
        self.order.clear();
    }
}

impl<K: Clone + Eq + Hash + Ord> OrderedIndex<OrderedF64, K> {
    /// Removes and returns the first key if its time has come.
    pub fn pop_due(&mut self, now: f64) -> Option<K> {
        if self.order.first().is_none_or(|(at, _)| *at > OrderedF64::new(now)) {
            return None;
        }
        let (_, key) = self.order.pop_first()?;
        self.places.remove(&key);
        Some(key)
    }

    /// Returns the time of the first key; `f64::MAX` if there is none.
    pub fn next_time(&self) -> f64 {
        self.order.first().map_or(f64::MAX, |(at, _)| at.get())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn agrees_with_sorted_list_under_random_changes() {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut ordered_index: OrderedIndex<OrderedF64, u32> = OrderedIndex::default();
        let mut list: Vec<(u32, u64)> = Vec::new();
        for _ in 0..20_000 {
            let (key, at) = (rng.u32(0..200), rng.u64(0..50));
            list.retain(|x| x.0 != key);
            if rng.f64() < 0.7 {
                ordered_index.set(key, OrderedF64::new(at as f64));
                list.push((key, at));
            } else {
                ordered_index.remove(&key);
            }
            let first = list.iter().map(|x| (x.1, x.0)).min();
            assert_eq!(ordered_index.first().map(|(at, key)| (at.get() as u64, *key)), first);
            assert_eq!(ordered_index.len(), list.len());
            assert_eq!(ordered_index.places.len(), list.len());
        }
    }

    #[test]
    fn pop_due_returns_only_due_keys_in_order() {
        let mut ordered_index = OrderedIndex::default();
        [(1, 30.0), (2, 10.0), (3, 20.0), (2, 25.0)]
            .into_iter()
            .for_each(|(k, t)| ordered_index.set(k, OrderedF64::new(t)));
        assert_eq!(ordered_index.next_time(), 20.0);
        assert_eq!(ordered_index.pop_due(19.0), None);
        assert_eq!(
            [ordered_index.pop_due(25.0), ordered_index.pop_due(25.0), ordered_index.pop_due(25.0)],
            [Some(3), Some(2), None]
        );
        assert_eq!(ordered_index.next_time(), 30.0);
        ordered_index.set_or_remove(&1, None);
        assert_eq!(ordered_index.next_time(), f64::MAX);
    }
}
