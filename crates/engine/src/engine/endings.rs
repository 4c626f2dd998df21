//! Ends messages that were not delivered: given up by the module, withdrawn, or confirmed; and records each end.

use super::Engine;
use crate::message::{FinalAnswer, FrontReply, Output};
use crate::store::Store;
use linenhall::{Effect, Event};
use mulleinslip_journal::{EndedMessage, GivenUp};

impl<S: Store, R> Engine<S, R> {
    /// Handles the withdrawal of a message. Returns the event for the module, if it needs one. A message whose
    /// order key the module pauses is added to `withdrawn`: its end may be recorded only after the pause.
    pub(super) fn withdrawn<T>(
        &mut self, now: f64, id: u64, withdrawn: &mut Vec<u64>, outputs: &mut Vec<Output<T, R>>,
    ) -> Option<Event> {
        if self.take_unverified(id).is_some() {
            let in_order = self.open_messages.get(id)?.in_order;
            self.record_ended(now, id, true, outputs);
            return in_order.then_some(Event::AnswerConfirmed { id });
        }
        let message = self.open_messages.get(id).filter(|m| !m.finished)?;
        let pauses_key = message.in_order && !message.in_flight.is_empty();
        self.untried.withdrawn(id);
        self.open_messages.finish(id);
        match pauses_key {
            true => withdrawn.push(id),
            false => self.record_ended(now, id, false, outputs),
        }
        Some(Event::Withdrawn { id })
    }

    /// Records that the module has given a message up, and sends its final answer.
    pub(super) fn give_up<T>(
        &mut self, now: f64, id: u64, given_up: GivenUp, outputs: &mut Vec<Output<T, R>>,
    ) {
        if self.open_messages.get(id).is_none_or(|m| m.finished) {
            return;
        }
        self.record_given_up(id, given_up, outputs);
        self.untried.given_up(id, now, self.restoring, true);
        self.send_given_up(id, given_up, true, outputs);
    }

    /// Sends the final answer of a message that was given up. `counted` is false if an earlier process has
    /// given it up.
    pub(super) fn send_given_up<T>(
        &mut self, id: u64, given_up: GivenUp, counted: bool, outputs: &mut Vec<Output<T, R>>,
    ) {
        self.open_messages.finish(id);
        self.open_messages.set_unconfirmed(id, true);
        let Some(message) = self.open_messages.get_mut(id) else { return };
        let (may_have_run, last_response) =
            (message.may_have_run || message.in_flight.iter().any(|x| x.begun), message.last_response.take());
        let answer = match given_up {
            GivenUp::Undeliverable => FinalAnswer::Failed { may_have_run, last_response },
            GivenUp::Deferred { retry_after_ms } => {
                FinalAnswer::Refused { retry_after_ms, may_have_run, last_response }
            }
        };
        if counted {
            self.tally.count_final_answer(message.class, &answer);
        }
        outputs.push(Output::Reply(FrontReply::Final { id, call_id: message.call_id.clone(), answer }));
    }

    /// Handles the confirmation of a final answer. Returns the event for the module, if it needs one.
    pub(super) fn confirm<T>(&mut self, now: f64, id: u64, outputs: &mut Vec<Output<T, R>>) -> Option<Event> {
        let in_order = self.open_messages.get(id).filter(|m| m.unconfirmed)?.in_order;
        self.open_messages.set_unconfirmed(id, false);
        self.record_ended(now, id, false, outputs);
        in_order.then_some(Event::AnswerConfirmed { id })
    }

    /// Records that a message needs nothing more, and drops it unless an attempt is still in flight. Remembers one
    /// that may have run and must not run again.
    pub(super) fn record_ended<T>(
        &mut self, now: f64, id: u64, delivered: bool, outputs: &mut Vec<Output<T, R>>,
    ) {
        let message = self.open_messages.get(id).filter(|message| message.may_run());
        let effect = |class: usize| self.settings.classes.get(class).map(|class| class.effect);
        let unrepeatable = message.filter(|message| effect(message.class) != Some(Effect::Safe));
        let ended =
            unrepeatable.map(|message| EndedMessage { call_id: message.call_id.clone(), delivered, at: now });
        ended.iter().for_each(|message| self.ended_messages.add(message));
        let recorded = match ended {
            Some(message) => self.store.record_ended_remembered(id, message),
            None => self.store.record_ended(id),
        };
        if let Err(e) = recorded {
            outputs.push(Output::Log(format!(
                "journal: {e}; after a restart a message will be ended a second time"
            )));
        }
        self.open_messages.remove_if_done(id);
    }

    pub(super) fn record_given_up<T>(&mut self, id: u64, given_up: GivenUp, outputs: &mut Vec<Output<T, R>>) {
        if let Err(e) = self.store.record_given_up(id, given_up) {
            let line =
                format!("journal: {e}; after a restart a message that was given up would be tried again");
            outputs.push(Output::Log(line));
        }
    }
}
