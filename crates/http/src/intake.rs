//! What clients hand in: reads and checks it, and answers at once. Nothing here trusts what it reads.

use crate::answer::Answer;
use crate::audit::{self, Step};
use crate::client_connection::ClientConnection;
use crate::conn::{bytes, collect, Body};
use crate::handle::Handle;
use bytes::Bytes;
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

const MOST_BODY: usize = 64 * 1024;
/// The longest id or key; those in use have 32 characters.
const MOST_ID: usize = 256;
/// A body that is late is answered so long before its connection would be closed.
const BODY_MARGIN: Duration = Duration::from_millis(200);

/// What all client connections share.
pub struct Intake {
    pub names: Names,
    pub classes: Vec<Class>,
    pub engine: Handle,
    pub clock: Clock,
    /// After SIGTERM nothing new is taken on, and connections are not kept.
    pub stopping: Cell<bool>,
    /// Whether clients are sent elsewhere, see [`crate::Clients::drain`].
    pub away: Cell<DrainMode>,
    /// What is handed in waits as long as this says so: another process may be about to go on.
    pub paused: watch::Sender<bool>,
}

/// How far clients are sent elsewhere. What they hand in meanwhile is taken on as ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainMode {
    /// They are welcome.
    #[default]
    No,
    /// Health says no, so that no new ones come.
    Unwell,
    /// And each answer closes its connection.
    Closing,
}

type Reply = Response<Body>;
/// Why a request can't be taken: the status and a plain line.
type Bad = (StatusCode, &'static str);

impl Intake {
    pub async fn request(
        &self, request: Request<Incoming>, connection: &ClientConnection,
    ) -> Result<Reply, Infallible> {
        connection.reading();
        let health = request.uri().path() == "/_health";
        let mut reply = if health {
            match *request.method() {
                // Nobody new should come here any more.
                _ if self.stopping.get() => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
                _ if self.away.get() > DrainMode::No => plain(StatusCode::SERVICE_UNAVAILABLE, "drained\n"),
                Method::GET | Method::HEAD => plain(StatusCode::OK, ""),
                _ => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
            }
        } else {
            match self.read(request, connection).await {
                Ok(message) => {
                    // Not answering yet: until it is handed in, the connection may go to the other process.
                    if *self.paused.borrow() {
                        let _never_gone = self.paused.subscribe().wait_for(|paused| !paused).await.is_ok();
                    }
                    connection.answering();
                    self.submit(message, connection).await
                }
                Err((status, why)) => plain(status, why),
            }
        };
        connection.idle();
        // Whoever sends what can't be taken has to connect again to send more.
        let away = self.stopping.get() || self.away.get() == DrainMode::Closing;
        if away || connection.ends() || reply.status().is_client_error() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    async fn submit(&self, message: Message, connection: &ClientConnection) -> Reply {
        let (answer, answered) = oneshot::channel();
        let (call_id, client) = (message.call_id.clone(), connection.number);
        connection.audit(&call_id);
        audit::note(&call_id, || Step::Handed {
            client,
            due: message.due,
            class: message.class,
            destination: message.destination,
        });
        // If this request's connection ends first, `answered` is dropped, and the message is left.
        let _or_stopped = self.engine.submit(Box::new(message), answer);
        let reply = match answered.await {
            Ok(Answer::Accepted) => plain(StatusCode::ACCEPTED, ""),
            Ok(Answer::Failed) => plain(StatusCode::INTERNAL_SERVER_ERROR, "not delivered\n"),
            Ok(Answer::Refused { retry_after_ms }) => refused(retry_after_ms),
            Err(_) => refused(None),
        };
        audit::note(&call_id, || Step::Answered { client, status: reply.status().as_u16() });
        reply
    }

    /// Reads a request whole and checks it.
    async fn read(&self, request: Request<Incoming>, connection: &ClientConnection) -> Result<Message, Bad> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        if connection.ambiguous() {
            return Err((BAD, "the length can be read in two ways\n"));
        }
        let (head, body) = request.into_parts();
        if head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "POST only\n"));
        }
        let class = head.uri.path().split('/').nth(1).unwrap_or("");
        let class = self.names.classes.iter().position(|c| c == class);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class\n"))?;
        let kind = &self.classes[class];
        let call_id = text(&head.headers, "X-Call-Id").filter(|id| is_id(id));
        let call_id = call_id.ok_or((BAD, "X-Call-Id is missing or can't be read\n"))?.to_string();
        let tenant = match text(&head.headers, "X-Caller") {
            _ if self.names.tenants.is_empty() => Some(0),
            Some(caller) => self.names.tenants.iter().position(|t| t == caller),
            None => None,
        };
        let tenant = tenant.ok_or((BAD, "X-Caller is missing or unknown\n"))?;
        let budget_ms = text(&head.headers, "X-Budget").and_then(budget);
        // No message is of use for longer than its class says.
        let budget_ms =
            budget_ms.ok_or((BAD, "X-Budget is missing or can't be read\n"))?.min(kind.deadline_ms);
        let destination = text(&head.headers, "X-Envelope").and_then(dest);
        let destination = destination.ok_or((BAD, "X-Envelope is missing or has no dest\n"))?;
        let key = text(&head.headers, "Idempotency-Key").filter(|key| is_id(key));
        if kind.effect == Effect::Keyed && key.is_none() {
            return Err((BAD, "Idempotency-Key is missing or can't be read\n"));
        }
        let idempotency_key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
        let order_key = order_key(head.uri.path(), head.uri.query().unwrap_or("")).filter(|_| kind.in_order);
        if order_key.as_ref().is_some_and(|key| key.len() > MOST_ID) {
            return Err((BAD, "the key is too long\n"));
        }
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "64 KiB at most\n"));
        }
        let within = connection.deadline() - BODY_MARGIN;
        let body = tokio::time::timeout_at(within.into(), collect(body, MOST_BODY)).await;
        let body = body.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))?;
        let body = body.map_err(|too_long| match too_long {
            true => (StatusCode::PAYLOAD_TOO_LARGE, "64 KiB at most\n"),
            false => (BAD, "the body can't be read\n"),
        })?;
        let due = self.clock.at(Instant::now()) + budget_ms;
        Ok(Message { call_id, class, tenant, destination, due, order_key, idempotency_key, body })
    }
}

