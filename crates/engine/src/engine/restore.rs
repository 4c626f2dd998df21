//! Restores the state that an earlier process has left.

use super::{Engine, Predecessor};
use crate::message::Output;
use crate::open_messages::{AttemptInFlight, OpenMessage};
use crate::store::Store;
use bytes::Bytes;
use linenhall::{Endpoint, EndpointStatus, Event, KeyPause, ListUpdate, Outage};
use mulleinslip_journal::{
    Attempt as RecoveredAttempt, GivenUp, OutageRecord, RecoveredMessage, RecoveredState,
};

impl<S: Store, R> Engine<S, R> {
    /// Passes the recovered state of an earlier process and the known lists to the module, in one round. This
    /// must be the first round. `previous` is the state of that process if it still runs.
    pub fn restore<T>(
        &mut self, now: f64, lists: Vec<ListUpdate>, recovered: RecoveredState, previous: &Predecessor,
        outputs: &mut Vec<Output<T, R>>,
    ) {
        recovered.ended.iter().for_each(|message| self.ended_messages.add(message));
        let mut events = Vec::new();
        for list in lists {
            self.destination_table.apply(&list, now, self.destination_retention_ms);
            events.push(Event::ListUpdate(list));
        }
        events.push(Event::Outages(recovered.outages.iter().map(outage_from_record).collect()));
        let key_pauses = recovered.key_pauses.into_iter().map(|(key, until)| KeyPause { key, until });
        events.push(Event::KeysPaused(key_pauses.collect()));
        events.push(Event::RetryAfters(previous.retry_afters.clone()));
        events.extend(previous.learnt.iter().map(|part| Event::RestoreLearnt(Box::new(part.clone()))));
        let mut resumed = Vec::new();
        for mut message in recovered.messages {
            let id = message.id;
            self.open_messages.mark_used(id);
            let is_in_flight = |a: &RecoveredAttempt| previous.attempts_in_flight.contains(&(id, a.number));
            let in_flight = message
                .attempts
                .iter()
                .position(is_in_flight)
                .map(|index| message.attempts.swap_remove(index));
            let Some(mut event) = self.recover(now, message, !previous.is_running, outputs) else { continue };
            match (in_flight, &mut event) {
                (Some(attempt), Event::RequestRestored { attempts, in_flight, .. }) => {
                    // The module gives this number to the message's next attempt, which is the resumed one.
                    *attempts = attempt.number;
                    *in_flight = true;
                    resumed.push((id, attempt));
                }
                // The earlier process cancels it, and the module is not told of its end.
                (Some(_), Event::AnswerPending { may_be_running, .. }) => *may_be_running = true,
                _ => {}
            }
            events.push(event);
        }
        // The module expects resumed attempts in the order in which they were sent.
        resumed.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
        let mut unlisted = Vec::new();
        for (id, attempt) in resumed {
            let Some(message) = self.open_messages.get_mut(id) else { continue };
            message.attempts = attempt.number.saturating_add(1);
            message.in_flight.push(AttemptInFlight {
                attempt: attempt.number,
                begun: true,
                cancelled: false,
                begin_by: message.due,
            });
            let destination = message.destination;
            if !self.destination_table.contains_host(&attempt.endpoint) {
                // A host that left the list with a call in flight gets no new messages, but its call still
                // counts.
                let (name, weight) = (attempt.endpoint.clone(), 1.0);
                let host = Endpoint {
                    name,
                    destination,
                    zone: 0,
                    kind: 0,
                    weight,
                    status: EndpointStatus::Draining,
                };
                events.push(Event::ListUpdate(ListUpdate::Delta(vec![host.clone()])));
                unlisted.push(Endpoint { status: EndpointStatus::Removed, ..host });
            }
            events.push(Event::AttemptResumed { id, endpoint: attempt.endpoint, sent: attempt.at });
        }
        if !unlisted.is_empty() {
            events.push(Event::ListUpdate(ListUpdate::Delta(unlisted)));
        }
        self.restoring = true;
        self.run_round(now, &events, Vec::new(), outputs);
        self.restoring = false;
        outputs.extend(self.untried.take_log_line().map(Output::Log));
    }

    /// Recovers one message. `from_restart` is false if it is taken over from a running process.
    fn recover<T>(
        &mut self, now: f64, recovered: RecoveredMessage, from_restart: bool, outputs: &mut Vec<Output<T, R>>,
    ) -> Option<Event> {
        let RecoveredMessage { id, message, attempts, given_up } = recovered;
        let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let next_attempt = attempts.iter().map(|a| a.number.saturating_add(1)).max().unwrap_or(0);
        let may_be_running = attempts.iter().any(|a| a.may_run_yet);
        let first_uncertain = attempts.iter().filter(|a| a.may_have_run).min_by(|a, b| a.at.total_cmp(&b.at));
        let class = index_of(&self.names.classes, &message.class);
        let open_message = OpenMessage {
            call_id: message.call_id,
            class: class.unwrap_or(usize::MAX),
            idempotency_key: message.idempotency_key.map(Bytes::from),
            body: message.body.into(),
            destination: message.dest,
            due: message.due,
            in_order: message.order_key.is_some(),
            attempts: next_attempt,
            in_flight: Vec::new(),
            may_have_run: first_uncertain.is_some(),
            finished: false,
            unconfirmed: false,
            unverified: false,
            last_response: None,
        };
        self.open_messages.insert(id, open_message);
        let untried = from_restart && next_attempt == 0 && given_up.is_none();
        if untried {
            self.untried.add(id, message.due, message.dest);
        }
        // Only the final answer is pending for a message that was given up. A message of a class that is no
        // longer configured is given up here.
        let given_up = given_up.or(class.is_none().then_some(GivenUp::Undeliverable));
        let (Some(class), None) = (class, given_up) else {
            self.untried.given_up(id, now, true, class.is_some());
            self.send_given_up(id, given_up.unwrap_or(GivenUp::Undeliverable), false, outputs);
            return message.order_key.map(|key| Event::AnswerPending { id, key, may_be_running });
        };
        Some(Event::RequestRestored {
            id,
            class,
            tenant: index_of(&self.names.tenants, &message.tenant).unwrap_or(0),
            key: message.order_key,
            due: message.due,
            destination: message.dest,
            attempts: next_attempt,
            // A time in the future means that the clock was set back since, and the time of the attempt is
            // unknown. It then counts as long ago.
            first_uncertain_send: first_uncertain
                .map(|a| (if a.at > now { 0.0 } else { a.at }, a.endpoint.clone())),
            may_be_running,
            untried,
            in_flight: false,
        })
    }
}

fn outage_from_record((destination, endpoint, recovered_at, rate_before): &OutageRecord) -> Outage {
    Outage {
        destination: *destination,
        endpoint: endpoint.clone(),
        recovered_at: *recovered_at,
        rate_before: *rate_before,
    }
}
