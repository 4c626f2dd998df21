//! A gRPC partner on loopback, which answers calls of any method as a script says, over HTTP/2 with prior
//! knowledge.

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

/// What the partner does with a call.
#[derive(Clone, Debug)]
pub enum GrpcReply {
    /// Sends a message, and status `OK` in the trailers.
    Ok(Bytes),
    /// Sends a status in the headers ("Trailers-Only" in gRPC), with further fields and no message.
    Alone(u32, Vec<(&'static str, String)>),
    /// Sends a message, and a status in the trailers, with further fields.
    Trailers(Bytes, u32, Vec<(&'static str, String)>),
    /// Sends a message, then resets the stream.
    Cut(Bytes),
    /// Sends a message, and ends the stream without trailers.
    NoTrailers(Bytes),
    /// Sends an HTTP status without a gRPC status.
    Http(u16),
    /// Sends another reply after a delay.
    Late(Duration, Box<GrpcReply>),
    /// Never answers.
    Silent,
}

/// A call as the partner received it.
#[derive(Clone, Debug)]
pub struct GrpcReceived {
    /// When its message was received in full.
    pub at: Instant,
    /// `/package.Service/Method`.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its message, with the gRPC prefix.
    pub body: Bytes,
}

type Script = dyn Fn(&GrpcReceived, usize) -> GrpcReply + Send + Sync;

/// A scripted gRPC partner.
#[derive(Clone)]
pub struct GrpcPartner {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<GrpcReceived>>>,
}

impl GrpcPartner {
    /// Starts a partner. The script gets each call and the number of calls before it, and returns the reply.
    pub fn new(script: impl Fn(&GrpcReceived, usize) -> GrpcReply + Send + Sync + 'static) -> GrpcPartner {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let partner = GrpcPartner { address: listener.local_addr().unwrap(), calls: Arc::default() };
        let (this, script): (GrpcPartner, Arc<Script>) = (partner.clone(), Arc::new(script));
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let listener = tokio::net::TcpListener::from_std(listener).unwrap();
                while let Ok((stream, _)) = listener.accept().await {
                    let _ignored = stream.set_nodelay(true);
                    tokio::spawn(this.clone().serve(stream, script.clone()));
                }
            });
        });
        partner
    }

    /// Returns all calls so far.
    pub fn received(&self) -> Vec<GrpcReceived> {
        self.calls.lock().unwrap().clone()
    }

    async fn serve(self, stream: tokio::net::TcpStream, script: Arc<Script>) {
        let service = service_fn(move |request: Request<Incoming>| {
            let (this, script) = (self.clone(), script.clone());
            async move {
                let (head, body) = request.into_parts();
                let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
                let path = head.uri.path().to_string();
                let call = GrpcReceived { at: Instant::now(), path, headers: head.headers, body };
                let earlier_calls = {
                    let mut all = this.calls.lock().unwrap();
                    all.push(call.clone());
                    all.len() - 1
                };
                let mut reply = script(&call, earlier_calls);
                while let GrpcReply::Late(delay, next) = reply {
                    tokio::time::sleep(delay).await;
                    reply = *next;
                }
                if matches!(reply, GrpcReply::Silent) {
                    std::future::pending::<()>().await;
                }
                Ok::<_, io::Error>(to_response(reply))
            }
        });
        let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        let _connection_ended = server.serve_connection(TokioIo::new(stream), service).await;
    }
}

/// Returns the fields of a gRPC status, with further ones.
fn status_fields(status: u32, further: Vec<(&'static str, String)>) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", status.into());
    for (name, value) in further {
        map.insert(name, value.parse().unwrap());
    }
    map
}

/// Returns a message with the gRPC prefix: a zero byte for "not compressed", and four bytes of length.
pub fn message(data: &[u8]) -> Bytes {
    let mut framed = vec![0];
    framed.extend_from_slice(&(data.len() as u32).to_be_bytes());
    framed.extend_from_slice(data);
    framed.into()
}

fn to_response(reply: GrpcReply) -> Response<Frames> {
    let mut response = Response::new(Frames::default());
    response.headers_mut().insert("content-type", "application/grpc".parse().unwrap());
    let frames = &mut response.body_mut().0;
    match reply {
        GrpcReply::Ok(data) => {
            frames
                .extend([Ok(Frame::data(message(&data))), Ok(Frame::trailers(status_fields(0, Vec::new())))]);
        }
        GrpcReply::Trailers(data, status, further) => {
            frames.extend([
                Ok(Frame::data(message(&data))),
                Ok(Frame::trailers(status_fields(status, further))),
            ]);
        }
        GrpcReply::Cut(data) => {
            frames.extend([
                Ok(Frame::data(message(&data))),
                Err(io::Error::other("stream reset by the script")),
            ]);
        }
        GrpcReply::NoTrailers(data) => frames.push_back(Ok(Frame::data(message(&data)))),
        GrpcReply::Alone(status, further) => response.headers_mut().extend(status_fields(status, further)),
        GrpcReply::Http(status) => *response.status_mut() = status.try_into().unwrap(),
        GrpcReply::Late(..) | GrpcReply::Silent => unreachable!("replaced or waited for in `serve`"),
    }
    response
}

/// A response body made of prepared frames.
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
