//! How answers are read.

use crate::body::Collected;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use linenhall::Outcome;
use mulleinslip_http::{retry_after_ms, ParsedOutcome};
use std::error::Error;
use std::time::Duration;

/// The longest wait that is believed, in milliseconds: the destination would be shut for longer.
const MOST_WAIT_MS: f64 = 60_000.0;

/// What partners speak. Each row that is not proof of the contrary counts as one that may have run.
///
/// | answer | [`Protocol::Grpc`] | [`Protocol::Http`] | [`Protocol::Platform`] |
/// | --- | --- | --- | --- |
/// | `OK` / 2xx / 200 | delivered | delivered | delivered |
/// | the partner's own word on the call: `INVALID_ARGUMENT`, `NOT_FOUND`, `ALREADY_EXISTS`, `PERMISSION_DENIED`, `FAILED_PRECONDITION`, `ABORTED`, `OUT_OF_RANGE`, `UNIMPLEMENTED`, `UNAUTHENTICATED` / 3xx, 4xx but 408, 425, 429 / 410 | passed on, over | passed on, over | passed on, over |
/// | turned away unseen: `UNAVAILABLE` or `RESOURCE_EXHAUSTED` with a pushback and no message / 429, 503 with `Retry-After` / 429, 503 | wait heeded, tried again | the same | the same |
/// | never sent on: 503 with `X-No-Slot`, 504 | | | tried again |
/// | all else, and answers that broke off | may have run | may have run | may have run |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// gRPC unary calls over HTTP/2 ([the protocol](https://github.com/grpc/grpc/blob/master/doc/PROTOCOL-HTTP2.md)).
    Grpc,
    /// HTTP (RFC 9110).
    Http,
    /// The platform's own protocol, as the daemon's hosts speak it.
    Platform,
}

const fn plain(outcome: Outcome) -> ParsedOutcome {
    ParsedOutcome { outcome, settled: false, retry_after_ms: 0.0 }
}

const DELIVERED: ParsedOutcome =
    ParsedOutcome { outcome: Outcome::Delivered, settled: true, retry_after_ms: 0.0 };
/// Also a word that says no is an answer, and shows that the partner is well.
const SAID: ParsedOutcome = DELIVERED;

impl Protocol {
    /// Puts in what a partner needs to know of an attempt.
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
                // Eight digits at most.
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

    /// What an answer that came whole means.
    pub(crate) fn read(self, answer: &Response<Collected>) -> ParsedOutcome {
        let status = answer.status();
        match self {
            Protocol::Grpc => grpc(answer),
            Protocol::Http => match status.as_u16() {
                200..300 => DELIVERED,
                429 => full(retry_after_ms(answer.headers())),
                503 if answer.headers().contains_key("retry-after") => full(retry_after_ms(answer.headers())),
                408 | 425 => plain(Outcome::Error),
                300..500 => SAID,
                _ => plain(Outcome::Error),
            },
            Protocol::Platform => ParsedOutcome::of(status, answer.headers()),
        }
    }

