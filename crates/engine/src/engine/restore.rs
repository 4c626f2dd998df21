//! How a process goes on with what an earlier one left.

use super::{Engine, Predecessor};
use crate::message::Output;
use crate::open::{Open, Out};
use crate::store::Store;
use bytes::Bytes;
use linenhall::{Endpoint, EndpointStatus, Event, ListUpdate, Outage};
use mulleinslip_journal::{Attempt as KeptAttempt, GivenUp, OutageRecord, RecoveredMessage, RecoveredState};

impl<S: Store, R> Engine<S, R> {
    /// Tells the module what an earlier process left, together with the lists that are known: one round, and the
    /// first. `alive` is what that process tells if it still runs.
    pub fn restore<T>(
        &mut self, now: f64, lists: Vec<ListUpdate>, left: RecoveredState, alive: &Predecessor,
        out: &mut Vec<Output<T, R>>,
    ) {
        let mut events = Vec::new();
        for list in lists {
            self.destination_table.learn(&list, now, self.replaced_within_ms);
            events.push(Event::ListUpdate(list));
        }
        events.push(Event::Outages(left.outages.iter().map(recalled).collect()));
        events.push(Event::RetryAfters(alive.retry_afters.clone()));
        events.extend(alive.learnt.iter().map(|part| Event::Learnt(Box::new(part.clone()))));
        let mut going = Vec::new();
        for mut kept in left.messages {
            let id = kept.id;
            self.open.used(id);
            let is_out = |a: &KeptAttempt| alive.attempts_in_flight.contains(&(id, a.number));
            let out_yet = kept.attempts.iter().position(is_out).map(|at| kept.attempts.swap_remove(at));
            let Some(mut event) = self.restored(now, kept, !alive.is_running, out) else { continue };
            if let (Some(a), Event::Restored { attempts, .. }) = (out_yet, &mut event) {
                // The number that the module gives to the attempt next.
                *attempts = a.number;
                going.push((id, a));
            }
            events.push(event);
        }
        // The module takes what was sent in the order of time.
        going.sort_by(|a, b| a.1.at.total_cmp(&b.1.at));
        let mut unlisted = Vec::new();
        for (id, a) in going {
            let Some(open) = self.open.get_mut(id) else { continue };
            open.attempts = a.number.saturating_add(1);
            open.out.push(Out { attempt: a.number, begun: true, called_off: false, begin_by: open.due });
            let destination = open.destination;
            if !self.destination_table.lists(&a.endpoint) {
                // Gone from the list with a call out: it takes nothing new, and its call counts all the same.
                let (name, weight) = (a.endpoint.clone(), 1.0);
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
            events.push(Event::Resumed { id, endpoint: a.endpoint, sent: a.at });
        }
        if !unlisted.is_empty() {
            events.push(Event::ListUpdate(ListUpdate::Delta(unlisted)));
        }
        self.starting = true;
        self.round(now, &events, Vec::new(), out);
        self.starting = false;
        out.extend(self.untried.line().map(Output::Log));
    }

    /// `found`: by a start, and not taken over from a process that lives.
    fn restored<T>(
        &mut self, now: f64, kept: RecoveredMessage, found: bool, out: &mut Vec<Output<T, R>>,
    ) -> Option<Event> {
        let RecoveredMessage { id, message, attempts, given_up } = kept;
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let made = attempts.iter().map(|a| a.number.saturating_add(1)).max().unwrap_or(0);
        let first = attempts.iter().filter(|a| a.may_have_run).min_by(|a, b| a.at.total_cmp(&b.at));
        let class = place(&self.names.classes, &message.class);
        let open = Open {
            call_id: message.call_id,
            class: class.unwrap_or(usize::MAX),
            idempotency_key: message.idempotency_key.map(Bytes::from),
            body: message.body.into(),
            destination: message.dest,
            due: message.due,
            in_order: message.order_key.is_some(),
            attempts: made,
            out: Vec::new(),
            may_have_run: first.is_some(),
            over: false,
            unconfirmed: false,
            last: None,
        };
        self.open.insert(id, open);
        let untried = found && made == 0 && given_up.is_none();
        if untried {
            self.untried.found(id, message.due, message.dest);
        }
        // Given up already: only the answer is still owed. So it is for a class that is no more.
        let given_up = given_up.or(class.is_none().then_some(GivenUp::Undeliverable));
        let (Some(class), None) = (class, given_up) else {
            self.untried.given_up(id, now, true, class.is_some());
            self.give_up(id, given_up.unwrap_or(GivenUp::Undeliverable), false, out);
            return message.order_key.map(|key| Event::AnswerPending { id, key });
        };
        Some(Event::Restored {
            id,
            class,
            tenant: place(&self.names.tenants, &message.tenant).unwrap_or(0),
            key: message.order_key,
            due: message.due,
            destination: message.dest,
            attempts: made,
            // A clock that was set back meanwhile tells nothing of when: then it was long ago.
            first_uncertain_send: first.map(|a| (if a.at > now { 0.0 } else { a.at }, a.endpoint.clone())),
            may_be_running: attempts.iter().any(|a| a.may_run_yet),
            untried,
        })
    }
}

fn recalled((destination, endpoint, recovered_at, rate_before): &OutageRecord) -> Outage {
    Outage {
        destination: *destination,
        endpoint: endpoint.clone(),
        recovered_at: *recovered_at,
        rate_before: *rate_before,
    }
}
