//! What goes in and out of the engine. Times are milliseconds of the caller's clock, spans are milliseconds.

use bytes::Bytes;
use linenhall::{ListUpdate, Outcome};
use std::time::Duration;

/// No attempt is waited for any longer: an hour.
const MOST_WAIT_MS: f64 = 3_600_000.0;

/// A message as a front hands it in, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its sender's id for it. While it is open, a second one under this id is the same message.
    pub call_id: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Where it is for.
    pub destination: u64,
    /// It may be delivered until this time.
    pub due: f64,
    /// Messages of a class in order with the same key go one at a time.
    pub order_key: Option<String>,
    /// What partners know a repeat by.
    pub idempotency_key: Option<Bytes>,
    /// What is carried. The engine doesn't look at it.
    pub body: Bytes,
}

/// The single final answer of a message that was taken on. `R` is what a carrier brings back.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<R> {
    /// Delivered, with the partner's answer.
    Delivered(R),
    /// Delivered, with the partner's answer, which came so near the end of the message's time that whoever counts that time
    /// elsewhere may take it for too late.
    DeliveredLate(R),
    /// The partner says that it is over, though it was not delivered: nothing more is owed.
    EndedByPartner(Option<R>),
    /// Given up, and handing it in again is harmless as its class sees it.
    Refused {
        /// When to come again, where the settings allow that to be told.
        retry_after_ms: Option<f64>,
        /// Whether an attempt may have run.
        may_have_run: bool,
        /// What the last attempt with an answer brought.
        last: Option<R>,
    },
    /// Given up, with no promise.
    Failed {
        /// Whether an attempt may have run.
        may_have_run: bool,
        /// What the last attempt with an answer brought.
        last: Option<R>,
    },
}

/// The final answer of a message that was never taken on, so never tried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// Come again, after this long where it is told.
    Refused {
        /// Milliseconds.
        retry_after_ms: Option<f64>,
    },
    /// Not to be delivered.
    Failed,
}

/// What a front is told. `T` is whatever it gave along with a message.
#[derive(Debug, PartialEq)]
pub enum FrontReply<T, R> {
    /// The message is taken on: the store has it, and it gets one [`FrontReply::Final`].
    Accepted {
        /// The engine's number for it.
        id: u64,
        /// As handed in.
        ticket: T,
    },
    /// A message under this id is open already; nothing was handed in a second time.
    Duplicate {
        /// The engine's number for it.
        id: u64,
        /// As handed in.
        ticket: T,
    },
    /// The message is not taken on. There will be no other answer.
    Rejected {
        /// As handed in.
        ticket: T,
        /// What its sender is told.
        why: Rejection,
    },
    /// The one final answer of a message that was taken on, perhaps by an earlier process. [`FinalAnswer::Refused`],
    /// [`FinalAnswer::Failed`] and [`FinalAnswer::DeliveredLate`] are owed until [`Input::AnswersConfirmed`], and told again after a restart,
    /// the last one as failed; the other two are known to the partner, and told once.
    Final {
        /// The engine's number for it.
        id: u64,
        /// Its sender's id for it.
        call_id: String,
        /// The answer.
        answer: FinalAnswer<R>,
    },
}

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The message.
    pub id: u64,
    /// Which of its attempts, counted from 0 over all processes.
    pub attempt: u32,
    /// Where to.
    pub endpoint: String,
    /// Where the message is for.
    pub destination: u64,
    /// The sender's id for the message.
    pub call_id: String,
    /// What the partner knows a repeat by; only where the class has such keys.
    pub idempotency_key: Option<Bytes>,
    /// What is carried.
    pub body: Bytes,
    /// How long the answer is waited for.
    pub wait_ms: f64,
    /// Its first byte goes out before this time, on the engine's clock, or not at all.
    pub begin_by: f64,
}

impl Attempt {
    /// [`Attempt::wait_ms`] as a span, an hour at most.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait_ms.clamp(0.0, MOST_WAIT_MS) / 1000.0)
    }
}

/// How an attempt ended, as its carrier saw it. Whether it may have run follows from the outcome
/// ([`Outcome::never_ran`]).
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd<R> {
    /// What it came to.
    pub outcome: Outcome,
    /// The message is over, and nothing more is owed.
    pub settled: bool,
    /// A wait that was told with [`Outcome::Full`], else 0.
    pub wait_ms: f64,
    /// A load report, empty if there is none.
    pub report: Vec<f64>,
    /// What came back, where something did.
    pub response: Option<R>,
}

impl<R> AttemptEnd<R> {
    /// An end without an answer.
    pub fn without_response(outcome: Outcome) -> AttemptEnd<R> {
        AttemptEnd { outcome, settled: false, wait_ms: 0.0, report: Vec::new(), response: None }
    }
}

/// What happens.
#[derive(Debug)]
pub enum Input<T, R> {
    /// A front hands a message in.
    Submitted(Box<Message>, T),
    /// Nobody waits for this message any more. An attempt that is out may have run.
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
        /// Since it was asked for.
        took_ms: f64,
        /// How.
        end: AttemptEnd<R>,
    },
    /// A probe ended.
    Probed {
        /// The endpoint.
        endpoint: String,
        /// What it came to.
        outcome: Outcome,
        /// Since it was asked for.
        took_ms: f64,
        /// A load report, empty if there is none.
        report: Vec<f64>,
    },
    /// News of the list. The carrier knows it already.
    ListUpdate(ListUpdate),
    /// The final answers of these messages have reached whom they concern.
    AnswersConfirmed(Vec<u64>),
    /// Nothing more is taken on, and no attempt is begun that may be out at this time.
    Stop {
        /// When.
        calls_end_at: f64,
    },
}

/// What is to be done, in this order.
#[derive(Debug, PartialEq)]
pub enum Output<T, R> {
    /// For the front.
    Reply(FrontReply<T, R>),
    /// For the carrier: make this attempt.
    Attempt(Attempt),
    /// For the carrier: stop waiting for this one. It still ends by [`Input::Ended`].
    CancelAttempt {
        /// The message.
        id: u64,
        /// The attempt.
        attempt: u32,
    },
    /// For the carrier: look how this endpoint does.
    Probe {
        /// Which.
        endpoint: String,
    },
    /// For the carrier: close connections to this endpoint that stand idle.
    CloseIdle {
        /// Which.
        endpoint: String,
    },
    /// A line for the log.
    Log(String),
}
