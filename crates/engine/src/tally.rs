//! How messages have ended, since the process started.

use crate::message::{Final, Turned};

/// How the messages of one class have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Delivered.
    pub delivered: u64,
    /// Refused: not taken on, or given up later with when to come again.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
}

/// Counts of ends by class. One that nobody waited for any more, and one that an earlier process had given up,
/// stands under none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally(Vec<Ends>);

impl Tally {
    pub(crate) fn new(classes: usize) -> Tally {
        Tally(vec![Ends::default(); classes])
    }

    /// By index of the class.
    pub fn classes(&self) -> &[Ends] {
        &self.0
    }

    fn of(&mut self, class: usize, count: impl FnOnce(&mut Ends)) {
        if let Some(ends) = self.0.get_mut(class) {
            count(ends);
        }
    }

    pub(crate) fn turned(&mut self, class: usize, why: &Turned) {
        self.of(class, |ends| match why {
            Turned::Refused { .. } => ends.refused += 1,
            Turned::Failed => ends.failed += 1,
        });
    }

    pub(crate) fn ended<R>(&mut self, class: usize, answer: &Final<R>) {
        self.of(class, |ends| match answer {
            Final::Delivered(_) | Final::DeliveredLate(_) => ends.delivered += 1,
            Final::Refused { .. } => ends.refused += 1,
            Final::Failed { .. } => ends.failed += 1,
            Final::Over(_) => {}
        });
    }
}