    /// What an attempt that brought no answer means, once it had begun. Only a refused connection proves that it
    /// never ran: no other call gives that error.
    pub(crate) fn broke(self, error: &(dyn Error + 'static)) -> Outcome {
        let mut next = Some(error);
        while let Some(e) = next {
            let io = e.downcast_ref::<std::io::Error>();
            if io.is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused) {
                return Outcome::NoConnection;
            }
            // One that wraps another names that one's source as its own.
            let wrapped = io.and_then(|e| e.get_ref()).map(|e| e as &(dyn Error + 'static));
            next = wrapped.or_else(|| e.source());
        }
        Outcome::Broken
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn full(wait_ms: f64) -> ParsedOutcome {
    ParsedOutcome { outcome: Outcome::Full, settled: false, retry_after_ms: wait_ms.clamp(0.0, MOST_WAIT_MS) }
}

fn grpc(answer: &Response<Collected>) -> ParsedOutcome {
    // In the trailers, or in the head where there is nothing but a head. One in the head of an answer with a
    // message or with trailers proves nothing.
    let alone = answer.body().data().is_empty() && answer.body().trailers().is_none();
    let Some(fields) = answer.body().trailers().or(alone.then_some(answer.headers())) else {
        return plain(Outcome::Broken);
    };
    if answer.status() != StatusCode::OK {
        // Not from a gRPC server; what stands between may have passed the call on.
        return plain(Outcome::Error);
    }
    let number = |name: &str| fields.get(name).and_then(|v| v.to_str().ok()?.parse::<i64>().ok());
    let Some(status) = number("grpc-status") else { return plain(Outcome::Error) };
    let unseen = answer.body().data().is_empty();
    match status {
        0 => DELIVERED,
        // INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS, PERMISSION_DENIED, FAILED_PRECONDITION, ABORTED,
        // OUT_OF_RANGE, UNIMPLEMENTED, UNAUTHENTICATED
        3 | 5 | 6 | 7 | 9 | 10 | 11 | 12 | 16 => SAID,
        // RESOURCE_EXHAUSTED, UNAVAILABLE
        8 | 14 if unseen => match number("grpc-retry-pushback-ms") {
            Some(ms) if ms >= 0 => full(ms as f64),
            _ => plain(Outcome::Error),
        },
        _ => plain(Outcome::Error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn grpc_answer(
        trailers: Option<&[(&'static str, &str)]>, head: &[(&'static str, &str)], data: &'static [u8],
    ) -> ParsedOutcome {
        let map = |fields: &[(&'static str, &str)]| {
            fields.iter().map(|(n, v)| (n.parse().unwrap(), v.parse().unwrap())).collect::<HeaderMap>()
        };
        let mut answer = Response::new(Collected::new(data.into(), trailers.map(map)));
        *answer.headers_mut() = map(head);
        Protocol::Grpc.read(&answer)
    }

    #[test]
    fn each_grpc_status_has_its_meaning() {
        for status in 0..=17 {
            let text = status.to_string();
            let meaning = grpc_answer(Some(&[("grpc-status", &text)]), &[], b"x");
            let expected = match status {
                0 | 3 | 5 | 6 | 7 | 9 | 10 | 11 | 12 | 16 => DELIVERED,
                _ => plain(Outcome::Error),
            };
            assert_eq!(meaning, expected, "status {status}");
            assert_eq!(grpc_answer(None, &[("grpc-status", &text)], b""), expected, "alone, status {status}");
        }
    }

    #[test]
    fn a_pushback_counts_only_where_nothing_was_answered() {
        let pushed = [("grpc-status", "14"), ("grpc-retry-pushback-ms", "250")];
        assert_eq!(grpc_answer(None, &pushed, b""), full(250.0));
        assert_eq!(grpc_answer(Some(&pushed), &[], b""), full(250.0));
        assert_eq!(grpc_answer(Some(&pushed), &[], b"x"), plain(Outcome::Error));
        let never = [("grpc-status", "8"), ("grpc-retry-pushback-ms", "-1")];
        assert_eq!(grpc_answer(None, &never, b""), plain(Outcome::Error));
    }

    #[test]
    fn an_answer_cut_off_is_never_delivered() {
        // A message came, and no trailers: whatever the head says.
        assert_eq!(grpc_answer(None, &[("grpc-status", "0")], b"x"), plain(Outcome::Broken));
        assert_eq!(grpc_answer(None, &[], b""), plain(Outcome::Error));
        assert_eq!(grpc_answer(Some(&[("grpc-status", "zero")]), &[], b"x"), plain(Outcome::Error));
    }

    #[test]
    fn only_a_refused_connection_never_ran() {
        let refused = std::io::Error::from(std::io::ErrorKind::ConnectionRefused);
        let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let wrapped = std::io::Error::other(refused);
        assert_eq!(Protocol::Grpc.broke(&wrapped), Outcome::NoConnection);
        assert_eq!(Protocol::Grpc.broke(&reset), Outcome::Broken);
    }

    #[test]
    fn http_answers() {
        let read = |protocol: Protocol, status: u16, after: Option<&str>| {
            let mut answer = Response::new(Collected::default());
            *answer.status_mut() = StatusCode::from_u16(status).unwrap();
            after.map(|a| answer.headers_mut().insert("retry-after", a.parse().unwrap()));
            protocol.read(&answer)
        };
        assert_eq!(read(Protocol::Http, 204, None), DELIVERED);
        assert_eq!(read(Protocol::Http, 404, None), SAID);
        assert_eq!(read(Protocol::Http, 429, Some("1.5")), full(1500.0));
        assert_eq!(read(Protocol::Http, 503, None), plain(Outcome::Error));
        assert_eq!(read(Protocol::Http, 503, Some("nonsense")), full(0.0));
        assert_eq!(read(Protocol::Http, 504, None), plain(Outcome::Error));
        assert_eq!(read(Protocol::Platform, 504, None), plain(Outcome::NotSent));
        assert_eq!(
            read(Protocol::Platform, 410, None),
            ParsedOutcome { outcome: Outcome::NotSent, settled: true, retry_after_ms: 0.0 }
        );
        assert_eq!(read(Protocol::Platform, 201, None), plain(Outcome::Error));
    }
}
