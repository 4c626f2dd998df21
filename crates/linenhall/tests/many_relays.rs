//! Behaviour of many relays that share the same destinations: what is harmless from one relay can be harmful
//! when a hundred do it at once.

mod common;
use common::*;

/// Creates relays with the same list and settings, which differ only in their seeds.
fn relays(count: u64, list: &[linenhall::Endpoint]) -> Vec<Harness> {
    let settings = linenhall::Settings { relays: count as usize, ..settings() };
    (0..count).map(|seed| Harness::with_list_and_seed(settings.clone(), list.to_vec(), seed)).collect()
}

/// Guards against ties between endpoints that all relays break in the same way, so that one endpoint gets all
/// calls.
#[test]
fn relays_with_the_same_list_spread_their_calls_over_its_endpoints() {
    let list: Vec<_> = ["a", "b", "c"].iter().map(|name| endpoint(name, 0)).collect();
    let mut calls = std::collections::BTreeMap::<String, usize>::new();
    for mut relay in relays(99, &list) {
        let (_, event) = relay.request(SAFE, 0);
        let sent = relay.handle(&[event]);
        *calls.entry(sent[0].1.clone()).or_default() += 1;
        // Each relay stays with its endpoint, as another one would cost another connection.
        let id = sent[0].0;
        relay.end_attempt(id, 0, linenhall::Outcome::Delivered, 20.0);
        let (_, event) = relay.request(SAFE, 0);
        assert_eq!(relay.handle(&[event])[0].1, sent[0].1);
    }
    assert!(
        calls.len() == 3 && calls.values().all(|n| (20..=46).contains(n)),
        "99 calls are not spread evenly: {calls:?}"
    );
}

/// A partner that accepts `limit` calls per second from all relays, with a token bucket of 0.4 s. Calls that
/// it turns away use up tokens too. The remaining share in its load reports is up to half a second old.
struct Partner {
    limit: f64,
    tokens: f64,
    refilled_at: f64,
    /// Time and remaining share of the current load report.
    reported: (f64, f64),
}

impl Partner {
    fn new(limit: f64) -> Partner {
        Partner { limit, tokens: limit * 0.4, refilled_at: 0.0, reported: (0.0, 1.0) }
    }

    /// Returns whether a call is accepted, and the load report in its response.
    fn call(&mut self, now: f64) -> (bool, Vec<f64>) {
        let max_tokens = self.limit * 0.4;
        self.tokens = (self.tokens + self.limit * (now - self.refilled_at) / 1000.0).min(max_tokens);
        self.refilled_at = now;
        if now - self.reported.0 > 500.0 {
            self.reported = (now, (self.tokens / max_tokens).max(0.0));
        }
        let accepted = self.tokens >= 1.0;
        self.tokens -= 1.0;
        (accepted, vec![self.reported.1, self.limit])
    }
}

#[derive(Debug, Default)]
struct Totals {
    submitted: usize,
    accepted: usize,
    turned_away: usize,
}

