//! The membership view of one relay: all listed hosts, of which the decision module and the carrier receive
//! those of the active destinations. As long as all listed destinations fit into the active set, all of them
//! are active from the first list on.

use crate::active_set::ActiveSet;
use crate::list::{Entry, List, Status};
use crate::members::{AppliedUpdate, Members, Tombstone, TombstoneChange};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Result of applying an agent's list to the view.
#[derive(Clone, Debug)]
pub struct ViewUpdate {
    /// The changes at active destinations.
    pub list: List,
    /// The changes of all listed hosts.
    pub hosts: Vec<Entry>,
    /// The changes of the tombstones, in their order.
    pub tombstones: Vec<TombstoneChange>,
}

/// The listed hosts and the active destinations. See the module's documentation.
pub struct View {
    members: Members,
    active: ActiveSet,
    /// The version of the list that was applied last.
    index: u64,
}

impl View {
    /// Restores the tombstones of an earlier process. At most `max_active` destinations are active at once.
    pub fn new(tombstones: Vec<Tombstone>, max_active: usize) -> View {
        View { members: Members::from_tombstones(tombstones), active: ActiveSet::new(max_active), index: 0 }
    }

    /// Returns the listed hosts and the tombstones.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the number of active destinations.
    pub fn active_destinations(&self) -> usize {
        self.active.len()
    }

    /// Returns the current list in full, or `None` if it has more than `max_hosts` hosts.
    pub fn list(&self, max_hosts: usize) -> Option<List> {
        let catalog = self.members.catalog();
        if catalog.len() > max_hosts {
            return None;
        }
        let mut endpoints: Vec<Entry> = catalog.hosts().collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Some(List { index: self.index, snapshot: true, endpoints })
    }

    /// Applies a known list as [`Members::apply_known`] does. Returns the changes at active destinations.
    pub fn apply_known(&mut self, list: List) -> List {
        self.index = list.index;
        let list = self.members.apply_known(list);
        self.restrict_to_active(&list, &[])
    }

    /// Applies an agent's list as [`Members::apply`] does.
    pub fn apply(&mut self, agent: SocketAddr, list: List, now: f64) -> Option<ViewUpdate> {
        let AppliedUpdate { list: changes, moved, tombstones } = self.members.apply(agent, list, now)?;
        self.index = changes.index;
        let list = self.restrict_to_active(&changes, &moved);
        Some(ViewUpdate { list, hosts: changes.endpoints, tombstones })
    }

    /// Returns the version of the list that was applied last.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Restricts changes to active destinations. Activates destinations while there is room, and those to
    /// which a host of an active destination has moved; all hosts of a newly active destination are returned.
    fn restrict_to_active(&mut self, list: &List, moved: &[(u64, u64)]) -> List {
        let mut activated: HashSet<u64> = HashSet::new();
        // The module and the carrier know the host in its previous destination: they have to learn that it
        // has moved, and all hosts of the new destination.
        for (from, to) in moved {
            if self.active.contains(*from) && !self.active.contains(*to) {
                self.active.insert(*to);
                activated.insert(*to);
            }
        }
        let mut endpoints: Vec<Entry> =
            activated.iter().flat_map(|to| self.members.catalog().hosts_of(*to)).collect();
        for entry in &list.endpoints {
            if activated.contains(&entry.group) {
                // The hosts of a newly active destination are in the result already. One that has left was
                // never passed on.
                continue;
            }
            if self.active.contains(entry.group) {
                endpoints.push(entry.clone());
            } else if entry.status != Status::Left && self.active.has_room() {
                self.active.insert(entry.group);
                activated.insert(entry.group);
                endpoints.extend(self.members.catalog().hosts_of(entry.group));
            }
        }
        List { index: list.index, snapshot: list.snapshot, endpoints }
    }

    /// Returns whether a destination is active.
    pub fn is_active(&self, destination: u64) -> bool {
        self.active.contains(destination)
    }

    /// Records a use of a destination, and activates it if it was not active. Returns its hosts in that case:
    /// the module has to learn of them before it gets a message for the destination.
    pub fn activate(&mut self, destination: u64) -> Option<List> {
        if self.active.touch(destination) || !self.members.catalog().has_hosts(destination) {
            return None;
        }
        self.active.insert(destination);
        let endpoints = self.members.catalog().hosts_of(destination);
        Some(List { index: self.index, snapshot: false, endpoints })
    }

    /// Evicts the least recently used destinations until the active set is within its capacity. `forget`
    /// returns whether the module and the carrier have dropped the destination, or `None` if they don't know
    /// it; such a destination is evicted unless it is listed, as they may not have learnt of it yet.
    pub fn evict_surplus(&mut self, mut forget: impl FnMut(u64) -> Option<bool>) {
        let catalog = self.members.catalog();
        self.active.evict_surplus(|destination| {
            forget(destination).unwrap_or_else(|| !catalog.has_hosts(destination))
        });
    }

    /// Returns whether the active set exceeds its capacity.
    pub fn is_over_capacity(&self) -> bool {
        self.active.is_over_capacity()
    }
}
