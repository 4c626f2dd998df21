//! What is harmless when one relay does it, and harmful when a hundred do.

mod common;
use common::*;

/// Relays that know the same and differ in their seeds alone.
fn relays(count: u64, list: &[linenhall::Endpoint]) -> Vec<Rig> {
    let settings = linenhall::Settings { relays: count as usize, ..settings() };
    (0..count).map(|seed| Rig::seeded(settings.clone(), list.to_vec(), seed)).collect()
}

#[test]
fn relays_that_know_the_same_do_not_all_call_the_endpoint_named_first() {
    let list: Vec<_> = ["a", "b", "c"].iter().map(|name| endpoint(name, 0)).collect();
    let mut got = std::collections::BTreeMap::<String, usize>::new();
    for mut relay in relays(99, &list) {
        let (_, event) = relay.request(SAFE, 0);
        let sent = relay.give(&[event]);
        *got.entry(sent[0].1.clone()).or_default() += 1;
        // Each keeps to its own: another endpoint would cost another connection.
        let id = sent[0].0;
        relay.end(id, 0, linenhall::Outcome::Delivered, 20.0);
        let (_, event) = relay.request(SAFE, 0);
        assert_eq!(relay.give(&[event])[0].1, sent[0].1);
    }
    assert!(got.len() == 3 && got.values().all(|n| (20..=46).contains(n)), "of 99 calls: {got:?}");
}

/// A partner that takes `limit` calls a second from all relays, some of them at once; calls that it turns away use
/// its limit up like others. What it tells of what is left is up to half a second old.
struct Partner {
    limit: f64,
    tokens: f64,
    at: f64,
    told: (f64, f64),
}

impl Partner {
    fn new(limit: f64) -> Partner {
        Partner { limit, tokens: limit * 0.4, at: 0.0, told: (0.0, 1.0) }
    }

    /// Whether a call is taken, and the report that goes with the answer.
    fn call(&mut self, now: f64) -> (bool, Vec<f64>) {
        let most = self.limit * 0.4;
        self.tokens = (self.tokens + self.limit * (now - self.at) / 1000.0).min(most);
        self.at = now;
        if now - self.told.0 > 500.0 {
            self.told = (now, (self.tokens / most).max(0.0));
        }
        let taken = self.tokens >= 1.0;
        self.tokens -= 1.0;
        (taken, vec![self.told.1, self.limit])
    }
}

#[derive(Debug, Default)]
struct Sum {
    asked: usize,
    taken: usize,
    turned_away: usize,
}

/// A hundred relays and one partner for 30 s: messages come to each relay by chance, and every 5 s a second and a half
/// of the limit comes in 0.3 s.
fn play(limit: f64, load: f64, seed: u64) -> Sum {
    use std::collections::BTreeMap;
    let told =
        linenhall::Settings { remaining_column: Some(0), limit_column: Some(1), max_open: 34, ..settings() };
    let settings = linenhall::Settings { relays: 100, slots: 6, ..told };
    let mut relays: Vec<Rig> =
        (0..100).map(|n| Rig::seeded(settings.clone(), vec![endpoint("a", 0)], seed + n)).collect();
    let (mut random, mut partner) = (fastrand::Rng::with_seed(seed), Partner::new(limit));
    let mut due: BTreeMap<(u64, u64), (usize, Option<linenhall::Event>)> = BTreeMap::new();
    let (mut sum, mut n, mut at) = (Sum::default(), 0, 0.0);
    while at < 30000.0 {
        at += -(1.0 - random.f64()).ln() * 1000.0 / (limit * load);
        due.insert(((at * 1000.0) as u64, n), (random.usize(..100), None));
        n += 1;
    }
    for clump in 1..6 {
        for _ in 0..(limit * 1.5 * load) as usize {
            let at = 5000.0 * f64::from(clump) + 300.0 * random.f64();
            due.insert(((at * 1000.0) as u64, n), (random.usize(..100), None));
            n += 1;
        }
    }
    sum.asked = n as usize;
    let mut tries: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    while let Some(((at, _), (relay, event))) = due.pop_first() {
        let rig = &mut relays[relay];
        rig.now = at as f64 / 1000.0;
        let event = event.unwrap_or_else(|| rig.request(SAFE, 0).1);
        rig.give(&[event]);
        for action in rig.last.clone() {
            let (after, event) = match action {
                linenhall::Action::Send { id, .. } => {
                    let (taken, report) = partner.call(rig.now);
                    sum.taken += usize::from(taken);
                    sum.turned_away += usize::from(!taken);
                    let attempt = *tries.entry((relay, id)).and_modify(|n| *n += 1).or_insert(0);
                    let outcome =
                        if taken { linenhall::Outcome::Delivered } else { linenhall::Outcome::Full };
                    let (took_ms, wait_ms) = (40.0, 0.0);
                    let end = linenhall::Event::Ended {
                        id,
                        attempt,
                        outcome,
                        took_ms,
                        settled: taken,
                        wait_ms,
                        report,
                    };
                    (took_ms, end)
                }
                linenhall::Action::Timer { at, token } => (at - rig.now, linenhall::Event::Timer { token }),
                _ => continue,
            };
            n += 1;
            due.insert((((rig.now + after) * 1000.0).ceil() as u64, n), (relay, Some(event)));
        }
    }
    sum
}

