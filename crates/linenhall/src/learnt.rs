//! What a relay has learnt and a process that goes on for it should know: told and taken up, as plain values that
//! versions may differ in (what is missing has a default, what is unknown is passed over). `handover` fills and reads them.
//! Times are spans in milliseconds before the moment of telling, or after it where the name says `in`.

use serde::{Deserialize, Serialize};

/// A decaying rate: what it holds now, and how long it has been kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rate {
    /// The decayed sum.
    pub sum: f64,
    /// Since it was first fed; `None`: never.
    pub age: Option<f64>,
}

/// What is known of a lane: a destination, or an endpoint that is a route apart.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntGroup {
    /// The destination.
    pub destination: u64,
    /// The endpoint, where endpoints are routes apart; else empty.
    pub endpoint: String,
    /// Mean and mean deviation of a delivery's time.
    pub latency: Option<(f64, f64)>,
    /// The limit in calls a second that it told.
    pub told: Option<f64>,
    /// The pace in calls a second after refusals, what the bucket holds, and since when the last cut stands.
    pub pace: Option<f64>,
    /// See `pace`.
    pub tokens: f64,
    /// See `pace`.
    pub cut: f64,
    /// Deliveries of late.
    pub soon: Rate,
    /// Deliveries over a longer time.
    pub usual: Rate,
    /// Sends of late: how long ago, and their weight, the oldest first.
    pub sends: Vec<(f64, f64)>,
    /// Failures in a row, and their share of late.
    pub fails: u32,
    /// See `fails`.
    pub share: f64,
    /// The last outcome failed.
    pub failing: bool,
    /// Out: what failed last was answered.
    pub answers: bool,
    /// Out: the next trial is due in so long, and the time between trials.
    pub trial_in: f64,
    /// See `trial_in`.
    pub backoff: f64,
    /// When the last delivery came, if one did.
    pub good: Option<f64>,
}

/// What is known of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntHost {
    /// Its name.
    pub endpoint: String,
    /// Failures in a row.
    pub fails: u32,
    /// It is avoided for so much longer.
    pub shun_in: f64,
}

/// What is known of a destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearntDestination {
    /// Its number.
    pub destination: u64,
    /// What a delivery takes of a slot, and what calls have taken since the last one.
    pub spent: (f64, f64),
}

/// All of it, or a part: parts are taken up one after the other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Learnt {
    /// By lane.
    pub lanes: Vec<LearntGroup>,
    /// By endpoint.
    pub hosts: Vec<LearntHost>,
    /// By destination.
    pub dests: Vec<LearntDestination>,
    /// What tenants hand in, by index.
    pub tenants: Vec<Rate>,
    /// What all of them hand in.
    pub all: Option<Rate>,
}

impl Learnt {
    /// The same in parts of so many rows at most.
    pub fn parts(mut self, rows: usize) -> Vec<Learnt> {
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
