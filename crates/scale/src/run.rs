//! Carries a plan out.

use crate::hollow::{Counts, Hollow};
use crate::plan::Plan;
use crate::real::{self, Real};
use crate::spread::{spread, Spread};
use crate::world::{Traffic, World};
use mulleinslip_membership::{Entry, Status};
use std::collections::HashMap;
use std::time::Instant;

/// What a relay keeps in use, as the program reckons it from its memory.
const USED_BYTES: f64 = 16.0 * 4000.0;
/// Changes that are told at each size.
const CHANGES: u64 = 2000;
/// Seconds over which the spread of news is simulated.
const SPREAD_S: u64 = 60;

/// Of one size, each for one relay.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub destinations: usize,
    pub used: usize,
    /// After the list, and after the traffic, in bytes of the heap; the catalog by its own count.
    pub listed_bytes: f64,
    pub traffic_bytes: f64,
    pub catalog_bytes: f64,
    /// The same hosts in a plain map by name, in bytes of the heap.
    pub plain_bytes: f64,
    pub list_bytes: f64,
    /// Seconds of CPU for the whole list, from its text on.
    pub start_s: f64,
    /// One change, from its text on, in microseconds.
    pub change_us: f64,
    /// One message with its call, in microseconds.
    pub message_us: f64,
    /// A second of changes at the plan's rate, as a share of a core.
    pub control_cpu: f64,
    pub counts: Counts,
}

/// All that was measured.
pub struct Measured {
    pub sizes: Vec<Size>,
    pub real: Vec<Real>,
    pub spread: Spread,
    pub entry_bytes: f64,
    pub changes_a_second: f64,
}

/// Runs a plan. `heap` tells the bytes that are allocated.
pub fn run(plan: &Plan, heap: &dyn Fn() -> usize) -> Result<Measured, String> {
    let sizes = plan.destinations.iter().map(|n| size(plan, *n, heap)).collect::<Result<Vec<_>, _>>()?;
    let real = plan.real.iter().map(|n| real::measure(plan, *n)).collect::<Result<Vec<_>, _>>()?;
    let most = plan.destinations.iter().copied().max().unwrap_or(0);
    let mut world = World::new(most, plan.hosts, plan.zones);
    let entry = serde_json::to_string(&world.change(1, Status::Active, None)).map_err(|e| e.to_string())?;
    let entry_bytes = entry.len() as f64;
    let changes_a_second = plan.changes_a_second(most);
    let spread = spread(plan, changes_a_second, entry_bytes, SPREAD_S)?;
    Ok(Measured { sizes, real, spread, entry_bytes, changes_a_second })
}

fn size(plan: &Plan, destinations: usize, heap: &dyn Fn() -> usize) -> Result<Size, String> {
    let mut world = World::new(destinations, plan.hosts, plan.zones);
    let text = serde_json::to_string(&world.whole(None)).map_err(|e| e.to_string())?;
    let before = heap();
    let plain: HashMap<String, Entry> =
        world.whole(None).endpoints.into_iter().map(|e| (e.name.clone(), e)).collect();
    let plain_bytes = heap().saturating_sub(before) as f64;
    drop(plain);
    let max_active_destinations = ((plan.memory_mb * 1e6 / USED_BYTES) as usize).max(1024);
    let count = plan.hollow as f64;
    let before = heap();
    let mut relays: Vec<Hollow> =
        (0..plan.hollow).map(|n| Hollow::new(max_active_destinations, plan.seed + n as u64)).collect();
    let (mut start_s, mut now) = (0.0, 1000.0);
    for relay in &mut relays {
        let began = Instant::now();
        let list = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        relay.told(now, list, &world);
        start_s += began.elapsed().as_secs_f64() / count;
    }
    let listed_bytes = heap().saturating_sub(before) as f64 / count;
    let changes: Vec<String> = (0..CHANGES)
        .map(|n| {
            let status = if n % 2 == 0 { Status::Leaving } else { Status::Active };
            let change = world.change((n / 2 * 7919) % destinations as u64, status, None);
            serde_json::to_string(&change).map_err(|e| e.to_string())
        })
        .collect::<Result<_, _>>()?;
    let began = Instant::now();
    for change in &changes {
        now += 1.0;
        for relay in &mut relays {
            relay.told(now, serde_json::from_str(change).map_err(|e| e.to_string())?, &world);
        }
    }
    let change_us = began.elapsed().as_secs_f64() * 1e6 / CHANGES as f64 / count;
    drop(changes);
    let step = (1.0 / plan.down.max(1e-9)).round().max(2.0) as u64;
    (0..destinations as u64)
        .step_by(step as usize)
        .filter(|_| plan.down > 0.0)
        .for_each(|d| world.set_down(d, true));
    let mut traffic = Traffic::new(destinations, plan.skew, plan.seed)?;
    let messages = (plan.events * plan.seconds) as u64;
    let began = Instant::now();
    for relay in &mut relays {
        let mut at = now;
        for _ in 0..messages {
            at += 1000.0 / plan.events.max(1e-9);
            relay.advance(at, &world);
            relay.message(at, traffic.draw(), &world);
        }
        relay.advance(at + 10_000.0, &world);
    }
    let message_us = began.elapsed().as_secs_f64() * 1e6 / messages.max(1) as f64 / count;
    let traffic_bytes = heap().saturating_sub(before) as f64 / count;
    let first = relays.first().ok_or("no relay")?;
    Ok(Size {
        destinations,
        used: first.used(),
        listed_bytes,
        traffic_bytes,
        catalog_bytes: first.catalog_bytes() as f64,
        plain_bytes,
        list_bytes: text.len() as f64,
        start_s,
        change_us,
        message_us,
        control_cpu: change_us * plan.changes_a_second(destinations) / 1e6,
        counts: first.counts,
    })
}
