//! Discovery's list, as it stands on the socket and in the configuration.

use linenhall::{Endpoint, EndpointStatus, ListUpdate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A whole list, or what changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub index: u64,
    /// Whether it is whole: what is missing is gone.
    #[serde(default)]
    pub snapshot: bool,
    /// The hosts.
    #[serde(default)]
    pub endpoints: Vec<Entry>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// The kind of its destination, by name.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its destination.
    pub group: u64,
    /// Its state.
    pub status: Status,
    /// See [`linenhall::WeightMeaning`].
    #[serde(default = "one")]
    pub weight: f64,
    /// When it last started, in milliseconds since 1970; 0 for long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Listed.
    Active,
    /// Drains.
    Leaving,
    /// Removed.
    Left,
}

fn one() -> f64 {
    1.0
}

/// The names that stand in lists for the module's numbers.
#[derive(Clone, Debug, Default)]
pub struct ListNames {
    /// Zones, by index.
    pub zones: Vec<String>,
    /// Kinds of destinations, by index.
    pub kinds: Vec<String>,
}

impl ListNames {
    /// The kind's index. An unknown kind counts as the first.
    pub fn kind(&self, name: &str) -> usize {
        place(&self.kinds, name)
    }

    /// An entry as the module knows it. An unknown zone or kind counts as the first.
    pub fn endpoint(&self, e: &Entry) -> Endpoint {
        Endpoint {
            name: e.name.clone(),
            destination: e.group,
            zone: place(&self.zones, &e.zone) as u32,
            kind: self.kind(&e.kind),
            weight: e.weight,
            status: match e.status {
                Status::Active => EndpointStatus::Active,
                Status::Leaving => EndpointStatus::Draining,
                Status::Left => EndpointStatus::Removed,
            },
        }
    }

    /// A list as the module knows it.
    pub fn discovery(&self, list: &List) -> ListUpdate {
        let endpoints = list.endpoints.iter().map(|e| self.endpoint(e)).collect();
        match list.snapshot {
            true => ListUpdate::Full(endpoints),
            false => ListUpdate::Delta(endpoints),
        }
    }
}

fn place(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(0)
}
