//! Guards against changes of the stored form: a relay reads what an earlier version wrote, and versions run beside
//! each other during a takeover.
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

const SAMPLE: &[u8] = include_bytes!("../../tests/recorded/request.bin");

#[test]
fn the_recorded_request_is_read_and_written_as_it_was() {
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
