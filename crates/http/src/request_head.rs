//! Parses the head of a client's request for its framing, of which hyper doesn't report all.

use crate::conn::MAX_BODY_BYTES;

/// Maximum number of headers, the same as hyper's.
const MAX_HEADERS: usize = 100;

/// How a request is framed.
pub enum ParsedHead {
    /// The head is not complete.
    Incomplete,
    /// Not a valid head.
    Malformed,
    /// The length of the body is ambiguous.
    Ambiguous,
    /// A head of this length; the body is chunked.
    Chunked(usize),
    /// A head and a body of known length.
    Sized {
        /// Length of the head.
        head_bytes: usize,
        /// Length of the body.
        body_bytes: u64,
        /// Whether the client may wait for an answer before it sends the body: it asks whether it may, or the body
        /// is larger than any that is accepted.
        needs_early_answer: bool,
    },
}

/// Parses the head at the start of `bytes` and determines the length of the body. If a request has both
/// `Transfer-Encoding` and `Content-Length`, hyper uses the first and removes the second, so the service
/// could not detect the conflict.
pub fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return ParsedHead::Incomplete,
        Err(_) => return ParsedHead::Malformed,
    };
    let all = |name: &'static str| {
        request
            .headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value.trim_ascii())
    };
    let (mut lengths, mut encodings) = (all("Content-Length"), all("Transfer-Encoding"));
    let sized = |body_bytes: u64| {
        let needs_early_answer = body_bytes > MAX_BODY_BYTES as u64 || all("Expect").next().is_some();
        ParsedHead::Sized { head_bytes: length, body_bytes, needs_early_answer }
    };
    match (lengths.next(), encodings.next()) {
        _ if lengths.next().is_some() || encodings.next().is_some() => ParsedHead::Ambiguous,
        (Some(_), Some(_)) => ParsedHead::Ambiguous,
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case(b"chunked") => ParsedHead::Chunked(length),
        (None, Some(_)) => ParsedHead::Ambiguous,
        (None, None) => sized(0),
        (Some(body), None) => {
            let digits = !body.is_empty() && body.iter().all(u8::is_ascii_digit);
            let body = std::str::from_utf8(body).ok().filter(|_| digits).and_then(|b| b.parse().ok());
            body.map_or(ParsedHead::Ambiguous, sized)
        }
    }
}
