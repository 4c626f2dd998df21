//! Views of a relay's state for its users. This module makes no decisions.

use crate::fleet::{BreakerState, EndpointGroup};
use crate::interface::{EndpointStatus, KeyPause, Outage};
use crate::logic::Relay;
use serde::{Deserialize, Serialize};

/// What keeps the messages queued for a destination from being sent. If several reasons hold, the first in
/// this order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// It has no active endpoint.
    NoEndpoint,
    /// A Retry-After lasts.
    Wait,
    /// The breaker is open, and the next half-open trial is not due or one is in flight.
    Trial,
    /// It is in slow start and has been sent what it can take at the moment.
    Ramp,
    /// The backoff after a refusal lasts.
    Quiet,
    /// A refusal emptied the token bucket, which would otherwise hold a token.
    Bucket,
    /// The rate limit.
    Pace,
    /// It holds half of the slots and is degraded.
    Half,
    /// It holds three quarters of the slots.
    ThreeQuarters,
    /// All slots are taken.
    Slots,
    /// The state of the messages themselves: a pause after a failure, an earlier message of the same key, or
    /// a pause of the key.
    Own,
}

impl WaitReason {
    /// All reasons in their order.
    pub const ALL: [WaitReason; 11] = [
        WaitReason::NoEndpoint,
        WaitReason::Wait,
        WaitReason::Trial,
        WaitReason::Ramp,
        WaitReason::Quiet,
        WaitReason::Bucket,
        WaitReason::Pace,
        WaitReason::Half,
        WaitReason::ThreeQuarters,
        WaitReason::Slots,
        WaitReason::Own,
    ];
}

/// Health of an endpoint group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupHealth {
    /// Nothing is known against it.
    Healthy,
    /// A call overruns its expected latency, or the last outcome was a failure.
    Degraded,
    /// Only single half-open trials go out.
    Open,
    /// Recovered, and perhaps still cold.
    SlowStart,
}

impl Relay {
    /// Returns the outages that a later process of this relay should know of.
    pub fn outages(&self) -> Vec<Outage> {
        self.fleet.unhealthy.list()
    }

    /// Returns the pauses of keys that the last round has set. A later process must know them, see
    /// [`crate::Event::KeysPaused`].
    pub fn key_pauses(&self) -> &[KeyPause] {
        &self.key_pauses
    }

    /// Returns a number that grows whenever [`Relay::outages`] changes.
    pub fn outages_version(&self) -> u64 {
        self.fleet.unhealthy.version()
    }

    /// Returns the number of listed endpoints, and how many of them are avoided at the moment.
    pub fn host_counts(&self, now: f64) -> (usize, usize) {
        self.fleet.host_counts(now)
    }

    /// Returns how many messages, calls, endpoints and groups are in memory, which must not grow over a long
    /// run.
    pub fn sizes(&self) -> [usize; 4] {
        let [hosts, groups] = self.fleet.sizes();
        [self.messages.len(), self.calls.len(), hosts, groups]
    }

    /// Returns what keeps the messages queued for a destination waiting, as of the last round.
    pub fn wait_reason(&self, destination_id: u64) -> Option<WaitReason> {
        let destination =
            self.fleet.destinations.get(&destination_id).filter(|destination| destination.queued > 0)?;
        let now = self.now;
        let mut blocked_by: Option<WaitReason> = Some(WaitReason::NoEndpoint);
        for (_, host) in self.fleet.hosts_of(destination_id).filter(|x| x.1.status == EndpointStatus::Active)
        {
            let Some(group) = self.fleet.groups.get(&host.group_id) else { continue };
            let reason = (self.call_allowed_at(&host.group_id) > now).then(|| closed_gate_reason(group, now));
            // The endpoint that is nearest to taking a call decides.
            blocked_by = if blocked_by == Some(WaitReason::NoEndpoint) || reason.is_none() {
                reason
            } else {
                blocked_by.max(reason)
            };
            if blocked_by.is_none() {
                break;
            }
        }
        Some(match blocked_by {
            Some(reason) => reason,
            None if destination.calls_in_flight >= self.slot_limit(destination_id)
                && self.is_degraded(destination_id) =>
            {
                WaitReason::Half
            }
            None if destination.calls_in_flight >= self.slot_limit(destination_id) => {
                WaitReason::ThreeQuarters
            }
            None if self.calls.len() >= self.settings.slots => WaitReason::Slots,
            None => WaitReason::Own,
        })
    }

    /// Returns the health of an endpoint's group.
    pub fn group_health(&self, destination_id: u64, endpoint: &str) -> GroupHealth {
        let group = self.fleet.hosts.get(endpoint).and_then(|host| self.fleet.groups.get(&host.group_id));
        match group.map(|group| group.breaker) {
            Some(BreakerState::Open) => GroupHealth::Open,
            Some(BreakerState::SlowStart(_)) => GroupHealth::SlowStart,
            _ if self.is_degraded(destination_id) => GroupHealth::Degraded,
            _ => GroupHealth::Healthy,
        }
    }
}

/// Returns which condition of [`Relay::call_allowed_at`] holds back a group that may not take a call now.
fn closed_gate_reason(group: &EndpointGroup, now: f64) -> WaitReason {
    let tokens = |rate_limit: f64| group.tokens + rate_limit * (now - group.refilled_at).max(0.0) / 1000.0;
    match group.breaker {
        _ if group.retry_after_until > now => WaitReason::Wait,
        BreakerState::Open => WaitReason::Trial,
        _ if group.backoff_until > now => WaitReason::Quiet,
        _ if group.rate_limit.is_some_and(|rate_limit| tokens(rate_limit) < 1.0) => {
            if group.bucket_emptied_until > now {
                WaitReason::Bucket
            } else {
                WaitReason::Pace
            }
        }
        BreakerState::SlowStart(_) => WaitReason::Ramp,
        // One call goes out until the limit is known.
        BreakerState::Closed => WaitReason::Pace,
    }
}
