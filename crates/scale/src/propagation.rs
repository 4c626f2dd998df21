//! Simulates how list changes reach the relays of a fleet. Each region has its own discovery, which answers a
//! limited number of calls per second. Each relay has one watch open; its answer holds all changes that the
//! relay does not have yet, and the relay then opens the next watch at once.

use crate::plan::Plan;
use hdrhistogram::Histogram;

/// Length of a simulation step.
const STEP_MS: u64 = 1;
/// Time from an answer until the relay's next watch arrives at discovery: a round trip within a region.
const ROUND_TRIP_MS: u64 = 2;
/// Bytes of a call and of the head of its answer, as in the relay's own calls.
pub const CALL_BYTES: f64 = 155.0;

/// Results of the simulation.
#[derive(Clone, Debug)]
pub struct Propagation {
    /// Time from a change until the last relay has it, over all changes, in milliseconds: median, 99th
    /// percentile, maximum.
    pub last_relay_ms: [u64; 3],
    /// Bytes per second of a relay: mean, 99th percentile over single seconds, mean of the worst 10 s.
    pub bytes: [f64; 3],
    /// Calls per second of a relay.
    pub calls: f64,
    /// Time from the end of an 8 s outage of discovery until the last relay has all changes, in milliseconds.
    pub recovery_ms: u64,
}

struct Relay {
    /// Version of the list that the relay has.
    known: u64,
    /// Time from which discovery has the relay's watch.
    watches_at: u64,
    /// Bytes in each second.
    bytes: Vec<f64>,
    calls: u64,
}

/// Simulates this many seconds with `rate` changes per second, each of `entry_bytes`.
pub fn simulate_propagation(
    plan: &Plan, rate: f64, entry_bytes: f64, seconds: u64,
) -> Result<Propagation, String> {
    let random = &mut fastrand::Rng::with_seed(plan.seed);
    let relays_per_region = plan.relays.div_ceil(plan.regions);
    let mut relays: Vec<Relay> = (0..relays_per_region)
        .map(|_| Relay { known: 0, watches_at: 0, bytes: vec![0.0; seconds as usize + 60], calls: 0 })
        .collect();
    // For each version: the time of the change, and the number of relays that do not have it yet.
    let mut changes: Vec<(u64, usize)> = Vec::new();
    let mut propagation_times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let (mut next_relay, mut call_allowance) = (0usize, 0.0f64);
    let mut next_change = 0.0f64;
    let end = seconds * 1000;
    let (down_from, down_until) = (end, end + 8000);
    let mut recovery_ms = 0;
    let mut now = 0;
    loop {
        while next_change <= now as f64 && (now < end + 4000) {
            changes.push((now, relays_per_region));
            next_change += -(1.0 - random.f64()).ln() / rate.max(1e-9) * 1000.0;
        }
        let is_down = (down_from..down_until).contains(&now);
        if now == down_from {
            // All watches break. Each relay retries with the backoff of a failed call, 25 to 150 ms, until
            // discovery is back.
            relays.iter_mut().for_each(|r| r.watches_at = down_until + random.u64(25..=150));
        }
        call_allowance = if is_down {
            0.0
        } else {
            (call_allowance + plan.answers * STEP_MS as f64 / 1000.0).min((plan.answers / 100.0).max(1.0))
        };
        let newest = changes.len() as u64;
        let mut relays_checked = 0;
        while call_allowance >= 1.0 && relays_checked < relays_per_region {
            relays_checked += 1;
            next_relay = (next_relay + 1) % relays_per_region;
            let Some(relay) = relays.get_mut(next_relay).filter(|r| r.watches_at <= now && r.known < newest)
            else {
                continue;
            };
            call_allowance -= 1.0;
            for change in changes.iter_mut().skip(relay.known as usize) {
                change.1 -= 1;
                if change.1 == 0 && !(down_from..down_until).contains(&change.0) {
                    propagation_times.record((now - change.0).max(1)).map_err(|e| e.to_string())?;
                }
            }
            if let Some(second) = relay.bytes.get_mut((now / 1000) as usize) {
                *second += CALL_BYTES + (newest - relay.known) as f64 * entry_bytes;
            }
            (relay.known, relay.watches_at, relay.calls) = (newest, now + ROUND_TRIP_MS, relay.calls + 1);
            relays_checked = 0;
        }
        if now >= down_until && recovery_ms == 0 && relays.iter().all(|r| r.known == newest) {
            recovery_ms = now - down_until;
        }
        now += STEP_MS;
        if now > down_until + 40_000 || (recovery_ms > 0 && now > down_until + 100) {
            break;
        }
    }
    let simulated_seconds = seconds as usize;
    let mut by_second = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let (mut sum, mut worst) = (0.0, 0.0f64);
    for relay in &relays {
        let bytes = relay.bytes.get(..simulated_seconds).unwrap_or_default();
        for second in bytes {
            by_second.record(*second as u64 + 1).map_err(|e| e.to_string())?;
            sum += second;
        }
        worst = bytes.windows(10).map(|w| w.iter().sum::<f64>() / 10.0).fold(worst, f64::max);
    }
    let calls =
        relays.iter().map(|r| r.calls).sum::<u64>() as f64 / relays_per_region as f64 / (now as f64 / 1000.0);
    let [median, p99, maximum] = [0.5, 0.99, 1.0].map(|q| propagation_times.value_at_quantile(q));
    let mean = sum / (relays_per_region * simulated_seconds.max(1)) as f64;
    let bytes = [mean, by_second.value_at_quantile(0.99) as f64, worst];
    Ok(Propagation { last_relay_ms: [median, p99, maximum], bytes, calls, recovery_ms })
}
