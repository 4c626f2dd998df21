//! Things ordered by a figure that may be changed at any time: deadlines, gates, rests, scores.

use super::At;
use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Keys, each with one place in an order. Setting, dropping and finding the first cost O(log n).
#[derive(Clone, Debug)]
pub struct Agenda<P, K> {
    place: HashMap<K, P, RandomState>,
    order: BTreeSet<(P, K)>,
}

impl<P, K> Default for Agenda<P, K> {
    fn default() -> Self {
        Agenda { place: HashMap::default(), order: BTreeSet::new() }
    }
}

impl<P: Copy + Ord, K: Clone + Eq + Hash + Ord> Agenda<P, K> {
    /// Puts a key at a place, and takes it from where it was.
    pub fn set(&mut self, key: K, place: P) {
        match self.place.insert(key.clone(), place) {
            Some(old) if old == place => return,
            Some(old) => drop(self.order.remove(&(old, key.clone()))),
            None => {}
        }
        self.order.insert((place, key));
    }

    /// Takes a key out.
    pub fn drop<Q: Eq + Hash + ?Sized>(&mut self, key: &Q)
    where
        K: Borrow<Q>,
    {
        if let Some((key, place)) = self.place.remove_entry(key) {
            self.order.remove(&(place, key));
        }
    }

    /// Puts a key at a place, or takes it out where there is none.
    pub fn place(&mut self, key: &K, place: Option<P>) {
        match place {
            Some(place) => self.set(key.clone(), place),
            None => self.drop(key),
        }
    }

    /// Where a key stands.
    pub fn get<Q: Eq + Hash + ?Sized>(&self, key: &Q) -> Option<P>
    where
        K: Borrow<Q>,
    {
        self.place.get(key).copied()
    }

    /// The first key and its place.
    pub fn first(&self) -> Option<(P, &K)> {
        self.order.first().map(|(place, key)| (*place, key))
    }

    /// The keys in order. Whoever walks them bounds the walk.
    pub fn iter(&self) -> impl Iterator<Item = (P, &K)> {
        self.order.iter().map(|(place, key)| (*place, key))
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.place.clear();
        self.order.clear();
    }
}

impl<K: Clone + Eq + Hash + Ord> Agenda<At, K> {
    /// Takes out the first key if its time has come.
    pub fn pop_due(&mut self, now: f64) -> Option<K> {
        if self.order.first().is_none_or(|(at, _)| *at > At::new(now)) {
            return None;
        }
        let (_, key) = self.order.pop_first()?;
        self.place.remove(&key);
        Some(key)
    }

    /// The time of the first key.
    pub fn next(&self) -> f64 {
        self.order.first().map_or(f64::MAX, |(at, _)| at.get())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_agrees_with_a_sorted_list_under_random_changes() {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut agenda: Agenda<At, u32> = Agenda::default();
        let mut list: Vec<(u32, u64)> = Vec::new();
        for _ in 0..20_000 {
            let (key, at) = (rng.u32(0..200), rng.u64(0..50));
            list.retain(|x| x.0 != key);
            if rng.f64() < 0.7 {
                agenda.set(key, At::new(at as f64));
                list.push((key, at));
            } else {
                agenda.drop(&key);
            }
            let first = list.iter().map(|x| (x.1, x.0)).min();
            assert_eq!(agenda.first().map(|(at, key)| (at.get() as u64, *key)), first);
            assert_eq!(agenda.len(), list.len());
            assert_eq!(agenda.place.len(), list.len());
        }
    }

    #[test]
    fn what_is_due_comes_out_in_order_and_no_more() {
        let mut agenda = Agenda::default();
        [(1, 30.0), (2, 10.0), (3, 20.0), (2, 25.0)].into_iter().for_each(|(k, t)| agenda.set(k, At::new(t)));
        assert_eq!(agenda.next(), 20.0);
        assert_eq!(agenda.pop_due(19.0), None);
        assert_eq!(
            [agenda.pop_due(25.0), agenda.pop_due(25.0), agenda.pop_due(25.0)],
            [Some(3), Some(2), None]
        );
        assert_eq!(agenda.next(), 30.0);
        agenda.place(&1, None);
        assert_eq!(agenda.next(), f64::MAX);
    }
}
