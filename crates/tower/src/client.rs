//! The caller's side.

use crate::body::{collect, Collected, NotWhole};
use crate::error::Error;
use crate::front::{Answer, Counted, End, Place, Ticket, COME_AGAIN};
use crate::options::{CallOptions, Methods};
use crate::protocol::Protocol;
use crate::stored;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use linenhall::{Class, Effect};
use mulleinslip_engine::{Message, Names};
use mulleinslip_runtime::Clock;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tower_service::Service;

/// The longest id or key.
const MOST_ID: usize = 256;
/// The engine's queue, whatever its carrier is.
pub trait Queue: Send + Sync {
    fn submit(&self, message: Box<Message>, ticket: Ticket) -> bool;
    fn withdraw(&self, id: u64);
}

pub struct Shared {
    pub queue: Box<dyn Queue>,
    pub names: Names,
    pub classes: Vec<Class>,
    pub methods: Methods,
    pub protocol: Protocol,
    pub clock: Clock,
    pub most_request: usize,
    /// Calls that may wait for an end at once: each holds its request in memory.
    pub most_waiting: usize,
    pub waiting: Arc<AtomicUsize>,
    /// What makes ids of this process differ from those of others.
    pub prefix: u128,
    pub made: AtomicU64,
}

/// The relay as a service. A clone is another handle of the same relay.
#[derive(Clone)]
pub struct Client(pub(crate) Arc<Shared>);

/// One call that waits. Dropped before its end it withdraws the call.
struct Waiting<'a> {
    shared: &'a Shared,
    place: Place,
    over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.place.leave().into_iter().for_each(|id| self.shared.queue.withdraw(id));
        }
    }
}

impl Client {
    /// Whether a path stands in the table of methods.
    pub fn knows(&self, path: &str) -> bool {
        self.0.methods.of(path).is_some()
    }

    /// Makes a call, as options in the request's extensions and the table by path say. The future needs no runtime.
    ///
    /// If the future is dropped, the call is withdrawn: an attempt that is out is called off, and may have run.
    ///
    /// # Errors
    /// See [`Error`]; each call has exactly one end.
    pub async fn send<B: Body>(&self, request: Request<B>) -> Result<Answer, Error> {
        let shared = &*self.0;
        // Counted first, so that a flood is refused before its bodies are read.
        let Some(counted) = Counted::new(&shared.waiting, shared.most_waiting) else {
            return Err(Error::Refused { retry_after: Some(COME_AGAIN), may_have_run: false, last: None });
        };
        let message = shared.message(request).await?;
        let (end, ended) = oneshot::channel::<End>();
        let place = Place::default();
        let ticket = Ticket { place: place.clone(), end, _counted: counted };
        if !shared.queue.submit(Box::new(message), ticket) {
            return Err(Error::Stopped { taken: false });
        }
        let mut waiting = Waiting { shared, place: place.clone(), over: false };
        let end = ended.await;
        waiting.over = true;
        end.unwrap_or_else(|_| Err(Error::Stopped { taken: place.taken() }))
    }
}

impl Shared {
    async fn message<B: Body>(&self, request: Request<B>) -> Result<Message, Error> {
        let (mut parts, body) = request.into_parts();
        let own = parts.extensions.remove::<CallOptions>().unwrap_or_default();
        let options = own.or(self.methods.of(parts.uri.path()));
        let class = options.class.as_deref().ok_or(Error::BadCall("no class is given for it"))?;
        let class = self.names.classes.iter().position(|c| c == class);
        let class = class.ok_or(Error::BadCall("there is no such class"))?;
        let kind = self.classes.get(class).ok_or(Error::BadCall("there is no such class"))?;
        let tenant = match &options.tenant {
            None => Some(0),
            Some(name) => self.names.tenants.iter().position(|t| t == name),
        };
        let tenant = tenant.ok_or(Error::BadCall("there is no such tenant"))?;
        let destination = options.destination.ok_or(Error::BadCall("no destination is given for it"))?;
        if kind.effect == Effect::Keyed && options.key.is_none() {
            return Err(Error::BadCall("its class needs a key"));
        }
        let ids = [&options.key, &options.call_id, &options.order_key];
        if ids.into_iter().flatten().any(|id| id.is_empty() || id.len() > MOST_ID) {
            return Err(Error::BadCall("an id or key is empty or too long"));
        }
        let plain = |id: &String| id.bytes().all(|b| b.is_ascii_graphic());
        if !options.key.iter().chain(&options.call_id).all(plain) {
            return Err(Error::BadCall("an id or key is not plain text"));
        }
        let body = collect(body, self.most_request).await.map_err(|e| match e {
            NotWhole::TooLong => Error::BadCall("its body is too long"),
            NotWhole::Broken => Error::BadCall("its body broke off"),
        })?;
        let most = Duration::from_secs_f64(kind.deadline_ms.clamp(0.0, 1e9) / 1000.0);
        let budget = options.budget.unwrap_or(most).min(most);
        let stored = stored::encode(&parts, body.data()).ok_or(Error::BadCall("it can't be stored"))?;
        Ok(Message {
            call_id: options.call_id.unwrap_or_else(|| self.id()),
            class,
            tenant,
            destination,
            due: self.clock.now() + budget.as_secs_f64() * 1000.0,
            order_key: options.order_key.filter(|_| kind.in_order),
            idempotency_key: options.key.map(Into::into),
            body: stored,
        })
    }

