//! The destinations, their endpoints, and the endpoint groups that share one limit and one health, as tables.
//! This module keeps them; `logic` decides about them.

use crate::index::group_calls::GroupCalls;
use crate::index::sub_queue::SubQueue;
use crate::index::table::Table;
use crate::interface::{Endpoint, EndpointStatus, Outage};
use crate::meter::Meter;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The name of an endpoint or an order key, shared by everything that stores it.
pub type Name = Arc<str>;

/// State of a group's circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum BreakerState {
    /// Calls go out normally.
    #[default]
    Closed,
    /// Only single half-open trials go out.
    Open,
    /// Recovered at this time, and perhaps still cold.
    SlowStart(f64),
}

/// Identifies a group: the destination, and the endpoint where each endpoint has its own limit, else an empty
/// name.
pub type EndpointGroupId = (u64, Name);

/// The recent sends of a group: time of each, and the total weight sent before it.
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    rows: VecDeque<(f64, f64)>,
    total: f64,
}

impl RecentSends {
    /// Adds a send and drops the sends before `first`.
    pub fn add(&mut self, now: f64, weight: f64, first: f64) {
        self.rows.push_back((now, self.total));
        self.total += weight;
        while self.rows.front().is_some_and(|x| x.0 < first) {
            self.rows.pop_front();
        }
    }
    /// Returns the age and weight of each send, the oldest first.
    pub fn list(&self, now: f64) -> Vec<(f64, f64)> {
        let after = self.rows.iter().skip(1).map(|row| row.1).chain([self.total]);
        self.rows.iter().zip(after).map(|((at, before), after)| (now - at, after - before)).collect()
    }
    /// Returns the total weight sent after a time, and the time of the first of these sends.
    pub fn after(&self, time: f64) -> (f64, Option<f64>) {
        let at = self.rows.partition_point(|x| {
            crate::index::step();
            x.0 <= time
        });
        self.rows.get(at).map_or((0.0, None), |first| (self.total - first.1, Some(first.0)))
    }
}

/// State of what shares one limit and one health.
#[derive(Clone, Debug, Default)]
pub struct EndpointGroup {
    /// No call goes out before this time, as a Retry-After said.
    pub retry_after_until: f64,
    /// The last limit that was reported for all relays together, in calls a second.
    pub reported_limit: Option<f64>,
    /// The share of the limit that remained at the last report.
    pub remaining_share: f64,
    /// Many relays: the end of the backoff after a refusal.
    pub backoff_until: f64,
    /// Whether many relays share a reported limit.
    pub shared_by_many: bool,
    /// Share of recent time in which messages were queued, see [`EndpointGroup::adjust_rate_limit`].
    pub queued_share: f64,
    /// When `queued_share` was last updated.
    pub queued_share_at: f64,
    /// The time at which the bucket is as full again as if no refusal had emptied it.
    pub bucket_emptied_until: f64,
    /// The current rate limit in calls a second; `None`: unlimited.
    pub rate_limit: Option<f64>,
    /// Tokens in the bucket as of `refilled_at`; below zero if calls are owed.
    pub tokens: f64,
    /// The time up to which the bucket has been refilled; in the future while a Retry-After lasts.
    pub refilled_at: f64,
    /// When the rate limit was last reduced.
    pub rate_cut_at: f64,
    /// Mean and mean deviation of the time that a delivery takes.
    pub latency: Option<(f64, f64)>,
    pub breaker: BreakerState,
    /// The time of the next half-open trial.
    pub trial_at: f64,
    /// Time between half-open trials; it grows with failed trials.
    pub trial_interval_ms: f64,
    /// Whether a half-open trial is in flight.
    pub trial_in_flight: bool,
    /// Whether a probe succeeded since the breaker opened.
    pub probe_succeeded: bool,
    /// While the breaker is open: whether the last failure was an error response. The group is reachable but
    /// fails.
    pub answers_errors: bool,
    /// Consecutive successful trials since the breaker opened.
    pub trial_successes: u32,
    /// Whether the last outcome was a failure.
    pub last_failed: bool,
    /// The delivery rate before the breaker opened.
    pub rate_before: f64,
    /// Whether the breaker opened for late answers only, with no failure seen.
    pub opened_on_overrun: bool,
    /// Consecutive failures; a time-out may count twice.
    pub consecutive_failures: u32,
    /// Decayed share of failures among recent outcomes.
    pub failure_share: f64,
    /// Consecutive refusals.
    pub consecutive_refusals: u32,
    /// When the consecutive refusals began.
    pub refused_since: f64,
    /// Time of the last delivery; 0: none.
    pub last_delivery_at: f64,
    /// Recent sends, for the budget of slow start.
    pub recent_sends: RecentSends,
    /// Rate of recent deliveries.
    pub short_rate: Meter,
    /// Rate of deliveries over a longer time.
    pub long_rate: Meter,
    /// Calls in flight.
    pub calls: GroupCalls,
}

