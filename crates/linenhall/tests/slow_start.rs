//! Slow start after an outage: a destination that recovers cold must not be overloaded by the sum of all
//! relays. Within any `fall_ms` it may get at most N calls, the number that the settings allow at that time,
//! plus 2 * sqrt(N) + 2 for rng variation.
//!
//! Guards against slow start that feeds on its own overload. If each relay takes 0.65 times the deliveries of
//! the last 2 s for the capacity and sends the allowed multiple of that (2 here), then every span that is
//! overloaded but delivered permits 1.3 times as many calls in the next one. With the backlog of a 10 s
//! outage and 1 to 30 relays the destination got 1.6 to 5.9 times the limit on each of 48 seeds. With 100
//! relays and more each one sends too seldom for this.

mod common;
use common::*;
use linenhall::{Action, Event, Outcome};
use std::collections::BTreeMap;

/// Messages per second for the destination from all relays.
const LOAD_PER_S: f64 = 60.0;
/// Start and end of the outage.
const OUTAGE_MS: (f64, f64) = (12_000.0, 22_000.0);
const END_MS: f64 = 30_000.0;

/// Returns the times of the calls that `relays` relays send after the outage. Each message goes to a random
/// relay.
fn calls(relays: u64, seed: u64) -> Vec<f64> {
    calls_after((Outcome::NoConnection, 1.0), relays, seed)
}

/// As [`calls`], with calls that end in `down_outcome` after at most `down_ms` during the outage.
fn calls_after((down_outcome, down_ms): (Outcome, f64), relays: u64, seed: u64) -> Vec<f64> {
    let base = linenhall::Settings { max_open: 200, slots: 12, ..settings() };
    let settings = linenhall::Settings { relays: relays as usize, ..base };
    let mut harnesses: Vec<Harness> = (0..relays)
        .map(|n| Harness::with_list_and_seed(settings.clone(), vec![endpoint("a", 0)], seed * 1000 + n))
        .collect();
    let mut rng = fastrand::Rng::with_seed(seed);
    // By time in microseconds and a sequence number: the relay, and the event or `None` for a new request.
    let mut agenda: BTreeMap<(u64, u64), (usize, Option<Event>)> = BTreeMap::new();
    let (mut sequence, mut at) = (0, 0.0);
    while at < END_MS {
        at += -(1.0 - rng.f64()).ln() * 1000.0 / LOAD_PER_S;
        agenda.insert(((at * 1000.0) as u64, sequence), (rng.usize(..relays as usize), None));
        sequence += 1;
    }
    let mut attempts: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    let mut sent = Vec::new();
    while let Some(((at, _), (relay, event))) = agenda.pop_first() {
        let harness = &mut harnesses[relay];
        harness.now = at as f64 / 1000.0;
        if harness.now > END_MS {
            break;
        }
        let event = event.unwrap_or_else(|| harness.request(SAFE, 0).1);
        harness.handle(&[event]);
        for action in harness.last_actions.clone() {
            let (after, event) = match action {
                Action::Send { id, timeout_ms, .. } => {
                    let down = (OUTAGE_MS.0..OUTAGE_MS.1).contains(&harness.now);
                    if harness.now >= OUTAGE_MS.1 {
                        sent.push(harness.now);
                    }
                    let attempt = *attempts.entry((relay, id)).and_modify(|n| *n += 1).or_insert(0);
                    let (outcome, took_ms) = if down {
                        (down_outcome, timeout_ms.unwrap_or(down_ms).min(down_ms))
                    } else {
                        (Outcome::Delivered, 40.0)
                    };
                    let (settled, retry_after_ms, report) = (!down, 0.0, Vec::new());
                    (took_ms, Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report })
                }
                Action::Timer { at, token } => (at - harness.now, Event::Timer { token }),
                _ => continue,
            };
            sequence += 1;
            agenda.insert((((harness.now + after) * 1000.0).ceil() as u64, sequence), (relay, Some(event)));
        }
    }
    sent
}

/// Returns the largest number of calls in any `fall_ms` after the outage, as a share of the number allowed
/// then.
fn max_load_share(sent: &[f64]) -> f64 {
    let settings = settings();
    let mut max_share = 0.0f64;
    for (first, at) in sent.iter().enumerate() {
        let count = sent[first..].iter().take_while(|x| **x < at + settings.fall_ms).count() as f64;
        let warm = ((at + settings.fall_ms - OUTAGE_MS.1) / settings.warm_after_ms).min(1.0);
        let capacity_share = settings.cold_share + (1.0 - settings.cold_share) * warm;
        let allowed = settings.fall_multiple * capacity_share * LOAD_PER_S * settings.fall_ms / 1000.0;
        max_share = max_share.max(count / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    max_share
}

#[test]
fn slow_start_of_all_relays_together_stays_within_the_allowed_load() {
    let seeds = std::env::var("LINENHALL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    let mut overloaded = Vec::new();
    for relays in [1, 2, 4, 8, 20, 30, 100, 300] {
        let mut shares: Vec<f64> = (0..seeds).map(|seed| max_load_share(&calls(relays, seed))).collect();
        shares.sort_by(f64::total_cmp);
        let quantile = |q: f64| shares[((shares.len() - 1) as f64 * q).round() as usize];
        let delivered = calls(relays, 0).len();
        println!(
            "{relays} relays: {:.2} median, {:.2} at 99.9%, {:.2} at most; {delivered} calls",
            quantile(0.5),
            quantile(0.999),
            quantile(1.0)
        );
        if quantile(0.999) > 1.0 {
            overloaded.push((relays, quantile(0.999)));
        }
    }
    assert!(overloaded.is_empty(), "more calls than allowed: {overloaded:?}");
}

/// The same limit after outages in which calls end in other ways; the destination is equally cold after each.
///
/// Guards against half-open trials that overload it together: after errors three trials in a row have to be
/// delivered. If the second and third go at once, 30 relays send 90 calls in the span, where 51 are allowed
/// (67 with the tolerance), and reach 1.52 times the limit.
#[test]
fn slow_start_stays_within_the_allowed_load_after_every_kind_of_outage() {
    let kinds =
        [(Outcome::TimedOut, 2500.0), (Outcome::Error, 5.0), (Outcome::Full, 5.0), (Outcome::Broken, 30.0)];
    let mut overloaded = Vec::new();
    for kind in kinds {
        for relays in [1, 2, 4, 8, 30, 100] {
            let max_share =
                (0..6).map(|seed| max_load_share(&calls_after(kind, relays, seed))).fold(0.0, f64::max);
            println!("{:?}, {relays} relays: {max_share:.2} at most", kind.0);
            if max_share > 1.0 {
                overloaded.push((kind.0, relays, max_share));
            }
        }
    }
    assert!(overloaded.is_empty(), "more calls than allowed: {overloaded:?}");
}
