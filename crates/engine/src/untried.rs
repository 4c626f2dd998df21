//! What a start finds taken on by an earlier process and untried, and what becomes of it: counted, and told in one line once
//! the last of it has been tried or has ended. Decides nothing.

use linenhall::Outcome;
use std::collections::HashMap;
use std::fmt;

/// How long before its end a message is given up at most, in milliseconds: two ticks, and as long again as it takes to answer
/// all that end together.
const NEAR_MS: f64 = 100.0;

/// Why a message was given up with no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Why {
    /// Its time was over when the process started.
    OverAtStart,
    /// Its time ran out later, and its destination had told a wait beyond it.
    ToldWait,
    /// Its time ran out later.
    TimeOver,
    /// The settings have no such class any more.
    NoClass,
    /// There was time left.
    Early,
    /// Nobody waited for it any more.
    Withdrawn,
}

const WHYS: [(Why, &str); 6] = [
    (Why::OverAtStart, "out of time at the start"),
    (Why::ToldWait, "told to wait beyond their time"),
    (Why::TimeOver, "out of time later"),
    (Why::NoClass, "of a class that is no more"),
    (Why::Early, "given up with time left"),
    (Why::Withdrawn, "withdrawn"),
];

/// Counts over one start.
#[derive(Debug, Default)]
pub struct Untried {
    /// Untried yet: until when they may be delivered, and their destinations. As many as the earlier process held.
    open: HashMap<u64, (f64, u64)>,
    /// Until when destinations of these told to wait.
    waits: HashMap<u64, f64>,
    found: usize,
    tried: usize,
    given_up: [usize; WHYS.len()],
}

impl Untried {
    /// The earlier process had taken this message on and begun no attempt.
    pub fn found(&mut self, id: u64, due: f64, destination: u64) {
        self.found += 1;
        self.open.insert(id, (due, destination));
    }

    /// An attempt's first byte goes out.
    pub fn begun(&mut self, id: u64) {
        self.tried += usize::from(self.open.remove(&id).is_some());
    }

    /// An attempt has ended, at a destination that told this wait, or 0. A connection that is refused is a call that was made.
    pub fn ended(&mut self, id: u64, destination: u64, outcome: Outcome, wait_until: f64) {
        if outcome == Outcome::NoConnection {
            self.begun(id);
        }
        if wait_until > 0.0 && !self.open.is_empty() {
            let wait = self.waits.entry(destination).or_insert(wait_until);
            *wait = wait.max(wait_until);
        }
    }

    /// Given up.
    pub fn given_up(&mut self, id: u64, now: f64, at_start: bool, known_class: bool) {
        let Some((due, destination)) = self.open.get(&id).copied() else { return };
        let near = due - now <= NEAR_MS;
        self.over(
            id,
            match at_start {
                _ if !known_class => Why::NoClass,
                true if near => Why::OverAtStart,
                _ if near && self.waits.get(&destination).is_some_and(|until| *until >= due) => Why::ToldWait,
                _ if near => Why::TimeOver,
                _ => Why::Early,
            },
        );
    }

    /// Nobody waits for it any more.
    pub fn withdrawn(&mut self, id: u64) {
        self.over(id, Why::Withdrawn);
    }

    fn over(&mut self, id: u64, why: Why) {
        if self.open.remove(&id).is_some() {
            let at = WHYS.iter().position(|w| w.0 == why);
            at.and_then(|at| self.given_up.get_mut(at)).into_iter().for_each(|n| *n += 1);
        }
    }

    /// The line for the log, once: when none is untried any more.
    pub fn line(&mut self) -> Option<String> {
        if self.found == 0 || !self.open.is_empty() {
            return None;
        }
        let all = std::mem::take(self);
        Some(all.to_string())
    }
}

impl fmt::Display for Untried {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let none = self.found - self.tried;
        write!(
            f,
            "found {} taken on and untried: {} tried, {none} given up with no call",
            self.found, self.tried
        )?;
        let why = WHYS.iter().zip(self.given_up).filter(|x| x.1 > 0);
        why.enumerate().try_for_each(|(n, ((_, words), count))| {
            write!(f, "{} {count} {words}", if n == 0 { ":" } else { "," })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_line_when_the_last_has_ended_with_each_cause() {
        let mut u = Untried::default();
        assert_eq!(u.line(), None, "nothing was found");
        (1..=7).for_each(|id| u.found(id, 1000.0, id % 2));
        u.given_up(1, 1100.0, true, true);
        u.begun(2);
        u.begun(2);
        u.ended(3, 1, Outcome::NoConnection, 0.0);
        u.given_up(4, 10.0, true, false);
        u.given_up(5, 500.0, false, true);
        u.ended(99, 0, Outcome::Full, 1200.0);
        u.given_up(6, 990.0, false, true);
        assert_eq!(u.line(), None, "one is untried yet");
        u.given_up(7, 990.0, false, true);
        let line = "found 7 taken on and untried: 2 tried, 5 given up with no call: 1 out of time at the start, 1 told to wait \
                    beyond their time, 1 out of time later, 1 of a class that is no more, 1 given up with time left";
        assert_eq!(u.line().as_deref(), Some(line));
        assert_eq!(u.line(), None, "told once");
    }
}
