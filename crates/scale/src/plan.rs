//! Plans: what to run, and the budgets.

use serde::Deserialize;
use std::path::{Path, PathBuf};

/// A plan. Each field that is left out has the value of [`Plan::default`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of relays in the fleet.
    pub relays: usize,
    /// Number of simulated relays built at each size.
    pub hollow: usize,
    /// Numbers of destinations to measure at; at least four, so that a line can be fitted.
    pub destinations: Vec<usize>,
    /// Number of hosts per destination.
    pub hosts: usize,
    pub zones: usize,
    /// Number of regions; each has its own discovery and an equal share of the relays.
    pub regions: usize,
    /// Share of the destinations that is down at any time.
    pub down: f64,
    /// Duration of an outage, in seconds.
    pub outage_s: f64,
    /// Configuration changes per day; `in_force_s` is the budget for the time until each is in force.
    pub changes_a_day: f64,
    /// Exponent of the Zipf distribution of traffic over destinations; 0 is uniform.
    pub skew: f64,
    /// Messages per second at one relay.
    pub events: f64,
    /// Simulated duration of the traffic, in seconds.
    pub seconds: f64,
    /// Memory of a relay in MB; limits how many destinations are in use at once.
    pub memory_mb: f64,
    /// Calls per second that discovery can answer in one region.
    pub answers: f64,
    /// Numbers of destinations at which the program itself is measured too; empty for none.
    pub real: Vec<usize>,
    /// Path of the relay program.
    pub program: PathBuf,
    pub budgets: Budgets,
}

/// Budgets. One that is left out is not checked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    /// Memory of a relay for the control plane, in MB.
    pub memory_mb: Option<f64>,
    /// CPU of a relay for the control plane, as a share of a core.
    pub cpu: Option<f64>,
    /// Bytes per second of a relay for the control plane.
    pub bytes: Option<f64>,
    /// Time from a change at discovery until the last relay has received it, in seconds.
    pub in_force_s: Option<f64>,
    /// CPU time for one change, in microseconds.
    pub change_us: Option<f64>,
    /// CPU time of a start, in seconds.
    pub start_s: Option<f64>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            seed: 1,
            relays: 1200,
            hollow: 1,
            destinations: vec![1000, 10_000, 50_000, 150_000],
            hosts: 1,
            zones: 15,
            regions: 4,
            down: 0.045,
            outage_s: 600.0,
            changes_a_day: 2600.0,
            skew: 1.0,
            events: 2167.0,
            seconds: 5.0,
            memory_mb: 512.0,
            answers: 2000.0,
            real: Vec::new(),
            program: "target/release/mulleinslip".into(),
            budgets: Budgets::default(),
        }
    }
}

impl Plan {
    /// Reads and checks a plan. The error names the field, the value and what is allowed.
    pub fn read(path: &Path) -> Result<Plan, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Plan::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses and checks a plan.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let plan: Plan = json5::from_str(text).map_err(|e| e.to_string())?;
        let within = |name: &str, value: f64, low: f64, high: f64| match (low..=high).contains(&value) {
            true => Ok(()),
            false => Err(format!("{name}: {value}, allowed is {low} to {high}")),
        };
        within("relays", plan.relays as f64, 1.0, 100_000.0)?;
        within("hollow", plan.hollow as f64, 1.0, 400.0)?;
        within("destinations (how many sizes)", plan.destinations.len() as f64, 4.0, 20.0)?;
        for count in plan.destinations.iter().chain(&plan.real) {
            within("destinations", *count as f64, 10.0, 1e6)?;
        }
        within("hosts", plan.hosts as f64, 1.0, 64.0)?;
        within("zones", plan.zones as f64, 1.0, 1000.0)?;
        within("regions", plan.regions as f64, 1.0, plan.zones as f64)?;
        within("down", plan.down, 0.0, 0.5)?;
        within("outage_s", plan.outage_s, 1.0, 1e6)?;
        within("changes_a_day", plan.changes_a_day, 0.0, 1e7)?;
        within("skew", plan.skew, 0.0, 3.0)?;
        within("events", plan.events, 0.0, 1e5)?;
        within("seconds", plan.seconds, 0.0, 600.0)?;
        within("memory_mb", plan.memory_mb, 1.0, 1e6)?;
        within("answers", plan.answers, 1.0, 1e6)?;
        Ok(plan)
    }

    /// Returns the changes of the list per second with this many destinations: the start and end of each
    /// outage, and the configuration changes.
    pub fn changes_per_second(&self, destinations: usize) -> f64 {
        2.0 * destinations as f64 * self.down / self.outage_s + self.changes_a_day / 86_400.0
    }
}
