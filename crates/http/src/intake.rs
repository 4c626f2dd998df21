//! Reads and checks the requests of clients and answers them. All input is untrusted.

use crate::answer::Answer;
use crate::audit::{self, Step};
use crate::client_connection::ClientConnection;
use crate::conn::{bytes, Body, MAX_BODY_BYTES};
use crate::handle::Handle;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use linenhall::{Class, Effect};
use mulleinslip_engine::{Message, Names};
use mulleinslip_runtime::Clock;
use std::cell::Cell;
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Maximum length of an id or key; those in use have 32 characters.
const MAX_ID_BYTES: usize = 256;
/// A body that does not arrive is answered this long before its connection would be closed.
const BODY_MARGIN: Duration = Duration::from_millis(200);

/// State shared by all client connections.
pub struct Intake {
    /// Names of the classes and tenants, by index.
    pub names: Names,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// Where messages are submitted.
    pub engine: Handle,
    /// The clock of deadlines.
    pub clock: Clock,
    /// After SIGTERM no new messages are accepted, and connections are not kept open.
    pub stopping: Cell<bool>,
    /// How far clients are being drained, see [`crate::Clients::drain`].
    pub drain_mode: Cell<DrainMode>,
    /// While true, submissions wait, as another process may be about to take over.
    pub paused: watch::Sender<bool>,
}

/// How far clients are being drained. Messages handed in meanwhile are still accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainMode {
    /// Clients are not being drained.
    #[default]
    NotDraining,
    /// The health check fails, so that no new clients are sent here.
    Unhealthy,
    /// The health check fails, and each answer closes its connection.
    Closing,
}

/// An answer to a client.
type Reply = Response<Body>;
/// Why a request is rejected: the status and a line of plain text.
type RequestError = (StatusCode, &'static str);

impl Intake {
    /// Answers one request of a client.
    pub async fn handle(
        &self, request: Request<Incoming>, connection: &ClientConnection,
    ) -> Result<Reply, Infallible> {
        connection.set_reading();
        let is_health_check = request.uri().path() == "/_health";
        let mut reply = if is_health_check {
            match *request.method() {
                // The health check fails so that no new clients are sent here.
                _ if self.stopping.get() => plain_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
                _ if self.drain_mode.get() > DrainMode::NotDraining => {
                    plain_response(StatusCode::SERVICE_UNAVAILABLE, "drained\n")
                }
                Method::GET | Method::HEAD => plain_response(StatusCode::OK, ""),
                _ => plain_response(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
            }
        } else {
            match self.read_message(request, connection).await {
                Ok(message) => {
                    // Not set to answering yet: until the message is submitted, the connection may be handed
                    // over.
                    if *self.paused.borrow() {
                        let _sender_lives = self.paused.subscribe().wait_for(|paused| !paused).await.is_ok();
                    }
                    connection.set_answering();
                    match connection.is_reset() {
                        true => refused_response(None),
                        false => self.submit(message, connection).await,
                    }
                }
                Err((status, why)) => plain_response(status, why),
            }
        };
        connection.request_answered();
        // A client whose request was rejected must reconnect to send more.
        let closing = self.stopping.get() || self.drain_mode.get() == DrainMode::Closing;
        if closing || connection.closes_after_request() || reply.status().is_client_error() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// Submits a message to the engine and waits for the answer.
    async fn submit(&self, message: Message, connection: &ClientConnection) -> Reply {
        let (sender, receiver) = oneshot::channel();
        let (call_id, client) = (message.call_id.clone(), connection.number);
        connection.audit_call(&call_id);
        audit::log_step(&call_id, || Step::Handed {
            client,
            due: message.due,
            class: message.class,
            destination: message.destination,
        });
        // If this request's connection closes first, `receiver` is dropped, and the message is withdrawn.
        let _engine_stopped = self.engine.submit(Box::new(message), sender);
        let reply = match receiver.await {
            Ok(Answer::Accepted) => plain_response(StatusCode::ACCEPTED, ""),
            Ok(Answer::Failed) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, "not delivered\n"),
            Ok(Answer::Refused { retry_after_ms }) => refused_response(retry_after_ms),
            Err(_) => refused_response(None),
        };
        audit::log_step(&call_id, || Step::Answered { client, status: reply.status().as_u16() });
        reply
    }

    /// Reads a request in full and checks it.
    async fn read_message(
        &self, request: Request<Incoming>, connection: &ClientConnection,
    ) -> Result<Message, RequestError> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        if connection.is_ambiguous() {
            return Err((BAD, "the length can be read in two ways\n"));
        }
        let (head, body) = request.into_parts();
        if head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "POST only\n"));
        }
        let class = head.uri.path().split('/').nth(1).unwrap_or("");
        let class = self.names.classes.iter().position(|c| c == class);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class\n"))?;
        let class_settings = &self.classes[class];
        let call_id = single_header(&head.headers, "X-Call-Id").filter(|id| is_valid_id(id));
        let call_id = call_id.ok_or((BAD, "X-Call-Id is missing or can't be read\n"))?.to_string();
        let tenant = match single_header(&head.headers, "X-Caller") {
            _ if self.names.tenants.is_empty() => Some(0),
            Some(caller) => self.names.tenants.iter().position(|t| t == caller),
            None => None,
        };
        let tenant = tenant.ok_or((BAD, "X-Caller is missing or unknown\n"))?;
        let budget_ms = single_header(&head.headers, "X-Budget").and_then(parse_budget_ms);
        // A message has no value after its class's deadline.
        let budget_ms =
            budget_ms.ok_or((BAD, "X-Budget is missing or can't be read\n"))?.min(class_settings.deadline_ms);
        let destination = single_header(&head.headers, "X-Envelope").and_then(parse_destination);
        let destination = destination.ok_or((BAD, "X-Envelope is missing or has no dest\n"))?;
        let key = single_header(&head.headers, "Idempotency-Key").filter(|key| is_valid_id(key));
        if class_settings.effect == Effect::Keyed && key.is_none() {
            return Err((BAD, "Idempotency-Key is missing or can't be read\n"));
        }
        let idempotency_key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
        let order_key =
            order_key(head.uri.path(), head.uri.query().unwrap_or("")).filter(|_| class_settings.in_order);
        if order_key.as_ref().is_some_and(|key| key.len() > MAX_ID_BYTES) {
            return Err((BAD, "the key is too long\n"));
        }
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "64 KiB at most\n"));
        }
        let body_deadline = connection.request_deadline() - BODY_MARGIN;
        let body = tokio::time::timeout_at(body_deadline.into(), read_body(body, connection)).await;
        let body = body.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))??;
        let due = self.clock.at(Instant::now()) + budget_ms;
        Ok(Message { call_id, class, tenant, destination, due, order_key, idempotency_key, body })
    }
}

