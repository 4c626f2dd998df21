//! The platform's table of outcomes: what a host's response says about the attempt.

use hyper::{HeaderMap, StatusCode};
use linenhall::Outcome;

/// Maximum `Retry-After` that is accepted. Hosts name a second or two, or the time until a closed destination
/// opens.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// What a complete response says about the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParsedOutcome {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the message is finished, so that no further attempt is due.
    pub settled: bool,
    /// The `Retry-After` that came with [`Outcome::Full`], in milliseconds, else 0.
    pub retry_after_ms: f64,
}

impl ParsedOutcome {
    /// Reads the outcome from the status and the headers.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> ParsedOutcome {
        let (outcome, settled) = match status {
            StatusCode::OK => (Outcome::Delivered, true),
            StatusCode::TOO_MANY_REQUESTS => (Outcome::Full, false),
            StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-No-Slot") => (Outcome::NotSent, false),
            StatusCode::SERVICE_UNAVAILABLE => (Outcome::Full, false),
            StatusCode::GATEWAY_TIMEOUT => (Outcome::NotSent, false),
            StatusCode::GONE => (Outcome::NotSent, true),
            // 500 or a status that the protocol doesn't define: the call may have run.
            _ => (Outcome::Error, false),
        };
        let retry_after_ms = if outcome == Outcome::Full { retry_after_ms(headers) } else { 0.0 };
        ParsedOutcome { outcome, settled, retry_after_ms }
    }
}

/// Returns `Retry-After` in milliseconds, at most a minute, or 0 if the header is missing or not in seconds.
pub fn retry_after_ms(headers: &HeaderMap) -> f64 {
    let text = headers.get("Retry-After").and_then(|v| v.to_str().ok());
    text.map_or(0.0, parse_retry_after_ms)
}

/// Returns the value of a `Retry-After` header in milliseconds, as [`retry_after_ms`] does.
pub(crate) fn parse_retry_after_ms(text: &str) -> f64 {
    let seconds = text.trim().parse::<f64>().ok().filter(|s| s.is_finite());
    seconds.map_or(0.0, |s| s.clamp(0.0, MAX_RETRY_AFTER_S) * 1000.0)
}
