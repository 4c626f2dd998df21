//! Checks when a change of the list is in force in the worst order of events: the calls of one relay, a
//! discovery service that is away for a while or lets its open watches fall silent, and a change at any
//! moment. A relay is expected to know a change at the latest 6 s after discovery had it and could be
//! reached.
//! `HTTP_SEEDS=N` tries more orders.
use mulleinslip_http::{FailureKind, ListCall, PollCost};
use std::time::Duration;

/// Time after which a relay is expected to know a change that discovery had while it could be reached.
const KNOWN_WITHIN_MS: f64 = 6000.0;
/// Network time of a call and its answer.
const NETWORK_MS: f64 = 20.0;
/// Simulated time after which a run ends.
const LONGEST_RUN_MS: f64 = 120_000.0;

/// What discovery does while it is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Calls get no answer, and open watches fall silent for good.
    Silent,
    /// Calls are refused, and open watches are broken off.
    Refusing,
}

/// One order of events, in milliseconds.
#[derive(Debug)]
struct Scenario {
    outage: (Outage, f64, f64),
    /// When open watches fall silent.
    watches_silenced_at: f64,
    changed_at: f64,
}

impl Scenario {
    fn draw(random: &mut fastrand::Rng) -> Scenario {
        let outage_kind = if random.bool() { Outage::Silent } else { Outage::Refusing };
        let from = random.f64() * 20_000.0;
        let outage = (outage_kind, from, from + random.f64() * 40_000.0);
        Scenario { outage, watches_silenced_at: random.f64() * 60_000.0, changed_at: random.f64() * 60_000.0 }
    }

    fn is_down(&self, at: f64) -> bool {
        (self.outage.1..self.outage.2).contains(&at)
    }

    /// Returns the time from which the relay is expected to know the change: discovery could be reached for 6
    /// s before. (If discovery goes away again sooner, a relay whose watch was silent can't learn of the
    /// change.)
    fn known_by(&self) -> f64 {
        let uninterrupted =
            self.changed_at + KNOWN_WITHIN_MS <= self.outage.1 || self.changed_at >= self.outage.2;
        let reachable_from = if uninterrupted { self.changed_at } else { self.outage.2 };
        reachable_from + KNOWN_WITHIN_MS
    }

    /// Returns when a watch that begins at `at` ends and whether it ends with an answer.
    fn watch_end(&self, poll_cost: PollCost, list_call: ListCall, at: f64) -> (f64, bool) {
        let wait_ms = poll_cost.watch_time(list_call).as_secs_f64() * 1000.0;
        let timed_out_at = at + poll_cost.time_limit(list_call).as_secs_f64() * 1000.0;
        if self.is_down(at) {
            return match self.outage.0 {
                Outage::Silent => (timed_out_at, false),
                Outage::Refusing => (at + NETWORK_MS, false),
            };
        }
        let answered_at = if self.changed_at <= at { at } else { self.changed_at.min(at + wait_ms) };
        let silenced = (at..answered_at).contains(&self.watches_silenced_at);
        let cut_off = (at..answered_at).contains(&self.outage.1);
        match self.outage.0 {
            _ if silenced => (timed_out_at, false),
            Outage::Silent if cut_off => (timed_out_at, false),
            Outage::Refusing if cut_off => (self.outage.1 + NETWORK_MS, false),
            _ => (answered_at + NETWORK_MS, true),
        }
    }

    /// Returns when the relay has the change.
    fn in_force_at(&self, poll_cost: PollCost, random: &mut fastrand::Rng) -> f64 {
        let (mut at, mut failures) = (-random.f64() * 5000.0, 0);
        let mut list_call = ListCall::NextWatch;
        while at < LONGEST_RUN_MS {
            let started_at = at;
            let (ended_at, answered) = self.watch_end(poll_cost, list_call, started_at);
            at = ended_at;
            if answered && self.changed_at <= ended_at - NETWORK_MS {
                return ended_at;
            }
            list_call = if answered { ListCall::NextWatch } else { poll_cost.call_after_failure() };
            if answered {
                failures = 0;
            } else {
                let elapsed = Duration::from_secs_f64((ended_at - started_at) / 1000.0);
                let pause = poll_cost.pause(failures, FailureKind::Unanswered, elapsed, random.f64());
                at += pause.as_secs_f64() * 1000.0;
                failures += 1;
            }
        }
        at
    }
}

/// Returns the longest time between when the relay is expected to know a change and when it is in force, with
/// the order of events that causes it.
fn latest(poll_cost: PollCost) -> (f64, String) {
    let seeds = std::env::var("HTTP_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000);
    let lateness = (0..seeds).map(|seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let scenario = Scenario::draw(&mut random);
        (
            scenario.in_force_at(poll_cost, &mut random) - scenario.known_by(),
            format!("seed {seed}: {scenario:?}"),
        )
    });
    lateness.max_by(|a, b| a.0.total_cmp(&b.0)).expect("some seeds")
}

