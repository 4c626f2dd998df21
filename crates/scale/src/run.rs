//! Runs a plan.

use crate::plan::Plan;
use crate::propagation::{simulate_propagation, Propagation};
use crate::real::{self, RealRelay};
use crate::simulated_hosts::{SimulatedHosts, Traffic};
use crate::simulated_relay::{Counts, SimulatedRelay};
use mulleinslip_membership::{Entry, Status};
use std::collections::HashMap;
use std::time::Instant;

/// Memory of a relay per destination in use; the program derives its number of destinations in use alike.
const ACTIVE_DESTINATION_BYTES: f64 = 16.0 * 4000.0;
/// Number of list changes at each size.
const CHANGES: u64 = 2000;
/// Simulated time of the propagation of changes.
const PROPAGATION_S: u64 = 60;

/// Measurements at one size, per relay.
#[derive(Clone, Copy, Debug)]
pub struct SizeMeasurement {
    pub destinations: usize,
    /// Destinations in use.
    pub active: usize,
    /// Heap after the full list.
    pub listed_bytes: f64,
    /// Heap after the traffic.
    pub traffic_bytes: f64,
    /// Size of the catalog, by its own count.
    pub catalog_bytes: f64,
    /// Heap of a plain map by name with the same hosts, for comparison.
    pub plain_bytes: f64,
    /// Size of the full list as JSON.
    pub list_bytes: f64,
    /// Time to parse and apply the full list, in seconds.
    pub start_s: f64,
    /// Time to parse and apply one change, in microseconds.
    pub change_us: f64,
    /// Time for one message with its call, in microseconds.
    pub message_us: f64,
    /// CPU for changes at the plan's rate, as a share of a core.
    pub control_cpu: f64,
    pub counts: Counts,
}

/// All measurements of a plan.
pub struct Measured {
    pub sizes: Vec<SizeMeasurement>,
    pub real: Vec<RealRelay>,
    pub propagation: Propagation,
    /// Size of a change with one entry as JSON.
    pub entry_bytes: f64,
    pub changes_per_second: f64,
}

/// Runs a plan. `heap` returns the number of bytes allocated.
pub fn run(plan: &Plan, heap: &dyn Fn() -> usize) -> Result<Measured, String> {
    let sizes = plan
        .destinations
        .iter()
        .map(|count| measure_size(plan, *count, heap))
        .collect::<Result<Vec<_>, _>>()?;
    let real = plan.real.iter().map(|count| real::measure(plan, *count)).collect::<Result<Vec<_>, _>>()?;
    let max_destinations = plan.destinations.iter().copied().max().unwrap_or(0);
    let mut hosts = SimulatedHosts::new(max_destinations, plan.hosts, plan.zones);
    let entry =
        serde_json::to_string(&hosts.change_status(1, Status::Active, None)).map_err(|e| e.to_string())?;
    let entry_bytes = entry.len() as f64;
    let changes_per_second = plan.changes_per_second(max_destinations);
    let propagation = simulate_propagation(plan, changes_per_second, entry_bytes, PROPAGATION_S)?;
    Ok(Measured { sizes, real, propagation, entry_bytes, changes_per_second })
}

fn measure_size(
    plan: &Plan, destinations: usize, heap: &dyn Fn() -> usize,
) -> Result<SizeMeasurement, String> {
    let mut hosts = SimulatedHosts::new(destinations, plan.hosts, plan.zones);
    let text = serde_json::to_string(&hosts.full_list(None)).map_err(|e| e.to_string())?;
    let before = heap();
    let plain: HashMap<String, Entry> =
        hosts.full_list(None).endpoints.into_iter().map(|e| (e.name.clone(), e)).collect();
    let plain_bytes = heap().saturating_sub(before) as f64;
    drop(plain);
    let max_active_destinations = ((plan.memory_mb * 1e6 / ACTIVE_DESTINATION_BYTES) as usize).max(1024);
    let relay_count = plan.hollow as f64;
    let before = heap();
    let mut relays: Vec<SimulatedRelay> = (0..plan.hollow)
        .map(|n| SimulatedRelay::new(max_active_destinations, plan.seed + n as u64))
        .collect();
    let (mut start_s, mut now) = (0.0, 1000.0);
    for relay in &mut relays {
        let began = Instant::now();
        let list = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        relay.apply_list(now, list, &hosts);
        start_s += began.elapsed().as_secs_f64() / relay_count;
    }
    let listed_bytes = heap().saturating_sub(before) as f64 / relay_count;
    let changes: Vec<String> = (0..CHANGES)
        .map(|number| {
            let status = if number % 2 == 0 { Status::Leaving } else { Status::Active };
            let change = hosts.change_status((number / 2 * 7919) % destinations as u64, status, None);
            serde_json::to_string(&change).map_err(|e| e.to_string())
        })
        .collect::<Result<_, _>>()?;
    let began = Instant::now();
    for change in &changes {
        now += 1.0;
        for relay in &mut relays {
            relay.apply_list(now, serde_json::from_str(change).map_err(|e| e.to_string())?, &hosts);
        }
    }
    let change_us = began.elapsed().as_secs_f64() * 1e6 / CHANGES as f64 / relay_count;
    drop(changes);
    let step = (1.0 / plan.down.max(1e-9)).round().max(2.0) as u64;
    (0..destinations as u64)
        .step_by(step as usize)
        .filter(|_| plan.down > 0.0)
        .for_each(|d| hosts.set_down(d, true));
    let mut traffic = Traffic::new(destinations, plan.skew, plan.seed)?;
    let messages = (plan.events * plan.seconds) as u64;
    let began = Instant::now();
    for relay in &mut relays {
        let mut at = now;
        for _ in 0..messages {
            at += 1000.0 / plan.events.max(1e-9);
            relay.advance(at, &hosts);
            relay.submit(at, traffic.next_destination(), &hosts);
        }
        relay.advance(at + 10_000.0, &hosts);
    }
    let message_us = began.elapsed().as_secs_f64() * 1e6 / messages.max(1) as f64 / relay_count;
    let traffic_bytes = heap().saturating_sub(before) as f64 / relay_count;
    let first = relays.first().ok_or("the plan has no simulated relay")?;
    Ok(SizeMeasurement {
        destinations,
        active: first.active_destinations(),
        listed_bytes,
        traffic_bytes,
        catalog_bytes: first.catalog_bytes() as f64,
        plain_bytes,
        list_bytes: text.len() as f64,
        start_s,
        change_us,
        message_us,
        control_cpu: change_us * plan.changes_per_second(destinations) / 1e6,
        counts: first.counts,
    })
}
