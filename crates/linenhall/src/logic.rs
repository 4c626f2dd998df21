//! Interface: src/interface.rs. All decisions of the crate `linenhall`; docs/design.md gives the reasons for
//! them.
//!
//! Sections, in this order: value, endpoints and endpoint groups (health, rate limits, recovery), attempts
//! and outcomes, the queues, discovery, sending (Most Credit First), expiry. An endpoint group is what shares
//! one limit and one health: a whole destination, or one endpoint where each endpoint has its own limit.
//!
//! No event iterates over everything that is queued, in flight or listed. A change marks its group and
//! destination dirty, and these are examined again before the round ends. What changes with time alone is
//! kept in an [`OrderedIndex`].

use crate::fleet::{
    BreakerState, Destination, EndpointGroup, EndpointGroupId, Fleet, Host, Name, SubQueueKey,
};
use crate::index::credits::{credit_units, Credits};
use crate::index::group_calls::CallKind;
use crate::index::ordered_index::OrderedIndex;
use crate::index::sub_queue::QueuedMessage;
use crate::index::table::Table;
use crate::index::{salted_hash, step, OrderedF64};
use crate::interface::*;
use crate::keys::OrderKeys;
use crate::limits::RATE_CUT_INTERVAL_MS;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

/// Bound of a queue's scheduling credit in either direction, in turns.
const CREDIT_CAP_TURNS: f64 = 8.0;
/// A call overruns its expected latency when it takes longer than the mean by this many mean deviations
/// (compare RFC 6298).
const OVERRUN_DEVIATIONS: f64 = 4.0;
/// The breaker of an endpoint group opens after this many consecutive failures, if every endpoint of the
/// destination has failed. A time-out counts twice.
const OPEN_FAILURE_COUNT: u32 = 5;
/// The breaker also opens when the decayed share of failures exceeds this.
const OPEN_FAILURE_SHARE: f64 = 0.7;
/// Consecutive successful trials that end the open state of a group that failed often: of a group that gave
/// no answers, and of one that answered with errors.
const CLOSE_SUCCESS_COUNTS: (u32, u32) = (2, 3);
/// This many consecutive refusals over more than [`OPEN_REFUSAL_SPAN_MS`] mean that the group refuses
/// everything, and not only that its limit is exceeded.
const OPEN_REFUSAL_COUNT: u32 = 5;
/// See [`OPEN_REFUSAL_COUNT`].
const OPEN_REFUSAL_SPAN_MS: f64 = 2000.0;
/// Bounds of the time between half-open trials: lower and upper bound where this relay calls the group often,
/// then lower and upper bound where it calls the group seldom.
const TRIAL_INTERVAL_MS: (f64, f64, f64, f64) = (500.0, 2000.0, 4000.0, 30000.0);
/// With many relays, replaces the second value of [`TRIAL_INTERVAL_MS`] as the lowest upper bound.
const MANY_RELAYS_TRIAL_INTERVAL_MS: f64 = 1000.0;
/// Time between two checks of a group in slow start that has messages queued.
const SLOW_START_RECHECK_MS: f64 = 25.0;
/// From this number of relays on, one relay makes only a small part of all calls to a group.
const MANY_RELAYS: f64 = 8.0;
/// Factors on the rate limit after a refusal: at a normal rate, and where this relay calls seldom.
const RATE_CUT_FACTORS: (f64, f64) = (0.85, 0.15);
/// Growth of the rate limit for each delivery, as a part of it: at a normal rate, and where this relay calls
/// seldom.
const RATE_GAINS: (f64, f64) = (0.03, 0.3);
/// The rate limit grows up to this multiple of the recent delivery rate.
const MAX_RATE_PER_DELIVERED: f64 = 1.25;
/// A refusal with more than this share of the limit remaining is due to the endpoint and not to the shared
/// limit.
const OWN_REFUSAL_REMAINING_SHARE: f64 = 0.85;
/// Mean time for which an endpoint is avoided that refuses while much of the limit remains.
const MEAN_AVOIDANCE_MS: f64 = 3000.0;
/// Time constant of the meters for recent rates.
const SHORT_RATE_WINDOW_MS: f64 = 2000.0;
/// Time constant of the meters for usual rates.
const LONG_RATE_WINDOW_MS: f64 = 15000.0;
/// After connection failures, an idle connection is kept only if the next call on it is expected within this
/// time.
const KEEP_IDLE_CONNECTION_MS: f64 = 300.0;
/// Idle connections are kept regardless if no connection to this kind of destination was refused or broke for
/// this long.
const CONNECTION_FAILURE_MEMORY_MS: f64 = 60000.0;
/// Steps per unit of value to which an expected loss is rounded.
const LOSS_STEPS_PER_VALUE: f64 = 4294967296.0;
/// Loss assigned to messages that a restart found untried; larger than any real loss of value, so that they
/// go first. Their due time is subtracted from it, so that they go in the order of their due times.
const UNTRIED_LOSS: f64 = 1e15;
/// Shortest and longest time between failed requests for the list.
const DISCOVERY_RETRY_MS: (f64, f64) = (500.0, 8000.0);
/// Maximum number of overdue calls looked at, the longest overdue first.
const MAX_OVERDUE_SCAN: usize = 16;
/// A call counts as lost only after this multiple of the time after which it overruns its expected latency;
/// until then it may just be slow.
const LOST_CALL_OVERRUNS: f64 = 2.0;
/// How often a send looks again for the oldest message among destinations of equal credit.
const MAX_TIE_CHECKS: usize = 3;
/// Maximum number of messages that expire in one round, and the time in milliseconds that such a round takes.
const EXPIRY_ROUND: (usize, f64) = (512, 4.0);
/// Shortest timer.
const MIN_TIMER_MS: f64 = 0.01;
/// Share of a deduplication window reserved for the way of a repeat to its host: the first request of a new
/// connection is slower.
const RETRY_TRANSIT_SHARE: f64 = 0.05;
/// Queues whose value rate is recomputed when a message has to be refused: the number with the lowest
/// rates, and the number computed longest ago.
const REEVALUATED_QUEUES: (usize, usize) = (16, 4);

impl EndpointGroup {
    /// Returns a group with nothing known of it, and one token in its bucket.
    fn new(now: f64) -> Self {
        let (short_rate, long_rate) = (Meter::new(SHORT_RATE_WINDOW_MS), Meter::new(LONG_RATE_WINDOW_MS));
        EndpointGroup {
            tokens: 1.0,
            refilled_at: now,
            trial_interval_ms: TRIAL_INTERVAL_MS.0,
            short_rate,
            long_rate,
            ..EndpointGroup::default()
        }
    }
    /// Returns the time after which a call overruns the group's measured latency.
    fn overrun_ms(&self, aim_ms: f64) -> f64 {
        self.latency.map_or(aim_ms, |(mean, deviation)| mean + (OVERRUN_DEVIATIONS * deviation).max(mean))
    }
}

/// Returns the time-out of an attempt. Time-outs are generous, since the partner goes on working after them;
/// there is none where the message could not be tried again.
fn attempt_timeout(now: f64, group: &EndpointGroup, class: &Class, due: f64) -> Option<f64> {
    let base_ms = group.overrun_ms(class.aim_ms);
    let trial = group.breaker == BreakerState::Open;
    let timeout_ms = if trial {
        base_ms.max(class.aim_ms / 2.0)
    } else {
        (3.0 * base_ms).max(class.aim_ms).min(2.0 * class.aim_ms)
    };
    let timeout_ms = timeout_ms * f64::from(1u32 << group.consecutive_failures.min(2));
    (class.effect != Effect::Unsafe && now + timeout_ms < due).then_some(timeout_ms)
}

/// The decisions of one relay.
#[derive(Debug, Default)]
pub struct Relay {
    pub(crate) settings: Settings,
    rng: fastrand::Rng,
    /// Salt of the order in which this relay prefers endpoints of equal cost.
    salt: u64,
    /// Time of the current round.
    pub(crate) now: f64,
    /// Last sequence number given out; messages, calls and computed value rates share the numbers.
    pub(crate) seq: u64,
    /// All unfinished messages, by id.
    pub(crate) messages: Table<u64, Message>,
    /// Destinations, endpoints and endpoint groups.
    pub(crate) fleet: Fleet,
    /// Calls in flight, by number.
    pub(crate) calls: Table<u64, Call>,
    /// The pauses that the current round has set.
    pub(crate) key_pauses: Vec<KeyPause>,
    /// Order keys.
    pub(crate) keys: OrderKeys,
    /// Groups and destinations that changed since their index entries were last updated.
    pub(crate) dirty: (BTreeSet<EndpointGroupId>, BTreeSet<u64>),
    /// Number of destinations with queued messages, and the sum of their mean slot times in microseconds.
    pub(crate) backlogged: (usize, u64),
    /// Scheduling credits of the destinations that may send.
    pub(crate) credits: Credits,
    /// Destinations whose next action is a probe, and the endpoint to probe.
    pub(crate) pending_probes: BTreeMap<u64, Name>,
    /// The destination looked at last and its next action, as long as nothing has changed there.
    pub(crate) cached_action: Option<(u64, NextAction)>,
    /// Queued messages by the time at which they expire.
    pub(crate) expiries: OrderedIndex<OrderedF64, u64>,
    /// Queued messages that their own state blocks (a pause after a failure, a paused key), by the time at
    /// which they become sendable.
    pub(crate) blocked: OrderedIndex<OrderedF64, u64>,
    /// Destinations that may send from a later time on.
    pub(crate) wake_times: OrderedIndex<OrderedF64, u64>,
    /// Groups by the time at which their calls overrun the expected latency, see [`Relay::open_on_overruns`].
    pub(crate) overrun_checks: OrderedIndex<OrderedF64, EndpointGroupId>,
    /// Groups by the time at which one of their calls, the one named, may be cancelled.
    pub(crate) overdue_calls: OrderedIndex<(OrderedF64, u64), EndpointGroupId>,
    /// Number of calls in flight that have been cancelled.
    pub(crate) cancelled_calls: usize,
    /// Destinations by the lowest value per time that a message of their queue brings. Kept only while many
    /// of the places for messages are taken, see [`Relay::shed_load`].
    pub(crate) value_rates: OrderedIndex<OrderedF64, u64>,
    /// Destinations by when their entry in `value_rates` was computed.
    pub(crate) value_rate_order: OrderedIndex<u64, u64>,
    /// Whether `value_rates` is kept.
    pub(crate) tracks_value_rates: bool,
    /// Destinations whose entry in `value_rates` has to be recomputed.
    pub(crate) stale_value_rates: BTreeSet<u64>,
    /// Sum of the rates of all tenants' shares.
    total_tenant_rate: f64,
    /// Requests accepted, by tenant.
    pub(crate) tenant_meters: Vec<Meter>,
    /// Requests accepted from all tenants.
    pub(crate) total_meter: Meter,
    /// Calls started in this round to endpoints that take batches, and how many messages each may still take.
    open_batches: BTreeMap<Name, (u64, usize)>,
    /// Whether the list is being watched.
    watching: bool,
    /// Whether a watch was requested.
    watch_requested: bool,
    /// Earliest time of the next request for the list.
    next_watch_at: f64,
    /// Time to wait after the next failed request for the list, in milliseconds.
    watch_retry_ms: f64,
    /// Time of the earliest timer that is set; `f64::MAX` if none is.
    armed_timer_at: f64,
    /// Probes in flight, by endpoint.
    probes_in_flight: BTreeMap<Name, EndpointGroupId>,
    /// The time at which this process ends.
    stop_at: Option<f64>,
    /// Time of the last refused or broken connection, by kind of destination.
    connection_failures: BTreeMap<usize, f64>,
}

