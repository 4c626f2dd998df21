//! Which destinations are in use: those that the decisions and the carrier know. As many as there is room for; the one that was
//! not used for longest makes room for the next, by the second-chance rule (CLOCK): a use sets a mark and moves nothing.

use foldhash::fast::RandomState;
use std::collections::HashMap;

/// How many are looked at for one that may go. The rest is looked at for the next.
const LOOKS: usize = 32;

struct Place {
    destination: u64,
    used: bool,
}

/// See the module's page.
pub struct ActiveSet {
    places: Vec<Place>,
    at: HashMap<u64, u32, RandomState>,
    hand: usize,
    most: usize,
}

impl ActiveSet {
    /// Room for so many, one at the least. More may be in use than that, as long as none of them may be forgotten.
    pub fn new(most: usize) -> ActiveSet {
        ActiveSet { places: Vec::new(), at: HashMap::default(), hand: 0, most: most.max(1) }
    }

    /// Destinations in use.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether one more has room.
    pub fn has_room(&self) -> bool {
        self.places.len() < self.most
    }

    /// Whether more are in use than there is room for.
    pub fn is_crowded(&self) -> bool {
        self.places.len() > self.most
    }

    /// Whether it is in use.
    pub fn has(&self, destination: u64) -> bool {
        self.at.contains_key(&destination)
    }

    /// It is used just now. Whether it was in use already.
    pub fn mark(&mut self, destination: u64) -> bool {
        let place = self.at.get(&destination).and_then(|at| self.places.get_mut(*at as usize));
        place.map(|place| place.used = true).is_some()
    }

    /// It comes into use.
    pub fn add(&mut self, destination: u64) {
        if self.mark(destination) {
            return;
        }
        self.at.insert(destination, self.places.len() as u32);
        self.places.push(Place { destination, used: true });
    }

    /// Takes those out that are one too many, not used for longest, and of which `may` says that they may go.
    pub fn shrink(&mut self, mut may: impl FnMut(u64) -> bool) {
        let mut looks = LOOKS;
        while self.places.len() > self.most && looks > 0 {
            looks -= 1;
            self.hand = if self.hand < self.places.len() { self.hand } else { 0 };
            let Some(place) = self.places.get_mut(self.hand) else { return };
            if std::mem::take(&mut place.used) || !may(place.destination) {
                self.hand += 1;
                continue;
            }
            let gone = self.places.swap_remove(self.hand).destination;
            self.at.remove(&gone);
            if let Some(moved) = self.places.get(self.hand) {
                self.at.insert(moved.destination, self.hand as u32);
            }
        }
    }
}
