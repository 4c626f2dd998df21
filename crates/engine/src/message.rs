//! The engine's inputs and outputs. Times are milliseconds on the caller's clock; durations are milliseconds.

use bytes::Bytes;
use linenhall::{ListUpdate, Outcome};
use std::time::Duration;

/// Maximum time to wait for an attempt: one hour.
const MAX_WAIT_MS: f64 = 3_600_000.0;

/// A message as a front submits it, parsed and validated.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's id for the message. While it is open, another message with this id is a duplicate of it. One
    /// that may have run and may not be repeated is remembered for a while after its end.
    pub call_id: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The destination that it is for.
    pub destination: u64,
    /// The deadline for its delivery.
    pub due: f64,
    /// Messages of an ordered class with the same key are delivered one at a time.
    pub order_key: Option<String>,
    /// The key by which partners recognise a repeat.
    pub idempotency_key: Option<Bytes>,
    /// The payload. The engine does not look at it.
    pub body: Bytes,
}

/// The single final answer of an accepted message. `R` is the carrier's response type.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<R> {
    /// Delivered, with the partner's response.
    Delivered(R),
    /// Delivered, with the partner's response, which came so close to the message's deadline that the sender,
    /// whose clock started earlier, may already count it as too late.
    DeliveredLate(R),
    /// Delivered, as far as is known: the response may not belong to the last attempt, which may then not have
    /// run.
    DeliveryDoubted(R),
    /// Not delivered, but the partner has ended the message: nothing more has to be done for it.
    EndedByPartner(Option<R>),
    /// Given up. By the rules of its class it is safe to submit the message again.
    Refused {
        /// Milliseconds after which to retry, if the settings allow the relay to tell.
        retry_after_ms: Option<f64>,
        /// Whether an attempt may have run.
        may_have_run: bool,
        /// The response to the last attempt that got one.
        last_response: Option<R>,
    },
    /// Given up. It may not be safe to submit the message again.
    Failed {
        /// Whether an attempt may have run.
        may_have_run: bool,
        /// The response to the last attempt that got one.
        last_response: Option<R>,
    },
}

/// The final answer of a message that was not accepted and therefore never attempted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// The sender may retry.
    Refused {
        /// Milliseconds after which to retry, if known.
        retry_after_ms: Option<f64>,
    },
    /// The message can't be delivered; a retry is of no use.
    Failed,
}

/// A reply to a front. `T` is the ticket that the front submitted along with a message.
#[derive(Debug, PartialEq)]
pub enum FrontReply<T, R> {
    /// The message is accepted: it is stored, and one [`FrontReply::Final`] follows for it.
    Accepted {
        /// The engine's number for it.
        id: u64,
        /// The ticket that was submitted with the message.
        ticket: T,
    },
    /// A message with this id is already open; the duplicate is dropped.
    Duplicate {
        /// The engine's number for it.
        id: u64,
        /// The ticket that was submitted with the message.
        ticket: T,
    },
    /// A message with this id has ended already, may have run, and must not run again. No other answer follows.
    Ended {
        /// Whether it was delivered. Else it was given up, and its sender was told so.
        delivered: bool,
        /// The ticket that was submitted with the message.
        ticket: T,
    },
    /// The message is not accepted. No other answer follows.
    Rejected {
        /// The ticket that was submitted with the message.
        ticket: T,
        /// The reason, for its sender.
        why: Rejection,
    },
    /// The final answer of a message that this process or an earlier one accepted. [`FinalAnswer::Refused`],
    /// [`FinalAnswer::Failed`], [`FinalAnswer::DeliveredLate`] and [`FinalAnswer::DeliveryDoubted`] are stored
    /// until [`Input::AnswersConfirmed`], and sent again after a restart, the last two then as `Failed`. The
    /// other two are sent once, as the partner knows them.
    Final {
        /// The engine's number for it.
        id: u64,
        /// The sender's id for it.
        call_id: String,
        /// The answer.
        answer: FinalAnswer<R>,
    },
}

/// An attempt to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The message.
    pub id: u64,
    /// The number of the attempt, counted from 0 across all processes.
    pub attempt: u32,
    /// The endpoint to send it to.
    pub endpoint: String,
    /// The message's destination.
    pub destination: u64,
    /// The sender's id for the message.
    pub call_id: String,
    /// The key by which the partner recognises a repeat; only for classes with such keys.
    pub idempotency_key: Option<Bytes>,
    /// The payload.
    pub body: Bytes,
    /// How long to wait for the response.
    pub wait_ms: f64,
    /// The first byte must be sent before this time on the engine's clock, or not at all.
    pub begin_by: f64,
    /// Whether other messages wait for its end. A delivery should then need no verification, see
    /// [`AttemptEnd::verification_ms`].
    pub others_wait: bool,
}