/// Simulates 100 relays and one partner for 30 s. Each message goes to a random relay, and every 5 s there is
/// a burst of 1.5 s worth of the load within 0.3 s.
fn simulate(limit: f64, load: f64, seed: u64) -> Totals {
    use std::collections::BTreeMap;
    let base =
        linenhall::Settings { remaining_column: Some(0), limit_column: Some(1), max_open: 34, ..settings() };
    let settings = linenhall::Settings { relays: 100, slots: 6, ..base };
    let mut relays: Vec<Harness> = (0..100)
        .map(|n| Harness::with_list_and_seed(settings.clone(), vec![endpoint("a", 0)], seed + n))
        .collect();
    let (mut rng, mut partner) = (fastrand::Rng::with_seed(seed), Partner::new(limit));
    let mut agenda: BTreeMap<(u64, u64), (usize, Option<linenhall::Event>)> = BTreeMap::new();
    let (mut totals, mut sequence, mut at) = (Totals::default(), 0, 0.0);
    while at < 30000.0 {
        at += -(1.0 - rng.f64()).ln() * 1000.0 / (limit * load);
        agenda.insert(((at * 1000.0) as u64, sequence), (rng.usize(..100), None));
        sequence += 1;
    }
    for burst in 1..6 {
        for _ in 0..(limit * 1.5 * load) as usize {
            let at = 5000.0 * f64::from(burst) + 300.0 * rng.f64();
            agenda.insert(((at * 1000.0) as u64, sequence), (rng.usize(..100), None));
            sequence += 1;
        }
    }
    totals.submitted = sequence as usize;
    let mut attempts: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    while let Some(((at, _), (relay, event))) = agenda.pop_first() {
        let harness = &mut relays[relay];
        harness.now = at as f64 / 1000.0;
        let event = event.unwrap_or_else(|| harness.request(SAFE, 0).1);
        harness.handle(&[event]);
        for action in harness.last_actions.clone() {
            let (after, event) = match action {
                linenhall::Action::Send { id, .. } => {
                    let (accepted, report) = partner.call(harness.now);
                    totals.accepted += usize::from(accepted);
                    totals.turned_away += usize::from(!accepted);
                    let attempt = *attempts.entry((relay, id)).and_modify(|n| *n += 1).or_insert(0);
                    let outcome =
                        if accepted { linenhall::Outcome::Delivered } else { linenhall::Outcome::Full };
                    let (took_ms, retry_after_ms) = (40.0, 0.0);
                    let end = linenhall::Event::Ended {
                        id,
                        attempt,
                        outcome,
                        took_ms,
                        settled: accepted,
                        retry_after_ms,
                        report,
                    };
                    (took_ms, end)
                }
                linenhall::Action::Timer { at, token } => {
                    (at - harness.now, linenhall::Event::Timer { token })
                }
                _ => continue,
            };
            sequence += 1;
            agenda.insert((((harness.now + after) * 1000.0).ceil() as u64, sequence), (relay, Some(event)));
        }
    }
    totals
}

/// Guards against a shared limit that is left unused or spent on refused calls. Each relay has a message for
/// the partner only every few seconds, so its own refusals tell it too late; it knows only the partner's
/// limit and has to keep to its part of it.
#[test]
fn a_limit_shared_by_100_relays_is_used_and_not_spent_on_refused_calls() {
    for (limit, load, min_accepted) in [(24.0, 0.6, 0.8), (24.0, 0.9, 0.6), (80.0, 0.9, 0.7)] {
        let runs: Vec<Totals> = (0..3).map(|n| simulate(limit, load, 1000 * n)).collect();
        let total = |f: fn(&Totals) -> usize| runs.iter().map(f).sum::<usize>() as f64;
        let (submitted, accepted, turned_away) =
            (total(|s| s.submitted), total(|s| s.accepted), total(|s| s.turned_away));
        println!(
            "limit {limit}, load {load}: {:.3} accepted, {:.3} turned away",
            accepted / submitted,
            turned_away / submitted
        );
        assert!(
            accepted / submitted >= min_accepted,
            "too few accepted at limit {limit}, load {load}: {runs:?}"
        );
        assert!(
            turned_away / submitted <= 0.3,
            "too many turned away at limit {limit}, load {load}: {runs:?}"
        );
    }
}

/// A refusal with much of the limit left concerns the endpoint alone: its queue is full, or its machine is
/// new and cold. With little left the limit of the destination is used up, and another endpoint would refuse
/// as well.
#[test]
fn a_refusal_with_much_of_the_limit_left_moves_the_request_to_another_endpoint() {
    let base = linenhall::Settings { remaining_column: Some(0), limit_column: Some(1), ..settings() };
    let settings = linenhall::Settings { relays: 100, ..base };
    for (remaining, expects_other) in [(0.95, true), (0.1, false)] {
        let list = vec![endpoint("a", 0), endpoint("b", 0)];
        let mut harness = Harness::with_list_and_seed(settings.clone(), list, 3);
        let (id, event) = harness.request(SAFE, 0);
        let first = harness.handle(&[event])[0].1.clone();
        let outcome = linenhall::Outcome::Full;
        let report = vec![remaining, 1000.0];
        let (attempt, took_ms, settled, retry_after_ms) = (0, 20.0, false, 0.0);
        let refused =
            linenhall::Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report };
        assert!(harness.handle(&[refused]).is_empty(), "sent again without a backoff after a refusal");
        let mut next = Vec::new();
        for _ in 0..100 {
            next = if next.is_empty() { harness.advance(20.0) } else { next };
        }
        assert_eq!(
            next.iter().any(|s| s.1 != first),
            expects_other,
            "share remaining {remaining}: sent to {next:?}, first to {first}"
        );
        assert_eq!(next.len(), 1);
    }
}