/// The list is pushed to an agent on the relay's own machine, however many relays there are.
#[test]
fn a_change_of_a_list_that_is_pushed_is_in_force_in_time() {
    let (late_ms, scenario) = latest(PollCost::of(300, false));
    println!("{late_ms:.0} ms after it is expected to be known, {scenario}");
    assert!(late_ms <= 0.0, "{late_ms:.0} ms too late, {scenario}");
}

/// Few relays poll a discovery service: calls are as frequent as with a pushed list.
#[test]
fn a_change_of_a_list_that_is_asked_for_among_few_is_in_force_in_time() {
    let (late_ms, scenario) = latest(PollCost::of(7, true));
    println!("{late_ms:.0} ms after it is expected to be known, {scenario}");
    assert!(late_ms <= 0.0, "{late_ms:.0} ms too late, {scenario}");
}

/// Many relays poll a discovery service, which bears fewer calls. Guards against sends to hosts that left:
/// a silent watch was given up after 11 s, and a call after a failed one came up to 16 s later.
#[test]
fn a_change_of_a_list_that_is_asked_for_among_many_is_in_force_in_time() {
    let (late_ms, scenario) = latest(PollCost::of(8, true));
    println!("{late_ms:.0} ms after it is expected to be known, {scenario}");
    assert!(late_ms <= 0.0, "{late_ms:.0} ms too late, {scenario}");
}

/// A discovery service that many relays share. It serves one call after another, and turns a call away at once
/// that would wait for too long.
struct SharedDiscovery {
    service_ms: f64,
    /// Time until which it is busy with the calls that it has accepted.
    busy_until: f64,
    up_from: f64,
}

impl SharedDiscovery {
    /// Longest time that a call waits for its turn.
    const MAX_QUEUE_MS: f64 = 3000.0;

    /// Returns when a call is answered, and whether with the list. `None` if it never is.
    fn answer(&mut self, at: f64) -> Option<(f64, bool)> {
        if at < self.up_from {
            return None;
        }
        self.busy_until = self.busy_until.max(at);
        if self.busy_until - at > Self::MAX_QUEUE_MS {
            return Some((at + NETWORK_MS, false));
        }
        self.busy_until += self.service_ms;
        Some((self.busy_until + NETWORK_MS, true))
    }
}

/// Returns when the last of `relays` relays has the list after an outage, and the calls that all of them
/// made until then.
fn all_answered_at(
    relays: usize, ms_per_relay: f64, down_ms: f64, random: &mut fastrand::Rng,
) -> (f64, usize) {
    let poll_cost = PollCost::of(relays, true);
    let service_ms = ms_per_relay / relays as f64;
    let mut discovery = SharedDiscovery { service_ms, busy_until: 0.0, up_from: down_ms };
    // All relays are restarted during the outage.
    let first_call = |random: &mut fastrand::Rng| poll_cost.start_delay(random.f64()).as_secs_f64() * 1000.0;
    let mut due: Vec<(f64, u32)> = (0..relays).map(|_| (first_call(random), 0)).collect();
    let limit = poll_cost.time_limit(ListCall::FirstWatch).as_secs_f64() * 1000.0;
    let (mut last, mut calls) = (0.0f64, 0);
    while let Some(next) = (0..due.len()).min_by(|a, b| due[*a].0.total_cmp(&due[*b].0)) {
        let (at, failures) = due[next];
        calls += 1;
        let answer = discovery.answer(at);
        if let Some((answered_at, true)) = answer {
            // An answer after the limit is accepted as well.
            last = last.max(answered_at);
            due.swap_remove(next);
            continue;
        }
        let elapsed = answer.map_or(limit, |(answered_at, _)| (answered_at - at).min(limit));
        let elapsed = Duration::from_secs_f64(elapsed / 1000.0);
        let pause = poll_cost.pause(failures, FailureKind::Unanswered, elapsed, random.f64());
        due[next] = (at + (elapsed + pause).as_secs_f64() * 1000.0, failures + 1);
    }
    (last, calls)
}

/// Guards against relays that keep a discovery service overloaded for good: they gave a call up after a
/// second and made the next one at once. Discovery serves a call of each relay in 2 to 8 s; after an outage
/// in which all relays were restarted, each has the list within two such rounds, with no more calls than one
/// in 2 s from each.
#[test]
fn many_relays_that_return_together_do_not_keep_discovery_overloaded() {
    for relays in [8, 100, 900] {
        for ms_per_relay in [2000.0, 4000.0, 8000.0] {
            for seed in 0..5 {
                let mut random = fastrand::Rng::with_seed(seed);
                let down_ms = 2000.0 + random.f64() * 20_000.0;
                let (last, calls) = all_answered_at(relays, ms_per_relay, down_ms, &mut random);
                let case = format!("{relays} relays, {ms_per_relay} ms, seed {seed}");
                let back_ms = last - down_ms;
                assert!(back_ms < 2.0 * ms_per_relay.max(KNOWN_WITHIN_MS), "{case}: {back_ms:.0} ms");
                let interval_ms = last * relays as f64 / calls as f64;
                assert!(interval_ms > 2000.0, "{case}: a call every {interval_ms:.0} ms from each");
            }
        }
    }
}
