//! The form in which the state folder keeps a request, so that another process can send it.

use crate::body::Collected;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Uri};
use serde::{Deserialize, Serialize};

/// Encoded with postcard, which identifies fields by their order: the order and the types must not change.
#[derive(Serialize, Deserialize)]
struct StoredRequest<'a> {
    method: &'a str,
    path: &'a str,
    #[serde(borrow)]
    headers: Vec<(&'a str, &'a [u8])>,
    body: &'a [u8],
}

/// Returns the request in its stored form, or `None` if it can't be encoded.
pub fn encode(parts: &http::request::Parts, body: &Bytes) -> Option<Bytes> {
    let stored = StoredRequest {
        method: parts.method.as_str(),
        path: parts.uri.path_and_query().map_or("/", |p| p.as_str()),
        headers: parts.headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect(),
        body,
    };
    postcard::to_stdvec(&stored).ok().map(Bytes::from)
}

/// Restores a request for the given host from its stored form. Returns `None` if the bytes are not a valid
/// request.
pub fn decode(bytes: &Bytes, scheme: &str, authority: &str) -> Option<Request<Collected>> {
    let stored: StoredRequest = postcard::from_bytes(bytes).ok()?;
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