impl Attempt {
    /// Returns [`Attempt::wait_ms`] as a duration of at most one hour.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait_ms.clamp(0.0, MAX_WAIT_MS) / 1000.0)
    }
}

/// How an attempt ended, as reported by its carrier. Whether it may have run follows from the outcome
/// ([`Outcome::never_ran`]).
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd<R> {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the message has ended with this attempt, so that nothing more has to be done for it.
    pub settled: bool,
    /// The Retry-After that came with [`Outcome::Full`], else 0.
    pub retry_after_ms: f64,
    /// The load report, empty if there is none.
    pub report: Vec<f64>,
    /// The response, if there was one.
    pub response: Option<R>,
    /// With [`Outcome::Delivered`]: 0 if the response is known to belong to this attempt. Else the maximum time
    /// until [`Input::DeliveryVerified`] or [`Input::DeliveryDoubted`] follows; infinite if none follows, as
    /// the delivery can't be verified.
    pub verification_ms: f64,
}

impl<R> AttemptEnd<R> {
    /// Returns the end of an attempt that got no response.
    pub fn without_response(outcome: Outcome) -> AttemptEnd<R> {
        AttemptEnd {
            outcome,
            settled: false,
            retry_after_ms: 0.0,
            report: Vec::new(),
            response: None,
            verification_ms: 0.0,
        }
    }

    /// Returns the end of an attempt whose response may not belong to it: the attempt may have run.
    pub fn doubted(self) -> AttemptEnd<R> {
        AttemptEnd { outcome: Outcome::Stale, settled: false, response: None, verification_ms: 0.0, ..self }
    }
}

/// A Retry-After that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryAfter {
    /// The destination that it holds for.
    pub destination: u64,
    /// The endpoint that it holds for; empty where the destination's endpoints share one limit.
    pub endpoint: String,
    /// The time for which it holds.
    pub wait_ms: f64,
}

/// Whether a delivery is verified.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryVerdict {
    /// It is.
    Verified,
    /// It can't be any more.
    Doubted {
        /// The Retry-After that came on its connection instead, if any.
        retry_after: Option<RetryAfter>,
    },
}

/// An event for the engine to process.
#[derive(Debug)]
pub enum Input<T, R> {
    /// A front submits a message, with its ticket.
    Submitted(Box<Message>, T),
    /// The sender no longer waits for this message. An attempt in flight may have run.
    Withdrawn {
        /// The engine's number for it.
        id: u64,
    },
    /// An attempt ended.
    Ended {
        /// The message.
        id: u64,
        /// The attempt.
        attempt: u32,
        /// Time since the engine asked for the attempt.
        took_ms: f64,
        /// How it ended.
        end: AttemptEnd<R>,
    },
    /// A delivery with [`AttemptEnd::verification_ms`] is verified: its response belongs to it.
    DeliveryVerified {
        /// The message.
        id: u64,
    },
    /// A delivery with [`AttemptEnd::verification_ms`] can't be verified.
    DeliveryDoubted {
        /// The message.
        id: u64,
        /// The Retry-After that came on its connection instead, if any.
        retry_after: Option<RetryAfter>,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: String,
        /// The outcome.
        outcome: Outcome,
        /// Time since the engine asked for the probe.
        took_ms: f64,
        /// The load report, empty if there is none.
        report: Vec<f64>,
    },
    /// An update of the host list. The carrier has already applied it.
    ListUpdate(ListUpdate),
    /// The final answers of these messages have reached their recipients.
    AnswersConfirmed(Vec<u64>),
    /// The process shuts down: no message is accepted any more, and no attempt is begun that may still be in
    /// flight at `calls_end_at`.
    Stop {
        /// When the last call must have ended.
        calls_end_at: f64,
    },
}

/// An action to carry out, in the order of the outputs.
#[derive(Debug, PartialEq)]
pub enum Output<T, R> {
    /// A reply for the front.
    Reply(FrontReply<T, R>),
    /// The carrier makes this attempt.
    Attempt(Attempt),
    /// The carrier stops waiting for this attempt. Its end is still reported by [`Input::Ended`].
    CancelAttempt {
        /// The message.
        id: u64,
        /// The attempt.
        attempt: u32,
    },
    /// The carrier probes this endpoint.
    Probe {
        /// The endpoint.
        endpoint: String,
    },
    /// The carrier closes its idle connections to this endpoint.
    CloseIdle {
        /// The endpoint.
        endpoint: String,
    },
    /// A log line.
    Log(String),
}
