//! What can be seen of a relay's state from outside. Nothing here decides.

use crate::fleet::{BreakerState, EndpointGroup};
use crate::interface::{EndpointStatus, Outage};
use crate::logic::Relay;
use serde::{Deserialize, Serialize};

/// What keeps the messages held for a destination from going out. Of several the first in this order is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// It has no endpoint that takes anything new.
    NoEndpoint,
    /// It was told to wait.
    Wait,
    /// It is out, and the next trial is not due, or one is out.
    Trial,
    /// It came back, and has been sent what it bears just now.
    Ramp,
    /// Nothing goes there for a while after a refusal.
    Quiet,
    /// A refusal emptied its bucket, which would else have a call in it.
    Bucket,
    /// Its pace.
    Pace,
    /// It has half of the slots, and is sick.
    Half,
    /// It has three quarters of the slots.
    ThreeQuarters,
    /// All slots are taken.
    Slots,
    /// Something of the messages' own: a pause after a failure, an earlier one of the key.
    Own,
}

impl WaitReason {
    /// All of them, in their order.
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

/// How what a call goes to stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupHealth {
    /// Nothing is known against it.
    Healthy,
    /// A call outruns its latency, or its last outcome failed.
    Degraded,
    /// Single trials.
    Open,
    /// Back, and perhaps cold.
    SlowStart,
}

impl Relay {
    /// The outages that a later process of this relay should know of.
    pub fn outages(&self) -> Vec<Outage> {
        self.f.unwell.list()
    }

    /// Grows whenever [`Relay::outages`] changes.
    pub fn outages_version(&self) -> u64 {
        self.f.unwell.version()
    }

    /// Endpoints in the list, and those of them that are avoided just now.
    pub fn hosts(&self, now: f64) -> (usize, usize) {
        self.f.counts(now)
    }

    /// How much is remembered of requests, calls, endpoints and lanes: what a long run must not let grow.
    pub fn sizes(&self) -> [usize; 4] {
        let [hosts, groups] = self.f.sizes();
        [self.msgs.len(), self.calls.len(), hosts, groups]
    }

    /// What keeps the messages held for a destination waiting, as of the last round.
    pub fn wait_reason(&self, dest: u64) -> Option<WaitReason> {
        let d = self.f.dests.get(&dest).filter(|d| d.held > 0)?;
        let now = self.now;
        let mut shut: Option<WaitReason> = Some(WaitReason::NoEndpoint);
        for (_, h) in self.f.hosts_of(dest).filter(|x| x.1.status == EndpointStatus::Active) {
            let Some(l) = self.f.groups.get(&h.group) else { continue };
            let why = (self.gate(&h.group) > now).then(|| shut_by(l, now));
            // The endpoint that is nearest to taking something speaks for all.
            shut = if shut == Some(WaitReason::NoEndpoint) || why.is_none() { why } else { shut.max(why) };
            if shut.is_none() {
                break;
            }
        }
        Some(match shut {
            Some(why) => why,
            None if d.out >= self.ceiling(dest) && self.sick(dest) => WaitReason::Half,
            None if d.out >= self.ceiling(dest) => WaitReason::ThreeQuarters,
            None if self.calls.len() >= self.s.slots => WaitReason::Slots,
            None => WaitReason::Own,
        })
    }

    /// How the lane of an endpoint stands.
    pub fn group_health(&self, dest: u64, endpoint: &str) -> GroupHealth {
        let group = self.f.hosts.get(endpoint).and_then(|h| self.f.groups.get(&h.group));
        match group.map(|l| l.phase) {
            Some(BreakerState::Open) => GroupHealth::Open,
            Some(BreakerState::SlowStart(_)) => GroupHealth::SlowStart,
            _ if self.sick(dest) => GroupHealth::Degraded,
            _ => GroupHealth::Healthy,
        }
    }
}

/// Which of the gate's reasons holds a lane that is shut.
fn shut_by(l: &EndpointGroup, now: f64) -> WaitReason {
    let tokens = |pace: f64| l.tokens + pace * (now - l.filled).max(0.0) / 1000.0;
    match l.phase {
        _ if l.wait_until > now => WaitReason::Wait,
        BreakerState::Open => WaitReason::Trial,
        _ if l.quiet_until > now => WaitReason::Quiet,
        _ if l.pace.is_some_and(|pace| tokens(pace) < 1.0) => {
            if l.emptied_until > now {
                WaitReason::Bucket
            } else {
                WaitReason::Pace
            }
        }
        BreakerState::SlowStart(_) => WaitReason::Ramp,
        // One call until its limit is told.
        BreakerState::Closed => WaitReason::Pace,
    }
}