/// Each relay has a message for the partner every few seconds: what it learns by its own refusals comes too late, and
/// all that it was told of is the partner's limit. That is what all of them have to share.
#[test]
fn a_limit_shared_by_a_hundred_relays_is_used_and_not_used_up_by_refusals() {
    for (limit, load, least) in [(24.0, 0.6, 0.8), (24.0, 0.9, 0.6), (80.0, 0.9, 0.7)] {
        let sums: Vec<Sum> = (0..3).map(|n| play(limit, load, 1000 * n)).collect();
        let all = |f: fn(&Sum) -> usize| sums.iter().map(f).sum::<usize>() as f64;
        let (asked, taken, away) = (all(|s| s.asked), all(|s| s.taken), all(|s| s.turned_away));
        println!("{limit} {load}: {:.3} taken, {:.3} turned away", taken / asked, away / asked);
        assert!(taken / asked >= least, "limit {limit}, load {load}: {sums:?}");
        assert!(away / asked <= 0.3, "limit {limit}, load {load}: {sums:?}");
    }
}

/// A queue that is full, or a machine that is new and cold, is the endpoint's own; a limit is the destination's.
#[test]
fn an_endpoint_that_refuses_with_much_of_the_limit_left_is_left_for_another() {
    let told = linenhall::Settings { remaining_column: Some(0), limit_column: Some(1), ..settings() };
    let settings = linenhall::Settings { relays: 100, ..told };
    for (left, another) in [(0.95, true), (0.1, false)] {
        let list = vec![endpoint("a", 0), endpoint("b", 0)];
        let mut rig = Rig::seeded(settings.clone(), list, 3);
        let (id, event) = rig.request(SAFE, 0);
        let first = rig.give(&[event])[0].1.clone();
        let outcome = linenhall::Outcome::Full;
        let report = vec![left, 1000.0];
        let (attempt, took_ms, settled, wait_ms) = (0, 20.0, false, 0.0);
        let refused = linenhall::Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report };
        assert!(rig.give(&[refused]).is_empty(), "quiet after a refusal");
        let mut next = Vec::new();
        for _ in 0..100 {
            next = if next.is_empty() { rig.wait(20.0) } else { next };
        }
        assert_eq!(next.iter().any(|s| s.1 != first), another, "{left} left: {next:?}, first {first}");
        assert_eq!(next.len(), 1);
    }
}

fn refused(id: u64, attempt: u32, wait_ms: f64, report: Vec<f64>) -> linenhall::Event {
    let (outcome, took_ms, settled) = (linenhall::Outcome::Full, 20.0, false);
    linenhall::Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report }
}

fn told() -> linenhall::Settings {
    linenhall::Settings { remaining_column: Some(0), limit_column: Some(1), ..settings() }
}

/// A partner that is shut tells all relays how long, and opens at one moment: they must not all come at that moment.
#[test]
fn relays_that_were_told_to_wait_until_one_moment_come_back_spread_over_what_the_limit_takes() {
    let settings = linenhall::Settings { relays: 100, ..told() };
    let mut back = Vec::new();
    for seed in 0..100 {
        let mut rig = Rig::seeded(settings.clone(), vec![endpoint("a", 0)], seed);
        let (id, event) = rig.request(SAFE, 0);
        rig.give(&[event]);
        let opens = rig.now + 2000.0;
        assert!(rig.give(&[refused(id, 0, 2000.0, vec![0.0, 50.0])]).is_empty());
        while rig.wait(10.0).is_empty() && rig.now < opens + 5000.0 {}
        assert!(rig.now >= opens, "a wait is heeded");
        back.push(rig.now - opens);
    }
    // A limit of 50 a second takes two seconds for a call of each.
    let within = |ms: f64| back.iter().filter(|x| **x < ms).count();
    assert!(within(800.0) <= 50, "{} of 100 come at once: {back:?}", within(800.0));
    assert!(within(2600.0) >= 95, "{} of 100 are back: {back:?}", within(2600.0));
}

/// After a kill nobody knows a limit. One call of each relay tells it; all that is held would use it up.
#[test]
fn while_a_limit_is_not_known_one_call_is_out_among_many_relays() {
    for (relays, most) in [(100, 1), (3, 6)] {
        let settings = linenhall::Settings { relays, slots: 8, ..told() };
        let mut rig = Rig::seeded(settings, vec![endpoint("a", 0)], 3);
        let events: Vec<_> = (0..6).map(|_| rig.request(SAFE, 0).1).collect();
        let sent = rig.give(&events);
        assert_eq!(sent.len(), most, "{relays} relays");
        // A partner that tells no limit has none: once it has answered, nothing is held back for one.
        let id = sent[0].0;
        let next = rig.end(id, 0, linenhall::Outcome::Delivered, 20.0);
        assert_eq!(next.len() + sent.len() - 1, 5, "{relays} relays, no limit told");
    }
}

