//! Counts of how messages have ended since the process started.

use crate::message::{FinalAnswer, Rejection};

/// How the messages of one class have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Messages that were delivered.
    pub delivered: u64,
    /// Messages that were refused: rejected on submission, or given up later with a time to retry after.
    pub refused: u64,
    /// Messages that failed.
    pub failed: u64,
}

/// Counts of ended messages by class. Messages that their sender withdrew, and messages that an earlier
/// process had given up, are not counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally(Vec<OutcomeCounts>);

impl Tally {
    pub(crate) fn new(classes: usize) -> Tally {
        Tally(vec![OutcomeCounts::default(); classes])
    }

    /// Returns the counts, indexed by class.
    pub fn classes(&self) -> &[OutcomeCounts] {
        &self.0
    }

    fn update(&mut self, class: usize, change: impl FnOnce(&mut OutcomeCounts)) {
        if let Some(counts) = self.0.get_mut(class) {
            change(counts);
        }
    }

    pub(crate) fn count_rejection(&mut self, class: usize, why: &Rejection) {
        self.update(class, |counts| match why {
            Rejection::Refused { .. } => counts.refused += 1,
            Rejection::Failed => counts.failed += 1,
        });
    }

    /// Counts a delivery whose final answer is sent later.
    pub(crate) fn count_delivery(&mut self, class: usize) {
        self.update(class, |counts| counts.delivered += 1);
    }

    pub(crate) fn count_final_answer<R>(&mut self, class: usize, answer: &FinalAnswer<R>) {
        self.update(class, |counts| match answer {
            FinalAnswer::Delivered(_) => counts.delivered += 1,
            FinalAnswer::Refused { .. } => counts.refused += 1,
            FinalAnswer::Failed { .. } => counts.failed += 1,
            // The others are counted when the partner responds, or not at all.
            FinalAnswer::DeliveredLate(_)
            | FinalAnswer::DeliveryDoubted(_)
            | FinalAnswer::EndedByPartner(_) => {}
        });
    }
}