    fn id(&self) -> String {
        format!("{:032x}-{:x}", self.prefix, self.made.fetch_add(1, Ordering::Relaxed))
    }
}

impl<B> Service<Request<B>> for Client
where
    B: Body + Send + 'static,
    B::Data: Send,
{
    type Response = Response<Collected>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Collected>, Error>> + Send>>;

    /// Always: overload is refused at once by the call itself, with when to come back.
    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    /// With [`Protocol::Grpc`] an end without a partner's answer comes as a gRPC status, see [`grpc_status`].
    fn call(&mut self, request: Request<B>) -> Self::Future {
        let client = self.clone();
        Box::pin(async move {
            match client.send(request).await {
                Err(e) if client.0.protocol == Protocol::Grpc => Ok(grpc_status(e)),
                other => other,
            }
        })
    }
}

/// An error as gRPC clients expect it. Where a partner answered last, its own answer stands, with the two fields
/// below added.
///
/// | end | status | `grpc-retry-pushback-ms` |
/// | --- | --- | --- |
/// | refused, it did not run | `UNAVAILABLE` | when to come back, if told |
/// | refused, it may have run | `UNKNOWN` | -1: not to be sent again blindly |
/// | failed, it may have run | `DEADLINE_EXCEEDED` | -1 |
/// | failed, it did not run | `DEADLINE_EXCEEDED` | |
/// | a call that can't be taken | `INVALID_ARGUMENT` | -1 |
/// | shut down | `UNAVAILABLE`; `UNKNOWN` if it had been taken on | |
///
/// Each carries `mulleinslip-end` (`refused`, `failed`, `bad-call`, `stopped`) and `mulleinslip-may-have-run`
/// (`true`, `false`).
fn grpc_status(error: Error) -> Response<Collected> {
    let ran = error.may_have_run();
    let words = error.to_string();
    let (end, status, pushback, last) = match error {
        Error::Refused { retry_after, last, .. } => {
            let after = retry_after.map(|a| a.as_millis().min(i32::MAX as u128) as i64);
            ("refused", if ran { 2 } else { 14 }, if ran { Some(-1) } else { after }, last)
        }
        Error::Failed { last, .. } => ("failed", 4, ran.then_some(-1), last),
        Error::BadCall(_) => ("bad-call", 3, Some(-1), None),
        Error::Stopped { .. } => ("stopped", if ran { 2 } else { 14 }, None, None),
    };
    let words = HeaderValue::from_str(&words).unwrap_or(HeaderValue::from_static("not delivered"));
    // A partner's answer stands where it has a status; its pushback doesn't, as it is not up to the partner any more.
    let last = last.filter(|a| a.status() == StatusCode::OK).map(|a| *a);
    let (mut answer, fields) = match last.map(Response::into_parts) {
        Some((head, body)) if body.trailers().is_some_and(|t| t.contains_key("grpc-status")) => {
            let fields = body.trailers().cloned().unwrap_or_default();
            (Response::from_parts(head, body), Some(fields))
        }
        Some((head, body)) if head.headers.contains_key("grpc-status") && body.data().is_empty() => {
            (Response::from_parts(head, body), None)
        }
        _ => {
            let mut answer = Response::new(Collected::default());
            let headers = answer.headers_mut();
            headers.insert("content-type", HeaderValue::from_static("application/grpc"));
            headers.insert("grpc-status", HeaderValue::from(status));
            headers.insert("grpc-message", words);
            (answer, None)
        }
    };
    let ran = HeaderValue::from_static(if ran { "true" } else { "false" });
    let put = |fields: &mut HeaderMap| {
        fields.insert("mulleinslip-end", HeaderValue::from_static(end));
        fields.insert("mulleinslip-may-have-run", ran);
        fields.remove("grpc-retry-pushback-ms");
        pushback
            .into_iter()
            .for_each(|ms| _ = fields.insert("grpc-retry-pushback-ms", HeaderValue::from(ms)));
    };
    match fields {
        None => put(answer.headers_mut()),
        Some(mut trailers) => {
            put(&mut trailers);
            let data = answer.body().data().clone();
            *answer.body_mut() = Collected::new(data, Some(trailers));
        }
    }
    answer
}
