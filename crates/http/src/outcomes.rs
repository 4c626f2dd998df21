//! The platform's table of outcomes: what an answer of its hosts means.

use hyper::{HeaderMap, StatusCode};
use linenhall::Outcome;

/// The longest wait that is believed: a wait is a second or two, or until a destination that is shut opens.
const MOST_WAIT_S: f64 = 60.0;

/// What an answer means, if it came whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParsedOutcome {
    /// What the attempt came to.
    pub outcome: Outcome,
    /// The message is over, and nothing more is owed.
    pub settled: bool,
    /// The wait that was told with [`Outcome::Full`], else 0.
    pub wait_ms: f64,
}

impl ParsedOutcome {
    /// By status and head.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> ParsedOutcome {
        let (outcome, settled) = match status {
            StatusCode::OK => (Outcome::Delivered, true),
            StatusCode::TOO_MANY_REQUESTS => (Outcome::Full, false),
            StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-No-Slot") => (Outcome::NotSent, false),
            StatusCode::SERVICE_UNAVAILABLE => (Outcome::Full, false),
            StatusCode::GATEWAY_TIMEOUT => (Outcome::NotSent, false),
            StatusCode::GONE => (Outcome::NotSent, true),
            // 500, and what the protocol doesn't know: it may have run.
            _ => (Outcome::Error, false),
        };
        let wait_ms = if outcome == Outcome::Full { retry_after_ms(headers) } else { 0.0 };
        ParsedOutcome { outcome, settled, wait_ms }
    }
}

/// `Retry-After` in milliseconds, a minute at most; 0 if there is none in seconds.
pub fn retry_after_ms(headers: &HeaderMap) -> f64 {
    let text = headers.get("Retry-After").and_then(|v| v.to_str().ok());
    let seconds = text.and_then(|t| t.trim().parse::<f64>().ok()).filter(|s| s.is_finite());
    seconds.map_or(0.0, |s| s.clamp(0.0, MOST_WAIT_S) * 1000.0)
}
