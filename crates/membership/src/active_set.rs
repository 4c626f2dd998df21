//! The set of active destinations: those that the decision module and the carrier know. Its capacity is
//! bounded; when it is exceeded, the least recently used destination is evicted by the second-chance (CLOCK)
//! algorithm, in which a use only sets a mark and moves no element.

use foldhash::fast::RandomState;
use std::collections::HashMap;

/// Maximum number of slots that one call of [`ActiveSet::evict_surplus`] examines. The next call continues
/// where it stopped.
const MAX_EXAMINED_SLOTS: usize = 32;

struct Slot {
    destination: u64,
    /// Whether the destination was used since the clock hand last passed it.
    referenced: bool,
}

/// A bounded set of destinations with second-chance eviction. See the module's documentation.
pub struct ActiveSet {
    slots: Vec<Slot>,
    /// Index of each destination's slot.
    slot_index: HashMap<u64, u32, RandomState>,
    hand: usize,
    capacity: usize,
}

impl ActiveSet {
    /// Creates a set for `capacity` destinations, at least one. The set may exceed its capacity as long as
    /// none of its destinations may be evicted.
    pub fn new(capacity: usize) -> ActiveSet {
        ActiveSet { slots: Vec::new(), slot_index: HashMap::default(), hand: 0, capacity: capacity.max(1) }
    }

    /// Returns the number of active destinations.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no destination is active.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns whether the set has capacity for one more destination.
    pub fn has_room(&self) -> bool {
        self.slots.len() < self.capacity
    }

    /// Returns whether the set exceeds its capacity.
    pub fn is_over_capacity(&self) -> bool {
        self.slots.len() > self.capacity
    }

    /// Returns whether the destination is active.
    pub fn contains(&self, destination: u64) -> bool {
        self.slot_index.contains_key(&destination)
    }

    /// Records a use of the destination. Returns whether it is active.
    pub fn touch(&mut self, destination: u64) -> bool {
        let slot = self.slot_index.get(&destination).and_then(|index| self.slots.get_mut(*index as usize));
        slot.map(|slot| slot.referenced = true).is_some()
    }

    /// Adds the destination, or records a use of it if it is active already.
    pub fn insert(&mut self, destination: u64) {
        if self.touch(destination) {
            return;
        }
        self.slot_index.insert(destination, self.slots.len() as u32);
        self.slots.push(Slot { destination, referenced: true });
    }

    /// Evicts destinations until the set is within its capacity: the least recently used first, and only
    /// those for which `may_evict` returns true.
    pub fn evict_surplus(&mut self, mut may_evict: impl FnMut(u64) -> bool) {
        let mut remaining = MAX_EXAMINED_SLOTS;
        while self.slots.len() > self.capacity && remaining > 0 {
            remaining -= 1;
            self.hand = if self.hand < self.slots.len() { self.hand } else { 0 };
            let Some(slot) = self.slots.get_mut(self.hand) else { return };
            if std::mem::take(&mut slot.referenced) || !may_evict(slot.destination) {
                self.hand += 1;
                continue;
            }
            let evicted = self.slots.swap_remove(self.hand).destination;
            self.slot_index.remove(&evicted);
            if let Some(moved) = self.slots.get(self.hand) {
                self.slot_index.insert(moved.destination, self.hand as u32);
            }
        }
    }
}
