//! Which hosts may be sent to, according to the sources of this relay: its configuration at the start, one
//! discovery agent after another, and earlier processes. A host that was reported as leaving stays so until a
//! source with newer information reports otherwise. No I/O; times are arguments, in milliseconds of a clock
//! that continues over restarts.

use crate::catalog::{Catalog, Upsert};
use crate::list::{Entry, List, Status};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Maximum number of tombstones; the oldest are dropped. Higher than the number of hosts of a large fleet, so
/// that no more hosts than these leave while an agent lags.
const MAX_TOMBSTONES: usize = 4096;
/// Maximum length of a host's or an agent's name in a tombstone. Usual names have ten characters.
const MAX_NAME_BYTES: usize = 256;
/// Time for which a host stays leaving when an agent that did not report its departure lists it as active. An
/// update has reached an agent at most 6 s after it is listed, or 2 s after the 5 s that a poll waits: this
/// is twice the longer of the two, plus the pauses between polls.
const UNCONFIRMED_RETURN_MS: f64 = 15_000.0;

/// Record of a host that was reported as leaving or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Tombstone {
    /// The host's name.
    pub name: String,
    /// The host's last start as reported, in milliseconds since 1970. A host that starts later is a new
    /// instance, to which the tombstone does not apply.
    pub since_ms: f64,
    /// The address of the agent that reported the departure.
    pub agent: String,
    /// The version of that agent's list.
    pub index: u64,
}

/// Result of applying an agent's list.
#[derive(Clone, Debug)]
pub struct AppliedUpdate {
    /// The changes that the list brings, as a list of changes even if the agent's list was a full one.
    pub list: List,
    /// For each host that has moved to another destination: the previous destination and the new one.
    pub moved: Vec<(u64, u64)>,
    /// The changes of [`Members::tombstones`], in their order.
    pub tombstones: Vec<TombstoneChange>,
}

/// A change of the tombstones.
#[derive(Clone, Debug, PartialEq)]
pub enum TombstoneChange {
    /// A tombstone was added. Replaces any earlier tombstone of the host.
    Added(Tombstone),
    /// The tombstone of the host of this name was removed.
    Removed(String),
}

/// A host that an agent lists as active although a tombstone says that it left.
struct UnconfirmedReturn {
    entry: Entry,
    /// Time from which the host counts as active.
    until: f64,
}

/// The hosts that may be sent to, and the tombstones of those that left. See the module's documentation.
#[derive(Default)]
pub struct Members {
    /// Tombstones by the revision that added them.
    tombstones: BTreeMap<u64, Tombstone>,
    /// The revision that added each host's tombstone.
    revision_by_name: HashMap<String, u64>,
    /// Number of tombstones added so far.
    revision: u64,
    /// The changes of the tombstones by the list that is being applied.
    tombstone_changes: Vec<TombstoneChange>,
    /// The listed hosts. Those with an unconfirmed return are leaving in it.
    catalog: Catalog,
    unconfirmed: HashMap<String, UnconfirmedReturn>,
    /// The agent whose list was applied last.
    agent: Option<SocketAddr>,
}

impl Members {
    /// Restores the tombstones of an earlier process.
    pub fn from_tombstones(tombstones: Vec<Tombstone>) -> Members {
        let mut members = Members::default();
        tombstones.into_iter().for_each(|tombstone| members.add_tombstone(tombstone));
        members.tombstone_changes.clear();
        members
    }

    /// Returns the tombstones, the oldest first, to be stored for a later process.
    pub fn tombstones(&self) -> Vec<Tombstone> {
        self.tombstones.values().cloned().collect()
    }

    /// Returns the listed hosts. A host with a tombstone is leaving until a source with newer information
    /// lists it as active.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the number of tombstones, and the number of hosts whose return is unconfirmed.
    pub fn sizes(&self) -> [usize; 2] {
        [self.tombstones.len().max(self.revision_by_name.len()), self.unconfirmed.len()]
    }

    /// Applies a list that is known from before the first answer of an agent: a host with a tombstone is
    /// leaving in it. Returns the changes.
    pub fn apply_known(&mut self, mut list: List) -> List {
        for entry in list.endpoints.iter_mut().filter(|entry| entry.status == Status::Active) {
            if self.tombstone_of(&entry.name).is_some_and(|t| entry.since_ms <= t.since_ms) {
                entry.status = Status::Leaving;
            }
        }
        list.endpoints
            .retain(|entry| entry.status != Status::Left && self.catalog.upsert(entry) != Upsert::Unchanged);
        List { snapshot: false, ..list }
    }

