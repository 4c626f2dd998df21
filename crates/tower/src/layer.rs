//! The relay as a [`Layer`] over a service that calls hosts directly.

use crate::body::Collected;
use crate::client::Client;
use crate::options::CallOptions;
use http::{Request, Response};
use http_body::Body;
use http_body_util::Either;
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tower_layer::Layer;
use tower_service::Service;

/// Layer that sends a call through the relay if the call has [`CallOptions`] or its path is in the relay's
/// table of methods. All other calls, such as streams, go unchanged to the inner service.
#[derive(Clone)]
pub struct RelayLayer(Client);

impl RelayLayer {
    /// Returns a layer that uses the given relay.
    pub fn new(client: Client) -> RelayLayer {
        RelayLayer(client)
    }
}

impl<S> Layer<S> for RelayLayer {
    type Service = Through<S>;
    fn layer(&self, direct: S) -> Through<S> {
        Through { relay: self.0.clone(), direct }
    }
}

/// Service made by [`RelayLayer`]: calls the relay or the inner service.
#[derive(Clone)]
pub struct Through<S> {
    relay: Client,
    direct: S,
}

type BoxError = Box<dyn Error + Send + Sync>;
type BoxFuture<T> = Pin<Box<dyn Future<Output = Result<T, BoxError>> + Send>>;

impl<S, B, A> Service<Request<B>> for Through<S>
where
    S: Service<Request<B>, Response = Response<A>>,
    S::Future: Send + 'static,
    S::Error: Into<BoxError>,
    B: Body + Send + 'static,
    B::Data: Send,
{
    type Response = Response<Either<Collected, A>>;
    type Error = BoxError;
    type Future = BoxFuture<Self::Response>;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), BoxError>> {
        // The request, and so its way, is not known yet. The relay is always ready.
        self.direct.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let relayed = request.extensions().get::<CallOptions>().is_some();
        if relayed || self.relay.knows(request.uri().path()) {
            let call = Service::call(&mut self.relay, request);
            return Box::pin(async move { Ok(call.await?.map(Either::Left)) });
        }
        let call = self.direct.call(request);
        Box::pin(async move { call.await.map(|response| response.map(Either::Right)).map_err(Into::into) })
    }
}
