//! How messages have ended, since the process started.

use crate::message::{FinalAnswer, Rejection};

/// How the messages of one class have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
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
pub struct Tally(Vec<OutcomeCounts>);

impl Tally {
    pub(crate) fn new(classes: usize) -> Tally {
        Tally(vec![OutcomeCounts::default(); classes])
    }

    /// By index of the class.
    pub fn classes(&self) -> &[OutcomeCounts] {
        &self.0
    }

    fn of(&mut self, class: usize, count: impl FnOnce(&mut OutcomeCounts)) {
        if let Some(ends) = self.0.get_mut(class) {
            count(ends);
        }
    }

    pub(crate) fn turned(&mut self, class: usize, why: &Rejection) {
        self.of(class, |ends| match why {
            Rejection::Refused { .. } => ends.refused += 1,
            Rejection::Failed => ends.failed += 1,
        });
    }

    pub(crate) fn ended<R>(&mut self, class: usize, answer: &FinalAnswer<R>) {
        self.of(class, |ends| match answer {
            FinalAnswer::Delivered(_) | FinalAnswer::DeliveredLate(_) => ends.delivered += 1,
            FinalAnswer::Refused { .. } => ends.refused += 1,
            FinalAnswer::Failed { .. } => ends.failed += 1,
            FinalAnswer::EndedByPartner(_) => {}
        });
    }
}
