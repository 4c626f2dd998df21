//! The immediate answer to a client, and the channel on which the client's request waits for it.

/// The answer to a client that handed in a message.
#[derive(Debug)]
pub enum Answer {
    /// 202: the relay has accepted the message or has it already.
    Accepted,
    /// 503: the message may be handed in again, after this time if one is given.
    Refused { retry_after_ms: Option<f64> },
    /// 500: the message will not be delivered.
    Failed,
}

/// What the front submits along with a message: the channel on which its client's request waits for the
/// answer.
pub type Ticket = tokio::sync::oneshot::Sender<Answer>;
