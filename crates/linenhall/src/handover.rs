//! Export of what a relay has learnt, and import of what an earlier process exported. This module makes no
//! decisions.

use crate::fleet::{BreakerState, EndpointGroup, EndpointGroupId, Name};
use crate::learnt::{Learnt, LearntDestination, LearntGroup, LearntHost, Rate};
use crate::logic::Relay;
use crate::meter::Meter;
use crate::state::clamp_finite;

/// Maximum number of sends of a group that are exported one by one; the weight of older ones is added to the
/// first.
const MAX_SENDS: usize = 256;
/// Larger numbers, and spans of more than ten minutes, are clamped: a wrong value must not block a group for
/// good.
const MAX_FIGURE: f64 = 1e9;
/// See [`MAX_FIGURE`].
const MAX_SPAN_MS: f64 = 600_000.0;
/// Minimum rate limit in calls a second.
const MIN_RATE_LIMIT: f64 = 0.01;
/// Maximum number of tokens that a bucket may owe.
const MAX_OWED_TOKENS: f64 = 2.0;
/// Maximum time until the next half-open trial.
const MAX_TRIAL_DELAY_MS: f64 = 60_000.0;

/// Clamps a pair of spans to the accepted range.
fn clamp_span_pair(value: (f64, f64)) -> (f64, f64) {
    (clamp_finite(value.0, 0.0, MAX_SPAN_MS), clamp_finite(value.1, 0.0, MAX_SPAN_MS))
}

/// Returns what is known of a group, as spans relative to `now`.
fn export_group(id: &EndpointGroupId, group: &EndpointGroup, now: f64) -> LearntGroup {
    let mut sends = group.recent_sends.list(now);
    if sends.len() > MAX_SENDS {
        let older: f64 = sends.drain(..sends.len() - MAX_SENDS).map(|s| s.1).sum();
        sends.iter_mut().take(1).for_each(|s| s.1 += older);
    }
    LearntGroup {
        destination: id.0,
        endpoint: id.1.to_string(),
        latency: group.latency,
        told: group.reported_limit,
        pace: group.rate_limit,
        tokens: group.tokens
            + group
                .rate_limit
                .map_or(0.0, |rate_limit| rate_limit * (now - group.refilled_at).max(0.0) / 1000.0),
        cut: now - group.rate_cut_at,
        soon: group.short_rate.export(now),
        usual: group.long_rate.export(now),
        sends,
        fails: group.consecutive_failures,
        share: group.failure_share,
        failing: group.last_failed,
        answers: group.answers_errors,
        trial_in: (group.trial_at - now).max(0.0),
        backoff: group.trial_interval_ms,
        good: (group.last_delivery_at > 0.0).then_some(now - group.last_delivery_at),
    }
}

/// Sets a group to what an earlier process knew of it.
fn restore_group(group: &mut EndpointGroup, learnt: &LearntGroup, now: f64) {
    group.latency = learnt.latency.map(clamp_span_pair);
    group.reported_limit = learnt
        .told
        .map(|value| clamp_finite(value, 0.0, MAX_FIGURE))
        .filter(|value| *value > 0.0)
        .or(group.reported_limit);
    group.rate_limit = learnt.pace.map(|value| clamp_finite(value, MIN_RATE_LIMIT, MAX_FIGURE));
    (group.tokens, group.refilled_at) = (clamp_finite(learnt.tokens, -MAX_OWED_TOKENS, MAX_FIGURE), now);
    group.rate_cut_at = now - clamp_finite(learnt.cut, 0.0, MAX_SPAN_MS);
    (group.short_rate, group.long_rate) =
        (group.short_rate.restore(&learnt.soon, now), group.long_rate.restore(&learnt.usual, now));
    for (age, weight) in learnt.sends.iter().take(MAX_SENDS) {
        group.recent_sends.add(
            now - clamp_finite(*age, 0.0, MAX_SPAN_MS),
            clamp_finite(*weight, 0.0, 1e3),
            f64::NEG_INFINITY,
        );
    }
    (group.consecutive_failures, group.failure_share, group.last_failed) =
        (learnt.fails, clamp_finite(learnt.share, 0.0, 1.0), learnt.failing);
    if group.breaker == BreakerState::Open {
        group.answers_errors = learnt.answers;
        group.trial_at = now + clamp_finite(learnt.trial_in, 0.0, MAX_TRIAL_DELAY_MS);
        group.trial_interval_ms = clamp_finite(learnt.backoff, group.trial_interval_ms, MAX_TRIAL_DELAY_MS);
    }
    group.last_delivery_at =
        learnt.good.map_or(group.last_delivery_at, |age| now - clamp_finite(age, 0.0, MAX_SPAN_MS));
}

