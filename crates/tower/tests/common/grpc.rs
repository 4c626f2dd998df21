//! Unary tonic calls with plain bytes as messages, over the plug-in or a plain channel, without generated
//! code.
use bytes::{Buf, BufMut, Bytes};
use mulleinslip_testkit::grpc::GrpcPartner;
use mulleinslip_tower::{Collected, Host};
use std::task::{Context, Poll};
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::transport::{Channel, Endpoint};

/// Codec that sends and returns messages as bytes, unchanged.
#[derive(Clone, Default)]
pub struct BytesCodec;

impl Codec for BytesCodec {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = BytesCodec;
    type Decoder = BytesCodec;
    fn encoder(&mut self) -> BytesCodec {
        BytesCodec
    }
    fn decoder(&mut self) -> BytesCodec {
        BytesCodec
    }
}

impl Encoder for BytesCodec {
    type Item = Bytes;
    type Error = tonic::Status;
    fn encode(&mut self, item: Bytes, to: &mut EncodeBuf) -> Result<(), tonic::Status> {
        to.put(item);
        Ok(())
    }
}

impl Decoder for BytesCodec {
    type Item = Bytes;
    type Error = tonic::Status;
    fn decode(&mut self, from: &mut DecodeBuf) -> Result<Option<Bytes>, tonic::Status> {
        Ok(Some(from.copy_to_bytes(from.remaining())))
    }
}

/// Returns a channel that connects at the first call.
pub fn channel(authority: &str) -> Channel {
    Endpoint::from_shared(format!("http://{authority}")).unwrap().tcp_nodelay(true).connect_lazy()
}

/// A tonic channel as a service that the plug-in can call.
#[derive(Clone)]
pub struct ChannelService(Channel);

impl tower_service::Service<http::Request<Collected>> for ChannelService {
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

/// Returns the service for a host, for `Builder::start`.
pub fn connect(host: &Host) -> ChannelService {
    ChannelService(channel(&host.authority))
}

/// Returns a host that is served by the partner.
pub fn host(name: &str, destination: u64, partner: &GrpcPartner) -> Host {
    Host::new(name, destination, partner.address.to_string())
}

/// Makes one unary call over the plug-in or a channel.
pub async fn unary<S>(
    service: S, path: &'static str, message: Bytes, options: Option<mulleinslip_tower::CallOptions>,
) -> Result<tonic::Response<Bytes>, tonic::Status>
where
    S: tonic::client::GrpcService<tonic::body::Body>,
    S::ResponseBody: http_body::Body<Data = Bytes> + Send + 'static,
    <S::ResponseBody as http_body::Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send,
{
    let mut grpc = tonic::client::Grpc::new(service);
    grpc.ready().await.map_err(|e| tonic::Status::unknown(e.into().to_string()))?;
    let mut request = tonic::Request::new(message);
    options.into_iter().for_each(|options| drop(request.extensions_mut().insert(options)));
    grpc.unary(request, http::uri::PathAndQuery::from_static(path), BytesCodec).await
}
