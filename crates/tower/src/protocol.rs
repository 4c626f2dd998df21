//! Protocols of partners: what a request carries, and what a response means.

use crate::body::Collected;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use linenhall::Outcome;
use mulleinslip_http::{retry_after_ms, ParsedOutcome};
use std::error::Error;
use std::time::Duration;

/// Upper limit of a Retry-After or pushback, so that one response can't block a destination for longer.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// Protocol of the partners. A call counts as one that may have run unless the response proves that it did
/// not.
///
/// | response | [`Protocol::Grpc`] | [`Protocol::Http`] | [`Protocol::Platform`] |
/// | --- | --- | --- | --- |
/// | `OK` / 2xx / 200 | delivered | delivered | delivered |
/// | final answer of the partner: `INVALID_ARGUMENT`, `NOT_FOUND`, `ALREADY_EXISTS`, `PERMISSION_DENIED`, `FAILED_PRECONDITION`, `ABORTED`, `OUT_OF_RANGE`, `UNIMPLEMENTED`, `UNAUTHENTICATED` / 3xx, 4xx but 408, 425, 429 / 410 | passed on, no retry | passed on, no retry | passed on, no retry |
/// | rejected before processing: `UNAVAILABLE` or `RESOURCE_EXHAUSTED` with a pushback and no message / 429, 503 with `Retry-After` / 429, 503 | retried after the wait | the same | the same |
/// | not forwarded to the partner: 503 with `X-No-Slot`, 504 | | | retried |
/// | anything else, and incomplete responses | may have run | may have run | may have run |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// gRPC unary calls over HTTP/2
    /// ([the protocol](https://github.com/grpc/grpc/blob/master/doc/PROTOCOL-HTTP2.md)).
    Grpc,
    /// HTTP (RFC 9110).
    Http,
    /// The platform's own protocol, which the hosts of the stand-alone relay use.
    Platform,
}

/// An outcome that settles nothing and asks for no wait.
const fn unsettled(outcome: Outcome) -> ParsedOutcome {
    ParsedOutcome { outcome, settled: false, retry_after_ms: 0.0 }
}

const DELIVERED: ParsedOutcome =
    ParsedOutcome { outcome: Outcome::Delivered, settled: true, retry_after_ms: 0.0 };
/// A negative final answer counts like a delivery, as it shows that the partner works.
const NEGATIVE_ANSWER: ParsedOutcome = DELIVERED;

impl Protocol {
    /// Adds the headers that tell a partner about an attempt.
    pub(crate) fn prepare(
        self, request: &mut Request<Collected>, call_id: &str, key: Option<&[u8]>, attempt: u32,
        wait: Duration,
    ) {
        let headers = request.headers_mut();
        if let Some(key) = key.and_then(|k| HeaderValue::from_bytes(k).ok()) {
            headers.insert("idempotency-key", key);
        }
        match self {
            Protocol::Grpc => {
                // gRPC allows at most eight digits.
                let text = match wait.as_micros() {
                    micros if micros < 100_000_000 => format!("{micros}u"),
                    _ => format!("{}m", wait.as_millis().min(99_999_999)),
                };
                insert(headers, "grpc-timeout", &text);
                if attempt > 0 {
                    insert(headers, "grpc-previous-rpc-attempts", &attempt.to_string());
                }
            }
            Protocol::Http => {}
            Protocol::Platform => {
                insert(headers, "x-call-id", call_id);
                insert(headers, "x-budget", &format!("{}m", wait.as_millis()));
            }
        }
    }

    /// Returns what a complete response means.
    pub(crate) fn parse(self, response: &Response<Collected>) -> ParsedOutcome {
        let status = response.status();
        match self {
            Protocol::Grpc => parse_grpc(response),
            Protocol::Http => match status.as_u16() {
                200..300 => DELIVERED,
                429 => full(retry_after_ms(response.headers())),
                503 if response.headers().contains_key("retry-after") => {
                    full(retry_after_ms(response.headers()))
                }
                408 | 425 => unsettled(Outcome::Error),
                300..500 => NEGATIVE_ANSWER,
                _ => unsettled(Outcome::Error),
            },
            Protocol::Platform => ParsedOutcome::of(status, response.headers()),
        }
    }