fn refused(id: u64, attempt: u32, retry_after_ms: f64, report: Vec<f64>) -> linenhall::Event {
    let (outcome, took_ms, settled) = (linenhall::Outcome::Full, 20.0, false);
    linenhall::Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report }
}

fn settings_with_limit_reports() -> linenhall::Settings {
    linenhall::Settings { remaining_column: Some(0), limit_column: Some(1), ..settings() }
}

/// Guards against a thundering herd: a partner that is closed sends all relays a Retry-After that ends at the
/// same moment, and they must not all call at that moment.
#[test]
fn relays_with_the_same_retry_after_resume_spread_over_the_time_that_the_limit_needs() {
    let settings = linenhall::Settings { relays: 100, ..settings_with_limit_reports() };
    let mut resumed = Vec::new();
    for seed in 0..100 {
        let mut harness = Harness::with_list_and_seed(settings.clone(), vec![endpoint("a", 0)], seed);
        let (id, event) = harness.request(SAFE, 0);
        harness.handle(&[event]);
        let opens_at = harness.now + 2000.0;
        assert!(harness.handle(&[refused(id, 0, 2000.0, vec![0.0, 50.0])]).is_empty());
        while harness.advance(10.0).is_empty() && harness.now < opens_at + 5000.0 {}
        assert!(harness.now >= opens_at, "called before the end of Retry-After");
        resumed.push(harness.now - opens_at);
    }
    // At a limit of 50 per second, one call from each relay takes two seconds.
    let within = |ms: f64| resumed.iter().filter(|x| **x < ms).count();
    assert!(within(800.0) <= 50, "{} of 100 resume within 0.8 s: {resumed:?}", within(800.0));
    assert!(within(2600.0) >= 95, "only {} of 100 resume within 2.6 s: {resumed:?}", within(2600.0));
}

/// After a crash no relay knows the limit. One call from each is enough to learn it; sending the whole queue
/// would use it up.
#[test]
fn one_call_is_in_flight_while_the_limit_is_unknown_and_relays_are_many() {
    for (relays, expected) in [(100, 1), (3, 6)] {
        let settings = linenhall::Settings { relays, slots: 8, ..settings_with_limit_reports() };
        let mut harness = Harness::with_list_and_seed(settings, vec![endpoint("a", 0)], 3);
        let events: Vec<_> = (0..6).map(|_| harness.request(SAFE, 0).1).collect();
        let sent = harness.handle(&events);
        assert_eq!(sent.len(), expected, "{relays} relays: calls sent while the limit is unknown");
        // A partner that reports no limit has none: after its first answer no message waits for one.
        let id = sent[0].0;
        let next = harness.end_attempt(id, 0, linenhall::Outcome::Delivered, 20.0);
        assert_eq!(
            next.len() + sent.len() - 1,
            5,
            "{relays} relays: messages wait although the answer reports no limit"
        );
    }
}

