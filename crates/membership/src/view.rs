//! What one relay holds of all that is listed, and what of it those who decide and carry are told: the hosts of the destinations
//! in use. As long as there is room for all destinations that are listed, all are in use from the first list on.

use crate::active_set::ActiveSet;
use crate::list::{Entry, List, Status};
use crate::members::{AppliedUpdate, Members, Tombstone};
use std::collections::HashSet;
use std::net::SocketAddr;

/// See the module's page.
pub struct View {
    members: Members,
    used: ActiveSet,
    /// The version of the list that was taken in last.
    index: u64,
}

impl View {
    /// Goes on from departures that an earlier process was told; `most` destinations are in use at once.
    pub fn new(departed: Vec<Tombstone>, most: usize) -> View {
        View { members: Members::from_tombstones(departed), used: ActiveSet::new(most), index: 0 }
    }

    /// Who is believed, and what is listed.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Destinations in use.
    pub fn used(&self) -> usize {
        self.used.len()
    }

    /// The list as it stands, whole; `None` if it has more hosts than that.
    pub fn list(&self, most: usize) -> Option<List> {
        let catalog = self.members.catalog();
        if catalog.len() > most {
            return None;
        }
        let mut endpoints: Vec<Entry> = catalog.walk().collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Some(List { index: self.index, snapshot: true, endpoints })
    }

    /// See [`Members::apply_known`].
    pub fn apply_known(&mut self, list: List) -> List {
        self.index = list.index;
        let list = self.members.apply_known(list);
        self.of_use(list, &[])
    }

    /// See [`Members::apply`]; what is told on is of destinations in use.
    pub fn apply(&mut self, agent: SocketAddr, list: List, now: f64) -> Option<AppliedUpdate> {
        let AppliedUpdate { list, moved, tombstones_changed } = self.members.apply(agent, list, now)?;
        self.index = list.index;
        let list = self.of_use(list, &moved);
        Some(AppliedUpdate { list, moved, tombstones_changed })
    }

    fn of_use(&mut self, list: List, moved: &[(u64, u64)]) -> List {
        let mut fresh: HashSet<u64> = HashSet::new();
        // Whoever knows a host in the one destination has to hear that it is of another one, and all of that.
        for (from, to) in moved {
            if self.used.has(*from) && !self.used.has(*to) {
                self.used.add(*to);
                fresh.insert(*to);
            }
        }
        let mut endpoints: Vec<Entry> = fresh.iter().flat_map(|to| self.members.catalog().of(*to)).collect();
        for e in list.endpoints {
            if fresh.contains(&e.group) {
                // Among the hosts of its destination already; one that was there and has left was never told of.
                continue;
            }
            if self.used.has(e.group) {
                endpoints.push(e);
            } else if e.status != Status::Left && self.used.has_room() {
                self.used.add(e.group);
                fresh.insert(e.group);
                endpoints.extend(self.members.catalog().of(e.group));
            }
        }
        List { endpoints, ..list }
    }

    /// Whether a destination is in use.
    pub fn is_active(&self, destination: u64) -> bool {
        self.used.has(destination)
    }

    /// A message for this destination: the hosts that are to be told of first, where it was not in use.
    pub fn activate(&mut self, destination: u64) -> Option<List> {
        if self.used.mark(destination) || !self.members.catalog().has(destination) {
            return None;
        }
        self.used.add(destination);
        let endpoints = self.members.catalog().of(destination);
        Some(List { index: self.index, snapshot: false, endpoints })
    }

    /// Takes those out that are too many, not used for longest, and of which `forget` says that nobody knows them any more.
    /// `None` is for one that nobody knows: yet, if it is listed.
    pub fn shrink(&mut self, mut forget: impl FnMut(u64) -> Option<bool>) {
        let catalog = self.members.catalog();
        self.used.shrink(|destination| forget(destination).unwrap_or_else(|| !catalog.has(destination)));
    }

    /// Whether more are in use than there is room for.
    pub fn is_crowded(&self) -> bool {
        self.used.is_crowded()
    }
}
