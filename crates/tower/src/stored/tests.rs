//! Guards against changes of the stored form: a relay reads requests that an earlier version wrote, and two
//! versions run at the same time during a takeover.
use super::*;

// Guards against a request that loses or changes a part when it is stored, and against truncated bytes that
// decode as a request.
#[test]
fn stored_request_decodes_to_same_request() {
    let request = Request::post("http://x/orders.Orders/Place?a=b")
        .header("te", "trailers")
        .header("twice", "1")
        .header("twice", "2");
    let (parts, ()) = request.body(()).unwrap().into_parts();
    let bytes = encode(&parts, &Bytes::from_static(b"\0\0\0\0\x02ab")).unwrap();
    let decoded = decode(&bytes, "https", "host:81").unwrap();
    assert_eq!(decoded.uri(), "https://host:81/orders.Orders/Place?a=b");
    assert_eq!(decoded.method(), Method::POST);
    assert_eq!(decoded.headers(), &parts.headers);
    assert_eq!(&decoded.body().data()[..], b"\0\0\0\0\x02ab");
    for cut in 0..bytes.len() {
        assert!(
            decode(&bytes.slice(..cut), "http", "h").is_none(),
            "bytes truncated to {cut} decode as a request"
        );
    }
}

const SAMPLE: &[u8] = include_bytes!("../../tests/recorded/request.bin");

// Guards against a change of the encoding: the recorded bytes must decode to the same request and encode
// again to the same bytes.
#[test]
fn recorded_request_is_decoded_and_encoded_unchanged() {
    let request = decode(&Bytes::from_static(SAMPLE), "https", "host:81").unwrap();
    assert_eq!(request.method(), Method::PUT);
    assert_eq!(request.uri(), "https://host:81/orders.Orders/Place?a=b");
    let headers: Vec<_> = request.headers().iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
    let expected: [(&str, &[u8]); 4] =
        [("te", b"trailers"), ("twice", b"1"), ("twice", b"2"), ("raw", b"caf\xe9")];
    assert_eq!(headers, expected);
    assert_eq!(&request.body().data()[..], b"\0\0\0\0\x02ab");
    let (parts, body) = request.into_parts();
    assert_eq!(&encode(&parts, body.data()).unwrap()[..], SAMPLE);
}
