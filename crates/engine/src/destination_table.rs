//! The destinations that the list names, or named recently enough that they may get hosts again. Messages for
//! any other destination are rejected before the decision module sees them.

use linenhall::{Endpoint, EndpointStatus, ListUpdate};
use std::collections::{HashMap, VecDeque};

#[derive(Default)]
struct DestinationEntry {
    host_count: usize,
    /// When the entry is removed if the destination has no hosts.
    expires_at: f64,
}

/// Applying a delta costs time in proportion to its length. Only a full list costs time in proportion to the
/// table.
#[derive(Default)]
pub struct DestinationTable {
    /// The destination of each host.
    hosts: HashMap<String, u64>,
    destinations: HashMap<u64, DestinationEntry>,
    /// Destinations that lost their last host, with the time at which they are removed.
    expiring: VecDeque<(f64, u64)>,
}

impl DestinationTable {
    /// Applies a list update. `retention_ms` is how long a destination without hosts stays in the table.
    pub fn apply(&mut self, update: &ListUpdate, now: f64, retention_ms: f64) {
        match update {
            ListUpdate::Full(list) | ListUpdate::Cached(list) => {
                // New hosts are added before old ones are removed, so that a destination that keeps a host is
                // never counted as having none.
                let mut before = std::mem::take(&mut self.hosts);
                for endpoint in list.iter().filter(|e| e.status != EndpointStatus::Removed) {
                    self.add_host(endpoint);
                }
                before.drain().for_each(|(_, from)| self.remove_host(from, now, retention_ms));
            }
            ListUpdate::Delta(changes) => {
                for endpoint in changes {
                    let before = match endpoint.status {
                        EndpointStatus::Removed => self.hosts.remove(&endpoint.name),
                        _ => self.add_host(endpoint),
                    };
                    before.into_iter().for_each(|from| self.remove_host(from, now, retention_ms));
                }
            }
            ListUpdate::Failed => {}
        }
        self.remove_expired(now);
    }

    /// Returns whether the list names this host.
    pub fn contains_host(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Returns whether the destination may be removed: not while it waits for its retention time without
    /// hosts.
    pub fn may_remove(&self, destination: u64) -> bool {
        self.destinations.get(&destination).is_none_or(|d| d.host_count > 0)
    }

    /// Removes a destination with all of its hosts.
    pub fn remove(&mut self, destination: u64, hosts: impl Iterator<Item = impl AsRef<str>>) {
        let mut any = false;
        for host in hosts {
            any |= self.hosts.remove(host.as_ref()).is_some();
        }
        if any {
            self.destinations.remove(&destination);
        }
    }

    /// Returns the destination that the host belonged to before.
    fn add_host(&mut self, endpoint: &Endpoint) -> Option<u64> {
        self.destinations.entry(endpoint.destination).or_default().host_count += 1;
        self.hosts.insert(endpoint.name.clone(), endpoint.destination)
    }

    fn remove_host(&mut self, from: u64, now: f64, retention_ms: f64) {
        let Some(entry) = self.destinations.get_mut(&from) else { return };
        entry.host_count = entry.host_count.saturating_sub(1);
        if entry.host_count == 0 {
            entry.expires_at = now + retention_ms;
            self.expiring.push_back((entry.expires_at, from));
        }
    }

    fn remove_expired(&mut self, now: f64) {
        while let Some((expires_at, destination)) = self.expiring.front().copied().filter(|x| x.0 <= now) {
            self.expiring.pop_front();
            // The destination may have got hosts again since, and lost them again.
            if self
                .destinations
                .get(&destination)
                .is_some_and(|d| d.host_count == 0 && d.expires_at <= expires_at)
            {
                self.destinations.remove(&destination);
            }
        }
    }

    /// Returns whether messages for this destination may be accepted.
    pub fn contains(&mut self, destination: u64, now: f64) -> bool {
        self.remove_expired(now);
        self.destinations.contains_key(&destination)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(name: &str, destination: u64, status: EndpointStatus) -> Endpoint {
        Endpoint { name: name.into(), destination, zone: 0, kind: 0, weight: 1.0, status }
    }

    /// Guards against a destination that is removed too early or never: it stays in the table while
    /// it has hosts and for the retention time after it lost its last one, counted from the latest loss.
    #[test]
    fn keeps_destination_for_retention_time_after_its_last_host() {
        let mut table = DestinationTable::default();
        let (a, b) = (host("a", 1, EndpointStatus::Active), host("b", 2, EndpointStatus::Draining));
        table.apply(&ListUpdate::Full(vec![a.clone(), b.clone()]), 0.0, 10.0);
        assert!(table.contains(1, 1e9) && table.contains(2, 1e9) && !table.contains(3, 0.0));
        // The same list again, then one without host b.
        table.apply(&ListUpdate::Full(vec![a.clone(), b]), 5.0, 10.0);
        table.apply(&ListUpdate::Full(vec![a.clone()]), 20.0, 10.0);
        assert!(table.contains(2, 29.9) && !table.contains(2, 30.0) && table.contains(1, 30.0));
        // A host moves to another destination and back, and is then removed.
        table.apply(&ListUpdate::Delta(vec![host("a", 3, EndpointStatus::Active)]), 40.0, 10.0);
        assert!(table.contains(3, 45.0) && table.contains(1, 45.0));
        table.apply(&ListUpdate::Delta(vec![a]), 46.0, 10.0);
        table.apply(&ListUpdate::Delta(vec![host("a", 1, EndpointStatus::Removed)]), 48.0, 10.0);
        assert!(
            table.contains(1, 57.9),
            "removed before 10 ms had passed since it lost its host again at 48"
        );
        assert!(!table.contains(1, 58.0) && !table.contains(3, 58.0));
        assert!(table.hosts.is_empty() && table.destinations.is_empty() && table.expiring.is_empty());
    }
}