/// Reads a body. One of a known length is taken from the connection's unanswered input, which has it already.
async fn read_body(mut body: Incoming, connection: &ClientConnection) -> Result<Bytes, RequestError> {
    let length = body.size_hint().exact();
    let (mut content, mut received_bytes) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "the body can't be read\n"))?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        received_bytes += data.len();
        if received_bytes > MAX_BODY_BYTES {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "64 KiB at most\n"));
        }
        if length.is_none() {
            connection.hold_elsewhere(data.len());
            content.extend_from_slice(data);
        }
    }
    match length {
        None => Ok(content.into()),
        Some(_) => {
            let body = connection.request_body(received_bytes);
            body.ok_or((StatusCode::SERVICE_UNAVAILABLE, "the request is too large to keep\n"))
        }
    }
}

/// Makes an answer with a body of plain text.
fn plain_response(status: StatusCode, why: &'static str) -> Reply {
    let mut reply = Response::new(bytes(why));
    *reply.status_mut() = status;
    reply
}

/// Makes a 503, with `Retry-After` if a time is given.
fn refused_response(retry_after_ms: Option<f64>) -> Reply {
    let mut reply = plain_response(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_after_ms.map(|ms| format!("{:.3}", ms.max(0.0) / 1000.0));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Returns the value of a header that occurs exactly once and is plain text.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let value = all.next()?;
    all.next().is_none().then(|| value.to_str().ok().map(str::trim))?
}

/// Parses a budget such as `480m` (milliseconds) or `480000u` (microseconds) into milliseconds.
fn parse_budget_ms(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let units_per_ms = match unit {
        "m" => 1.0,
        "u" => 1000.0,
        _ => return None,
    };
    let digits = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number = number.parse::<f64>().ok().filter(|_| digits)? / units_per_ms;
    number.is_finite().then_some(number)
}

/// Returns whether an id is safe to use in forwarded headers, the journal and notices.
fn is_valid_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Returns the number after `dest=`.
fn parse_destination(envelope: &str) -> Option<u64> {
    let mut parts = envelope.split([';', ',', ' ']).map(str::trim);
    parts.find_map(|p| p.strip_prefix("dest="))?.parse().ok()
}

/// Returns the order key: the rest of the path after the class, else `about` in the query.
fn order_key(path: &str, query: &str) -> Option<String> {
    let in_path = path.trim_start_matches('/').split_once('/').map(|(_class, key)| key);
    let in_query = || query.split('&').find_map(|p| p.strip_prefix("about="));
    in_path.filter(|k| !k.is_empty()).or_else(in_query).filter(|k| !k.is_empty()).map(String::from)
}

#[cfg(test)]
mod tests;