/// Each relay learns of a recovery only by its own half-open trials, so one that calls the destination often
/// must not wait for seconds between them.
#[test]
fn half_open_trials_go_about_every_second_where_many_relays_share_a_destination() {
    let settings =
        linenhall::Settings { relays: 100, slots: 8, max_open: 100, ..settings_with_limit_reports() };
    let mut harness = Harness::with_list_and_seed(settings, vec![endpoint("a", 0)], 3);
    // The destination is healthy and often used for a while; the part of this relay is three calls a second.
    for _ in 0..60 {
        let (id, event) = harness.request(SAFE, 0);
        let mut sent = harness.handle(&[event]);
        while sent.is_empty() {
            sent = harness.advance(10.0);
        }
        assert_eq!(sent[0].0, id);
        let (outcome, took_ms, settled, retry_after_ms) = (linenhall::Outcome::Delivered, 20.0, true, 0.0);
        let report = vec![0.5, 300.0];
        harness.handle(&[linenhall::Event::Ended {
            id,
            attempt: 0,
            outcome,
            took_ms,
            settled,
            retry_after_ms,
            report,
        }]);
        harness.now += 300.0;
    }
    let events: Vec<_> = (0..80).map(|_| harness.request(SAFE, 0).1).collect();
    let mut sent = harness.handle(&events);
    let (start, mut trial_times) = (harness.now, Vec::new());
    let mut attempts = std::collections::BTreeMap::new();
    while harness.now < start + 9000.0 {
        let failed_ids: Vec<_> = sent.drain(..).map(|(id, _)| id).collect();
        for id in failed_ids {
            trial_times.push(harness.now);
            let attempt: &mut u32 = attempts.entry(id).or_default();
            sent.extend(harness.end_attempt(id, *attempt, linenhall::Outcome::NoConnection, 5.0));
            *attempt += 1;
        }
        sent.extend(harness.advance(10.0));
    }
    let intervals: Vec<f64> =
        trial_times.windows(2).filter(|w| w[0] > start + 4000.0).map(|w| w[1] - w[0]).collect();
    let longest = intervals.iter().copied().fold(0.0, f64::max);
    assert!(
        intervals.len() >= 3 && longest <= 1400.0,
        "too few trials, or {longest} ms between two: {intervals:?}"
    );
}

fn delivered(id: u64, report: Vec<f64>) -> linenhall::Event {
    let (outcome, took_ms, settled, retry_after_ms) = (linenhall::Outcome::Delivered, 20.0, true, 0.0);
    linenhall::Event::Ended { id, attempt: 0, outcome, took_ms, settled, retry_after_ms, report }
}

/// Guards against a takeover that resets a relay's rate limit to its even part of the partner's limit.
#[test]
fn a_rate_limit_above_the_even_part_survives_a_takeover_and_the_next_answer() {
    let settings = linenhall::Settings { relays: 100, ..settings_with_limit_reports() };
    let mut old = Harness::with_list_and_seed(settings.clone(), vec![endpoint("a", 0)], 3);
    for _ in 0..6 {
        let (id, event) = old.request(SAFE, 0);
        assert_eq!(old.handle(&[event]).len(), 1);
        old.handle(&[delivered(id, vec![0.95, 100.0])]);
        old.now += 2000.0;
    }
    let learnt = old.relay.export_learnt(old.now);
    let rate_limit = learnt.lanes[0].pace.unwrap_or(0.0);
    assert!(
        rate_limit > 1.3,
        "the rate limit has not risen above the even part of one call a second: {rate_limit}"
    );
    let mut new = Harness::with_list_and_seed(settings, vec![endpoint("a", 0)], 4);
    new.now = old.now;
    new.handle(&[linenhall::Event::RestoreLearnt(Box::new(learnt))]);
    new.now += 2000.0;
    let (id, event) = new.request(SAFE, 0);
    assert_eq!(new.handle(&[event]).len(), 1);
    new.handle(&[delivered(id, vec![0.5, 100.0])]);
    assert_eq!(new.relay.export_learnt(new.now).lanes[0].pace, Some(rate_limit));
}

/// With much of the limit left, all relays raise their rate limits. A relay that always has a backlog must stay
/// at its even part of the limit, as the other relays then have a backlog as well.
#[test]
fn the_rate_limit_stays_at_the_even_part_where_a_relay_always_has_a_backlog() {
    let settings = linenhall::Settings { relays: 100, max_open: 100, ..settings_with_limit_reports() };
    let mut harness = Harness::with_list_and_seed(settings, vec![endpoint("a", 0)], 3);
    let mut sent = Vec::new();
    for n in 0..1200 {
        // Two messages per half second are submitted, and the even part is one call a second.
        if n % 50 == 0 {
            let events = [harness.request(SAFE, 0).1, harness.request(SAFE, 0).1];
            sent.extend(harness.handle(&events));
        }
        sent.extend(harness.advance(10.0));
        for (id, _) in std::mem::take(&mut sent) {
            sent.extend(harness.handle(&[delivered(id, vec![0.95, 100.0])]));
        }
    }
    let rate_limit = harness.relay.export_learnt(harness.now).lanes[0].pace.unwrap_or(0.0);
    assert!(
        (0.9..=1.1).contains(&rate_limit),
        "the rate limit is {rate_limit}, the even part one call a second"
    );
}
