//! What can be seen of a relay's state from outside. Nothing here decides.

use crate::interface::Outage;
use crate::logic::Relay;

impl Relay {
    /// The outages that a later process of this relay should know of.
    pub fn outages(&self) -> Vec<Outage> {
        self.f.unwell.list()
    }

    /// Grows whenever [`Relay::outages`] changes.
    pub fn outages_version(&self) -> u64 {
        self.f.unwell.version()
    }

    /// Endpoints in the list, and those of them that are avoided just now.
    pub fn hosts(&self, now: f64) -> (usize, usize) {
        self.f.counts(now)
    }
}
