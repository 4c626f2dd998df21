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
mod tests {
    use super::*;

    #[test]
    fn a_request_comes_back_as_it_was() {
        let request = Request::post("http://x/orders.Orders/Place?a=b")
            .header("te", "trailers")
            .header("twice", "1")
            .header("twice", "2");
        let (parts, ()) = request.body(()).unwrap().into_parts();
        let bytes = encode(&parts, &Bytes::from_static(b"\0\0\0\0\x02ab")).unwrap();
        let back = decode(&bytes, "https", "host:81").unwrap();
        assert_eq!(back.uri(), "https://host:81/orders.Orders/Place?a=b");
        assert_eq!(back.method(), Method::POST);
        assert_eq!(back.headers(), &parts.headers);
        assert_eq!(&back.body().data()[..], b"\0\0\0\0\x02ab");
        for cut in 0..bytes.len() {
            assert!(decode(&bytes.slice(..cut), "http", "h").is_none(), "cut at {cut}");
        }
    }
}