impl Relay {
    /// Returns a relay that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = sanitized(settings);
        let tenant_meters = settings.tenant_rates.iter().map(|_| Meter::new(SHORT_RATE_WINDOW_MS)).collect();
        let (rng, total_meter) = (fastrand::Rng::with_seed(seed), Meter::new(LONG_RATE_WINDOW_MS));
        let (credits, total_tenant_rate) =
            (Credits::new(CREDIT_CAP_TURNS), settings.tenant_rates.iter().sum());
        let relay = Relay {
            rng,
            salt: seed,
            tenant_meters,
            total_meter,
            credits,
            total_tenant_rate,
            settings,
            ..Relay::default()
        };
        Relay { watch_retry_ms: DISCOVERY_RETRY_MS.0, armed_timer_at: f64::MAX, ..relay }
    }

    /// Processes the events that came in at `now` and appends the actions to take.
    pub fn handle(&mut self, now: f64, events: &[Event], actions: &mut Vec<Action>) {
        self.now = clamp_finite(now, self.now, 1e15);
        self.open_batches.clear();
        self.key_pauses.clear();
        self.cached_action = None;
        events.iter().for_each(|event| self.handle_event(event, actions));
        self.request_watch(actions);
        self.expire_queued(actions);
        self.process_due_times();
        self.send_queued(actions);
        self.refresh_indexes();
        self.arm_timer(actions);
    }

    /// Updates the state with one event.
    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::ListUpdate(update) => self.apply_list_update(update, actions),
            Event::Request { .. } => self.accept_request(event, actions),
            Event::RequestRestored { .. } => self.restore_request(event, actions),
            Event::AttemptResumed { id, endpoint, sent } => {
                let now = self.now;
                self.now = clamp_finite(*sent, 0.0, now);
                self.start_attempt(*id, &Name::from(endpoint.as_str()), &mut Vec::new());
                self.now = now;
            }
            Event::AnswerPending { .. } | Event::AnswerExpected { .. } | Event::AnswerConfirmed { .. } => {
                self.handle_answer_event(event)
            }
            Event::KeysPaused(known) => {
                let latest = self.now + self.settings.order_pause_ms;
                for KeyPause { key, until } in known {
                    self.keys.restore_pause(&Name::from(key.as_str()), until.min(latest));
                }
            }
            Event::Outages(known) => known.iter().for_each(|outage| self.restore_outage(outage)),
            Event::RetryAfters(known) => {
                for (destination_id, endpoint, until) in known {
                    let (now, id) = (self.now, (*destination_id, Name::from(endpoint.as_str())));
                    self.mark_group_dirty(&id);
                    let group = self.fleet.group_or_insert(&id, || EndpointGroup::new(now));
                    group.retry_after_until = group.retry_after_until.max(*until);
                }
            }
            Event::RestoreLearnt(learnt) => {
                self.restore_learnt(learnt).iter().for_each(|id| self.mark_group_dirty(id))
            }
            Event::Stopping { at } => self.stop_at = Some(*at),
            Event::ResponseStarted { id, .. } => {
                self.messages.get_mut(id).into_iter().for_each(|message| message.response_started = true)
            }
            Event::Ended { .. } => self.attempt_ended(event, actions),
            Event::Withdrawn { id } => self.finish(*id, actions),
            Event::Timer { .. } => self.armed_timer_at = f64::MAX,
            Event::Probed { endpoint, outcome, report, .. } => {
                self.probe_ended(endpoint, *outcome, report, actions)
            }
            Event::PeerMessage { .. } => {}
        }
    }

    // ---- value

    /// Returns the value that a message still has when delivered at `at`. `share` comes from
    /// [`Relay::share_factor`].
    fn value(&self, class: &Class, message: &QueuedMessage, at: f64, share: f64) -> f64 {
        let late_ms = at - message.arrived_at.get() - class.aim_ms;
        if at >= message.due.get() {
            return 0.0;
        }
        let remaining = match self.settings.value_decay {
            _ if late_ms <= 0.0 => 1.0,
            ValueDecay::Halving => 0.5f64.powf(late_ms / class.aim_ms).max(class.late_value),
            ValueDecay::Linear => {
                1.0 - (1.0 - class.late_value)
                    * (late_ms / (class.deadline_ms - class.aim_ms).max(1.0)).min(1.0)
            }
        };
        remaining * class.value * share
    }

    /// Returns the expected value of a tenant's message as a part of its class's value. Nobody says which
    /// messages exceed the tenant's share, but the tenant's part of the traffic is known. This relay gets
    /// some part of all traffic, measured over a long time and all tenants; a tenant that sends more than
    /// that part of its agreed rate is beyond its share here.
    fn share_factor(&self, tenant: usize) -> f64 {
        let (Some(meter), Some(rate)) =
            (self.tenant_meters.get(tenant), self.settings.tenant_rates.get(tenant))
        else {
            return 1.0;
        };
        let relay_part = (self.total_meter.rate(self.now) / self.total_tenant_rate.max(1e-9))
            .clamp(1.0 / self.settings.relays as f64, 1.0);
        let share = (relay_part * rate / meter.rate(self.now).max(1e-9)).min(1.0);
        share + (1.0 - share) * self.settings.over_share_value
    }

    // ---- endpoints and endpoint groups

    /// Returns this relay's even share of the group's reported limit, if a limit was reported.
    fn even_share(&self, group: &EndpointGroup) -> Option<f64> {
        group.reported_limit.map(|limit| limit / self.settings.relays as f64)
    }

    /// Whether there are so many relays that this one makes only a small part of all calls.
    fn many_relays(&self) -> bool {
        self.settings.relays as f64 >= MANY_RELAYS
    }

    /// Returns how many calls a recovered group can take within `fall_ms`, as this relay's share: a multiple
    /// of its capacity, which is low after an outage and grows while the group warms up. The rate that this
    /// relay usually delivered there before serves as the full capacity.
    fn slow_start_capacity(&self, group: &EndpointGroup, since: f64) -> f64 {
        let settings = &self.settings;
        let warm_fraction = ((self.now - since) / settings.warm_after_ms).clamp(0.0, 1.0);
        let capacity_share = settings.cold_share + (1.0 - settings.cold_share) * warm_fraction;
        let usual_rate =
            group.long_rate.rate(self.now).max(group.rate_before).max(self.even_share(group).unwrap_or(0.0));
        // A group may always get the rate that it delivers now: being slow is no outage. A multiple of that
        // rate would grow by its own effect.
        (settings.fall_multiple * capacity_share * usual_rate).max(group.short_rate.rate(self.now))
            * settings.fall_ms
            / 1000.0
    }

    /// Returns when the group may take a call: now, or a later time (`f64::MAX`: not before some event).
    pub(crate) fn call_allowed_at(&self, id: &EndpointGroupId) -> f64 {
        let Some(group) = self.fleet.groups.get(id) else { return self.now };
        let mut at = group.retry_after_until.max(group.backoff_until);
        match group.breaker {
            BreakerState::Open if group.trial_in_flight => return f64::MAX,
            BreakerState::Open => return at.max(group.trial_at),
            BreakerState::SlowStart(since) => {
                // Less than one call per span is one call in a longer span: hundreds of relays resume at the
                // same time.
                let capacity = self.slow_start_capacity(group, since);
                let span =
                    (self.settings.fall_ms / capacity.clamp(0.01, 1.0)).min(self.settings.warm_after_ms);
                let (sent, oldest) = group.recent_sends.after(self.now - span);
                if sent + 1.0 > capacity.max(1.0) {
                    at = at.max((oldest.unwrap_or(self.now) + span + 1.0).min(self.now + 250.0));
                }
            }
            BreakerState::Closed => {}
        }
        // One answer shows whether there is a limit. With many relays, more than one call from each would use
        // it up.
        let limit_unknown = self.settings.limit_column.is_some()
            && group.reported_limit.is_none()
            && group.last_delivery_at == 0.0;
        if limit_unknown && self.many_relays() && group.calls.oldest().next().is_some() {
            return f64::MAX;
        }
        at.max(group.token_ready_at(self.now))
    }

    /// Whether a destination is degraded: a call overruns its expected latency, or the last outcome was a
    /// failure.
    pub(crate) fn is_degraded(&self, destination_id: u64) -> bool {
        let overruns = |group: &EndpointGroup| {
            group.calls.oldest().any(|(kind, sent, _)| self.now - sent > group.overrun_ms(kind.aim_ms.get()))
        };
        self.fleet
            .groups_of(destination_id)
            .any(|(_, group)| group.last_failed || group.breaker == BreakerState::Open || overruns(group))
    }

    /// Returns the maximum number of slots for one destination: three quarters of all, or half while it is
    /// degraded.
    pub(crate) fn slot_limit(&self, destination_id: u64) -> usize {
        let limit = if self.is_degraded(destination_id) {
            self.settings.slots / 2
        } else {
            self.settings.slots * 3 / 4
        };
        limit.max(1)
    }

    /// Opens the breaker of a group, or schedules the next trial after one failed. `answered_after` is the
    /// time after which the call was answered with an error, if it was answered.
    fn open_breaker(
        &mut self, id: &EndpointGroupId, why: &str, answered_after: Option<f64>, actions: &mut Vec<Action>,
    ) {
        let (now, jitter) = (self.now, 0.75 + 0.5 * self.rng.f64());
        let cold_capacity =
            self.fleet.groups.get(id).map_or(0.0, |group| self.slow_start_capacity(group, now));
        let Some(group) = self.fleet.groups.get_mut(id) else { return };
        if group.breaker != BreakerState::Open {
            actions.push(Action::Log(format!("destination {} out: {why}", id.0)));
            group.trial_in_flight = false;
        }
        group.rate_before =
            if group.breaker == BreakerState::Closed { group.long_rate.rate(now) } else { group.rate_before };
        // Trials use up the limit or overload a recovering host, so a relay that calls seldom also tries
        // seldom.
        let (call_interval, relays) = (1000.0 / group.rate_before.max(1e-9), self.settings.relays as f64);
        let min_wait =
            call_interval.clamp(TRIAL_INTERVAL_MS.0, (TRIAL_INTERVAL_MS.0 * relays).min(TRIAL_INTERVAL_MS.2));
        // With many relays one of them finds a recovery at once, but each learns of it only by its own trial.
        let floor = if relays >= MANY_RELAYS { MANY_RELAYS_TRIAL_INTERVAL_MS } else { TRIAL_INTERVAL_MS.1 };
        let max_wait = (2.0 * call_interval)
            .clamp(floor, (TRIAL_INTERVAL_MS.0 * relays).clamp(floor, TRIAL_INTERVAL_MS.3));
        let wait = group.trial_interval_ms.max(min_wait).min(max_wait);
        // A destination that answers with errors is reachable, and may well deliver some of what it gets. So
        // trials go at the rate that it can take after a cold start, and find a recovery at once; this also
        // guards against errors that only some calls get. Trials this frequent would do harm where errors use
        // up a limit or cost more than a delivery, so they never happen without an answer and never exceed
        // the budget of slow start.
        let error_wait = (self.settings.fall_ms / cold_capacity.max(1e-9)).min(wait);
        group.trial_at =
            now + answered_after.map_or(wait * jitter, |took_ms| (error_wait * jitter - took_ms).max(0.0));
        group.trial_interval_ms = answered_after.map_or(2.0 * wait, |_| group.trial_interval_ms);
        group.answers_errors = answered_after.is_some();
        group.breaker = BreakerState::Open;
        (group.trial_successes, group.probe_succeeded) = (0, false);
    }

    /// Records a successful trial call or probe. After enough of them the group counts as recovered but cold.
    fn trial_succeeded(&mut self, id: &EndpointGroupId, actions: &mut Vec<Action>) {
        let now = self.now;
        // Three calls at once from each of many relays would exceed slow start, so the trials go at the rate
        // that the group can take.
        let capacity = self
            .fleet
            .groups
            .get(id)
            .filter(|group| group.answers_errors)
            .map_or(f64::MAX, |group| self.slow_start_capacity(group, now));
        let Some(group) = self.fleet.groups.get_mut(id) else { return };
        group.trial_successes += 1;
        group.trial_at = now + (self.settings.fall_ms / capacity.max(1e-9)).min(self.settings.warm_after_ms);
        // Where calls fail at random, one success proves little.
        let needed = if group.answers_errors { CLOSE_SUCCESS_COUNTS.1 } else { CLOSE_SUCCESS_COUNTS.0 };
        if group.trial_successes >= if group.failure_share > 0.5 { needed } else { 1 } {
            group.breaker = BreakerState::SlowStart(now);
            (
                group.consecutive_failures,
                group.failure_share,
                group.consecutive_refusals,
                group.rate_limit,
                group.last_failed,
            ) = (0, 0.0, 0, None, false);
            actions.push(Action::Log(format!("destination {} back, ramping", id.0)));
        }
    }

    /// Updates the group and the endpoint with the outcome of a call or probe.
    fn learn_from(&mut self, observation: &CallObservation, actions: &mut Vec<Action>) {
        let &CallObservation { group_id: id, endpoint, outcome, took_ms, retry_after_ms, trial } =
            observation;
        let now = self.now;
        let even_share = self.fleet.groups.get(id).and_then(|group| self.even_share(group));
        let ((first_rate, low_rate), many_relays) = (self.rate_thresholds(), self.many_relays());
        let has_queued = self.fleet.destinations.get(&id.0).is_some_and(|destination| destination.queued > 0);
        let Some(group) = self.fleet.groups.get_mut(id) else { return };
        group.trial_in_flight &= !trial;
        // A Retry-After comes with a refusal, or with an answer that shows nothing else for certain.
        group.retry_after_until =
            group.retry_after_until.max(if retry_after_ms > 0.0 { now + retry_after_ms } else { 0.0 });
        match outcome {
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Stale => {
                return self
                    .connection_failures
                    .extend(self.fleet.hosts.get(endpoint).map(|host| (host.kind, now)))
            }
            Outcome::Delivered => {
                group.record_latency(took_ms);
                group.refill(now);
                (group.last_failed, group.consecutive_failures, group.consecutive_refusals) = (false, 0, 0);
                group.failure_share *= 0.8;
                group.last_delivery_at = now;
                group.short_rate.add(now, 1.0);
                group.long_rate.add(now, f64::from(u8::from(group.breaker != BreakerState::Open)));
                if matches!(
                    group.breaker,
                    BreakerState::SlowStart(since) if now - since > self.settings.warm_after_ms
                ) {
                    (group.breaker, group.trial_interval_ms) = (BreakerState::Closed, TRIAL_INTERVAL_MS.0);
                }
                // An unused rate limit is no evidence of capacity (compare RFC 7661 for congestion windows):
                // if it grew all the same, it would end far above any real limit, and the end of a
                // Retry-After would release a flood. The bound also guards against a limit that falls. Its
                // cost: where a rush begins after a refusal and no limit is reported, it takes some seconds
                // to find the rate that can be sent.
                let max_rate = (MAX_RATE_PER_DELIVERED * group.short_rate.rate(now))
                    .max(even_share.unwrap_or(0.0))
                    .max(first_rate);
                if let Some(even_share) = even_share.filter(|_| many_relays) {
                    group.adjust_rate_limit(now, even_share, has_queued);
                } else if let Some(rate_limit) =
                    group.rate_limit.as_mut().filter(|rate_limit| **rate_limit < max_rate)
                {
                    let gain = if *rate_limit > low_rate { RATE_GAINS.0 } else { RATE_GAINS.1 };
                    *rate_limit = (*rate_limit + gain * even_share.unwrap_or(*rate_limit).max(*rate_limit))
                        .min(max_rate);
                }
                group.rate_limit = group
                    .rate_limit
                    .filter(|_| many_relays || now - group.rate_cut_at <= LONG_RATE_WINDOW_MS);
                if let Some(host) = self.fleet.hosts.get_mut(endpoint) {
                    (host.consecutive_failures, host.avoid_until) = (0, 0.0);
                }
                if group.breaker == BreakerState::Open && group.opened_on_overrun {
                    // The breaker opened only because answers were late, and now they arrive: the group was
                    // slow, not gone.
                    (group.breaker, group.trial_interval_ms) = (BreakerState::Closed, TRIAL_INTERVAL_MS.0);
                } else if group.breaker == BreakerState::Open && (trial || !group.answers_errors) {
                    // A call that was in flight before most calls failed says nothing about the present.
                    self.trial_succeeded(id, actions);
                }
                return;
            }
            Outcome::Full => {
                group.opened_on_overrun = false;
                group.refused_since = if group.consecutive_refusals == 0 { now } else { group.refused_since };
                group.consecutive_refusals += 1;
                // Where answers report a limit and there are many relays, consecutive refusals are caused by
                // the rush of all relays.
                let not_a_rush = !many_relays || even_share.is_none();
                let open_again = not_a_rush
                    && group.consecutive_refusals >= OPEN_REFUSAL_COUNT
                    && now - group.refused_since > OPEN_REFUSAL_SPAN_MS;
                let open_again = open_again || group.breaker == BreakerState::Open;
                let first_refusal = group.consecutive_refusals < 2;
                // A refusal with much of the limit remaining: this endpoint is full or cold, another one may
                // not be.
                let avoid_until = now + MEAN_AVOIDANCE_MS * (0.5 + self.rng.f64());
                if let Some(host) = self
                    .fleet
                    .hosts
                    .get_mut(endpoint)
                    .filter(|_| many_relays && group.remaining_share > OWN_REFUSAL_REMAINING_SHARE)
                {
                    host.avoid_until = host.avoid_until.max(avoid_until);
                }
                self.lower_rate_limit(id, retry_after_ms > 0.0 && first_refusal);
                if open_again {
                    self.open_breaker(id, "refuses everything", None, actions);
                }
                return;
            }
            _ => {}
        }

        (group.last_failed, group.opened_on_overrun) = (true, false);
        // A time-out on a group that has delivered since the send is one lost answer; otherwise it indicates
        // that the group is silent, and counts twice.
        group.consecutive_failures +=
            if outcome == Outcome::TimedOut && group.last_delivery_at < now - took_ms { 2 } else { 1 };
        group.failure_share = group.failure_share * 0.8 + 0.2;
        if let Some(host) = self.fleet.hosts.get_mut(endpoint) {
            let connection_failed = matches!(outcome, Outcome::NoConnection | Outcome::Broken);
            self.connection_failures.extend(connection_failed.then_some((host.kind, now)));
            host.consecutive_failures += 1;
            host.avoid_until =
                now + TRIAL_INTERVAL_MS.0 * f64::from(1u32 << host.consecutive_failures.min(3));
            host.connections = 0;
        }
        let (failures, failure_share, breaker, low_traffic) = (
            group.consecutive_failures,
            group.failure_share,
            group.breaker,
            group.long_rate.rate(now) < low_rate,
        );
        let every_endpoint_fails = self
            .fleet
            .hosts_of(id.0)
            .filter(|x| x.1.status == EndpointStatus::Active)
            .all(|x| x.1.consecutive_failures > 0);
        if failures >= 2 && low_traffic {
            self.lower_rate_limit(id, false);
        }
        // While the breaker is open only a failed trial postpones the next one: calls that were in flight
        // before show nothing new.
        let failures_to_open =
            if breaker == BreakerState::Closed { OPEN_FAILURE_COUNT } else { OPEN_FAILURE_COUNT - 2 };
        if if breaker == BreakerState::Open {
            trial
        } else {
            (every_endpoint_fails && failures >= failures_to_open) || failure_share > OPEN_FAILURE_SHARE
        } {
            self.open_breaker(id, "calls fail", (outcome == Outcome::Error).then_some(took_ms), actions);
        }
    }

    /// Returns two rates in calls a second. The first is the rate limit after a refusal: one call per mean
    /// aim, which is the time that a message can spend. The second is the rate below which this relay counts
    /// as calling seldom; it is lower where few relays share the destinations, since this relay's calls are
    /// then most of all calls.
    fn rate_thresholds(&self) -> (f64, f64) {
        let aims: f64 = self.settings.classes.iter().map(|class| class.aim_ms).sum();
        let first_rate = 1000.0 * self.settings.classes.len() as f64 / aims.max(1.0);
        (first_rate, first_rate * (self.settings.relays as f64 / MANY_RELAYS).min(1.0))
    }

    /// Lowers the group's rate limit after a refusal, or after consecutive failures where calls are few.
    /// Without this, hundreds of relays that each know little use up a limit or overload a recovering host.
    fn lower_rate_limit(&mut self, id: &EndpointGroupId, retry_after_received: bool) {
        let (now, random, (first_rate, low_rate)) = (self.now, self.rng.f64(), self.rate_thresholds());
        let even_share = self.fleet.groups.get(id).and_then(|group| self.even_share(group)).unwrap_or(0.0);
        let share_known = even_share > 0.0 && self.many_relays();
        let Some(group) = self.fleet.groups.get_mut(id) else { return };
        if share_known {
            let random_tokens = [self.rng.f64(), self.rng.f64()];
            return group.cut_rate_limit(now, even_share, random, random_tokens);
        }
        if now - group.rate_cut_at > RATE_CUT_INTERVAL_MS {
            // A limit that has fallen shows in the delivery rate and in the reported limit: the cut starts
            // from there.
            let max_rate =
                (MAX_RATE_PER_DELIVERED * group.short_rate.rate(now)).max(even_share).max(first_rate);
            let previous =
                group.rate_limit.map_or(group.short_rate.rate(now), |rate_limit| rate_limit.min(max_rate));
            // The first cut stops at a small rate, or at this relay's share of a reported limit; later cuts
            // go further.
            let first_rate = (even_share * 0.8).max(first_rate);
            let floor = if group.rate_limit.is_none() {
                first_rate
            } else {
                (0.9 / self.settings.relays as f64).min(first_rate)
            };
            group.rate_limit = Some(
                (previous * if previous > low_rate { RATE_CUT_FACTORS.0 } else { RATE_CUT_FACTORS.1 })
                    .max(floor),
            );
            group.rate_cut_at = now;
        }
        group.refill(now);
        // After a Retry-After there is room for one call; otherwise the next call waits for its token.
        group.tokens = if retry_after_received { 1.0 } else { group.tokens.min(0.5) - random };
    }

    /// Takes over the limit and its remaining share from a load report.
    fn apply_load_report(&mut self, id: &EndpointGroupId, report: &[f64]) {
        let limit = self
            .settings
            .limit_column
            .and_then(|column| report.get(column))
            .filter(|x| x.is_finite() && **x > 0.0);
        let remaining =
            self.settings.remaining_column.and_then(|column| report.get(column)).filter(|x| x.is_finite());
        let even_share =
            limit.filter(|_| self.many_relays()).map(|limit| limit / self.settings.relays as f64);
        let previous = self.fleet.groups.get(id).and_then(|group| self.even_share(group));
        self.fleet.groups.get_mut(id).into_iter().for_each(|group| {
            even_share.into_iter().for_each(|even_share| group.rescale_rate_limit(previous, even_share));
            group.reported_limit = limit.copied().or(group.reported_limit);
            group.remaining_share = remaining.copied().unwrap_or(group.remaining_share);
        });
    }

    /// Handles the end of a probe.
    fn probe_ended(&mut self, endpoint: &str, outcome: Outcome, report: &[f64], actions: &mut Vec<Action>) {
        let Some(id) = self.probes_in_flight.remove(endpoint) else { return };
        self.mark_group_dirty(&id);
        self.apply_load_report(&id, report);
        if outcome != Outcome::Delivered {
            return self.learn_from(
                &CallObservation {
                    group_id: &id,
                    endpoint,
                    outcome,
                    took_ms: 0.0,
                    retry_after_ms: 0.0,
                    trial: true,
                },
                actions,
            );
        }
        // A probe may be answered beside the host's queue: it permits a real trial but proves nothing.
        let now = self.now;
        let group = self.fleet.groups.get_mut(&id).into_iter();
        group.for_each(|group| {
            (group.trial_in_flight, group.probe_succeeded, group.trial_at) = (false, true, now)
        });
    }

    // ---- attempts and outcomes

    /// Queues a new request, and makes room for the next one if all places are taken.
    fn accept_request(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, key, due, destination } = event else { return };
        let (id, tenant, destination_id) = (*id, *tenant, *destination);
        if self.settings.classes.is_empty() || self.messages.contains_key(&id) {
            let known = self.messages.contains_key(&id);
            return actions.extend((!known).then_some(Action::Refuse { id, retry_after_ms: None }));
        }
        let class = (*class).min(self.settings.classes.len() - 1);
        let due = clamp_finite(*due, self.now, 1e15);
        let arrived_at = (due - self.settings.classes[class].deadline_ms).min(self.now);
        let key = key.as_deref().filter(|_| self.settings.classes[class].in_order).map(Name::from);
        self.seq += 1;
        self.keys.enqueue(&key, self.seq, id);
        self.tenant_meters
            .get_mut(tenant)
            .into_iter()
            .chain([&mut self.total_meter])
            .for_each(|t| t.add(self.now, 1.0));
        let message = Message {
            class,
            tenant,
            key,
            arrived_at,
            due,
            destination_id,
            seq: self.seq,
            ..Message::default()
        };
        self.messages.insert(id, message);
        self.enqueue(id);
        self.shed_load(actions);
    }

    /// Takes over a message of an earlier process. What its attempts may have done has the same consequences
    /// here as there.
    fn restore_request(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::RequestRestored {
            id,
            class,
            tenant,
            key,
            due,
            destination: destination_id,
            attempts,
            first_uncertain_send,
            ..
        } = event
        else {
            return;
        };
        let Event::RequestRestored { may_be_running, untried, in_flight, .. } = event else { return };
        let (id, class, due) = (*id, (*class).min(self.settings.classes.len().saturating_sub(1)), *due);
        let Some(spec) = self.settings.classes.get(class) else { return actions.push(Action::Fail { id }) };
        let arrived_at = (due - spec.deadline_ms).min(self.now);
        let key = key.as_deref().filter(|_| spec.in_order).map(Name::from);
        let cannot_retry = first_uncertain_send.is_some() && spec.effect == Effect::Unsafe;
        self.seq += 1;
        self.keys.enqueue(&key, self.seq, id);
        if *may_be_running {
            self.pause_key(&key, id);
        }
        let first_uncertain_send =
            first_uncertain_send.as_ref().map(|(at, name)| (*at, Name::from(name.as_str())));
        let (attempts, tenant, destination_id, seq, untried) =
            (*attempts, *tenant, *destination_id, self.seq, *untried);
        let message = Message {
            class,
            tenant,
            key,
            arrived_at,
            due,
            destination_id,
            seq,
            attempts,
            first_uncertain_send,
            untried,
            ..Message::default()
        };
        self.messages.insert(id, message);
        self.enqueue(id);
        // The end of an attempt in flight decides: it may have run, so a refusal would not be safe.
        if *in_flight {
            return;
        }
        if cannot_retry || attempts >= self.settings.max_attempts || self.now >= due - 1.0 {
            self.give_up(id, actions);
        }
    }

    /// Takes over an outage that an earlier process knew of: trials or slow start follow, as if this process
    /// had seen the outage.
    fn restore_outage(&mut self, outage: &Outage) {
        let (now, id) = (self.now, (outage.destination, Name::from(outage.endpoint.as_str())));
        self.mark_group_dirty(&id);
        let group = self.fleet.group_or_insert(&id, || EndpointGroup::new(now));
        (group.breaker, group.rate_before, group.trial_at) = (
            outage.recovered_at.map_or(BreakerState::Open, BreakerState::SlowStart),
            outage.rate_before,
            now,
        );
    }

    /// Keeps one place free for the next message. When all places have been taken, the message that brings
    /// the least value for the time that it keeps its place is refused, the newest first among equals.
    /// Without this, messages for unreachable destinations fill the queues, and messages that could be sent
    /// at once are refused.
    ///
    /// Value decays and rate limits change without an event. So the queues with the lowest value rates, and
    /// those whose rates were computed longest ago, are recomputed, and no more than these.
    fn shed_load(&mut self, actions: &mut Vec<Action>) {
        // The index is built when half of the places have been taken and dropped at a quarter, so that
        // neither happens often.
        if !self.tracks_value_rates && self.messages.len() * 2 >= self.settings.max_open {
            self.tracks_value_rates = true;
            self.stale_value_rates = self
                .fleet
                .destinations
                .walk()
                .filter(|destination| destination.1.queued > 0)
                .map(|destination| *destination.0)
                .collect();
        } else if self.tracks_value_rates && self.messages.len() * 4 < self.settings.max_open {
            self.tracks_value_rates = false;
            self.stale_value_rates.clear();
            self.value_rates.clear();
            self.value_rate_order.clear();
        }
        while self.messages.len() >= self.settings.max_open {
            while let Some(destination_id) = self.stale_value_rates.pop_first() {
                self.update_value_rate(destination_id);
            }
            let stalest = self.value_rate_order.iter().take(REEVALUATED_QUEUES.1).map(|x| *x.1);
            let recomputed: Vec<u64> =
                stalest.chain(self.value_rates.iter().take(REEVALUATED_QUEUES.0).map(|x| *x.1)).collect();
            recomputed.into_iter().for_each(|destination_id| self.update_value_rate(destination_id));
            let least_valuable = self
                .value_rates
                .iter()
                .take(REEVALUATED_QUEUES.0)
                .filter_map(|(_, destination_id)| self.least_valuable(*destination_id));
            let least_valuable =
                least_valuable.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.seq.cmp(&a.1.seq)));
            let Some((_, QueuedMessage { id, .. })) = least_valuable else { return };
            let Some(destination_id) = self.messages.get(&id).map(|m| m.destination_id) else { return };
            let queue_full_logged = self
                .fleet
                .destinations
                .get_mut(&destination_id)
                .map(|destination| &mut destination.queue_full_logged);
            if !queue_full_logged.is_none_or(|logged| std::mem::replace(logged, true)) {
                actions.push(Action::Log(format!(
                    "hold full; refusing messages for destination {destination_id}"
                )));
            }
            self.give_up(id, actions);
        }
    }

    /// Returns the message of a destination's queue with the lowest value per time, and that value rate.
    /// Candidates are the first and the last due of each class and tenant, taken as delivered when everything
    /// queued there has been sent. Only messages that are safe to refuse count.
    pub(crate) fn least_valuable(&self, destination_id: u64) -> Option<(f64, QueuedMessage)> {
        let destination = self.fleet.destinations.get(&destination_id)?;
        let wait_ms = self.drain_ms(destination_id, destination.queued);
        let sub_queues =
            destination.sub_queues.iter().filter(|(key, _)| key.first_endpoint.is_none() && !key.untried);
        let value_rates = sub_queues.filter_map(|(key, sub_queue)| {
            step();
            // The newest would be sent last; the oldest may have lost its value.
            let (class, share) = (&self.settings.classes[key.class], self.share_factor(key.tenant));
            let value_rates = [sub_queue.first(), sub_queue.last()].into_iter().flatten().map(|message| {
                let at = (self.now + wait_ms).min(message.due.get() - 1.0);
                (self.value(class, &message, at, share) / wait_ms, message)
            });
            value_rates.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.seq.cmp(&a.1.seq)))
        });
        value_rates.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.seq.cmp(&a.1.seq)))
    }

    /// Whether at most one slot is free.
    fn slots_are_scarce(&self) -> bool {
        self.calls.len() + 1 >= self.settings.slots
    }

    /// Returns how long a queue takes to send this many messages, in milliseconds.
    fn drain_ms(&self, destination_id: u64, count: usize) -> f64 {
        // A healthy group without a rate limit sends as fast as slots allow, even if it never did; one with
        // an open breaker hardly sends. While slots are scarce, each queue gets an even share of them.
        let queues = if self.slots_are_scarce() { self.credits.len().max(1) } else { 1 };
        let slots = self.settings.slots as f64 / queues as f64;
        let send_rate = |group: &EndpointGroup| match (group.breaker, group.rate_limit) {
            (BreakerState::Open, _) => 0.0,
            (_, Some(rate_limit)) => rate_limit,
            (BreakerState::Closed, _) => slots * 1000.0 / group.latency.map_or(1000.0, |x| x.0.max(1.0)),
            _ => group.short_rate.rate(self.now).max(group.long_rate.rate(self.now)),
        };
        let rate: f64 = self.fleet.groups_of(destination_id).map(|x| send_rate(x.1)).sum();
        count as f64 / rate.max(0.1) * 1000.0
    }

    /// Whether the message can be refused, which tells the client that trying again is harmless: nothing is
    /// in flight, and no attempt may have had an effect that a repeat would duplicate.
    fn safe_to_refuse(&self, message: &Message) -> bool {
        let class = &self.settings.classes[message.class];
        message.in_flight.is_empty()
            && (message.first_uncertain_send.is_none() || class.effect == Effect::Safe)
    }

    /// Gives the final answer for a message that will not be sent again: a refusal where that is safe, else a
    /// failure.
    fn give_up(&mut self, id: u64, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        if self.safe_to_refuse(message) {
            let wait_ms = self.drain_ms(
                message.destination_id,
                self.fleet
                    .destinations
                    .get(&message.destination_id)
                    .map_or(0, |destination| destination.queued),
            );
            let retry_after_ms =
                self.settings.retry_after.then(|| wait_ms.min(self.settings.max_retry_after_ms));
            actions.push(Action::Refuse { id, retry_after_ms });
        } else {
            actions.push(Action::Fail { id });
        }
        self.await_confirmation(id);
        self.finish(id, actions);
    }

    /// Ends a message: it leaves its queue, and its attempts in flight are cancelled.
    fn finish(&mut self, id: u64, actions: &mut Vec<Action>) {
        self.dequeue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut message.finished, true);
        if first && self.settings.may_cancel && !message.response_started {
            actions.extend(message.in_flight.iter().map(|f| Action::Cancel { id, attempt: f.0 }));
        }
        let none_in_flight = message.in_flight.is_empty();
        if first && !none_in_flight {
            // If this process dies before these attempts end, the next one knows nothing of them.
            let key = message.key.clone();
            self.pause_key(&key, id);
        }
        let Some(message) = self.messages.get_mut(&id) else { return };
        if none_in_flight {
            let (key, seq) = (message.key.take(), message.seq);
            self.messages.remove(&id);
            let next = key.and_then(|key| self.keys.remove(key, seq, id, self.now));
            next.into_iter().for_each(|id| self.reindex_message(id));
        }
    }

    /// Handles the end of an attempt: records its outcome once per call, and ends the message or queues it
    /// again.
    fn attempt_ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report } = event else {
            return;
        };
        let (id, outcome) = (*id, *outcome);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(at) = message.in_flight.iter().position(|f| f.0 == *attempt) else { return };
        let (_, call_id) = message.in_flight.remove(at);
        message.untried &= matches!(outcome, Outcome::NotSent | Outcome::Cancelled);
        let key = message.key.clone();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.message_ids.retain(|x| *x != id);
        let first = !std::mem::replace(&mut call.outcome_counted, true);
        let all_ended = call.message_ids.is_empty();
        let (group_id, sent_at, cancelled) = (call.group_id.clone(), call.sent_at, call.cancelled);
        let CallKind { endpoint, trial, .. } = call.kind.clone();
        if !outcome.never_ran() && message.first_uncertain_send.as_ref().is_none_or(|x| sent_at < x.0) {
            message.first_uncertain_send = Some((sent_at, endpoint.clone()));
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Stale | Outcome::Cancelled) {
            self.pause_key(&key, id);
        }
        self.mark_group_dirty(&group_id);
        if all_ended {
            let call = self.calls.remove(&call_id);
            let group = self.fleet.groups.get_mut(&group_id).into_iter().zip(call);
            group.for_each(|(group, call)| group.calls.remove(&call.kind, call.sent_at, call_id));
            self.cancelled_calls -= usize::from(cancelled);
            // Where connections were refused or broke, idle connections of many relays keep others out, or
            // are dead.
            let long_rate =
                self.fleet.groups.get(&group_id).map_or(0.0, |group| group.long_rate.rate(self.now));
            let has_queued =
                self.fleet.destinations.get(&group_id.0).is_some_and(|destination| destination.queued > 0);
            let last_failure =
                self.fleet.hosts.get(&endpoint).and_then(|host| self.connection_failures.get(&host.kind));
            let failed_recently = last_failure.is_some_and(|at| self.now - at < CONNECTION_FAILURE_MEMORY_MS);
            let close = failed_recently && !has_queued && long_rate * KEEP_IDLE_CONNECTION_MS < 1000.0;
            if let Some(destination) = self.fleet.destinations.get_mut(&group_id.0) {
                destination.calls_in_flight = destination.calls_in_flight.saturating_sub(1);
                destination.record_call(self.now - sent_at, outcome == Outcome::Delivered);
            }
            if let Some(host) = self.fleet.hosts.get_mut(&endpoint) {
                (host.calls_in_flight, host.last_used_at) =
                    (host.calls_in_flight.saturating_sub(1), self.now);
                if close && host.calls_in_flight == 0 {
                    host.connections = 0;
                    actions.push(Action::CloseIdle { endpoint: endpoint.to_string() });
                }
            }
        }
        self.apply_load_report(&group_id, report);
        if first {
            // A call that was cancelled here for being late says the same about the group as a time-out.
            let silent =
                self.fleet.groups.get(&group_id).is_some_and(|group| group.last_delivery_at < sent_at);
            let outcome = if outcome == Outcome::Cancelled && cancelled && silent {
                Outcome::TimedOut
            } else {
                outcome
            };
            let (took_ms, retry_after_ms) =
                (clamp_finite(*took_ms, 0.0, 1e9), clamp_finite(*retry_after_ms, 0.0, 1e9));
            self.learn_from(
                &CallObservation {
                    group_id: &group_id,
                    endpoint: &endpoint,
                    outcome,
                    took_ms,
                    retry_after_ms,
                    trial,
                },
                actions,
            );
        }
        let Some(message) = self.messages.get_mut(&id) else { return };
        if *settled || message.finished {
            return self.finish(id, actions);
        }
        if !message.in_flight.is_empty() || message.response_started || message.queued {
            return;
        }
        let attempts = message.attempts;
        if (message.first_uncertain_send.is_some()
            && self.settings.classes[message.class].effect == Effect::Unsafe)
            || attempts >= self.settings.max_attempts
            || self.now >= message.due - 1.0
        {
            return self.give_up(id, actions);
        }
        if !outcome.never_ran() || outcome == Outcome::NotSent {
            let pause = 50.0 * f64::from(attempts) * (0.5 + self.rng.f64());
            message.not_before = self.now + pause.max(self.settings.tick_ms * 2.0);
        }
        self.enqueue(id);
    }

    // ---- queues

    /// Queues a message for sending.
    fn enqueue(&mut self, id: u64) {
        let zero = self.credits.zero_base();
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.queued = true;
        let destination_id = message.destination_id;
        let destination = self.fleet.destinations.or_insert_with(destination_id, Destination::default);
        destination.queued += 1;
        if destination.queued == 1 {
            destination.credit_base = zero;
            self.backlogged = (self.backlogged.0 + 1, self.backlogged.1 + destination.slot_time_us);
        }
        let end = self.messages.get(&id).map_or(0.0, |message| self.send_deadline(message));
        self.expiries.set(id, OrderedF64::new(end));
        self.reindex_message(id);
    }

    /// Returns from when on the message's own state lets it be sent: a pause after a failure, an earlier
    /// message of its key, or a pause of the key holds it back until then.
    pub(crate) fn sendable_at(&self, id: u64, message: &Message) -> f64 {
        message
            .not_before
            .max(message.key.as_ref().map_or(0.0, |key| self.keys.sendable_at(key, message.seq, id)))
    }

    /// An attempt may still be running: the next messages of its key wait.
    pub(crate) fn pause_key(&mut self, key: &Option<Name>, id: u64) {
        let paused_until = self.now + self.settings.order_pause_ms;
        let Some(key) = key else { return };
        self.key_pauses.push(KeyPause { key: key.to_string(), until: paused_until });
        let next = self.keys.pause(key, id, paused_until);
        next.into_iter().for_each(|id| self.reindex_message(id));
    }

    /// Returns until when a message may be sent. A keyed message that may have run is sent only if it arrives
    /// within its deduplication window.
    pub(crate) fn send_deadline(&self, message: &Message) -> f64 {
        let class = &self.settings.classes[message.class];
        let window_ms = (1.0 - RETRY_TRANSIT_SHARE) * class.dedup_window_ms - self.settings.tick_ms;
        match &message.first_uncertain_send {
            Some((at, _)) if class.effect == Effect::Keyed => message.due.min(at + window_ms),
            _ => message.due,
        }
    }

    /// Whether the endpoint would drop a repeat of what the messages of this sub-queue may have done already.
    fn dedup_scope_fits(&self, key: &SubQueueKey, name: &Name, host: &Host) -> bool {
        let Some(first) = &key.first_endpoint else { return true };
        match self.settings.classes[key.class].dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => self.fleet.hosts.get(first).is_some_and(|f| f.zone == host.zone),
            DedupScope::Endpoint => first == name,
        }
    }

    // ---- discovery

    /// Applies an update of the list, or schedules the next request for it after a failure.
    fn apply_list_update(&mut self, update: &ListUpdate, actions: &mut Vec<Action>) {
        let (list, full_list) = match update {
            ListUpdate::Failed => {
                if self.watch_retry_ms <= DISCOVERY_RETRY_MS.0 {
                    actions.push(Action::Log("discovery failing; keeping the last list".to_string()));
                }
                (self.watching, self.watch_requested) = (false, false);
                self.next_watch_at = self.now + self.watch_retry_ms * (0.5 + self.rng.f64());
                self.watch_retry_ms = (self.watch_retry_ms * 2.0).min(DISCOVERY_RETRY_MS.1);
                return;
            }
            ListUpdate::Full(list) => (list, true),
            ListUpdate::Cached(list) | ListUpdate::Delta(list) => (list, false),
        };
        if self.watch_requested && !matches!(update, ListUpdate::Cached(_)) {
            (self.watching, self.watch_retry_ms) = (true, DISCOVERY_RETRY_MS.0);
        }
        let (now, dirty) = (self.now, &mut self.dirty);
        let mut mark_dirty = |id: &EndpointGroupId| {
            dirty.0.insert(id.clone());
            dirty.1.insert(id.0);
        };
        let weights_are_limits = self.settings.weight_meaning != WeightMeaning::Ignored;
        self.fleet.apply_list(
            list,
            full_list,
            weights_are_limits,
            &self.settings.own_limits,
            &mut || EndpointGroup::new(now),
            &mut mark_dirty,
        );
        // A Retry-After of an endpoint with its own limit outlives the endpoint's place in the list.
        self.fleet.remove_unlisted(list, full_list, &mut mark_dirty, |group| group.retry_after_until <= now);
        self.cached_action = None;
    }

    /// Starts watching the list where that is due.
    fn request_watch(&mut self, actions: &mut Vec<Action>) {
        if self.settings.poll_discovery
            && !self.watching
            && !self.watch_requested
            && self.now >= self.next_watch_at
        {
            self.watch_requested = true;
            actions.push(Action::WatchList(true));
        }
    }

    // ---- sending: Most Credit First

    /// Fills the free slots: the destination with the highest credit sends first, and probes go before
    /// messages.
    fn send_queued(&mut self, actions: &mut Vec<Action>) {
        self.refresh_indexes();
        self.open_on_overruns(actions);
        self.refresh_indexes();
        self.cancel_overdue_call(actions);
        let mut tie_checks_left = MAX_TIE_CHECKS;
        while self.calls.len() < self.settings.slots {
            self.refresh_indexes();
            if let Some((destination_id, endpoint)) = self.pending_probes.pop_first() {
                self.start_probe(destination_id, endpoint, actions);
                continue;
            }
            let Some(destination_id) = self.credits.first() else { return };
            // What could be sent when last examined may have expired, or its group may no longer take a call.
            if self.cached_action.as_ref().is_none_or(|x| x.0 != destination_id) {
                self.reindex_destination(destination_id);
            }
            // Nor does it have to be the first among equals any more.
            if tie_checks_left > 0 && self.credits.first() != Some(destination_id) {
                tie_checks_left -= 1;
                continue;
            }
            tie_checks_left = MAX_TIE_CHECKS;
            let Some((_, NextAction::Send(id, endpoint))) = self.cached_action.take() else { continue };
            self.charge_credit(destination_id);
            self.start_attempt(id, &endpoint, actions);
            // Further messages queued for that endpoint share the call where its kind takes batches.
            while self.open_batches.contains_key(&endpoint) {
                let Some(next) = self.best_message(destination_id, &endpoint, false, false) else { break };
                self.start_attempt(next, &endpoint, actions);
            }
        }
    }

    /// All backlogged queues gain credit, and the one that is served pays.
    fn charge_credit(&mut self, destination_id: u64) {
        let ((queues, total_slot_time_us), scarce) = (self.backlogged, self.slots_are_scarce());
        let Some(destination) = self.fleet.destinations.get_mut(&destination_id) else { return };
        // A single message that is sent at once takes no turn and changes no credit.
        if queues < 2 && destination.queued < 2 {
            return;
        }
        // While slots are scarce, a turn costs its slot time; otherwise slow destinations would take most of
        // the slots.
        let mean_slot_time_us = total_slot_time_us as f64 / queues as f64;
        let cost = if scarce {
            (destination.slot_time_us as f64 / mean_slot_time_us).powi(2).clamp(0.05, 8.0)
        } else {
            1.0
        };
        // The cost is distributed among the queues that may send. Otherwise their credits would all fall to
        // the cap while other queues wait for something else, and could not be told apart.
        let share = credit_units(cost) / self.credits.len().max(1) as i128;
        destination.credit_base = self.credits.charge(destination.credit_base, share, credit_units(cost));
    }

    /// Returns the first message of a destination that may go to an endpoint now. Messages go first in, first
    /// out, unless the queue is so long that some would lose value by going last; then the one that loses
    /// most goes first. `only_expendable` limits this to messages that have nothing to lose: safe to repeat,
    /// or perhaps run already.
    fn best_message(
        &self, destination_id: u64, endpoint: &Name, trial: bool, only_expendable: bool,
    ) -> Option<u64> {
        let (destination, host) =
            (self.fleet.destinations.get(&destination_id)?, self.fleet.hosts.get(endpoint)?);
        let group = self.fleet.groups.get(&host.group_id);
        let latency = self
            .fleet
            .groups_of(destination_id)
            .filter_map(|(_, group)| group.latency)
            .map(|latency| latency.0);
        let earliest_delivery = self.now + latency.fold(0.0, f64::max);
        let latest_delivery = earliest_delivery + self.drain_ms(destination_id, destination.queued);
        let mut best: Option<(f64, u64, u64)> = None;
        for (key, sub_queue) in &destination.sub_queues {
            step();
            let class = &self.settings.classes[key.class];
            if !self.dedup_scope_fits(key, endpoint, host)
                || (only_expendable && key.first_endpoint.is_none() && class.effect != Effect::Safe)
            {
                continue;
            }
            let (mut min_due, mut max_due) = (self.now.next_up(), f64::MAX);
            // A trial without time for an answer shows nothing, and would count as failed.
            if trial {
                min_due = min_due.max(
                    self.now
                        + group
                            .and_then(|group| group.latency)
                            .map_or(0.0, |(mean, deviation)| mean + deviation),
                );
            }
            // An unsafe message is lost by any failure after which it may have run, so it waits for a group
            // that works.
            if class.effect == Effect::Unsafe
                && (trial || group.is_some_and(|group| group.failure_share > 0.3))
            {
                max_due = self.now + class.aim_ms;
            }
            // Nobody can tell afterwards whether a call ran that was in flight when the process ended.
            if let Some(stop) = self.stop_at {
                let ends_at =
                    attempt_timeout(self.now, group?, class, f64::MAX).map_or(f64::MAX, |ms| self.now + ms);
                max_due = if ends_at > stop { max_due.min(stop) } else { max_due };
            }
            let share = self.share_factor(key.tenant);
            let breakpoints =
                value_breakpoints(self.settings.value_decay, class, [earliest_delivery, latest_delivery]);
            sub_queue.visit_candidates(min_due, max_due, &breakpoints, &mut |queued_message| {
                // A keyed message whose window has closed, and which has no final answer yet, is not sent any
                // more.
                let window_closed = |message: &Message| self.now >= self.send_deadline(message);
                if key.first_endpoint.is_some()
                    && self.messages.get(&queued_message.id).is_none_or(window_closed)
                {
                    return;
                }
                let (only_message, due) = (destination.queued == 1, queued_message.due.get());
                // Losses are rounded to whole steps, so that messages with equal losses but for rounding go
                // in the order of arrival.
                let loss = || {
                    self.value(class, &queued_message, earliest_delivery, share)
                        - self.value(class, &queued_message, latest_delivery, share)
                };
                let urgent = (key.untried && (earliest_delivery..latest_delivery).contains(&due))
                    .then_some(UNTRIED_LOSS - due);
                let loss = urgent.unwrap_or_else(|| {
                    if only_message {
                        0.0
                    } else {
                        (loss() * LOSS_STEPS_PER_VALUE).round()
                    }
                });
                if best.is_none_or(|current| {
                    loss > current.0 || (loss == current.0 && queued_message.seq < current.1)
                }) {
                    best = Some((loss, queued_message.seq, queued_message.id));
                }
            });
        }
        best.map(|current| current.2)
    }

    /// Returns the endpoints of a destination that may take a call, the best first, and whether the call is a
    /// trial.
    fn candidate_endpoints(&self, destination_id: u64) -> Vec<(Name, bool)> {
        let mut found = Vec::new();
        for (name, host) in
            self.fleet.hosts_of(destination_id).filter(|x| x.1.status == EndpointStatus::Active)
        {
            if self.call_allowed_at(&host.group_id) > self.now {
                continue;
            }
            let trial = self
                .fleet
                .groups
                .get(&host.group_id)
                .is_some_and(|group| group.breaker == BreakerState::Open);
            let recently_used = self.now - host.last_used_at < self.settings.conn_idle_ms;
            let has_idle_connection =
                recently_used && host.calls_in_flight < host.connections * self.settings.conn_streams;
            let fee = self.settings.route_fee.get(host.zone as usize).filter(|_| !host.group_id.1.is_empty());
            let cost = if host.zone == self.settings.zone { 0.0 } else { self.settings.cross_zone_cost }
                + if has_idle_connection { 0.0 } else { self.settings.handshake_cost }
                + fee.unwrap_or(&0.0);
            let load = host.calls_in_flight as f64 * 0.02;
            // Among equals each relay has its own order: by name, all relays would crowd the first endpoint.
            let rank = (host.calls_in_flight, salted_hash(self.salt, name));
            found.push((host.avoid_until > self.now, cost + load, rank, name, trial));
        }
        found.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(b.3)));
        found.into_iter().map(|f| (f.3.clone(), f.4)).collect()
    }

    /// Returns what a destination would send next, provided that it may send and a slot is free.
    pub(crate) fn next_action(&self, destination_id: u64) -> NextAction {
        let Some(destination) = self.fleet.destinations.get(&destination_id).filter(|d| d.queued > 0) else {
            return NextAction::Nothing;
        };
        if destination.calls_in_flight >= self.slot_limit(destination_id) {
            return NextAction::Nothing;
        }
        for (endpoint, trial) in self.candidate_endpoints(destination_id) {
            // A trial carries a message that has nothing to lose, the one of most value among those that are
            // safe to repeat or may have run already. If there is none, a probe goes out where probes are
            // allowed, else any message.
            if let Some(id) = self.best_message(destination_id, &endpoint, trial, trial) {
                return NextAction::Send(id, endpoint);
            }
            let group = self
                .fleet
                .hosts
                .get(&endpoint)
                .and_then(|host| self.fleet.groups.get(&host.group_id))
                .filter(|_| trial);
            let Some(group) = group else { continue };
            if self.settings.may_probe && !group.probe_succeeded {
                return NextAction::Probe(endpoint);
            }
            if let Some(id) = self.best_message(destination_id, &endpoint, true, false) {
                return NextAction::Send(id, endpoint);
            }
        }
        NextAction::Nothing
    }

    /// Returns when a destination that may send nothing now may do so by time alone.
    pub(crate) fn next_sendable_at(&self, destination_id: u64) -> Option<f64> {
        let destination =
            self.fleet.destinations.get(&destination_id).filter(|destination| destination.queued > 0)?;
        let mut next = f64::MAX;
        let mut at = |t: f64| next = if t > self.now { next.min(t) } else { next };
        for (_, host) in self.fleet.hosts_of(destination_id).filter(|x| x.1.status == EndpointStatus::Active)
        {
            let allowed_at = self.call_allowed_at(&host.group_id);
            let slow_start = self
                .fleet
                .groups
                .get(&host.group_id)
                .is_some_and(|group| matches!(group.breaker, BreakerState::SlowStart(_)));
            // The capacity of a group grows during slow start, so it may take a call sooner than computed
            // now.
            at(if slow_start { allowed_at.min(self.now + SLOW_START_RECHECK_MS) } else { allowed_at });
        }
        // An unsafe message goes to a failing group when it would otherwise be late.
        for (key, sub_queue) in &destination.sub_queues {
            let class = &self.settings.classes[key.class];
            let first = sub_queue
                .first_due_from((self.now + class.aim_ms).next_up())
                .filter(|_| class.effect == Effect::Unsafe);
            first.into_iter().for_each(|message| at(message.due.get() - class.aim_ms));
        }
        Some(next).filter(|t| *t < f64::MAX)
    }

    /// Returns until when an answer to a message sent as a trial would come in time; after that, a probe is
    /// sent instead.
    pub(crate) fn trial_deadline(&self, id: u64, endpoint: &Name) -> Option<f64> {
        let group = self.fleet.hosts.get(endpoint).and_then(|host| self.fleet.groups.get(&host.group_id));
        let (mean, deviation) =
            group.filter(|group| self.settings.may_probe && group.breaker == BreakerState::Open)?.latency?;
        self.messages.get(&id).map(|message| (message.due - mean - deviation).next_up())
    }

    /// Starts a probe, if it is still the next action of the destination.
    fn start_probe(&mut self, destination_id: u64, endpoint: Name, actions: &mut Vec<Action>) {
        let now = self.now;
        self.mark_dirty(destination_id);
        if !matches!(self.next_action(destination_id), NextAction::Probe(now) if now == endpoint) {
            return;
        }
        let Some(id) = self.fleet.hosts.get(&endpoint).map(|host| host.group_id.clone()) else { return };
        let Some(group) = self.fleet.groups.get_mut(&id) else { return };
        group.trial_in_flight = true;
        group.recent_sends.add(now, 1.0, now - self.settings.fall_ms.max(self.settings.warm_after_ms));
        actions.push(Action::Probe { endpoint: endpoint.to_string() });
        self.probes_in_flight.insert(endpoint, id);
    }

    /// Starts an attempt: it joins a call started in this round where batches allow it, else a new call.
    fn start_attempt(&mut self, id: u64, endpoint: &Name, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(host), Some(message)) = (self.fleet.hosts.get(endpoint), self.messages.get(&id)) else {
            return;
        };
        let (group_id, begin_by) = (host.group_id.clone(), self.send_deadline(message));
        let class = &self.settings.classes[message.class];
        let carries_unsafe = class.effect == Effect::Unsafe;
        let Some(group) = self.fleet.groups.get_mut(&group_id) else { return };
        let trial = group.breaker == BreakerState::Open;
        let batch = self.settings.batch_by_kind.get(host.kind).copied().unwrap_or(1).max(1);
        let timeout_ms = attempt_timeout(now, group, class, message.due);
        let first = now - self.settings.fall_ms.max(self.settings.warm_after_ms);
        let call_id = match self.open_batches.get_mut(endpoint) {
            Some((call, remaining)) => {
                *remaining -= 1;
                let call = *call;
                self.open_batches.retain(|_, x| x.1 > 0);
                group.recent_sends.add(now, 0.25, first);
                call
            }
            None => {
                self.seq += 1;
                let kind = CallKind {
                    endpoint: endpoint.clone(),
                    aim_ms: OrderedF64::new(class.aim_ms),
                    trial,
                    carries_unsafe,
                };
                group.calls.insert(kind.clone(), now, self.seq);
                let call_group_id = group_id.clone();
                let call = Call {
                    group_id: call_group_id,
                    kind,
                    sent_at: now,
                    message_ids: Vec::new(),
                    outcome_counted: false,
                    cancelled: false,
                };
                self.calls.insert(self.seq, call);
                if batch > 1 && !trial {
                    self.open_batches.insert(endpoint.clone(), (self.seq, batch - 1));
                }
                group.refill(now);
                group.tokens -= 1.0;
                group.recent_sends.add(now, 1.0, first);
                group.trial_in_flight |= trial;
                if let Some(host) = self.fleet.hosts.get_mut(endpoint) {
                    host.begin_call(now, self.settings.conn_idle_ms, self.settings.conn_streams);
                }
                self.fleet
                    .destinations
                    .get_mut(&group_id.0)
                    .into_iter()
                    .for_each(|destination| destination.calls_in_flight += 1);
                self.seq
            }
        };
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.message_ids.push(id);
            if carries_unsafe && !call.kind.carries_unsafe {
                let group = self.fleet.groups.get_mut(&group_id);
                let had_unsafe = std::mem::replace(&mut call.kind.carries_unsafe, true);
                let kind = CallKind { carries_unsafe: had_unsafe, ..call.kind.clone() };
                group.into_iter().for_each(|group| {
                    group.calls.remove(&kind, now, call_id);
                    group.calls.insert(call.kind.clone(), now, call_id);
                });
            }
        }
        self.mark_group_dirty(&group_id);
        self.dequeue(id);
        if let Some(message) = self.messages.get_mut(&id) {
            message.in_flight.push((message.attempts, call_id));
            message.attempts += 1;
        }
        actions.push(Action::Send { id, endpoint: endpoint.to_string(), timeout_ms, begin_by });
    }

    /// Opens the breaker of a group whose calls overrun their expected latency with nothing delivered since
    /// they were sent: it hangs or is silent. This happens before the time-outs show it, so that no more
    /// queued messages are spent on it.
    fn open_on_overruns(&mut self, actions: &mut Vec<Action>) {
        let due = self.overrun_checks.iter().take_while(|x| x.0.get() <= self.now).map(|x| x.1.clone());
        let mut due: Vec<EndpointGroupId> = due.collect();
        due.sort_unstable();
        for id in due {
            let Some(group) = self.fleet.groups.get(&id) else { continue };
            let late = group.calls.after(group.last_delivery_at, 2).filter(|x| !x.0.trial);
            let late = late
                .filter(|(kind, sent, _)| self.now - sent > 1.5 * group.overrun_ms(kind.aim_ms.get()))
                .count();
            let failures = group.consecutive_failures;
            if group.breaker != BreakerState::Open && late > 0 && late as u32 + failures >= 2 {
                self.open_breaker(&id, "no answers", None, actions);
                self.fleet
                    .groups
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|group| group.opened_on_overrun = failures == 0);
                self.mark_group_dirty(&id);
            }
        }
    }

    /// Returns when [`Relay::open_on_overruns`] would open the group's breaker.
    pub(crate) fn overrun_at(&self, group: &EndpointGroup) -> Option<f64> {
        let calls = group.calls.after(group.last_delivery_at, 2).filter(|x| !x.0.trial);
        let mut overruns: Vec<f64> =
            calls.map(|(kind, sent, _)| sent + 1.5 * group.overrun_ms(kind.aim_ms.get())).collect();
        overruns.sort_unstable_by(f64::total_cmp);
        overruns
            .get(usize::from(group.consecutive_failures == 0))
            .copied()
            .filter(|_| group.breaker != BreakerState::Open)
    }

    /// Cancels a call that overran its expected latency when no slot is free and a queue could send: the slot
    /// is worth more to that queue. The call whose time was up first is cancelled. Without this, two hung
    /// destinations at their slot limits stop the whole relay. A call with an unsafe message gets more time,
    /// since cancelling loses the message.
    fn cancel_overdue_call(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel || self.cancelled_calls > 0 {
            return;
        }
        let no_slot_free = self.calls.len() >= self.settings.slots;
        let first =
            self.overdue_calls.first().filter(|x| no_slot_free && x.0 .0.get() < self.now).map(|x| x.0 .1);
        let first = first.filter(|_| self.queue_is_waiting());
        let Some(call_id) = first.or_else(|| self.lost_call_at_slot_limit()) else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.cancelled = true;
        let mut message_ids = call.message_ids.clone();
        message_ids.sort_unstable();
        self.cancelled_calls += 1;
        for id in message_ids {
            let in_flight = self.messages.get(&id).into_iter().flat_map(|message| &message.in_flight);
            let attempts = in_flight.filter(|f| f.1 == call_id);
            actions.extend(attempts.map(|f| Action::Cancel { id, attempt: f.0 }));
        }
    }

    /// Returns a call beyond its expected latency whose group has delivered since the call was sent. Such a
    /// call is lost, not slow, and must not hold one of the few slots of a degraded destination that has more
    /// queued.
    fn lost_call_at_slot_limit(&self) -> Option<u64> {
        let due = self.overdue_calls.iter().take_while(|x| x.0 .0.get() < self.now).take(MAX_OVERDUE_SCAN);
        let lost = due.filter(|((_, call), group_id)| {
            // Cancelling would lose an unsafe message.
            let Some(call) = self.calls.get(call).filter(|c| !c.kind.carries_unsafe) else { return false };
            let full = |destination: &Destination| {
                destination.queued > 0 && destination.calls_in_flight >= self.slot_limit(group_id.0)
            };
            let lost = |group: &EndpointGroup| {
                self.now - call.sent_at > LOST_CALL_OVERRUNS * group.overrun_ms(call.kind.aim_ms.get())
                    && group.last_delivery_at > call.sent_at
            };
            self.fleet.groups.get(group_id).is_some_and(lost)
                && self.fleet.destinations.get(&group_id.0).is_some_and(full)
        });
        lost.map(|x| x.0 .1).next()
    }

    /// Returns when the first of a group's calls may be cancelled, and which call that is.
    pub(crate) fn overdue_at(&self, group: &EndpointGroup) -> Option<(f64, u64)> {
        // This includes groups that deliver: where connections fall silent, their lost calls would fill the
        // slots.
        let ends = group.calls.oldest().map(|(kind, sent, call)| {
            let factor = if kind.carries_unsafe { 3.0 } else { 1.0 };
            (sent + factor * group.overrun_ms(kind.aim_ms.get()), call)
        });
        ends.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
    }

    /// Whether a queue would send if a slot were free.
    fn queue_is_waiting(&mut self) -> bool {
        while let Some(destination_id) = self.credits.first().filter(|_| self.pending_probes.is_empty()) {
            self.reindex_destination(destination_id);
            if matches!(self.cached_action, Some((_, NextAction::Send(..)))) {
                return true;
            }
        }
        !self.pending_probes.is_empty()
    }

    // ---- expiry

    /// Returns how long before its end a queued message is given up: two rounds, and the time to answer all
    /// messages that could end with it, as one round answers only a bounded number.
    fn expiry_lead_ms(&self) -> f64 {
        2.0 * self.settings.tick_ms + (self.expiries.len() / EXPIRY_ROUND.0) as f64 * EXPIRY_ROUND.1
    }

    /// Gives up the queued messages whose time ends, in the order of their destinations and arrival.
    fn expire_queued(&mut self, actions: &mut Vec<Action>) {
        let end = self.now + self.expiry_lead_ms();
        let due = std::iter::from_fn(|| self.expiries.pop_due(end)).take(EXPIRY_ROUND.0).collect::<Vec<_>>();
        let arrival =
            |id: &u64| self.messages.get(id).map_or((0, 0), |message| (message.destination_id, message.seq));
        let mut due: Vec<_> = due.iter().map(|id| (arrival(id), *id)).collect();
        due.sort_unstable();
        due.into_iter().for_each(|(_, id)| self.give_up(id, actions));
    }

    /// Sets one timer for the next moment at which time alone changes something.
    fn arm_timer(&mut self, actions: &mut Vec<Action>) {
        let mut next = f64::MAX;
        // Not closer than the rounding of a coarse clock: such a timer would fire at the same moment forever.
        let soonest = self.now + MIN_TIMER_MS;
        let mut at = |t: f64| next = if t > self.now { next.min(t.max(soonest)) } else { next };
        if self.expiries.len() > 0 {
            at((self.expiries.next_time() - self.expiry_lead_ms()).max(self.now + 1.0));
        }
        at(self.blocked.next_time());
        at(self.wake_times.next_time());
        at(self.overrun_checks.next_time() + 1.0);
        if self.cancelled_calls == 0 && self.backlogged.0 > 0 {
            let soon = self.overdue_calls.iter().take(MAX_OVERDUE_SCAN).map(|x| x.0 .0.get() + 1.0);
            soon.filter(|t| *t > self.now).take(1).for_each(&mut at);
        }
        if self.settings.poll_discovery && !self.watching && !self.watch_requested {
            at(self.next_watch_at);
        }
        if next < self.armed_timer_at {
            self.armed_timer_at = next;
            actions.push(Action::Timer { at: next, token: 0 });
        }
    }
}
