//! Consistency checks for the state between rounds, by walks over everything: what an index says must be what
//! a walk finds, and what could be sent must have been sent. This module makes no decisions; tests and models
//! call it after each round.

use crate::fleet::BreakerState;
use crate::index::OrderedF64;
use crate::logic::Relay;
use crate::state::{queued_message, NextAction};
use std::collections::BTreeMap;

/// Returns the message as an error unless `holds`.
fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(message())
    }
}

impl Relay {
    /// Checks everything that is updated from event to event. The error describes the first inconsistency
    /// found. The cost is a walk over everything that is queued, in flight and listed.
    pub fn audit(&self) -> Result<(), String> {
        self.audit_messages()?;
        self.audit_calls()?;
        self.audit_groups()?;
        self.audit_destinations()
    }

    fn audit_messages(&self) -> Result<(), String> {
        let mut queued = BTreeMap::<u64, usize>::new();
        for (id, message) in self.messages.walk() {
            let sub_queue = self
                .fleet
                .destinations
                .get(&message.destination_id)
                .and_then(|destination| destination.sub_queues.get(&self.sub_queue_key(message)));
            let ready = sub_queue.and_then(|sub_queue| sub_queue.readiness(&queued_message(*id, message)));
            ensure(ready.is_some() == message.queued, || {
                format!("message {id}: queued {}, in its sub-queue {ready:?}", message.queued)
            })?;
            let end = message.queued.then(|| OrderedF64::new(self.send_deadline(message)));
            ensure(self.expiries.get(id) == end, || format!("message {id}: expiry is not recorded"))?;
            let Some(ready) = ready else {
                ensure(self.blocked.get(id).is_none(), || {
                    format!("message {id}: not queued, but recorded as blocked")
                })?;
                continue;
            };
            *queued.entry(message.destination_id).or_default() += 1;
            let sendable_at = self.sendable_at(*id, message);
            ensure(ready == (sendable_at <= self.now), || {
                format!("message {id}: sendable at {sendable_at}, ready {ready}")
            })?;
            let blocked_until = (!ready && sendable_at < f64::MAX).then(|| OrderedF64::new(sendable_at));
            ensure(self.blocked.get(id) == blocked_until, || {
                format!("message {id}: blocked until {blocked_until:?}, not recorded")
            })?;
        }
        let mut sums = (0, 0);
        for (destination_id, destination) in self.fleet.destinations.walk() {
            let count = queued.get(destination_id).copied().unwrap_or(0);
            ensure(destination.queued == count, || {
                format!("destination {destination_id}: {count} queued, {} recorded", destination.queued)
            })?;
            ensure(destination.slot_time_us == destination.current_slot_time_us(), || {
                format!("destination {destination_id}: slot time is out of date")
            })?;
            sums = if count > 0 { (sums.0 + 1, sums.1 + destination.slot_time_us) } else { sums };
        }
        ensure(self.backlogged == sums, || format!("backlogged {sums:?}, recorded {:?}", self.backlogged))
    }

    fn audit_calls(&self) -> Result<(), String> {
        let (mut calls_by_destination, mut calls_by_endpoint) =
            (BTreeMap::<u64, usize>::new(), BTreeMap::<&str, usize>::new());
        for (id, call) in self.calls.walk() {
            *calls_by_destination.entry(call.group_id.0).or_default() += 1;
            *calls_by_endpoint.entry(&call.kind.endpoint).or_default() += 1;
            let recorded = self
                .fleet
                .groups
                .get(&call.group_id)
                .is_some_and(|group| group.calls.contains(&call.kind, call.sent_at, *id));
            ensure(recorded, || format!("call {id}: not recorded in its endpoint group"))?;
            let recorded_on_message = |message: &u64| {
                self.messages.get(message).is_some_and(|message| message.in_flight.iter().any(|f| f.1 == *id))
            };
            ensure(call.message_ids.iter().all(recorded_on_message), || {
                format!("call {id}: not recorded in one of its messages")
            })?;
        }
        for (destination_id, destination) in self.fleet.destinations.walk() {
            let count = calls_by_destination.get(destination_id).copied().unwrap_or(0);
            ensure(destination.calls_in_flight == count, || {
                format!(
                    "destination {destination_id}: {count} in flight, {} recorded",
                    destination.calls_in_flight
                )
            })?;
        }
        for (name, host) in self.fleet.hosts.walk() {
            let count = calls_by_endpoint.get(&**name).copied().unwrap_or(0);
            ensure(host.calls_in_flight == count, || {
                format!("endpoint {name}: {count} in flight, {} recorded", host.calls_in_flight)
            })?;
        }
        let cancelled = self.calls.walk().filter(|x| x.1.cancelled).count();
        ensure(self.cancelled_calls == cancelled, || {
            format!("{cancelled} cancelled, {} recorded", self.cancelled_calls)
        })
    }