impl EndpointGroup {
    /// Whether nothing known about the group, except its token bucket, restricts a call at `now` or later.
    pub fn is_unrestricted(&self, now: f64) -> bool {
        let times = [self.retry_after_until, self.backoff_until, self.bucket_emptied_until];
        let healthy = self.breaker == BreakerState::Closed
            && !self.trial_in_flight
            && !self.last_failed
            && !self.opened_on_overrun;
        healthy
            && (self.consecutive_failures, self.consecutive_refusals) == (0, 0)
            && times.iter().all(|t| *t <= now)
            && self.calls.oldest().next().is_none()
    }

    /// Updates mean and mean deviation with the time that a delivery took, as RFC 6298, section 2, does for
    /// round-trip times.
    pub fn record_latency(&mut self, took_ms: f64) {
        self.latency = Some(match self.latency {
            None => (took_ms, took_ms / 2.0),
            Some((mean, deviation)) => {
                (mean + (took_ms - mean) / 8.0, deviation + ((took_ms - mean).abs() - deviation) / 4.0)
            }
        });
    }
}

/// An endpoint of the list.
#[derive(Clone, Debug)]
pub struct Host {
    pub destination_id: u64,
    /// The group that it belongs to.
    pub group_id: EndpointGroupId,
    /// Its zone.
    pub zone: u32,
    /// The kind of its destination.
    pub kind: usize,
    /// Its state in the list.
    pub status: EndpointStatus,
    pub calls_in_flight: usize,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// It is avoided until this time, if another endpoint can take the call.
    pub avoid_until: f64,
    /// Estimated number of open connections.
    pub connections: usize,
    /// When a call to it last started or ended.
    pub last_used_at: f64,
    /// Number of the last list that named it.
    pub list_generation: u64,
}

impl Host {
    /// Returns an endpoint of the group with nothing known of it.
    pub fn new(group_id: EndpointGroupId) -> Host {
        Host {
            destination_id: group_id.0,
            group_id,
            zone: 0,
            kind: 0,
            status: EndpointStatus::Active,
            calls_in_flight: 0,
            consecutive_failures: 0,
            avoid_until: 0.0,
            connections: 0,
            last_used_at: 0.0,
            list_generation: 0,
        }
    }
    /// Records the start of a call. The number of connections is estimated from the calls in flight at the
    /// same time.
    pub fn begin_call(&mut self, now: f64, idle_ms: f64, streams: usize) {
        if now - self.last_used_at >= idle_ms && self.calls_in_flight == 0 {
            self.connections = 0;
        }
        self.calls_in_flight += 1;
        self.last_used_at = now;
        self.connections = self.connections.max(self.calls_in_flight.div_ceil(streams));
    }
}

/// What the queued messages of one sub-queue have in common, so that only their times rank them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubQueueKey {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// For keyed messages that may have run: the endpoint of the first such send.
    pub first_endpoint: Option<Name>,
    /// Whether an earlier process accepted the messages and neither it nor this one has started an attempt.
    pub untried: bool,
}

