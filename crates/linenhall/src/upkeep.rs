//! Keeps the indexes of the decision module up to date. What an event changes is marked dirty, examined again
//! before the round ends, and filed where sending finds it. `logic` makes the decisions about it.

use crate::fleet::SubQueueKey;
use crate::fleet::{BreakerState, Destination, EndpointGroup, EndpointGroupId, Name};
use crate::index::OrderedF64;
use crate::interface::{Effect, Event};
use crate::logic::Relay;
use crate::state::{queued_message, Message, NextAction};

/// The destination can't be forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InUse;

impl Relay {
    /// Marks a destination as changed.
    pub(crate) fn mark_dirty(&mut self, destination_id: u64) {
        self.dirty.1.insert(destination_id);
        if self.tracks_value_rates {
            self.stale_value_rates.insert(destination_id);
        }
        self.cached_action = self.cached_action.take().filter(|x| x.0 != destination_id);
    }

    /// Marks a group and its destination as changed.
    pub(crate) fn mark_group_dirty(&mut self, id: &EndpointGroupId) {
        self.dirty.0.insert(id.clone());
        self.mark_dirty(id.0);
    }

    /// Updates the index entries of everything that is marked dirty.
    pub(crate) fn refresh_indexes(&mut self) {
        while let Some(id) = self.dirty.0.pop_first() {
            let group = self.fleet.groups.get(&id);
            let overrun_at = group.and_then(|group| self.overrun_at(group)).map(OrderedF64::new);
            let overdue_at = group.and_then(|group| self.overdue_at(group));
            self.overrun_checks.set_or_remove(&id, overrun_at);
            self.overdue_calls.set_or_remove(&id, overdue_at.map(|(at, call)| (OrderedF64::new(at), call)));
            if let Some(destination) = self.fleet.destinations.get_mut(&id.0) {
                let slot_time_us = destination.current_slot_time_us();
                let before = std::mem::replace(&mut destination.slot_time_us, slot_time_us);
                self.backlogged.1 = if destination.queued > 0 {
                    self.backlogged.1 - before + slot_time_us
                } else {
                    self.backlogged.1
                };
            }
            self.fleet.note_breaker(id);
        }
        while let Some(destination_id) = self.dirty.1.pop_first() {
            // A destination that may send is examined when its turn comes, unless its next action may have
            // become a probe.
            let may_probe = self.settings.may_probe
                && self.fleet.groups_of(destination_id).any(|x| x.1.breaker == BreakerState::Open);
            match self.fleet.destinations.get(&destination_id) {
                Some(destination)
                    if destination.queued > 0 && !may_probe && self.credits.contains(destination_id) =>
                {
                    self.credits.insert(destination_id, destination.credit_base, destination.next_seq);
                }
                _ => self.reindex_destination(destination_id),
            }
            let idle = |destination: &Destination| {
                destination.queued == 0
                    && destination.calls_in_flight == 0
                    && destination.hosts.is_empty()
                    && destination.groups.is_empty()
            };
            if self.fleet.destinations.get(&destination_id).is_some_and(idle) {
                self.fleet.destinations.remove(&destination_id);
            }
        }
    }

    /// Files a destination by its next action: it may send now, send a probe, or may send from a later time
    /// on.
    pub(crate) fn reindex_destination(&mut self, destination_id: u64) {
        let action = self.next_action(destination_id);
        let (to_send, wake_at, probe) = match &action {
            NextAction::Send(id, endpoint) => {
                (self.messages.get(id), self.trial_deadline(*id, endpoint), None)
            }
            NextAction::Probe(endpoint) => (None, None, Some(endpoint.clone())),
            NextAction::Nothing => (None, self.next_sendable_at(destination_id), None),
        };
        match self.fleet.destinations.get_mut(&destination_id).zip(to_send) {
            Some((destination, message)) => {
                destination.next_seq = message.seq;
                self.credits.insert(destination_id, destination.credit_base, destination.next_seq);
            }
            None => self.credits.remove(destination_id),
        }
        match probe {
            Some(endpoint) => drop(self.pending_probes.insert(destination_id, endpoint)),
            None => drop(self.pending_probes.remove(&destination_id)),
        }
        self.wake_times.set_or_remove(&destination_id, wake_at.map(OrderedF64::new));
        self.cached_action = Some((destination_id, action));
    }

