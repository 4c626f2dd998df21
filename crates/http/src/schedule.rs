//! When discovery is polled for the list and how long an answer may take. It does no I/O; randomness is
//! passed in.

use std::time::Duration;

/// Time that a watch may wait at discovery where calls are free. A relay is expected to know a change 6 s
/// after the agent fell silent; this time, [`FREE_ANSWER_TIMEOUT`], one pause and one lost connection together
/// stay well below that in any order of events.
const FREE_WATCH: Duration = Duration::from_millis(2000);
const FREE_ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time that a watch may wait at discovery where calls are costly, if it continues an answered one.
const COSTLY_NEXT_WATCH: Duration = Duration::from_millis(3000);
/// The same for the first watch, and for the first one after a failure. Short, so that more of
/// [`COSTLY_TIME_LIMIT`] is left for an answer that is late because many relays ask.
const COSTLY_FIRST_WATCH: Duration = Duration::from_millis(1000);
/// Time after which a call counts as failed where calls are costly. Another call is made then, and the answer
/// to this one is still accepted until that one has failed as well.
const COSTLY_TIME_LIMIT: Duration = Duration::from_millis(4000);
/// Maximum time from the beginning of a call that fails to the beginning of the next one, where calls are
/// costly. A relay is expected to know a change 6 s after discovery had it and could be reached: what a
/// failed call missed is in the answer to the next one.
const COSTLY_MAX_INTERVAL: Duration = Duration::from_millis(5000);
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
/// Maximum delay of the first call, and range of pauses after failures, where calls are costly.
const COSTLY_START_DELAY_MS: u64 = 4000;
const COSTLY_RETRY_MS: (u64, u64) = (2000, 5000);
/// Number of successive failures after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 6;

/// What a call for the list asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// The whole list, at once.
    Full,
    /// Changes, after no call or after one that failed.
    FirstWatch,
    /// Changes, at once after an answer.
    NextWatch,
}

/// How a call for the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No answer, or an unreadable one.
    Unanswered,
    /// The list is older than the current one. The next call is for the full list.
    OlderList,
    /// The list is longer than the relay reads.
    TooLarge,
}

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
    pub fn watch_time(self, call: ListCall) -> Duration {
        match (self, call) {
            (_, ListCall::Full) => Duration::ZERO,
            (PollCost::Free, _) => FREE_WATCH,
            (PollCost::Costly, ListCall::FirstWatch) => COSTLY_FIRST_WATCH,
            (PollCost::Costly, ListCall::NextWatch) => COSTLY_NEXT_WATCH,
        }
    }

    /// Returns the time after which a call counts as failed.
    pub fn time_limit(self, call: ListCall) -> Duration {
        match self {
            PollCost::Free => self.watch_time(call) + FREE_ANSWER_TIMEOUT,
            PollCost::Costly => COSTLY_TIME_LIMIT,
        }
    }

    /// Returns what the call after a failed one asks for. Another agent may have taken the place of one that failed,
    /// and begun its versions anew: what changed after a version of the old one is not all that changed.
    pub fn call_after_failure(self) -> ListCall {
        match self {
            PollCost::Free => ListCall::Full,
            PollCost::Costly => ListCall::FirstWatch,
        }
    }

    /// Returns the number of calls that count as failed and whose answers are still accepted: discovery may be slow,
    /// so that its answers come late but do come. Where calls are free they count as failed early.
    pub fn max_overdue_calls(self) -> usize {
        match self {
            PollCost::Free => 3,
            PollCost::Costly => 1,
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

    /// Returns the pause after a failed call that took `elapsed` and follows `failures` earlier failures in a
    /// row. `random` in 0 to 1 adds jitter, so that relays that lost the same discovery don't return to it
    /// together.
    pub fn pause(self, failures: u32, kind: FailureKind, elapsed: Duration, random: f64) -> Duration {
        let failures = if kind == FailureKind::OlderList { 0 } else { failures };
        let (first_ms, max_ms) = match (self, kind) {
            (_, FailureKind::TooLarge) => TOO_LARGE_RETRY_MS,
            (PollCost::Free, _) | (_, FailureKind::OlderList) => FREE_RETRY_MS,
            (PollCost::Costly, FailureKind::Unanswered) => COSTLY_RETRY_MS,
        };
        let backoff = Duration::from_millis((first_ms << failures.min(MAX_DOUBLINGS)).min(max_ms));
        let max_pause = match (self, kind) {
            (PollCost::Costly, FailureKind::Unanswered) => {
                backoff.min(COSTLY_MAX_INTERVAL.saturating_sub(elapsed))
            }
            _ => backoff,
        };
        max_pause.mul_f64((1.0 + random.clamp(0.0, 1.0)) / 2.0)
    }
}
