//! The list of hosts, in the form in which discovery sends it and the configuration holds it.

use linenhall::{Endpoint, EndpointStatus, ListUpdate};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A full list of hosts, or a list of changes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct List {
    /// The list's version.
    #[serde(default)]
    pub index: u64,
    /// Whether the list is a full one: a host that is missing in it has been removed.
    #[serde(default)]
    pub snapshot: bool,
    /// The hosts, or those of them that changed.
    #[serde(default)]
    pub endpoints: Vec<Entry>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// The host's name.
    pub name: String,
    /// The address at which the host listens.
    pub address: SocketAddr,
    /// The name of the host's zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the kind of the host's destination.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// The number of the host's destination.
    pub group: u64,
    /// The host's status.
    pub status: Status,
    /// The host's weight; [`linenhall::WeightMeaning`] says how it is read.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Time of the host's last start, in milliseconds since 1970; 0 stands for long ago.
    #[serde(default)]
    pub since_ms: f64,
}

/// Status of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// The host takes messages.
    Active,
    /// The host drains: it takes no new messages.
    Leaving,
    /// The host has been removed.
    Left,
}

fn default_weight() -> f64 {
    1.0
}

/// The names of zones and kinds, by the indices that the decision module uses for them.
#[derive(Clone, Debug, Default)]
pub struct ListNames {
    /// Names of zones, by index.
    pub zones: Vec<String>,
    /// Names of kinds of destinations, by index.
    pub kinds: Vec<String>,
}

impl ListNames {
    /// Returns the index of a kind. An unknown kind counts as the first one.
    pub fn kind_index(&self, name: &str) -> usize {
        index_of(&self.kinds, name)
    }

    /// Converts an entry for the decision module. An unknown zone or kind counts as the first one.
    pub fn to_endpoint(&self, entry: &Entry) -> Endpoint {
        Endpoint {
            name: entry.name.clone(),
            destination: entry.group,
            zone: index_of(&self.zones, &entry.zone) as u32,
            kind: self.kind_index(&entry.kind),
            weight: entry.weight,
            status: match entry.status {
                Status::Active => EndpointStatus::Active,
                Status::Leaving => EndpointStatus::Draining,
                Status::Left => EndpointStatus::Removed,
            },
        }
    }

    /// Converts a list for the decision module.
    pub fn to_list_update(&self, list: &List) -> ListUpdate {
        let endpoints = list.endpoints.iter().map(|entry| self.to_endpoint(entry)).collect();
        match list.snapshot {
            true => ListUpdate::Full(endpoints),
            false => ListUpdate::Delta(endpoints),
        }
    }
}

fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(0)
}
