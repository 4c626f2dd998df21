//! When discovery is polled for the list and how long an answer may take. It does no I/O; randomness is
//! passed in.

use std::time::Duration;

/// Time that one watch may wait at discovery where calls are costly. Short, as a silent agent is noticed only
/// when this time is over.
const COSTLY_WATCH: Duration = Duration::from_millis(5000);
/// Time that one watch may wait where calls are free. A relay is expected to know a change 6 s after the
/// agent fell silent; this time, [`FREE_ANSWER_TIMEOUT`], one pause and one lost connection together stay
/// well below that in any order of events.
const FREE_WATCH: Duration = Duration::from_millis(2000);
const FREE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// First and longest pause between calls while the list is longer than the relay reads. A list stays that
/// long for a while, and each call transfers about 130 kB, as much as the socket buffers hold; these pauses
/// limit the traffic to 6 kB/s.
const TOO_LARGE_RETRY_MS: (u64, u64) = (40_000, 300_000);
/// First and longest pause between failed calls. The relay is expected to know an agent's changes as soon
/// as the agent is back, and must not call removed hosts 250 ms later.
const FREE_RETRY_MS: (u64, u64) = (50, 150);
/// Number of relays from which polling for the list is costly: discovery serves one call of each relay in
/// about 2 to 8 s and rejects calls that it can't answer within its time-outs. Repeated calls delay the
/// answers to all others.
const MIN_RELAYS_FOR_COSTLY: usize = 8;
/// Time limit for an answer, maximum delay of the first call and range of pauses after failures, where calls
/// are costly.
const COSTLY_ANSWER_TIMEOUT: Duration = Duration::from_millis(6000);
const COSTLY_START_DELAY_MS: u64 = 4000;
const COSTLY_RETRY_MS: (u64, u64) = (2000, 16000);
/// Number of successive failures after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 6;

/// What a call for the list costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollCost {
    /// Nothing: the list is pushed to an agent on the relay's own machine, which answers at once. The relay
    /// is expected to know what the agent has, so without an open call it could miss that a host is being
    /// removed.
    Free,
    /// Capacity of a discovery service that many relays share: calls are spread out and rare.
    Costly,
}

impl PollCost {
    /// Returns the cost for one of `relays` relays; `polled` says that the list is polled rather than
    /// pushed.
    pub fn of(relays: usize, polled: bool) -> PollCost {
        if polled && relays >= MIN_RELAYS_FOR_COSTLY {
            PollCost::Costly
        } else {
            PollCost::Free
        }
    }

    /// Returns the time that discovery is asked to wait for a change.
    pub fn watch_time(self) -> Duration {
        match self {
            PollCost::Free => FREE_WATCH,
            PollCost::Costly => COSTLY_WATCH,
        }
    }

    /// Returns the time limit for an answer, on top of the wait that discovery was asked for.
    pub fn answer_timeout(self) -> Duration {
        match self {
            PollCost::Free => FREE_ANSWER_TIMEOUT,
            PollCost::Costly => COSTLY_ANSWER_TIMEOUT,
        }
    }

    /// Returns the delay of a starting process's first call, as many relays may start at once; `random` is in
    /// 0 to 1.
    pub fn start_delay(self, random: f64) -> Duration {
        match self {
            PollCost::Free => Duration::ZERO,
            PollCost::Costly => Duration::from_millis(COSTLY_START_DELAY_MS).mul_f64(random.clamp(0.0, 1.0)),
        }
    }

    /// Returns the pause after a failed call that follows `failures` earlier failures in a row. `random` in 0
    /// to 1 adds jitter, so that relays that lost the same discovery don't return to it together.
    pub fn pause(self, failures: u32, too_large: bool, random: f64) -> Duration {
        let (first_ms, max_ms) = match self {
            _ if too_large => TOO_LARGE_RETRY_MS,
            PollCost::Free => FREE_RETRY_MS,
            PollCost::Costly => COSTLY_RETRY_MS,
        };
        let max_ms = (first_ms << failures.min(MAX_DOUBLINGS)).min(max_ms) as f64;
        Duration::from_secs_f64(max_ms * (1.0 + random.clamp(0.0, 1.0)) / 2000.0)
    }
}
