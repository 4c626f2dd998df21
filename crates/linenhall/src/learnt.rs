//! What a relay has learnt and passes to a process that takes over from it, as plain values that versions may
//! differ in: a missing field has a default, an unknown one is ignored. `handover` exports and imports them.
//! Times are spans in milliseconds before the export, or after it for fields whose names end in `_in`. The
//! field names are the names in the JSON.

use serde::{Deserialize, Serialize};

/// A rate measured with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rate {
    /// The decayed sum of the events.
    pub sum: f64,
    /// Time since the first event; `None`: there was none.
    pub age: Option<f64>,
}

/// What is known of an endpoint group: a destination, or an endpoint with its own limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntGroup {
    /// The destination.
    pub destination: u64,
    /// The endpoint, where each endpoint has its own limit; else empty.
    pub endpoint: String,
    /// Mean and mean deviation of the time that a delivery takes.
    pub latency: Option<(f64, f64)>,
    /// The last reported limit for all relays together, in calls a second.
    pub told: Option<f64>,
    /// The rate limit in calls a second, if refusals have set one.
    pub pace: Option<f64>,
    /// Tokens in the token bucket of the rate limit; negative if calls are owed.
    pub tokens: f64,
    /// Time since the rate limit was last reduced.
    pub cut: f64,
    /// Rate of recent deliveries.
    pub soon: Rate,
    /// Rate of deliveries over a longer time.
    pub usual: Rate,
    /// Recent sends: age and weight of each, the oldest first.
    pub sends: Vec<(f64, f64)>,
    /// Consecutive failures.
    pub fails: u32,
    /// Decayed share of failures among recent outcomes.
    pub share: f64,
    /// Whether the last outcome was a failure.
    pub failing: bool,
    /// While the breaker is open: whether the last failure was an error response.
    pub answers: bool,
    /// While the breaker is open: time until the next half-open trial.
    pub trial_in: f64,
    /// While the breaker is open: time between half-open trials.
    pub backoff: f64,
    /// Time since the last delivery, if there was one.
    pub good: Option<f64>,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntHost {
    /// Its name.
    pub endpoint: String,
    /// Consecutive failures.
    pub fails: u32,
    /// For how long it is still to be avoided.
    pub shun_in: f64,
}

/// What is known of a destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntDestination {
    /// Its number.
    pub destination: u64,
    /// Mean slot time per delivery, and the slot time of calls since the last delivery.
    pub spent: (f64, f64),
}

/// Everything that a relay has learnt, or a part of it; parts are imported one after the other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Learnt {
    /// Endpoint groups.
    pub lanes: Vec<LearntGroup>,
    /// Endpoints.
    pub hosts: Vec<LearntHost>,
    /// Destinations.
    pub dests: Vec<LearntDestination>,
    /// Rate of the requests from each tenant, by index.
    pub tenants: Vec<Rate>,
    /// Rate of the requests from all tenants.
    pub all: Option<Rate>,
}

impl Learnt {
    /// Splits this into parts of at most this many rows of each kind.
    pub fn split(mut self, rows: usize) -> Vec<Learnt> {
        let rows = rows.max(1);
        let mut parts = vec![Learnt { tenants: self.tenants, all: self.all, ..Learnt::default() }];
        while !(self.lanes.is_empty() && self.hosts.is_empty() && self.dests.is_empty()) {
            let lanes = self.lanes.split_off(self.lanes.len().saturating_sub(rows));
            let hosts = self.hosts.split_off(self.hosts.len().saturating_sub(rows));
            let dests = self.dests.split_off(self.dests.len().saturating_sub(rows));
            parts.push(Learnt { lanes, hosts, dests, ..Learnt::default() });
        }
        parts
    }
}