fn plain(status: StatusCode, why: &'static str) -> Reply {
    let mut reply = Response::new(bytes(why));
    *reply.status_mut() = status;
    reply
}

fn refused(retry_after_ms: Option<f64>) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_after_ms.map(|ms| format!("{:.3}", ms.max(0.0) / 1000.0));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// A header that is there once and is plain text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut all = headers.get_all(name).iter();
    let value = all.next()?;
    all.next().is_none().then(|| value.to_str().ok().map(str::trim))?
}

/// `480m` or `480000u`, in milliseconds.
fn budget(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let per_ms = match unit {
        "m" => 1.0,
        "u" => 1000.0,
        _ => return None,
    };
    let digits = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number = number.parse::<f64>().ok().filter(|_| digits)? / per_ms;
    number.is_finite().then_some(number)
}

/// What may stand as an id in a header that is passed on, in the journal and in a notice.
fn is_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MOST_ID && text.bytes().all(|b| b.is_ascii_graphic())
}

/// The number after `dest=`.
fn dest(envelope: &str) -> Option<u64> {
    let mut parts = envelope.split([';', ',', ' ']).map(str::trim);
    parts.find_map(|p| p.strip_prefix("dest="))?.parse().ok()
}

/// The key of a class in order: what follows the class in the path, else `about` in the query.
fn order_key(path: &str, query: &str) -> Option<String> {
    let in_path = path.trim_start_matches('/').split_once('/').map(|(_class, key)| key);
    let in_query = || query.split('&').find_map(|p| p.strip_prefix("about="));
    in_path.filter(|k| !k.is_empty()).or_else(in_query).filter(|k| !k.is_empty()).map(String::from)
}

#[cfg(test)]
mod tests;