/// A destination: its endpoints and groups, and the messages queued for it.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Names of its endpoints.
    pub hosts: BTreeSet<Name>,
    /// Names of its groups.
    pub groups: BTreeSet<Name>,
    /// Its queue, divided by what the messages have in common.
    pub sub_queues: BTreeMap<SubQueueKey, SubQueue>,
    /// Number of queued messages, including those that may not be sent yet.
    pub queued: usize,
    /// Its credit, see [`crate::index::credits`].
    pub credit_base: i128,
    /// Place in the order of arrival of the message that it would send next, as of when it was last examined.
    pub next_seq: u64,
    /// Number of calls in flight.
    pub calls_in_flight: usize,
    /// Whether the log line about a refused message has been written since the queue was last empty.
    pub queue_full_logged: bool,
    /// Slot time per delivery in whole microseconds, so that sums are exact.
    pub slot_time_us: u64,
    /// Mean slot time per delivery over the last few deliveries, and the slot time of calls since the last
    /// delivery, both in milliseconds.
    slot_time: (f64, f64),
}

/// Weight of one delivery in the mean slot time.
const SLOT_TIME_GAIN: f64 = 1.0 / 8.0;

impl Destination {
    /// Records the end of a call that held a slot for this long. The slot time of calls that delivered
    /// nothing counts for the next delivery.
    pub fn record_call(&mut self, took_ms: f64, delivered: bool) {
        let (mean, since) = self.slot_time;
        let price = since + took_ms.max(0.0);
        self.slot_time = match delivered {
            false => (mean, price),
            true if mean == 0.0 => (price, 0.0),
            true => (mean + (price - mean) * SLOT_TIME_GAIN, 0.0),
        };
    }

    /// Returns the mean slot time per delivery and the slot time of calls since the last delivery, in
    /// milliseconds.
    pub fn slot_time(&self) -> (f64, f64) {
        self.slot_time
    }

    /// Takes over the slot times that an earlier process measured.
    pub fn restore_slot_time(&mut self, slot_time: (f64, f64)) {
        self.slot_time = slot_time;
    }

    /// Returns the present slot time per delivery; 1 ms where nothing is known.
    pub fn current_slot_time_us(&self) -> u64 {
        let (mean, since) = self.slot_time;
        ((mean + since * SLOT_TIME_GAIN).clamp(1.0, 1e9) * 1000.0) as u64
    }
}

impl Default for Destination {
    fn default() -> Destination {
        Destination {
            hosts: BTreeSet::new(),
            groups: BTreeSet::new(),
            sub_queues: BTreeMap::new(),
            queued: 0,
            credit_base: 0,
            next_seq: 0,
            calls_in_flight: 0,
            queue_full_logged: false,
            slot_time_us: 1000,
            slot_time: (0.0, 0.0),
        }
    }
}

/// Groups whose breaker is open or that are in slow start, and how often this set has changed.
#[derive(Clone, Debug, Default)]
pub struct UnhealthyGroups {
    groups: BTreeMap<EndpointGroupId, (BreakerState, f64)>,
    version: u64,
}

impl UnhealthyGroups {
    /// Returns the outages in the form that one process passes to the next.
    pub fn list(&self) -> Vec<Outage> {
        let known = self.groups.iter().map(|((destination, endpoint), (breaker, rate_before))| {
            let recovered_at = if let BreakerState::SlowStart(since) = breaker { Some(*since) } else { None };
            Outage {
                destination: *destination,
                endpoint: endpoint.to_string(),
                recovered_at,
                rate_before: *rate_before,
            }
        });
        known.collect()
    }

    /// Whether a group is among them.
    pub fn contains(&self, id: &EndpointGroupId) -> bool {
        self.groups.contains_key(id)
    }

    /// Returns a number that grows with every change.
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// All destinations, endpoints and endpoint groups.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub destinations: Table<u64, Destination>,
    pub hosts: Table<Name, Host>,
    pub groups: Table<EndpointGroupId, EndpointGroup>,
    /// Groups whose breaker is not closed.
    pub unhealthy: UnhealthyGroups,
    /// Endpoints removed from the list with a call in flight, to be dropped with a later list. Bounded by the
    /// number of slots.
    removed: BTreeSet<Name>,
    /// Number of lists applied.
    list_count: u64,
    /// The empty name that the groups of whole destinations share.
    shared_name: Option<Name>,
}

