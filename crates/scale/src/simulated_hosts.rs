//! Made-up hosts for the list, and made-up traffic.

use mulleinslip_membership::{Entry, List, Status};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Zipf};
use std::net::SocketAddr;

/// All hosts, and which destinations are down. Names, addresses and zones are derived from the numbers of
/// destination and host.
pub struct SimulatedHosts {
    pub hosts_per_destination: usize,
    pub zones: usize,
    /// Version of the list.
    pub index: u64,
    down: Vec<bool>,
}

impl SimulatedHosts {
    pub fn new(destinations: usize, hosts_per_destination: usize, zones: usize) -> SimulatedHosts {
        SimulatedHosts { hosts_per_destination, zones, index: 1, down: vec![false; destinations] }
    }

    pub fn destinations(&self) -> usize {
        self.down.len()
    }

    pub fn is_down(&self, destination: u64) -> bool {
        self.down.get(destination as usize).copied().unwrap_or(false)
    }

    pub fn set_down(&mut self, destination: u64, down: bool) {
        if let Some(is_down_now) = self.down.get_mut(destination as usize) {
            *is_down_now = down;
        }
    }

    /// Returns a host's entry in the list. `at` is the address of all hosts; if `None`, each has its own.
    pub fn entry(&self, destination: u64, host: usize, at: Option<SocketAddr>, status: Status) -> Entry {
        let number = destination * self.hosts_per_destination as u64 + host as u64;
        let [_, _, _, _, _, a, b, c] = number.to_be_bytes();
        Entry {
            // Consecutive numbers give names that sort far apart, as real names do.
            name: format!("s-{:08x}", (number as u32).wrapping_mul(2_654_435_761)),
            address: at.unwrap_or_else(|| SocketAddr::from(([10, a, b, c], 8000))),
            zone: format!("z{}", destination as usize % self.zones),
            kind: "m2".into(),
            group: destination,
            status,
            weight: 1.0,
            since_ms: 0.0,
        }
    }

    /// Returns the full list.
    pub fn full_list(&self, at: Option<SocketAddr>) -> List {
        let hosts = (0..self.destinations() as u64)
            .flat_map(|d| (0..self.hosts_per_destination).map(move |h| (d, h)));
        let endpoints = hosts.map(|(d, h)| self.entry(d, h, at, Status::Active)).collect();
        List { index: self.index, snapshot: true, endpoints }
    }

    /// Returns a change: the list's next version, in which the first host of a destination has this status.
    pub fn change_status(&mut self, destination: u64, status: Status, at: Option<SocketAddr>) -> List {
        self.index += 1;
        List { index: self.index, snapshot: false, endpoints: vec![self.entry(destination, 0, at, status)] }
    }
}

/// Draws the destinations of messages from a Zipf distribution.
pub struct Traffic {
    zipf: Zipf<f64>,
    random: StdRng,
    destinations: u64,
    step: u64,
}

impl Traffic {
    /// Fails if there is no Zipf distribution with this size and skew.
    pub fn new(destinations: usize, skew: f64, seed: u64) -> Result<Traffic, String> {
        let zipf = Zipf::new(destinations as f64, skew).map_err(|e| format!("skew: {skew}: {e}"))?;
        let destinations = destinations as u64;
        // Ranks map to destination numbers by a step that is coprime to their count, so that each rank has a
        // destination of its own.
        let step =
            (destinations * 5 / 8..).find(|n| greatest_common_divisor(*n, destinations) == 1).unwrap_or(1);
        Ok(Traffic { zipf, random: StdRng::seed_from_u64(seed), destinations, step })
    }

    /// Draws the destination of the next message.
    pub fn next_destination(&mut self) -> u64 {
        let rank = self.zipf.sample(&mut self.random) as u64 - 1;
        rank * self.step % self.destinations
    }
}

/// Returns the greatest common divisor.
fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a
}