    /// Takes a message out of its queue. A queue that becomes empty starts again without credit.
    pub(crate) fn dequeue(&mut self, id: u64) {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.queued) else { return };
        message.queued = false;
        let destination_id = message.destination_id;
        self.expiries.remove(&id);
        self.blocked.remove(&id);
        self.mark_dirty(destination_id);
        let Some((sub_queue_key, queued_message)) =
            self.messages.get(&id).map(|message| (self.sub_queue_key(message), queued_message(id, message)))
        else {
            return;
        };
        let Some(destination) = self.fleet.destinations.get_mut(&destination_id) else { return };
        if let Some(sub_queue) = destination.sub_queues.get_mut(&sub_queue_key) {
            sub_queue.remove(queued_message);
            if sub_queue.is_empty() {
                destination.sub_queues.remove(&sub_queue_key);
            }
        }
        destination.queued -= 1;
        if destination.queued == 0 {
            destination.queue_full_logged = false;
            self.backlogged = (self.backlogged.0 - 1, self.backlogged.1 - destination.slot_time_us);
            self.value_rates.remove(&destination_id);
            self.value_rate_order.remove(&destination_id);
        }
    }

    /// Files a queued message among those that may be sent, or among those that their own state holds back.
    pub(crate) fn reindex_message(&mut self, id: u64) {
        let Some(message) = self.messages.get(&id).filter(|message| message.queued) else { return };
        let (sendable_at, sub_queue_key, queued_message, destination_id) = (
            self.sendable_at(id, message),
            self.sub_queue_key(message),
            queued_message(id, message),
            message.destination_id,
        );
        let ready = sendable_at <= self.now;
        if let Some(destination) = self.fleet.destinations.get_mut(&destination_id) {
            let sub_queue = destination.sub_queues.entry(sub_queue_key).or_default();
            sub_queue.remove(queued_message);
            sub_queue.insert(queued_message, ready);
            // Until the destination is examined, this message may be the next that it would send.
            destination.next_seq =
                if ready { destination.next_seq.min(queued_message.seq) } else { destination.next_seq };
        }
        self.blocked.set_or_remove(
            &id,
            Some(OrderedF64::new(sendable_at)).filter(|_| !ready && sendable_at < f64::MAX),
        );
        self.mark_dirty(destination_id);
    }

    /// Returns the sub-queue that a message belongs to.
    pub(crate) fn sub_queue_key(&self, message: &Message) -> SubQueueKey {
        let keyed = self.settings.classes[message.class].effect == Effect::Keyed;
        let first_endpoint = message.first_uncertain_send.as_ref().filter(|_| keyed).map(|x| x.1.clone());
        SubQueueKey { class: message.class, tenant: message.tenant, first_endpoint, untried: message.untried }
    }

    /// Recomputes the lowest value per time of a destination's queue.
    pub(crate) fn update_value_rate(&mut self, destination_id: u64) {
        let lowest = self.least_valuable(destination_id).map(|x| OrderedF64::new(x.0));
        self.value_rates.set_or_remove(&destination_id, lowest);
        self.seq += 1;
        self.value_rate_order.set_or_remove(&destination_id, lowest.map(|_| self.seq));
    }

    /// Records that a message is given up: for others of its key it is finished only when its sender has
    /// received the answer.
    pub(crate) fn await_confirmation(&mut self, id: u64) {
        let message =
            self.messages.get(&id).filter(|message| self.settings.confirms_answers && !message.finished);
        message.into_iter().for_each(|message| self.keys.await_confirmation(&message.key, message.seq, id));
    }

    /// Handles an event about an answer that its sender has received or still has to receive.
    pub(crate) fn handle_answer_event(&mut self, event: &Event) {
        match event {
            Event::AnswerPending { id, key, may_be_running } => {
                let key = Name::from(key.as_str());
                self.seq += 1;
                self.keys.enqueue(&Some(key.clone()), self.seq, *id);
                if *may_be_running {
                    self.pause_key(&Some(key.clone()), *id);
                }
                self.keys.await_confirmation(&Some(key.clone()), self.seq, *id);
                self.keys.remove(key, self.seq, *id, self.now);
            }
            Event::AnswerExpected { id } => self.await_confirmation(*id),
            Event::AnswerConfirmed { id } => {
                let next = self.keys.confirm(*id, self.now);
                next.into_iter().for_each(|id| self.reindex_message(id));
            }
            _ => {}
        }
    }

    /// Forgets a destination, if nothing is queued or in flight there and nothing known about it restricts a
    /// later call: it is healthy, no Retry-After or backoff lasts, and its token bucket is full. Returns the
    /// names of its endpoints, or [`InUse`] if it can't be forgotten; `None` if it is unknown. Before a later
    /// request for it, the caller has to list its endpoints again. What was measured is lost: latency,
    /// reported limit and recent rates.
    pub fn forget_destination(&mut self, now: f64, destination_id: u64) -> Option<Result<Vec<Name>, InUse>> {
        self.now = self.now.max(now);
        let now = self.now;
        let destination = self.fleet.destinations.get(&destination_id)?;
        let unused =
            destination.queued == 0 && destination.calls_in_flight == 0 && destination.sub_queues.is_empty();
        let idle = self
            .fleet
            .hosts_of(destination_id)
            .all(|(_, host)| host.calls_in_flight == 0 && host.avoid_until <= now);
        let restricted =
            |group: &EndpointGroup| !group.is_unrestricted(now) || group.token_ready_at(now) > now;
        if !unused || !idle || self.fleet.groups_of(destination_id).any(|(_, group)| restricted(group)) {
            return Some(Err(InUse));
        }
        let groups: Vec<EndpointGroupId> = self.fleet.groups_of(destination_id).map(|x| x.0).collect();
        let hosts = self.fleet.remove_destination(destination_id);
        groups.iter().for_each(|id| self.mark_group_dirty(id));
        self.mark_dirty(destination_id);
        self.refresh_indexes();
        Some(Ok(hosts))
    }

    /// Processes what has become due by time alone since the last round.
    pub(crate) fn process_due_times(&mut self) {
        while let Some(id) = self.blocked.pop_due(self.now) {
            self.reindex_message(id);
        }
        while let Some(destination_id) = self.wake_times.pop_due(self.now) {
            self.mark_dirty(destination_id);
        }
        self.keys.forget_expired(self.now);
    }
}
