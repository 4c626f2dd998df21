//! When discovery is asked for the list, and how long an answer is waited for. No I/O: randomness is an argument.

use std::time::Duration;

/// How long one watch may wait where calls cost something. Short, as an agent that has fallen silent shows only when this is
/// over.
const DEAR_WATCH: Duration = Duration::from_millis(5000);
/// And where calls are free: what was missed counts as told 6 s after the silence began, and this with [`FREE_PATIENCE`], a
/// pause and a connection that is lost once stays well within that, in the worst order of events.
const FREE_WATCH: Duration = Duration::from_millis(2000);
const FREE_PATIENCE: Duration = Duration::from_millis(1000);
/// A list that is longer than what is read stays so for long, and each call for it costs what the sockets hold of it: some
/// 130 kB. Between such calls, so that they cost 6 kB a second at most.
const TOO_LARGE_MS: (u64, u64) = (40_000, 300_000);
/// Between failed calls. An agent that is back has news that counts as told at once, and hosts are to be left alone 250 ms
/// later.
const FREE_RETRY_MS: (u64, u64) = (50, 150);
/// From so many relays on, calls for a list that has to be asked for are dear: discovery takes one from each in some 2 to 8 s
/// and turns away what it could not answer within its time-outs. What is asked again before it was answered keeps all the
/// others waiting.
const CROWD: usize = 8;
/// Then a call is waited for this long, and comes again after these times.
const DEAR_PATIENCE: Duration = Duration::from_millis(6000);
const DEAR_SPREAD_MS: u64 = 4000;
const DEAR_RETRY_MS: (u64, u64) = (2000, 16000);
/// Failures in a row that lengthen the pause; it doubles with each.
const MOST_DOUBLINGS: u32 = 6;

/// What a call for the list costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollCost {
    /// Nothing: the list is pushed to an agent on the relay's own machine, which answers at once. What the agent has counts
    /// as told to the relay, so each moment without a call out is one in which a host may leave unheard.
    Free,
    /// Time of a discovery that many relays share: calls are spread and seldom.
    Costly,
}

impl PollCost {
    /// Of one of so many relays, where the list is pushed or has to be asked for.
    pub fn of(relays: usize, asked_for: bool) -> PollCost {
        if asked_for && relays >= CROWD {
            PollCost::Costly
        } else {
            PollCost::Free
        }
    }

    /// How long discovery is asked to wait for a change.
    pub fn watch(self) -> Duration {
        match self {
            PollCost::Free => FREE_WATCH,
            PollCost::Costly => DEAR_WATCH,
        }
    }

    /// How long an answer is waited for, beyond the wait that discovery was asked for.
    pub fn patience(self) -> Duration {
        match self {
            PollCost::Free => FREE_PATIENCE,
            PollCost::Costly => DEAR_PATIENCE,
        }
    }

    /// How long a process that starts waits with its first call, as many may start at once; `random` in 0 to 1.
    pub fn spread(self, random: f64) -> Duration {
        match self {
            PollCost::Free => Duration::ZERO,
            PollCost::Costly => Duration::from_millis(DEAR_SPREAD_MS).mul_f64(random.clamp(0.0, 1.0)),
        }
    }

    /// The pause after a call that failed, with so many failures in a row before it; `random` in 0 to 1, so that relays that
    /// lost the same discovery don't come back to it together.
    pub fn pause(self, failures: u32, too_large: bool, random: f64) -> Duration {
        let (first, most) = match self {
            _ if too_large => TOO_LARGE_MS,
            PollCost::Free => FREE_RETRY_MS,
            PollCost::Costly => DEAR_RETRY_MS,
        };
        let most = (first << failures.min(MOST_DOUBLINGS)).min(most) as f64;
        Duration::from_secs_f64(most * (1.0 + random.clamp(0.0, 1.0)) / 2000.0)
    }
}
