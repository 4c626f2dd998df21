//! Which destinations the list has, or had so lately that hosts of theirs may follow: what is handed in for
//! another is turned away before the module sees it.

use linenhall::{Endpoint, EndpointStatus, ListUpdate};
use std::collections::{HashMap, VecDeque};

#[derive(Default)]
struct Place {
    hosts: usize,
    /// Without hosts it counts until then.
    until: f64,
}

/// A change costs its own length; only a whole list costs all that is held.
#[derive(Default)]
pub struct DestinationTable {
    /// Where each host belongs.
    hosts: HashMap<String, u64>,
    places: HashMap<u64, Place>,
    /// Destinations that lost their last host, by the time at which they cease to count.
    gone: VecDeque<(f64, u64)>,
}

impl DestinationTable {
    /// `keep_ms`: for so long a destination without hosts still counts.
    pub fn learn(&mut self, news: &ListUpdate, now: f64, keep_ms: f64) {
        match news {
            ListUpdate::Full(list) | ListUpdate::Cached(list) => {
                // Joined before anything is left: a destination that keeps a host was never without one.
                let mut before = std::mem::take(&mut self.hosts);
                for e in list.iter().filter(|e| e.status != EndpointStatus::Removed) {
                    self.join(e);
                }
                before.drain().for_each(|(_, from)| self.leave(from, now, keep_ms));
            }
            ListUpdate::Delta(changes) => {
                for e in changes {
                    let before = match e.status {
                        EndpointStatus::Removed => self.hosts.remove(&e.name),
                        _ => self.join(e),
                    };
                    before.into_iter().for_each(|from| self.leave(from, now, keep_ms));
                }
            }
            ListUpdate::Failed => {}
        }
        self.forget(now);
    }

    /// Whether the list names this host.
    pub fn lists(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Not one that has lost its last host lately.
    pub fn may_forget(&self, destination: u64) -> bool {
        self.places.get(&destination).is_none_or(|p| p.hosts > 0)
    }

    /// A destination with all of its hosts.
    pub fn forget_all(&mut self, destination: u64, hosts: impl Iterator<Item = impl AsRef<str>>) {
        let mut any = false;
        for host in hosts {
            any |= self.hosts.remove(host.as_ref()).is_some();
        }
        if any {
            self.places.remove(&destination);
        }
    }

    fn join(&mut self, e: &Endpoint) -> Option<u64> {
        self.places.entry(e.destination).or_default().hosts += 1;
        self.hosts.insert(e.name.clone(), e.destination)
    }

    fn leave(&mut self, from: u64, now: f64, keep_ms: f64) {
        let Some(place) = self.places.get_mut(&from) else { return };
        place.hosts = place.hosts.saturating_sub(1);
        if place.hosts == 0 {
            place.until = now + keep_ms;
            self.gone.push_back((place.until, from));
        }
    }

    fn forget(&mut self, now: f64) {
        while let Some((until, dest)) = self.gone.front().copied().filter(|g| g.0 <= now) {
            self.gone.pop_front();
            // It may have come back since, and gone once more.
            if self.places.get(&dest).is_some_and(|p| p.hosts == 0 && p.until <= until) {
                self.places.remove(&dest);
            }
        }
    }

    /// Whether a message for it may be taken on.
    pub fn knows(&mut self, destination: u64, now: f64) -> bool {
        self.forget(now);
        self.places.contains_key(&destination)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(name: &str, destination: u64, listed: EndpointStatus) -> Endpoint {
        Endpoint { name: name.into(), destination, zone: 0, kind: 0, weight: 1.0, status: listed }
    }

    #[test]
    fn a_destination_counts_while_it_has_hosts_and_a_while_after() {
        let mut p = DestinationTable::default();
        let (a, b) = (host("a", 1, EndpointStatus::Active), host("b", 2, EndpointStatus::Draining));
        p.learn(&ListUpdate::Full(vec![a.clone(), b.clone()]), 0.0, 10.0);
        assert!(p.knows(1, 1e9) && p.knows(2, 1e9) && !p.knows(3, 0.0));
        // The same list once more, and one without b.
        p.learn(&ListUpdate::Full(vec![a.clone(), b]), 5.0, 10.0);
        p.learn(&ListUpdate::Full(vec![a.clone()]), 20.0, 10.0);
        assert!(p.knows(2, 29.9) && !p.knows(2, 30.0) && p.knows(1, 30.0));
        // A host that moves to another destination, gone and back and gone.
        p.learn(&ListUpdate::Delta(vec![host("a", 3, EndpointStatus::Active)]), 40.0, 10.0);
        assert!(p.knows(3, 45.0) && p.knows(1, 45.0));
        p.learn(&ListUpdate::Delta(vec![a]), 46.0, 10.0);
        p.learn(&ListUpdate::Delta(vec![host("a", 1, EndpointStatus::Removed)]), 48.0, 10.0);
        assert!(p.knows(1, 57.9), "gone for the second time at 48");
        assert!(!p.knows(1, 58.0) && !p.knows(3, 58.0));
        assert!(p.hosts.is_empty() && p.places.is_empty() && p.gone.is_empty());
    }
}
