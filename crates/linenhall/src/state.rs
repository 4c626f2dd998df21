//! Plain records of a relay's state. This module makes no decisions.

use crate::fleet::{EndpointGroupId, Name};
use crate::index::group_calls::CallKind;
use crate::index::sub_queue::QueuedMessage;
use crate::index::OrderedF64;
use crate::interface::{Class, Outcome, Settings, ValueDecay};
pub use crate::meter::Meter;

/// A call in flight; where batches are allowed it carries several messages.
#[derive(Clone, Debug)]
pub struct Call {
    /// The group that the call counts for.
    pub group_id: EndpointGroupId,
    /// What decides the time that the call is given.
    pub kind: CallKind,
    pub sent_at: f64,
    /// The messages whose attempts wait for the end of the call.
    pub message_ids: Vec<u64>,
    /// Whether the outcome has been recorded. One call ends once for each of its messages, but counts once.
    pub outcome_counted: bool,
    /// Whether the call was cancelled because it was overdue.
    pub cancelled: bool,
}

/// An unfinished message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Its order key, if its class keeps an order.
    pub key: Option<Name>,
    /// When it was handed in; its value decays from then on.
    pub arrived_at: f64,
    /// The time until which it may be delivered.
    pub due: f64,
    pub destination_id: u64,
    /// Its place in the order of arrival.
    pub seq: u64,
    /// Number of attempts made; the next attempt has this number.
    pub attempts: u32,
    /// Time and endpoint of the first send that may have run.
    pub first_uncertain_send: Option<(f64, Name)>,
    /// Attempts in flight: number of the attempt and number of its call.
    pub in_flight: Vec<(u32, u64)>,
    /// Whether it waits in the queue of its destination.
    pub queued: bool,
    /// The end of the pause after a failed attempt.
    pub not_before: f64,
    /// Whether it has its final answer or was withdrawn; it stays only until its attempts in flight have
    /// ended.
    pub finished: bool,
    /// Whether the response to an attempt has started.
    pub response_started: bool,
    /// See [`crate::fleet::SubQueueKey::untried`].
    pub untried: bool,
}

/// The next action of a destination.
#[derive(Clone, Debug)]
pub enum NextAction {
    /// Nothing can go out now.
    Nothing,
    /// Send this message to this endpoint.
    Send(u64, Name),
    /// Probe this endpoint.
    Probe(Name),
}

/// Returns a message's entry in its sub-queue.
pub fn queued_message(id: u64, message: &Message) -> QueuedMessage {
    QueuedMessage {
        due: OrderedF64::new(message.due),
        seq: message.seq,
        id,
        arrived_at: OrderedF64::new(message.arrived_at),
    }
}

/// What the end of a call or probe shows about its group and endpoint.
pub struct CallObservation<'a> {
    pub group_id: &'a EndpointGroupId,
    pub endpoint: &'a str,
    pub outcome: Outcome,
    pub took_ms: f64,
    pub retry_after_ms: f64,
    pub trial: bool,
}

/// Returns the due times that bound spans within which the value of messages of a class, and so their loss
/// between the two `times`, only rises or only falls with the due time: where they become late, where they
/// reach the late value, and where they end.
pub fn value_breakpoints(value_decay: ValueDecay, class: &Class, times: [f64; 2]) -> [f64; 6] {
    let decay_ms = match value_decay {
        ValueDecay::Halving => class.aim_ms * -class.late_value.max(1e-9).log2(),
        ValueDecay::Linear => class.deadline_ms - class.aim_ms,
    };
    let points_at = |time: f64| {
        let late_due = time - class.aim_ms + class.deadline_ms;
        [late_due, late_due - decay_ms, time.next_up()]
    };
    let ([a, b, c], [d, e, f]) = (points_at(times[0]), points_at(times[1]));
    let mut breakpoints = [a, b, c, d, e, f];
    breakpoints.sort_unstable_by(f64::total_cmp);
    breakpoints
}

/// Clamps a number to a range; NaN becomes the lower bound.
pub fn clamp_finite(value: f64, low: f64, high: f64) -> f64 {
    if value.is_nan() {
        low
    } else {
        value.clamp(low, high)
    }
}

fn clamp_field(value: &mut f64, low: f64, high: f64) {
    *value = clamp_finite(*value, low, high);
}

/// Returns the settings with every number clamped to a range that the computations can handle.
pub fn sanitized(mut settings: Settings) -> Settings {
    settings.relays = settings.relays.max(1);
    settings.conn_streams = settings.conn_streams.max(1);
    settings.max_open = settings.max_open.max(1);
    clamp_field(&mut settings.tick_ms, 0.0, 1e9);
    clamp_field(&mut settings.cold_share, 0.0, 1.0);
    clamp_field(&mut settings.warm_after_ms, 1.0, 1e9);
    clamp_field(&mut settings.fall_multiple, 0.0, 1e9);
    clamp_field(&mut settings.fall_ms, 1.0, 1e9);
    clamp_field(&mut settings.order_pause_ms, 0.0, 1e9);
    clamp_field(&mut settings.conn_idle_ms, 0.0, 1e9);
    clamp_field(&mut settings.max_retry_after_ms, 0.0, 1e9);
    clamp_field(&mut settings.over_share_value, 0.0, 1.0);
    for rate in &mut settings.tenant_rates {
        clamp_field(rate, 0.0, 1e9);
    }
    for class in &mut settings.classes {
        clamp_field(&mut class.aim_ms, 1.0, 1e9);
        clamp_field(&mut class.deadline_ms, 1.0, 1e9);
        clamp_field(&mut class.dedup_window_ms, 0.0, 1e9);
        clamp_field(&mut class.value, 0.0, 1e9);
        clamp_field(&mut class.late_value, 0.0, 1.0);
    }
    settings
}
