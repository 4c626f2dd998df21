//! Bodies that are read completely into memory.

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A complete body with its trailers.
#[derive(Clone, Debug, Default)]
pub struct Collected {
    data: Bytes,
    trailers: Option<HeaderMap>,
}

impl Collected {
    /// Returns a body of the given bytes and trailers.
    pub fn new(data: Bytes, trailers: Option<HeaderMap>) -> Collected {
        Collected { data, trailers }
    }

    /// Returns the bytes of the body.
    pub fn data(&self) -> &Bytes {
        &self.data
    }

    /// Returns the trailers, if any.
    pub fn trailers(&self) -> Option<&HeaderMap> {
        self.trailers.as_ref()
    }
}

impl Body for Collected {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.data.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.data)))));
        }
        Poll::Ready(self.trailers.take().map(|trailers| Ok(Frame::trailers(trailers))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}

/// Why a body could not be read completely.
#[derive(Debug, PartialEq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLong,
    /// The body ended with an error.
    Broken,
}

/// Reads a complete body of up to `max_bytes` bytes. Needs no async runtime.
pub async fn collect<B>(body: B, max_bytes: usize) -> Result<Collected, BodyError>
where
    B: Body,
{
    let mut body = std::pin::pin!(body);
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let (mut first, mut rest, mut trailers) = (None::<Bytes>, Vec::new(), None::<HeaderMap>);
    while let Some(frame) = std::future::poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
        match frame.map_err(|_| BodyError::Broken)?.into_data() {
            Ok(mut data) => {
                use bytes::Buf;
                let data = data.copy_to_bytes(data.remaining());
                let received = first.as_ref().map_or(0, Bytes::len) + rest.len();
                if received + data.len() > max_bytes {
                    return Err(BodyError::TooLong);
                }
                // A body nearly always has one data frame, which is kept without a copy.
                match first {
                    None => first = Some(data),
                    Some(_) => rest.extend_from_slice(&data),
                }
            }
            Err(frame) => {
                if let Ok(fields) = frame.into_trailers() {
                    trailers.get_or_insert_with(HeaderMap::new).extend(fields);
                }
            }
        }
    }
    let data = match first {
        Some(first) if !rest.is_empty() => [&first[..], &rest[..]].concat().into(),
        first => first.unwrap_or_default(),
    };
    Ok(Collected { data, trailers })
}