    fn audit_groups(&self) -> Result<(), String> {
        for (id, group) in self.fleet.groups.walk() {
            let overrun_at = self.overrun_at(group).map(OrderedF64::new);
            ensure(self.overrun_checks.get(id) == overrun_at, || {
                format!("group {id:?}: overrun at {overrun_at:?} is not recorded")
            })?;
            let overdue = self.overdue_at(group).map(|(at, call)| (OrderedF64::new(at), call));
            ensure(self.overdue_calls.get(id) == overdue, || {
                format!("group {id:?}: overdue call {overdue:?} is not recorded")
            })?;
            let unhealthy = self.fleet.unhealthy.contains(id);
            ensure(unhealthy == (group.breaker != BreakerState::Closed), || {
                format!("group {id:?}: breaker state {:?} is not recorded", group.breaker)
            })?;
        }
        Ok(())
    }

    fn audit_destinations(&self) -> Result<(), String> {
        let slot_free = self.calls.len() < self.settings.slots;
        for (destination_id, destination) in self.fleet.destinations.walk() {
            // The capacity of a group in slow start changes with time alone, up and down; it is checked again
            // at intervals.
            let slow_start = self
                .fleet
                .groups_of(*destination_id)
                .any(|x| matches!(x.1.breaker, BreakerState::SlowStart(_)));
            let may_send = self.credits.contains(*destination_id);
            let value_rate_current = self.value_rates.get(destination_id).is_some()
                || self.stale_value_rates.contains(destination_id);
            let value_rate_needed = self.tracks_value_rates && self.least_valuable(*destination_id).is_some();
            ensure(value_rate_current || !value_rate_needed, || {
                format!("destination {destination_id}: no value rate is recorded")
            })?;
            ensure(destination.queued > 0 || !may_send, || {
                format!("destination {destination_id}: may send, but nothing is queued")
            })?;
            match self.next_action(*destination_id) {
                NextAction::Send(..) if slow_start => {}
                NextAction::Send(id, endpoint) => {
                    ensure(may_send, || {
                        format!("destination {destination_id}: would send {id} to {endpoint} but has no turn")
                    })?;
                    ensure(!slot_free, || {
                        format!("destination {destination_id}: {id} waits although a slot is free")
                    })?;
                }
                NextAction::Probe(endpoint) => {
                    // Where each endpoint has its own limit, time alone may make another endpoint the first
                    // choice: the probe then follows when the destination's turn comes.
                    ensure(self.pending_probes.contains_key(destination_id) || may_send, || {
                        format!("no probe of {endpoint} is scheduled")
                    })?;
                }
                NextAction::Nothing => {
                    let (next, wake) =
                        (self.next_sendable_at(*destination_id), self.wake_times.get(destination_id));
                    let wake_scheduled = slow_start
                        || next.is_none_or(|next| wake.is_some_and(|wake| wake.get() <= next + 1e-6));
                    ensure(wake_scheduled || may_send, || {
                        format!(
                            "destination {destination_id}: may send at {next:?}, wakes at {wake:?}, now {}",
                            self.now
                        )
                    })?;
                }
            }
        }
        Ok(())
    }
}