    /// Applies an agent's list at the time `now`. Returns `None` for the empty list at version 0, which comes
    /// from an agent that has not received a list itself and carries no information. Takes time in proportion
    /// to the length of the list.
    pub fn apply(&mut self, agent: SocketAddr, list: List, now: f64) -> Option<AppliedUpdate> {
        if list.snapshot && list.endpoints.is_empty() && list.index == 0 {
            return None;
        }
        if self.agent.replace(agent) != Some(agent) {
            self.unconfirmed.clear();
        }
        let List { index, snapshot, endpoints } = list;
        let (mut changes, mut moved) = (Vec::new(), Vec::new());
        if snapshot {
            self.catalog.begin_full_list();
            endpoints.iter().for_each(|entry| self.catalog.mark_listed(&entry.name));
            for name in self.catalog.unlisted() {
                self.unconfirmed.remove(&name);
                let active = self.catalog.status_of(&name).filter(|x| x.1 == Status::Active);
                if let Some((_, _, since_ms)) = active {
                    self.record_departure(&name, since_ms, agent, index);
                }
                let removed = self.catalog.remove(&name);
                changes.extend(removed.map(|entry| Entry { status: Status::Left, ..entry }));
            }
        }
        for mut entry in endpoints {
            if entry.status != Status::Active {
                self.unconfirmed.remove(&entry.name);
                self.record_departure(&entry.name, entry.since_ms, agent, index);
            } else if self.contradicts_tombstone(&entry, agent, index) {
                let until = now + UNCONFIRMED_RETURN_MS;
                let unconfirmed = UnconfirmedReturn { entry: entry.clone(), until };
                self.unconfirmed.entry(entry.name.clone()).or_insert(unconfirmed).entry = entry.clone();
                entry.status = Status::Leaving;
            } else {
                self.unconfirmed.remove(&entry.name);
                self.remove_tombstone(&entry.name);
            }
            self.apply_entry(entry, &mut changes, &mut moved);
        }
        let expired: Vec<String> = self
            .unconfirmed
            .iter()
            .filter(|(_, unconfirmed)| unconfirmed.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            let Some(UnconfirmedReturn { entry, .. }) = self.unconfirmed.remove(&name) else { continue };
            self.remove_tombstone(&name);
            self.apply_entry(entry, &mut changes, &mut moved);
        }
        let list = List { index, snapshot: false, endpoints: changes };
        Some(AppliedUpdate { list, moved, tombstones: std::mem::take(&mut self.tombstone_changes) })
    }

    /// Applies one entry to the catalog, and adds what it changes to `changes` and `moved`.
    fn apply_entry(&mut self, entry: Entry, changes: &mut Vec<Entry>, moved: &mut Vec<(u64, u64)>) {
        if entry.status == Status::Left {
            // The change names the destination that the host was listed in.
            let removed = self.catalog.remove(&entry.name);
            return changes.extend(removed.map(|removed| Entry { group: removed.group, ..entry }));
        }
        match self.catalog.upsert(&entry) {
            Upsert::Unchanged => return,
            Upsert::Updated { previous_destination } if previous_destination != entry.group => {
                moved.push((previous_destination, entry.group))
            }
            Upsert::Inserted | Upsert::Updated { .. } => {}
        }
        changes.push(entry);
    }

    /// Returns whether an entry that is listed as active contradicts a tombstone, and is not newer than it:
    /// neither the host's start nor the version of the same agent's list is later.
    fn contradicts_tombstone(&self, entry: &Entry, agent: SocketAddr, index: u64) -> bool {
        let newer = |t: &Tombstone| t.agent == agent.to_string() && index > t.index;
        self.tombstone_of(&entry.name).is_some_and(|t| entry.since_ms <= t.since_ms && !newer(t))
    }

    fn tombstone_of(&self, name: &str) -> Option<&Tombstone> {
        self.revision_by_name.get(name).and_then(|revision| self.tombstones.get(revision))
    }

    /// Adds a tombstone for a host that is listed as leaving or is no longer listed.
    fn record_departure(&mut self, name: &str, since_ms: f64, agent: SocketAddr, index: u64) {
        let active = self.catalog.status_of(name).filter(|x| x.1 == Status::Active);
        let since_ms = active.map_or(since_ms, |x| x.2.max(since_ms));
        self.add_tombstone(Tombstone { name: name.to_string(), since_ms, agent: agent.to_string(), index });
    }

    fn add_tombstone(&mut self, tombstone: Tombstone) {
        let is_too_long = tombstone.name.len() > MAX_NAME_BYTES || tombstone.agent.len() > MAX_NAME_BYTES;
        if is_too_long || self.tombstone_of(&tombstone.name) == Some(&tombstone) {
            return;
        }
        self.revision += 1;
        if let Some(previous) = self.revision_by_name.insert(tombstone.name.clone(), self.revision) {
            self.tombstones.remove(&previous);
        }
        self.tombstone_changes.push(TombstoneChange::Added(tombstone.clone()));
        self.tombstones.insert(self.revision, tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.first_key_value().map(|(_, tombstone)| tombstone.name.clone());
            oldest.into_iter().for_each(|name| self.remove_tombstone(&name));
        }
    }

    fn remove_tombstone(&mut self, name: &str) {
        if let Some(revision) = self.revision_by_name.remove(name) {
            self.tombstones.remove(&revision);
            self.tombstone_changes.push(TombstoneChange::Removed(name.to_string()));
        }
    }
}
