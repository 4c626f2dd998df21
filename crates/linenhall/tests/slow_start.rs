//! A destination that comes back cold falls under the sum of what all relays send: at most N calls in the time that the settings
//! name, N being what they allow it then, and 2 x root of N + 2 that are put down to chance.
//!
//! What happened: among 1 to 30 relays such a destination got 1.6 to 5.9 times that, on every seed (48 tried). Each relay took 0.65
//! times what the destination delivered in the last 2 s for its capacity, and sent the multiple of that which the settings allow
//! (2 here): so each span's overload, delivered, was the proof of 1.3 times as much in the next. With the backlog of an outage of
//! 10 s the calls grew until all was sent. Among 100 relays and more each sends too seldom for that.

mod common;
use common::*;
use linenhall::{Action, Event, Outcome};
use std::collections::BTreeMap;

/// Messages a second for the destination, from all relays.
const LOAD: f64 = 60.0;
/// It is down from then to then, in milliseconds.
const DOWN: (f64, f64) = (12_000.0, 22_000.0);
const END: f64 = 30_000.0;

/// When calls went out after the return, from relays of this count, each with its part of the traffic by chance.
fn calls(relays: u64, seed: u64) -> Vec<f64> {
    calls_after((Outcome::NoConnection, 1.0), relays, seed)
}

/// The same after an outage in which calls end like this, after so long at most.
fn calls_after((down_outcome, down_ms): (Outcome, f64), relays: u64, seed: u64) -> Vec<f64> {
    let told = linenhall::Settings { max_open: 200, slots: 12, ..settings() };
    let settings = linenhall::Settings { relays: relays as usize, ..told };
    let mut rigs: Vec<Rig> =
        (0..relays).map(|n| Rig::seeded(settings.clone(), vec![endpoint("a", 0)], seed * 1000 + n)).collect();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut due: BTreeMap<(u64, u64), (usize, Option<Event>)> = BTreeMap::new();
    let (mut n, mut at) = (0, 0.0);
    while at < END {
        at += -(1.0 - random.f64()).ln() * 1000.0 / LOAD;
        due.insert(((at * 1000.0) as u64, n), (random.usize(..relays as usize), None));
        n += 1;
    }
    let mut tries: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    let mut sent = Vec::new();
    while let Some(((at, _), (relay, event))) = due.pop_first() {
        let rig = &mut rigs[relay];
        rig.now = at as f64 / 1000.0;
        if rig.now > END {
            break;
        }
        let event = event.unwrap_or_else(|| rig.request(SAFE, 0).1);
        rig.give(&[event]);
        for action in rig.last.clone() {
            let (after, event) = match action {
                Action::Send { id, timeout_ms, .. } => {
                    let down = (DOWN.0..DOWN.1).contains(&rig.now);
                    if rig.now >= DOWN.1 {
                        sent.push(rig.now);
                    }
                    let attempt = *tries.entry((relay, id)).and_modify(|n| *n += 1).or_insert(0);
                    let (outcome, took_ms) = if down {
                        (down_outcome, timeout_ms.unwrap_or(down_ms).min(down_ms))
                    } else {
                        (Outcome::Delivered, 40.0)
                    };
                    let (settled, wait_ms, report) = (!down, 0.0, Vec::new());
                    (took_ms, Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report })
                }
                Action::Timer { at, token } => (at - rig.now, Event::Timer { token }),
                _ => continue,
            };
            n += 1;
            due.insert((((rig.now + after) * 1000.0).ceil() as u64, n), (relay, Some(event)));
        }
    }
    sent
}

/// The most calls in one span after the return, as a share of what is allowed then.
fn most(sent: &[f64]) -> f64 {
    let s = settings();
    let mut most = 0.0f64;
    for (first, at) in sent.iter().enumerate() {
        let count = sent[first..].iter().take_while(|x| **x < at + s.fall_ms).count() as f64;
        let warm = ((at + s.fall_ms - DOWN.1) / s.warm_after_ms).min(1.0);
        let able = s.cold_share + (1.0 - s.cold_share) * warm;
        let allowed = s.fall_multiple * able * LOAD * s.fall_ms / 1000.0;
        most = most.max(count / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    most
}

#[test]
fn a_cold_destination_does_not_fall_under_the_sum_of_all_relays() {
    let seeds = std::env::var("LINENHALL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(12);
    let mut bad = Vec::new();
    for relays in [1, 2, 4, 8, 20, 30, 100, 300] {
        let mut all: Vec<f64> = (0..seeds).map(|seed| most(&calls(relays, seed))).collect();
        all.sort_by(f64::total_cmp);
        let at = |share: f64| all[((all.len() - 1) as f64 * share).round() as usize];
        let delivered = calls(relays, 0).len();
        println!(
            "{relays} relays: {:.2} median, {:.2} at 99.9%, {:.2} at most; {delivered} calls",
            at(0.5),
            at(0.999),
            at(1.0)
        );
        if at(0.999) > 1.0 {
            bad.push((relays, at(0.999)));
        }
    }
    assert!(bad.is_empty(), "over what is allowed: {bad:?}");
}

/// Whatever the outage looked like from outside: its kind shows in how calls end, and the destination is as cold after each.
///
/// After an outage that answered with errors, 30 relays sent 1.52 times what is allowed: there three trials in a row have to be
/// delivered, and the second and third went at once. Three from each of 30 relays are 90 calls, where 51 are allowed (67 with
/// chance) in the span.
#[test]
fn so_it_is_after_outages_of_other_kinds() {
    let kinds =
        [(Outcome::TimedOut, 2500.0), (Outcome::Error, 5.0), (Outcome::Full, 5.0), (Outcome::Broken, 30.0)];
    let mut bad = Vec::new();
    for kind in kinds {
        for relays in [1, 2, 4, 8, 30, 100] {
            let worst = (0..6).map(|seed| most(&calls_after(kind, relays, seed))).fold(0.0, f64::max);
            println!("{:?}, {relays} relays: {worst:.2} at most", kind.0);
            if worst > 1.0 {
                bad.push((kind.0, relays, worst));
            }
        }
    }
    assert!(bad.is_empty(), "over what is allowed: {bad:?}");
}
