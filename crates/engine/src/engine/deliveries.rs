//! Ends messages that were delivered. A delivery that the sender may not know of, or that may not be one, is
//! ended by a final answer that the sender confirms. That does no harm where the sender did count the delivery.

use super::Engine;
use crate::message::{FinalAnswer, FrontReply, Output};
use crate::store::Store;
use linenhall::Event;
use mulleinslip_journal::GivenUp;

/// The sender may count a response as too late if it comes less than this before the message's deadline: the
/// sender's time began with the last byte that it sent, and this process may have been delayed before it read
/// that byte. 150 ms allow for that delay, and 50 ms for the margin that is added to every time limit.
const LATE_MARGIN_MS: f64 = 200.0;

impl<S: Store, R> Engine<S, R> {
    /// Handles a delivery. `verification_ms` is as in [`crate::AttemptEnd`].
    pub(super) fn delivered<T>(
        &mut self, now: f64, id: u64, response: R, verification_ms: f64, events: &mut Vec<Event>,
        outputs: &mut Vec<Output<T, R>>,
    ) {
        let Some(message) = self.open_messages.get(id) else { return };
        let (class, last_moment) = (message.class, message.due - LATE_MARGIN_MS);
        let is_late = now >= last_moment;
        let unverified = verification_ms > 0.0;
        if !is_late && !unverified {
            return self.finish_with_answer(now, id, FinalAnswer::Delivered(response), outputs);
        }
        events.extend(message.in_order.then_some(Event::AnswerExpected { id }));
        // A final answer is pending from now on, also for the next process if this one is killed.
        self.record_given_up(id, GivenUp::Undeliverable, outputs);
        self.open_messages.finish(id);
        self.tally.count_delivery(class);
        if !unverified {
            self.send_unconfirmed(id, FinalAnswer::DeliveredLate(response), outputs);
        } else if now + verification_ms >= last_moment {
            self.send_unconfirmed(id, FinalAnswer::DeliveryDoubted(response), outputs);
        } else {
            self.await_verification(id, response);
        }
    }

    /// Handles [`crate::Input::DeliveryVerified`]. Returns the event for the module, if it needs one.
    pub(super) fn delivery_verified<T>(
        &mut self, now: f64, id: u64, outputs: &mut Vec<Output<T, R>>,
    ) -> Option<Event> {
        let response = self.take_unverified(id)?;
        let in_order = self.open_messages.get(id)?.in_order;
        self.send_last(now, id, FinalAnswer::Delivered(response), outputs);
        in_order.then_some(Event::AnswerConfirmed { id })
    }

    /// Handles [`crate::Input::DeliveryDoubted`].
    pub(super) fn delivery_doubted<T>(&mut self, id: u64, outputs: &mut Vec<Output<T, R>>) {
        if let Some(response) = self.take_unverified(id) {
            self.send_unconfirmed(id, FinalAnswer::DeliveryDoubted(response), outputs);
        }
    }

    /// Keeps a delivery until it is verified or doubted.
    fn await_verification(&mut self, id: u64, response: R) {
        if let Some(message) = self.open_messages.get_mut(id) {
            message.unverified = true;
            message.last_response = Some(response);
        }
    }

    /// Ends the wait for the verification of a delivery, and returns its response.
    pub(super) fn take_unverified(&mut self, id: u64) -> Option<R> {
        let message = self.open_messages.get_mut(id).filter(|m| m.unverified)?;
        message.unverified = false;
        message.last_response.take()
    }

    /// Ends a message with the partner's response as its final answer.
    pub(super) fn finish_with_answer<T>(
        &mut self, now: f64, id: u64, answer: FinalAnswer<R>, outputs: &mut Vec<Output<T, R>>,
    ) {
        let Some(message) = self.open_messages.get(id) else { return };
        self.tally.count_final_answer(message.class, &answer);
        self.open_messages.finish(id);
        self.send_last(now, id, answer, outputs);
    }

    /// Sends a final answer that needs no confirmation.
    fn send_last<T>(&mut self, now: f64, id: u64, answer: FinalAnswer<R>, outputs: &mut Vec<Output<T, R>>) {
        let Some(message) = self.open_messages.get(id) else { return };
        let call_id = message.call_id.clone();
        let delivered = matches!(answer, FinalAnswer::Delivered(_));
        // No attempt outcome is recorded for a finished message, as its end is recorded at once.
        self.record_ended(now, id, delivered, outputs);
        outputs.push(Output::Reply(FrontReply::Final { id, call_id, answer }));
    }

    /// Sends a final answer of a delivered message that its sender confirms. It must be stored already.
    fn send_unconfirmed<T>(&mut self, id: u64, answer: FinalAnswer<R>, outputs: &mut Vec<Output<T, R>>) {
        self.open_messages.set_unconfirmed(id, true);
        let Some(message) = self.open_messages.get(id) else { return };
        outputs.push(Output::Reply(FrontReply::Final { id, call_id: message.call_id.clone(), answer }));
    }
}
