//! A request as the folder keeps it: with it, another process can make the call.

use crate::body::Collected;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Uri};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Stored<'a> {
    method: &'a str,
    path: &'a str,
    #[serde(borrow)]
    headers: Vec<(&'a str, &'a [u8])>,
    body: &'a [u8],
}

/// The request in bytes.
pub fn encode(parts: &http::request::Parts, body: &Bytes) -> Option<Bytes> {
    let stored = Stored {
        method: parts.method.as_str(),
        path: parts.uri.path_and_query().map_or("/", |p| p.as_str()),
        headers: parts.headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect(),
        body,
    };
    postcard::to_stdvec(&stored).ok().map(Bytes::from)
}

/// The request again, for a host. `None` if the bytes are not such a request.
pub fn decode(bytes: &Bytes, scheme: &str, authority: &str) -> Option<Request<Collected>> {
    let stored: Stored = postcard::from_bytes(bytes).ok()?;
    let uri = Uri::builder().scheme(scheme).authority(authority).path_and_query(stored.path).build().ok()?;
    let body = Collected::new(bytes.slice_ref(stored.body), None);
    let mut request = Request::new(body);
    *request.method_mut() = Method::from_bytes(stored.method.as_bytes()).ok()?;
    *request.uri_mut() = uri;
    for (name, value) in stored.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        request.headers_mut().append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(request)
}

#[cfg(test)]
mod tests;
