//! Clients: reads and checks what they hand in, and answers at once. Nothing here trusts what it reads.

use crate::config::Names;
use crate::conn::{bytes, collect, Body};
use crate::driver::Happened;
use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use linenhall::{Class, Effect};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch, Semaphore};

const MOST_BODY: usize = 64 * 1024;
const MOST_ID: usize = 256;
/// A client that takes longer for a head, or leaves its connection idle for longer, is let go.
const HEAD: Duration = Duration::from_secs(30);
const BODY: Duration = Duration::from_secs(5);
/// The longest budget that is believed.
const MOST_BUDGET_MS: f64 = 86_400_000.0;

/// A message as a client hands it in, checked.
pub struct Handed {
    pub call_id: String,
    pub class: usize,
    pub tenant: usize,
    pub dest: u64,
    pub budget_ms: f64,
    pub order_key: Option<String>,
    pub idempotency_key: Option<Bytes>,
    pub body: Bytes,
    /// When its last byte was read.
    pub read_at: Instant,
}

/// What a client is told.
#[derive(Debug)]
pub enum Answer {
    Taken,
    Refused { retry_after_ms: Option<f64> },
    Failed,
}

/// What all client connections share.
pub struct Intake {
    pub names: Names,
    pub classes: Vec<Class>,
    pub events: UnboundedSender<Happened>,
    /// After SIGTERM nothing new is taken on, and connections are not kept.
    pub stopping: Cell<bool>,
    pub most_connections: usize,
}

type Reply = Response<Body>;
/// Why a request can't be taken: the status and a plain line.
type Bad = (StatusCode, &'static str);

impl Intake {
    /// Accepts connections for good. `close` ends those that stand idle.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, close: watch::Receiver<bool>) {
        let places = Arc::new(Semaphore::new(self.most_connections));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    eprintln!("mulleinslip: accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let _slower_without = stream.set_nodelay(true);
            let (intake, mut close) = (self.clone(), close.clone());
            tokio::task::spawn_local(async move {
                let _place = place;
                let service = service_fn(|request| intake.request(request));
                let mut server = http1::Builder::new();
                server.timer(TokioTimer::new()).header_read_timeout(HEAD).max_buf_size(MOST_BODY);
                let mut conn = std::pin::pin!(server.serve_connection(TokioIo::new(stream), service));
                // What comes after idle connections were closed may be a request that crossed the close, sent
                // once more: it is answered, not closed on.
                let late = *close.borrow();
                tokio::select! {
                    _client_gone = conn.as_mut() => return,
                    Ok(_) = close.wait_for(|close| *close), if !late => {}
                }
                // Ends it after the request that has been read, or at once if there is none.
                conn.as_mut().graceful_shutdown();
                let _client_gone = conn.await;
            });
        }
    }

    async fn request(&self, request: Request<Incoming>) -> Result<Reply, Infallible> {
        let health = request.uri().path() == "/_health";
        let mut reply = if health {
            match *request.method() {
                // Nobody new should come here any more.
                _ if self.stopping.get() => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
                Method::GET | Method::HEAD => plain(StatusCode::OK, ""),
                _ => plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
            }
        } else {
            match self.read(request).await {
                Ok(handed) => self.hand_in(handed).await,
                Err((status, why)) => plain(status, why),
            }
        };
        if self.stopping.get() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    async fn hand_in(&self, handed: Handed) -> Reply {
        let (answer, answered) = oneshot::channel();
        // If this request's connection ends first, `answered` is dropped, and the driver leaves the message.
        let _stopped = self.events.send(Happened::Handed(Box::new(handed), answer));
        match answered.await {
            Ok(Answer::Taken) => plain(StatusCode::ACCEPTED, ""),
            Ok(Answer::Failed) => plain(StatusCode::INTERNAL_SERVER_ERROR, "not delivered\n"),
            Ok(Answer::Refused { retry_after_ms }) => refused(retry_after_ms),
            Err(_) => refused(None),
        }
    }

    /// Reads a request whole and checks it.
    async fn read(&self, request: Request<Incoming>) -> Result<Handed, Bad> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        let (head, body) = request.into_parts();
        if head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "POST only\n"));
        }
        let class = head.uri.path().split('/').nth(1).unwrap_or("");
        let class = self.names.classes.iter().position(|c| c == class);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class\n"))?;
        let kind = &self.classes[class];
        let call_id = text(&head.headers, "X-Call-Id").filter(|id| !id.is_empty() && id.len() <= MOST_ID);
        let call_id = call_id.ok_or((BAD, "X-Call-Id is missing or can't be read\n"))?.to_string();
        let tenant = match text(&head.headers, "X-Caller") {
            _ if self.names.tenants.is_empty() => Some(0),
            Some(caller) => self.names.tenants.iter().position(|t| t == caller),
            None => None,
        };
        let tenant = tenant.ok_or((BAD, "X-Caller is missing or unknown\n"))?;
        let budget_ms = text(&head.headers, "X-Budget").and_then(budget);
        let budget_ms = budget_ms.ok_or((BAD, "X-Budget is missing or can't be read\n"))?;
        let dest = text(&head.headers, "X-Envelope").and_then(dest);
        let dest = dest.ok_or((BAD, "X-Envelope is missing or has no dest\n"))?;
        let idempotency_key =
            head.headers.get("Idempotency-Key").map(|v| Bytes::copy_from_slice(v.as_bytes()));
        if kind.effect == Effect::Keyed && idempotency_key.as_ref().is_none_or(|k| k.is_empty()) {
            return Err((BAD, "Idempotency-Key is missing\n"));
        }
        let order_key = order_key(head.uri.query().unwrap_or("")).filter(|_| kind.in_order);
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "64 KiB at most\n"));
        }
        let body = tokio::time::timeout(BODY, collect(body, MOST_BODY)).await;
        let body = body.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))?;
        let body = body.map_err(|too_long| match too_long {
            true => (StatusCode::PAYLOAD_TOO_LARGE, "64 KiB at most\n"),
            false => (BAD, "the body can't be read\n"),
        })?;
        let read_at = Instant::now();
        Ok(Handed { call_id, class, tenant, dest, budget_ms, order_key, idempotency_key, body, read_at })
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
    (number.is_finite() && number <= MOST_BUDGET_MS).then_some(number)
}

/// The number after `dest=`.
fn dest(envelope: &str) -> Option<u64> {
    let mut parts = envelope.split([';', ',', ' ']).map(str::trim);
    parts.find_map(|p| p.strip_prefix("dest="))?.parse().ok()
}

/// The key of a class in order: `about` in the query.
fn order_key(query: &str) -> Option<String> {
    let mut parts = query.split('&');
    parts.find_map(|p| p.strip_prefix("about=")).filter(|k| !k.is_empty()).map(String::from)
}
