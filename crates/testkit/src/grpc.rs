//! A gRPC partner on loopback that answers as told: over HTTP/2 with prior knowledge, for any method.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// What a partner does with a call.
#[derive(Clone, Debug)]
pub enum GrpcReply {
    /// A message, and `OK` in the trailers.
    Ok(Bytes),
    /// A status in the head, which is all there is, with further fields.
    Alone(u32, Vec<(&'static str, String)>),
    /// A message, and a status in the trailers, with further fields.
    Trailers(Bytes, u32, Vec<(&'static str, String)>),
    /// A message, and then the stream breaks.
    Cut(Bytes),
    /// A message, and the end of the stream without trailers.
    NoTrailers(Bytes),
    /// An HTTP status, and no gRPC.
    Http(u16),
    /// The same as another, so much later.
    Late(Duration, Box<GrpcReply>),
    /// Nothing, for good.
    Silent,
}

/// A call as it came.
#[derive(Clone, Debug)]
pub struct GrpcReceived {
    /// When its message was whole.
    pub at: Instant,
    /// `/package.Service/Method`.
    pub path: String,
    /// Its head.
    pub headers: HeaderMap,
    /// Its message, with the prefix.
    pub body: Bytes,
}

type Script = dyn Fn(&GrpcReceived, usize) -> GrpcReply + Send + Sync;

/// Where it listens and what it heard.
#[derive(Clone)]
pub struct GrpcPartner {
    /// Its address.
    pub address: SocketAddr,
    heard: Arc<Mutex<Vec<GrpcReceived>>>,
}

impl GrpcPartner {
    /// Answers each call by the script, which is told how many came before.
    pub fn new(script: impl Fn(&GrpcReceived, usize) -> GrpcReply + Send + Sync + 'static) -> GrpcPartner {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let partner = GrpcPartner { address: listener.local_addr().unwrap(), heard: Arc::default() };
        let (this, script): (GrpcPartner, Arc<Script>) = (partner.clone(), Arc::new(script));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let listener = tokio::net::TcpListener::from_std(listener).unwrap();
                while let Ok((stream, _)) = listener.accept().await {
                    let _slower_without = stream.set_nodelay(true);
                    tokio::spawn(this.clone().serve(stream, script.clone()));
                }
            });
        });
        partner
    }

    /// All calls so far.
    pub fn received(&self) -> Vec<GrpcReceived> {
        self.heard.lock().unwrap().clone()
    }

    async fn serve(self, stream: tokio::net::TcpStream, script: Arc<Script>) {
        let service = service_fn(move |request: Request<Incoming>| {
            let (this, script) = (self.clone(), script.clone());
            async move {
                let (head, body) = request.into_parts();
                let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
                let path = head.uri.path().to_string();
                let heard = GrpcReceived { at: Instant::now(), path, headers: head.headers, body };
                let place = {
                    let mut all = this.heard.lock().unwrap();
                    all.push(heard.clone());
                    all.len() - 1
                };
                let mut reply = script(&heard, place);
                while let GrpcReply::Late(after, then) = reply {
                    tokio::time::sleep(after).await;
                    reply = *then;
                }
                if matches!(reply, GrpcReply::Silent) {
                    std::future::pending::<()>().await;
                }
                Ok::<_, io::Error>(answer(reply))
            }
        });
        let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        let _client_gone = server.serve_connection(TokioIo::new(stream), service).await;
    }
}

fn fields(status: u32, more: Vec<(&'static str, String)>) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", status.into());
    for (name, value) in more {
        map.insert(name, value.parse().unwrap());
    }
    map
}

/// A message with its prefix: not compressed, four bytes of length.
pub fn message(data: &[u8]) -> Bytes {
    let mut all = vec![0];
    all.extend_from_slice(&(data.len() as u32).to_be_bytes());
    all.extend_from_slice(data);
    all.into()
}

fn answer(reply: GrpcReply) -> Response<Frames> {
    let mut answer = Response::new(Frames::default());
    answer.headers_mut().insert("content-type", "application/grpc".parse().unwrap());
    let frames = &mut answer.body_mut().0;
    match reply {
        GrpcReply::Ok(data) => {
            frames.extend([Ok(Frame::data(message(&data))), Ok(Frame::trailers(fields(0, Vec::new())))]);
        }
        GrpcReply::Trailers(data, status, more) => {
            frames.extend([Ok(Frame::data(message(&data))), Ok(Frame::trailers(fields(status, more)))]);
        }
        GrpcReply::Cut(data) => {
            frames.extend([Ok(Frame::data(message(&data))), Err(io::Error::other("cut off"))]);
        }
        GrpcReply::NoTrailers(data) => frames.push_back(Ok(Frame::data(message(&data)))),
        GrpcReply::Alone(status, more) => answer.headers_mut().extend(fields(status, more)),
        GrpcReply::Http(status) => *answer.status_mut() = status.try_into().unwrap(),
        GrpcReply::Late(..) | GrpcReply::Silent => unreachable!("waited for before"),
    }
    answer
}

/// A body of frames.
#[derive(Default)]
struct Frames(VecDeque<io::Result<Frame<Bytes>>>);

impl hyper::body::Body for Frames {
    type Data = Bytes;
    type Error = io::Error;
    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Poll::Ready(self.0.pop_front())
    }
    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }
    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
