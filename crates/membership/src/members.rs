//! Which hosts may be sent to, as this relay was told by whoever told it: its configuration at the start, one agent after
//! another, and earlier processes. What was told to be leaving stays so until somebody who can know better says otherwise.
//! No I/O; the time comes as an argument, in milliseconds of a clock that goes on over restarts.

use crate::catalog::{Catalog, Put};
use crate::list::{Entry, List, Status};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Departures that are remembered, the newest of all. More hosts than these don't leave while an agent lags.
const MOST_DEPARTED: usize = 128;
/// The longest name that is remembered. Those in use have ten characters.
const MOST_NAME: usize = 256;
/// An agent that never said that a host leaves is believed only after this time. News counts as told 6 s after it is
/// listed at the latest, or 2 s after the wait of a call, which is 5 s: twice the longer of these, and the pauses between
/// calls.
const DOUBT_MS: f64 = 15_000.0;

/// A host that was told to be leaving or gone.
#[derive(Clone, Debug, PartialEq)]
pub struct Tombstone {
    /// Its name.
    pub name: String,
    /// When it had last started, as told; a later start is another life of it.
    pub since_ms: f64,
    /// Who told it, and in which version of its list.
    pub agent: String,
    /// See [`Tombstone::agent`].
    pub index: u64,
}

/// What an agent has told.
#[derive(Clone, Debug)]
pub struct AppliedUpdate {
    /// What is new by it: changes, those of a whole list too.
    pub list: List,
    /// Hosts that are of another destination now: of which they were, and of which they are.
    pub moved: Vec<(u64, u64)>,
    /// Whether [`Members::tombstones`] has changed.
    pub tombstones_changed: bool,
}

/// A host that an agent lists as active against what was told before.
struct Doubted {
    entry: Entry,
    /// Believed from then on.
    until: f64,
}

/// See the module's page.
#[derive(Default)]
pub struct Members {
    /// Names by the order in which they were told.
    departed: BTreeMap<u64, Tombstone>,
    by_name: HashMap<String, u64>,
    told: u64,
    /// What is listed, with those as leaving that are doubted.
    catalog: Catalog,
    doubted: HashMap<String, Doubted>,
    agent: Option<SocketAddr>,
}

impl Members {
    /// One that goes on from what an earlier process was told.
    pub fn from_tombstones(departed: Vec<Tombstone>) -> Members {
        let mut members = Members::default();
        departed.into_iter().for_each(|d| members.depart(d));
        members
    }

    /// Departures to be remembered by a later process, the oldest first.
    pub fn tombstones(&self) -> Vec<Tombstone> {
        self.departed.values().cloned().collect()
    }

    /// What is listed, with those as leaving of whom nobody who can know better has said that they are back.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Hosts that are remembered as departed, and those that are doubted.
    pub fn sizes(&self) -> [usize; 2] {
        [self.departed.len().max(self.by_name.len()), self.doubted.len()]
    }

    /// A list from before the first answer of an agent: a host that was told to be leaving since is leaving there. Gives what
    /// is new by it.
    pub fn apply_known(&mut self, mut list: List) -> List {
        for e in list.endpoints.iter_mut().filter(|e| e.status == Status::Active) {
            let left = self.by_name.get(&e.name).and_then(|n| self.departed.get(n));
            if left.is_some_and(|d| e.since_ms <= d.since_ms) {
                e.status = Status::Leaving;
            }
        }
        list.endpoints.retain(|e| e.status != Status::Left && self.catalog.put(e) != Put::Same);
        List { snapshot: false, ..list }
    }

