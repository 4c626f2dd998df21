//! Counts the untried messages that a restart finds, and what becomes of them. Writes one log line once the
//! last of them has been tried or has ended. This is for the log only: nothing depends on it.

use linenhall::Outcome;
use std::collections::HashMap;
use std::fmt;

/// A message given up less than this before its deadline counts as out of time: two ticks of the module, and
/// some time to answer all messages that end together.
const NEAR_DEADLINE_MS: f64 = 100.0;

/// Why a message ended without a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// Its deadline had passed when the process started.
    ExpiredAtStart,
    /// Its deadline passed later, and its destination had sent a Retry-After that ends beyond the deadline.
    RetryAfterTooLong,
    /// Its deadline passed later.
    Expired,
    /// Its class is no longer in the settings.
    UnknownClass,
    /// It was given up before its deadline.
    Early,
    /// Its sender withdrew it.
    Withdrawn,
}

const CAUSES: [(Cause, &str); 6] = [
    (Cause::ExpiredAtStart, "out of time at the start"),
    (Cause::RetryAfterTooLong, "told to wait beyond their time"),
    (Cause::Expired, "out of time later"),
    (Cause::UnknownClass, "of a class that is no more"),
    (Cause::Early, "given up with time left"),
    (Cause::Withdrawn, "withdrawn"),
];

/// Counts for one restart.
#[derive(Debug, Default)]
pub struct UntriedStats {
    /// Messages still untried, with their deadlines and destinations. At most as many as the earlier process
    /// had queued.
    pending: HashMap<u64, (f64, u64)>,
    /// When the Retry-After of each destination ends.
    retry_afters: HashMap<u64, f64>,
    found: usize,
    tried: usize,
    given_up: [usize; CAUSES.len()],
}

impl UntriedStats {
    /// Registers a message that the earlier process had accepted and begun no attempt for.
    pub fn add(&mut self, id: u64, due: f64, destination: u64) {
        self.found += 1;
        self.pending.insert(id, (due, destination));
    }

    /// Called when an attempt's first byte is sent.
    pub fn attempt_begun(&mut self, id: u64) {
        self.tried += usize::from(self.pending.remove(&id).is_some());
    }

    /// Called when an attempt has ended. `retry_after_until` is the end of the Retry-After that came with it,
    /// or 0. A refused connection counts as a call.
    pub fn attempt_ended(&mut self, id: u64, destination: u64, outcome: Outcome, retry_after_until: f64) {
        if outcome == Outcome::NoConnection {
            self.attempt_begun(id);
        }
        if retry_after_until > 0.0 && !self.pending.is_empty() {
            let until = self.retry_afters.entry(destination).or_insert(retry_after_until);
            *until = until.max(retry_after_until);
        }
    }

    /// Called when a message is given up.
    pub fn given_up(&mut self, id: u64, now: f64, at_start: bool, known_class: bool) {
        let Some((due, destination)) = self.pending.get(&id).copied() else { return };
        let near_deadline = due - now <= NEAR_DEADLINE_MS;
        self.remove(
            id,
            match at_start {
                _ if !known_class => Cause::UnknownClass,
                true if near_deadline => Cause::ExpiredAtStart,
                _ if near_deadline
                    && self.retry_afters.get(&destination).is_some_and(|until| *until >= due) =>
                {
                    Cause::RetryAfterTooLong
                }
                _ if near_deadline => Cause::Expired,
                _ => Cause::Early,
            },
        );
    }

    /// Called when a sender withdraws its message.
    pub fn withdrawn(&mut self, id: u64) {
        self.remove(id, Cause::Withdrawn);
    }

    fn remove(&mut self, id: u64, cause: Cause) {
        if self.pending.remove(&id).is_some() {
            let index = CAUSES.iter().position(|c| c.0 == cause);
            index.and_then(|index| self.given_up.get_mut(index)).into_iter().for_each(|n| *n += 1);
        }
    }

    /// Returns the log line, once: when no message is untried any more.
    pub fn take_log_line(&mut self) -> Option<String> {
        if self.found == 0 || !self.pending.is_empty() {
            return None;
        }
        let counts = std::mem::take(self);
        Some(counts.to_string())
    }
}

impl fmt::Display for UntriedStats {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let not_tried = self.found - self.tried;
        write!(
            f,
            "found {} taken on and untried: {} tried, {not_tried} given up with no call",
            self.found, self.tried
        )?;
        let causes = CAUSES.iter().zip(self.given_up).filter(|x| x.1 > 0);
        causes.enumerate().try_for_each(|(n, ((_, words), count))| {
            write!(f, "{} {count} {words}", if n == 0 { ":" } else { "," })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log line that is missing, repeated or early, or that counts a message under a wrong
    /// cause.
    #[test]
    fn logs_each_cause_in_one_line_after_the_last_message_ended() {
        let mut untried = UntriedStats::default();
        assert_eq!(untried.take_log_line(), None, "a line although no message was found");
        (1..=7).for_each(|id| untried.add(id, 1000.0, id % 2));
        untried.given_up(1, 1100.0, true, true);
        untried.attempt_begun(2);
        untried.attempt_begun(2);
        untried.attempt_ended(3, 1, Outcome::NoConnection, 0.0);
        untried.given_up(4, 10.0, true, false);
        untried.given_up(5, 500.0, false, true);
        untried.attempt_ended(99, 0, Outcome::Full, 1200.0);
        untried.given_up(6, 990.0, false, true);
        assert_eq!(untried.take_log_line(), None, "a line although one message is still untried");
        untried.given_up(7, 990.0, false, true);
        let line = "found 7 taken on and untried: 2 tried, 5 given up with no call: 1 out of time at the start, 1 told to wait \
                    beyond their time, 1 out of time later, 1 of a class that is no more, 1 given up with time left";
        assert_eq!(untried.take_log_line().as_deref(), Some(line));
        assert_eq!(untried.take_log_line(), None, "the line came a second time");
    }
}