impl Fleet {
    /// Returns the number of listed endpoints, and how many of them are avoided: draining, avoided for a
    /// while after failures, or in a group with an open breaker or a Retry-After.
    pub fn host_counts(&self, now: f64) -> (usize, usize) {
        let listed = || self.hosts.walk().map(|x| x.1).filter(|host| host.status != EndpointStatus::Removed);
        let avoided = |host: &&Host| {
            let group = self.groups.get(&host.group_id);
            host.status == EndpointStatus::Draining
                || host.avoid_until > now
                || group
                    .is_some_and(|group| group.breaker == BreakerState::Open || group.retry_after_until > now)
        };
        (listed().count(), listed().filter(avoided).count())
    }

    /// Returns the numbers of endpoints and groups in memory, listed or not.
    pub fn sizes(&self) -> [usize; 2] {
        [self.hosts.len(), self.groups.len()]
    }

    /// Iterates over the endpoints of a destination by name.
    pub fn hosts_of(&self, destination_id: u64) -> impl Iterator<Item = (&Name, &Host)> {
        let names =
            self.destinations.get(&destination_id).into_iter().flat_map(|destination| &destination.hosts);
        names.filter_map(|name| Some((name, self.hosts.get(name)?)))
    }

    /// Iterates over the groups of a destination by name.
    pub fn groups_of(&self, destination_id: u64) -> impl Iterator<Item = (EndpointGroupId, &EndpointGroup)> {
        let names =
            self.destinations.get(&destination_id).into_iter().flat_map(|destination| &destination.groups);
        names.filter_map(move |name| {
            let id = (destination_id, name.clone());
            self.groups.get(&id).map(|group| (id, group))
        })
    }

    /// Returns a group, created if it is new.
    pub fn group_or_insert(
        &mut self, id: &EndpointGroupId, new_group: impl FnOnce() -> EndpointGroup,
    ) -> &mut EndpointGroup {
        self.destinations.or_insert_with(id.0, Destination::default).groups.insert(id.1.clone());
        self.groups.or_insert_with(id.clone(), new_group)
    }

    /// Removes the endpoints and groups of a destination and returns the names of the endpoints.
    pub fn remove_destination(&mut self, destination_id: u64) -> Vec<Name> {
        let Some(destination) = self.destinations.get_mut(&destination_id) else { return Vec::new() };
        let (hosts, groups) =
            (std::mem::take(&mut destination.hosts), std::mem::take(&mut destination.groups));
        for name in groups {
            self.groups.remove(&(destination_id, name));
        }
        for name in &hosts {
            self.hosts.remove(name);
            self.removed.remove(name);
        }
        hosts.into_iter().collect()
    }

    /// Records whether a group's breaker is closed.
    pub fn note_breaker(&mut self, id: EndpointGroupId) {
        let known = self
            .groups
            .get(&id)
            .filter(|group| group.breaker != BreakerState::Closed)
            .map(|group| (group.breaker, group.rate_before));
        let before = match known {
            Some(known) => self.unhealthy.groups.insert(id, known),
            None => self.unhealthy.groups.remove(&id),
        };
        self.unhealthy.version += u64::from(before != known);
    }

    /// Applies a list. An endpoint that a full list does not name is removed. `mark_dirty` is called for each
    /// changed group.
    pub fn apply_list(
        &mut self, list: &[Endpoint], full_list: bool, weights_are_limits: bool, own_limits: &[bool],
        new_group: &mut dyn FnMut() -> EndpointGroup, mark_dirty: &mut dyn FnMut(&EndpointGroupId),
    ) {
        self.list_count += 1;
        for endpoint in list {
            let limit = Some(endpoint.weight)
                .filter(|weight| weights_are_limits && weight.is_finite() && *weight > 0.0);
            self.apply_endpoint(endpoint, limit, own_limits, new_group, mark_dirty);
        }
        if full_list {
            let list_count = self.list_count;
            for (_, host) in self.hosts.walk_mut().filter(|x| x.1.list_generation != list_count) {
                if std::mem::replace(&mut host.status, EndpointStatus::Removed) != EndpointStatus::Removed {
                    mark_dirty(&host.group_id);
                }
            }
        }
    }