    /// What an agent tells at `now`. `None` for the empty list at version 0 of an agent that has not been sent one yet: that
    /// tells nothing. Costs what is told.
    pub fn apply(&mut self, agent: SocketAddr, list: List, now: f64) -> Option<AppliedUpdate> {
        if list.snapshot && list.endpoints.is_empty() && list.index == 0 {
            return None;
        }
        if self.agent.replace(agent) != Some(agent) {
            self.doubted.clear();
        }
        let before = self.told;
        let List { index, snapshot, endpoints } = list;
        let (mut news, mut moved) = (Vec::new(), Vec::new());
        if snapshot {
            self.catalog.whole();
            endpoints.iter().for_each(|e| self.catalog.mark(&e.name));
            for name in self.catalog.unnamed() {
                self.doubted.remove(&name);
                let active = self.catalog.state(&name).filter(|x| x.1 == Status::Active);
                if let Some((_, _, since_ms)) = active {
                    self.leaves(&name, since_ms, agent, index);
                }
                let gone = self.catalog.remove(&name);
                news.extend(gone.map(|e| Entry { status: Status::Left, ..e }));
            }
        }
        for mut e in endpoints {
            if e.status != Status::Active {
                self.doubted.remove(&e.name);
                self.leaves(&e.name, e.since_ms, agent, index);
            } else if self.doubts(&e, agent, index) {
                let until = now + DOUBT_MS;
                let doubted = Doubted { entry: e.clone(), until };
                self.doubted.entry(e.name.clone()).or_insert(doubted).entry = e.clone();
                e.status = Status::Leaving;
            } else {
                self.doubted.remove(&e.name);
                self.returns(&e.name);
            }
            self.list(e, &mut news, &mut moved);
        }
        let over: Vec<String> =
            self.doubted.iter().filter(|(_, d)| d.until <= now).map(|(name, _)| name.clone()).collect();
        for name in over {
            let Some(Doubted { entry, .. }) = self.doubted.remove(&name) else { continue };
            self.returns(&name);
            self.list(entry, &mut news, &mut moved);
        }
        let list = List { index, snapshot: false, endpoints: news };
        Some(AppliedUpdate { list, moved, tombstones_changed: self.told != before })
    }

    /// Takes an entry over, and notes whether it is news.
    fn list(&mut self, e: Entry, news: &mut Vec<Entry>, moved: &mut Vec<(u64, u64)>) {
        if e.status == Status::Left {
            // Of the destination that it was known in.
            let gone = self.catalog.remove(&e.name);
            return news.extend(gone.map(|gone| Entry { group: gone.group, ..e }));
        }
        match self.catalog.put(&e) {
            Put::Same => return,
            Put::Changed { group } if group != e.group => moved.push((group, e.group)),
            Put::New | Put::Changed { .. } => {}
        }
        news.push(e);
    }

    /// Whether an entry that says active goes against what was told by somebody who may know better.
    fn doubts(&self, e: &Entry, agent: SocketAddr, index: u64) -> bool {
        let departed = self.by_name.get(&e.name).and_then(|n| self.departed.get(n));
        let newer = |d: &Tombstone| d.agent == agent.to_string() && index > d.index;
        departed.is_some_and(|d| e.since_ms <= d.since_ms && !newer(d))
    }

    fn leaves(&mut self, name: &str, since_ms: f64, agent: SocketAddr, index: u64) {
        let active = self.catalog.state(name).filter(|x| x.1 == Status::Active);
        let since_ms = active.map_or(since_ms, |x| x.2.max(since_ms));
        self.depart(Tombstone { name: name.to_string(), since_ms, agent: agent.to_string(), index });
    }

    fn depart(&mut self, departed: Tombstone) {
        if departed.name.len() > MOST_NAME || departed.agent.len() > MOST_NAME {
            return;
        }
        self.told += 1;
        if let Some(old) = self.by_name.insert(departed.name.clone(), self.told) {
            self.departed.remove(&old);
        }
        self.departed.insert(self.told, departed);
        if self.departed.len() > MOST_DEPARTED {
            let oldest = self.departed.pop_first();
            if let Some((_, d)) = oldest {
                self.by_name.remove(&d.name);
            }
        }
    }

    fn returns(&mut self, name: &str) {
        if let Some(number) = self.by_name.remove(name) {
            self.departed.remove(&number);
            self.told += 1;
        }
    }
}
