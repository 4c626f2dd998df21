//! Bodies held whole.

use bytes::Bytes;
use http::HeaderMap;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that came whole, and its trailers.
#[derive(Clone, Debug, Default)]
pub struct Collected {
    data: Bytes,
    trailers: Option<HeaderMap>,
}

impl Collected {
    /// A body of these bytes.
    pub fn new(data: Bytes, trailers: Option<HeaderMap>) -> Collected {
        Collected { data, trailers }
    }

    /// Its bytes.
    pub fn data(&self) -> &Bytes {
        &self.data
    }

    /// Its trailers, if there are some.
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
        Poll::Ready(self.trailers.take().map(|t| Ok(Frame::trailers(t))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.len() as u64)
    }
}

/// Why a body is not there.
#[derive(Debug, PartialEq)]
pub enum NotWhole {
    /// It is longer than it may be.
    TooLong,
    /// It broke off.
    Broken,
}

/// Reads a body whole, `most` bytes of it at most. Needs no runtime of its own.
pub async fn collect<B>(body: B, most: usize) -> Result<Collected, NotWhole>
where
    B: Body,
{
    let mut body = std::pin::pin!(body);
    if body.size_hint().lower() > most as u64 {
        return Err(NotWhole::TooLong);
    }
    let (mut first, mut all, mut trailers) = (None::<Bytes>, Vec::new(), None::<HeaderMap>);
    while let Some(frame) = std::future::poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
        match frame.map_err(|_| NotWhole::Broken)?.into_data() {
            Ok(mut data) => {
                use bytes::Buf;
                let data = data.copy_to_bytes(data.remaining());
                let had = first.as_ref().map_or(0, Bytes::len) + all.len();
                if had + data.len() > most {
                    return Err(NotWhole::TooLong);
                }
                // One piece, as almost always, is kept as it is.
                match first {
                    None => first = Some(data),
                    Some(_) => all.extend_from_slice(&data),
                }
            }
            Err(frame) => {
                if let Ok(more) = frame.into_trailers() {
                    trailers.get_or_insert_with(HeaderMap::new).extend(more);
                }
            }
        }
    }
    let data = match first {
        Some(first) if !all.is_empty() => [&first[..], &all[..]].concat().into(),
        first => first.unwrap_or_default(),
    };
    Ok(Collected { data, trailers })
}