    /// Applies the entry for one endpoint. An unchanged entry costs one look-up.
    fn apply_endpoint(
        &mut self, endpoint: &Endpoint, limit: Option<f64>, own_limits: &[bool],
        new_group: &mut dyn FnMut() -> EndpointGroup, mark_dirty: &mut dyn FnMut(&EndpointGroupId),
    ) {
        let now = (endpoint.destination, endpoint.zone, endpoint.kind, endpoint.status);
        let known = self
            .hosts
            .get_mut(endpoint.name.as_str())
            .filter(|host| (host.destination_id, host.zone, host.kind, host.status) == now);
        if let Some(host) = known {
            host.list_generation = self.list_count;
            if self
                .groups
                .get(&host.group_id)
                .is_some_and(|group| limit.is_none() || group.reported_limit == limit)
            {
                return;
            }
        }
        let name = Name::from(endpoint.name.as_str());
        let has_own_group = own_limits.get(endpoint.kind).copied().unwrap_or(false);
        let group = if has_own_group {
            name.clone()
        } else {
            self.shared_name.get_or_insert_with(|| "".into()).clone()
        };
        let id = (endpoint.destination, group);
        let host = self.hosts.or_insert_with(name.clone(), || Host::new(id.clone()));
        let before = std::mem::replace(&mut host.group_id, id.clone());
        (host.destination_id, host.zone, host.kind, host.status, host.list_generation) =
            (endpoint.destination, endpoint.zone, endpoint.kind, endpoint.status, self.list_count);
        if before != id {
            if let Some(destination) = self.destinations.get_mut(&before.0) {
                destination.hosts.remove(&name);
            }
            mark_dirty(&before);
        }
        self.destinations.or_insert_with(endpoint.destination, Destination::default).hosts.insert(name);
        let group = self.group_or_insert(&id, new_group);
        group.reported_limit = limit.or(group.reported_limit);
        mark_dirty(&id);
    }

    /// Drops removed endpoints with no call in flight, and their own groups where `may_go` allows it: with a
    /// full list the endpoints that it does not name, else those that it names as removed.
    pub fn remove_unlisted(
        &mut self, list: &[Endpoint], full_list: bool, mark_dirty: &mut dyn FnMut(&EndpointGroupId),
        may_go: impl Fn(&EndpointGroup) -> bool,
    ) {
        let list_count = self.list_count;
        let missing = full_list
            .then(|| self.hosts.walk().filter(|x| x.1.list_generation != list_count).map(|x| x.0.clone()));
        let mut removed: Vec<Name> = missing.into_iter().flatten().collect();
        removed.sort_unstable();
        removed.extend(
            list.iter()
                .filter(|endpoint| endpoint.status == EndpointStatus::Removed)
                .map(|endpoint| Name::from(endpoint.name.as_str())),
        );
        removed.extend(std::mem::take(&mut self.removed));
        for name in &removed {
            let Some(host) = self.hosts.get(name).filter(|host| host.status == EndpointStatus::Removed)
            else {
                continue;
            };
            if host.calls_in_flight > 0 {
                self.removed.insert(name.clone());
                continue;
            }
            let id = host.group_id.clone();
            self.hosts.remove(name);
            mark_dirty(&id);
            let drop_group = !id.1.is_empty() && self.groups.get(&id).is_some_and(&may_go);
            if let Some(destination) = self.destinations.get_mut(&id.0) {
                destination.hosts.remove(name);
                if drop_group {
                    destination.groups.remove(&id.1);
                }
            }
            if drop_group {
                self.groups.remove(&id);
            }
        }
    }
}
