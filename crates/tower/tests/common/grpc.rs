//! tonic over the plug-in, and plainly: unary calls of bytes, without generated code.
use bytes::{Buf, BufMut, Bytes};
use mulleinslip_testkit::grpc::GrpcPartner;
use mulleinslip_tower::{Collected, Host};
use std::task::{Context, Poll};
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::transport::{Channel, Endpoint};

#[derive(Clone, Default)]
pub struct Raw;

impl Codec for Raw {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = Raw;
    type Decoder = Raw;
    fn encoder(&mut self) -> Raw {
        Raw
    }
    fn decoder(&mut self) -> Raw {
        Raw
    }
}

impl Encoder for Raw {
    type Item = Bytes;
    type Error = tonic::Status;
    fn encode(&mut self, item: Bytes, to: &mut EncodeBuf) -> Result<(), tonic::Status> {
        to.put(item);
        Ok(())
    }
}

impl Decoder for Raw {
    type Item = Bytes;
    type Error = tonic::Status;
    fn decode(&mut self, from: &mut DecodeBuf) -> Result<Option<Bytes>, tonic::Status> {
        Ok(Some(from.copy_to_bytes(from.remaining())))
    }
}

pub fn channel(authority: &str) -> Channel {
    Endpoint::from_shared(format!("http://{authority}")).unwrap().tcp_nodelay(true).connect_lazy()
}

/// A channel as the plug-in calls it.
#[derive(Clone)]
pub struct Below(Channel);

impl tower_service::Service<http::Request<Collected>> for Below {
    type Response = http::Response<tonic::body::Body>;
    type Error = tonic::transport::Error;
    type Future = <Channel as tower_service::Service<http::Request<tonic::body::Body>>>::Future;
    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Self::Error>> {
        tower_service::Service::poll_ready(&mut self.0, cx)
    }
    fn call(&mut self, request: http::Request<Collected>) -> Self::Future {
        tower_service::Service::call(&mut self.0, request.map(tonic::body::Body::new))
    }
}

pub fn connect(host: &Host) -> Below {
    Below(channel(&host.authority))
}

pub fn host(name: &str, dest: u64, partner: &GrpcPartner) -> Host {
    Host::new(name, dest, partner.address.to_string())
}

/// One unary call, over the plug-in or over a channel.
pub async fn unary<S>(
    service: S, path: &'static str, message: Bytes, extension: Option<mulleinslip_tower::CallOptions>,
) -> Result<tonic::Response<Bytes>, tonic::Status>
where
    S: tonic::client::GrpcService<tonic::body::Body>,
    S::ResponseBody: http_body::Body<Data = Bytes> + Send + 'static,
    <S::ResponseBody as http_body::Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send,
{
    let mut grpc = tonic::client::Grpc::new(service);
    grpc.ready().await.map_err(|e| tonic::Status::unknown(e.into().to_string()))?;
    let mut request = tonic::Request::new(message);
    extension.into_iter().for_each(|e| drop(request.extensions_mut().insert(e)));
    grpc.unary(request, http::uri::PathAndQuery::from_static(path), Raw).await
}