/// Each relay hears of a return by a trial of its own alone: one that goes there often must not wait for seconds.
#[test]
fn in_a_crowd_a_destination_that_is_out_is_tried_about_every_second() {
    let settings = linenhall::Settings { relays: 100, slots: 8, max_open: 100, ..told() };
    let mut rig = Rig::seeded(settings, vec![endpoint("a", 0)], 3);
    // Well and often used for a while, at a part of three calls a second.
    for _ in 0..60 {
        let (id, event) = rig.request(SAFE, 0);
        let mut sent = rig.give(&[event]);
        while sent.is_empty() {
            sent = rig.wait(10.0);
        }
        assert_eq!(sent[0].0, id);
        let (outcome, took_ms, settled, wait_ms) = (linenhall::Outcome::Delivered, 20.0, true, 0.0);
        let report = vec![0.5, 300.0];
        rig.give(&[linenhall::Event::Ended { id, attempt: 0, outcome, took_ms, settled, wait_ms, report }]);
        rig.now += 300.0;
    }
    let events: Vec<_> = (0..80).map(|_| rig.request(SAFE, 0).1).collect();
    let mut sent = rig.give(&events);
    let (start, mut times) = (rig.now, Vec::new());
    let mut tries = std::collections::BTreeMap::new();
    while rig.now < start + 9000.0 {
        let failed: Vec<_> = sent.drain(..).map(|(id, _)| id).collect();
        for id in failed {
            times.push(rig.now);
            let attempt: &mut u32 = tries.entry(id).or_default();
            sent.extend(rig.end(id, *attempt, linenhall::Outcome::NoConnection, 5.0));
            *attempt += 1;
        }
        sent.extend(rig.wait(10.0));
    }
    let late: Vec<f64> = times.windows(2).filter(|w| w[0] > start + 4000.0).map(|w| w[1] - w[0]).collect();
    let longest = late.iter().copied().fold(0.0, f64::max);
    assert!(late.len() >= 3 && longest <= 1400.0, "{longest} ms between trials: {late:?}");
}

fn delivered(id: u64, report: Vec<f64>) -> linenhall::Event {
    let (outcome, took_ms, settled, wait_ms) = (linenhall::Outcome::Delivered, 20.0, true, 0.0);
    linenhall::Event::Ended { id, attempt: 0, outcome, took_ms, settled, wait_ms, report }
}

#[test]
fn a_pace_above_the_even_part_crosses_a_takeover_and_outlasts_the_next_answer() {
    let settings = linenhall::Settings { relays: 100, ..told() };
    let mut old = Rig::seeded(settings.clone(), vec![endpoint("a", 0)], 3);
    for _ in 0..6 {
        let (id, event) = old.request(SAFE, 0);
        assert_eq!(old.give(&[event]).len(), 1);
        old.give(&[delivered(id, vec![0.95, 100.0])]);
        old.now += 2000.0;
    }
    let learnt = old.relay.learnt(old.now);
    let pace = learnt.lanes[0].pace.unwrap_or(0.0);
    assert!(pace > 1.3, "risen from an even part of one: {pace}");
    let mut new = Rig::seeded(settings, vec![endpoint("a", 0)], 4);
    new.now = old.now;
    new.give(&[linenhall::Event::Learnt(Box::new(learnt))]);
    new.now += 2000.0;
    let (id, event) = new.request(SAFE, 0);
    assert_eq!(new.give(&[event]).len(), 1);
    new.give(&[delivered(id, vec![0.5, 100.0])]);
    assert_eq!(new.relay.learnt(new.now).lanes[0].pace, Some(pace));
}

/// With much of the limit left all raise their paces. Where this relay always has a backlog, so have the others.
#[test]
fn a_relay_that_always_has_a_backlog_does_not_rise_above_its_even_part() {
    let settings = linenhall::Settings { relays: 100, max_open: 100, ..told() };
    let mut rig = Rig::seeded(settings, vec![endpoint("a", 0)], 3);
    let mut sent = Vec::new();
    for n in 0..1200 {
        // Two a second come, one goes.
        if n % 50 == 0 {
            let events = [rig.request(SAFE, 0).1, rig.request(SAFE, 0).1];
            sent.extend(rig.give(&events));
        }
        sent.extend(rig.wait(10.0));
        for (id, _) in std::mem::take(&mut sent) {
            sent.extend(rig.give(&[delivered(id, vec![0.95, 100.0])]));
        }
    }
    let pace = rig.relay.learnt(rig.now).lanes[0].pace.unwrap_or(0.0);
    assert!((0.9..=1.1).contains(&pace), "{pace} of an even part of one");
}