    /// Returns the outcome of an attempt that had begun and failed without a response. Only a refused
    /// connection proves that the attempt did not run: connecting is the only operation that gives this
    /// error.
    pub(crate) fn outcome_of_error(self, error: &(dyn Error + 'static)) -> Outcome {
        let mut next = Some(error);
        while let Some(current) = next {
            let io_error = current.downcast_ref::<std::io::Error>();
            if io_error.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused) {
                return Outcome::NoConnection;
            }
            // The source of an I/O error that wraps another error is that error's source, not the error
            // itself.
            let wrapped = io_error.and_then(|e| e.get_ref()).map(|e| e as &(dyn Error + 'static));
            next = wrapped.or_else(|| current.source());
        }
        Outcome::Broken
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The host rejected the request without processing it and asks to wait.
fn full(wait_ms: f64) -> ParsedOutcome {
    ParsedOutcome {
        outcome: Outcome::Full,
        settled: false,
        retry_after_ms: wait_ms.clamp(0.0, MAX_RETRY_AFTER_MS),
    }
}

/// Returns what a complete gRPC response means.
fn parse_grpc(response: &Response<Collected>) -> ParsedOutcome {
    // The status is in the trailers, or in the headers of a response that has nothing but headers. A status
    // in the headers of a response with a message or trailers proves nothing.
    let headers_only = response.body().data().is_empty() && response.body().trailers().is_none();
    let Some(fields) = response.body().trailers().or(headers_only.then_some(response.headers())) else {
        return unsettled(Outcome::Broken);
    };
    if response.status() != StatusCode::OK {
        // Not from a gRPC server. An intermediary that answers may have forwarded the call before.
        return unsettled(Outcome::Error);
    }
    let number = |name: &str| fields.get(name).and_then(|v| v.to_str().ok()?.parse::<i64>().ok());
    let Some(status) = number("grpc-status") else { return unsettled(Outcome::Error) };
    let without_message = response.body().data().is_empty();
    match status {
        0 => DELIVERED,
        // INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS, PERMISSION_DENIED, FAILED_PRECONDITION, ABORTED,
        // OUT_OF_RANGE, UNIMPLEMENTED, UNAUTHENTICATED
        3 | 5 | 6 | 7 | 9 | 10 | 11 | 12 | 16 => NEGATIVE_ANSWER,
        // RESOURCE_EXHAUSTED, UNAVAILABLE
        8 | 14 if without_message => match number("grpc-retry-pushback-ms") {
            Some(ms) if ms >= 0 => full(ms as f64),
            _ => unsettled(Outcome::Error),
        },
        _ => unsettled(Outcome::Error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn grpc_outcome(
        trailers: Option<&[(&'static str, &str)]>, head: &[(&'static str, &str)], data: &'static [u8],
    ) -> ParsedOutcome {
        let map = |fields: &[(&'static str, &str)]| {
            fields.iter().map(|(n, v)| (n.parse().unwrap(), v.parse().unwrap())).collect::<HeaderMap>()
        };
        let mut response = Response::new(Collected::new(data.into(), trailers.map(map)));
        *response.headers_mut() = map(head);
        Protocol::Grpc.parse(&response)
    }

    // Guards against a gRPC status that is retried although the partner answered, or taken for an answer
    // although the call may have run. Each status comes in trailers and in a response of headers only.
    #[test]
    fn each_grpc_status_is_final_answer_or_error() {
        for status in 0..=17 {
            let text = status.to_string();
            let meaning = grpc_outcome(Some(&[("grpc-status", &text)]), &[], b"x");
            let expected = match status {
                0 | 3 | 5 | 6 | 7 | 9 | 10 | 11 | 12 | 16 => DELIVERED,
                _ => unsettled(Outcome::Error),
            };
            assert_eq!(meaning, expected, "status {status} in trailers");
            assert_eq!(
                grpc_outcome(None, &[("grpc-status", &text)], b""),
                expected,
                "status {status} in headers only"
            );
        }
    }

    // Guards against a retry of a call that ran: a pushback proves that it did not run only if there is no
    // message and the pushback is not negative.
    #[test]
    fn pushback_counts_only_without_message() {
        let pushed = [("grpc-status", "14"), ("grpc-retry-pushback-ms", "250")];
        assert_eq!(grpc_outcome(None, &pushed, b""), full(250.0));
        assert_eq!(grpc_outcome(Some(&pushed), &[], b""), full(250.0));
        assert_eq!(grpc_outcome(Some(&pushed), &[], b"x"), unsettled(Outcome::Error));
        let do_not_retry = [("grpc-status", "8"), ("grpc-retry-pushback-ms", "-1")];
        assert_eq!(grpc_outcome(None, &do_not_retry, b""), unsettled(Outcome::Error));
    }

    // Guards against a truncated or malformed response that counts as delivered.
    #[test]
    fn truncated_grpc_response_is_not_delivered() {
        // A message without trailers, whatever the headers say.
        assert_eq!(grpc_outcome(None, &[("grpc-status", "0")], b"x"), unsettled(Outcome::Broken));
        assert_eq!(grpc_outcome(None, &[], b""), unsettled(Outcome::Error));
        assert_eq!(grpc_outcome(Some(&[("grpc-status", "zero")]), &[], b"x"), unsettled(Outcome::Error));
    }

    // Guards against a retry of an attempt that may have run: of the connection errors only a refused
    // connection, also one inside another error, proves that it did not.
    #[test]
    fn only_refused_connection_counts_as_not_run() {
        let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
        let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let wrapped = std::io::Error::other(refused);
        assert_eq!(Protocol::Grpc.outcome_of_error(&wrapped), Outcome::NoConnection);
        assert_eq!(Protocol::Grpc.outcome_of_error(&reset), Outcome::Broken);
    }

    // Guards against HTTP statuses that are read with the wrong outcome or wait, in plain HTTP and in the
    // platform's protocol.
    #[test]
    fn http_status_and_retry_after_give_expected_outcome() {
        let parse = |protocol: Protocol, status: u16, after: Option<&str>| {
            let mut response = Response::new(Collected::default());
            *response.status_mut() = StatusCode::from_u16(status).unwrap();
            after.map(|a| response.headers_mut().insert("retry-after", a.parse().unwrap()));
            protocol.parse(&response)
        };
        assert_eq!(parse(Protocol::Http, 204, None), DELIVERED);
        assert_eq!(parse(Protocol::Http, 404, None), NEGATIVE_ANSWER);
        assert_eq!(parse(Protocol::Http, 429, Some("1.5")), full(1500.0));
        assert_eq!(parse(Protocol::Http, 503, None), unsettled(Outcome::Error));
        assert_eq!(parse(Protocol::Http, 503, Some("nonsense")), full(0.0));
        assert_eq!(parse(Protocol::Http, 504, None), unsettled(Outcome::Error));
        assert_eq!(parse(Protocol::Platform, 504, None), unsettled(Outcome::NotSent));
        assert_eq!(
            parse(Protocol::Platform, 410, None),
            ParsedOutcome { outcome: Outcome::NotSent, settled: true, retry_after_ms: 0.0 }
        );
        assert_eq!(parse(Protocol::Platform, 201, None), unsettled(Outcome::Error));
    }
}