impl Relay {
    /// Returns what a process that takes over from this one should know, besides outages and Retry-Afters.
    pub fn export_learnt(&self, now: f64) -> Learnt {
        let mut groups: Vec<_> =
            self.fleet.groups.walk().map(|(id, group)| export_group(id, group, now)).collect();
        groups.sort_by(|a, b| (a.destination, &a.endpoint).cmp(&(b.destination, &b.endpoint)));
        let hosts = self.fleet.hosts.walk().filter(|x| x.1.consecutive_failures > 0 || x.1.avoid_until > now);
        let hosts = hosts.map(|(name, host)| LearntHost {
            endpoint: name.to_string(),
            fails: host.consecutive_failures,
            shun_in: (host.avoid_until - now).max(0.0),
        });
        let mut hosts: Vec<_> = hosts.collect();
        hosts.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        let dests = self
            .fleet
            .destinations
            .walk()
            .map(|(id, destination)| LearntDestination { destination: *id, spent: destination.slot_time() });
        let mut dests: Vec<_> = dests.filter(|destination| destination.spent.0 > 0.0).collect();
        dests.sort_by_key(|destination| destination.destination);
        let (tenants, all) =
            (self.tenant_meters.iter().map(|t| t.export(now)).collect(), Some(self.total_meter.export(now)));
        Learnt { lanes: groups, hosts, dests, tenants, all }
    }

    /// Takes over what an earlier process has learnt and returns the groups that changed.
    pub(crate) fn restore_learnt(&mut self, learnt: &Learnt) -> Vec<EndpointGroupId> {
        let (now, mut changed) = (self.now, Vec::new());
        for row in &learnt.lanes {
            let id = (row.destination, Name::from(row.endpoint.as_str()));
            // Nothing is kept for a group without endpoints.
            if let Some(group) = self.fleet.groups.get_mut(&id) {
                restore_group(group, row, now);
                changed.push(id);
            }
        }
        for row in &learnt.hosts {
            if let Some(host) = self.fleet.hosts.get_mut(row.endpoint.as_str()) {
                (host.consecutive_failures, host.avoid_until) =
                    (row.fails, now + clamp_finite(row.shun_in, 0.0, MAX_TRIAL_DELAY_MS));
                changed.push(host.group_id.clone());
            }
        }
        for row in &learnt.dests {
            if let Some(destination) = self.fleet.destinations.get_mut(&row.destination) {
                destination.restore_slot_time(clamp_span_pair(row.spent));
                changed.extend(destination.groups.iter().map(|group| (row.destination, group.clone())));
            }
        }
        let meters = self.tenant_meters.iter_mut().zip(&learnt.tenants);
        meters.for_each(|(meter, learnt)| *meter = meter.restore(learnt, now));
        if let Some(learnt) = &learnt.all {
            self.total_meter = self.total_meter.restore(learnt, now);
        }
        changed
    }
}

impl Meter {
    /// Returns the meter in the form for a successor.
    pub(crate) fn export(&self, now: f64) -> Rate {
        Rate { sum: self.sum_at(now), age: self.first_added_at().map(|first| now - first) }
    }

    /// Returns a meter with the content that an earlier process exported.
    pub(crate) fn restore(&self, learnt: &Rate, now: f64) -> Meter {
        let age = learnt.age.map(|age| clamp_finite(age, 0.0, MAX_FIGURE));
        self.set(now, clamp_finite(learnt.sum, 0.0, MAX_FIGURE), age.map(|age| now - age))
    }
}
