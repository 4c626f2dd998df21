use super::{Progress, ResponseScanner, ScanState, MAX_HEAD_BYTES};

/// Guards against a retry of an unsafe message whose first attempt may have run: a request counts as written
/// in full with its last byte and not before. Sockets accept a small request in one write, so a real
/// connection can't produce the partial writes.
#[test]
fn request_is_complete_with_its_last_byte_and_not_before() {
    let request = b"POST /inbox HTTP/1.1\r\nX-Call-Id: m\r\n\r\nbo\r\n\r\ndy";
    for cut in 0..=request.len() {
        let progress = Progress::default();
        progress.begin(8);
        progress.on_written(&request[..cut]);
        assert_eq!(
            (progress.started(), progress.complete()),
            (cut > 0, cut == request.len()),
            "cut at {cut}"
        );
        progress.on_written(&request[cut..]);
        assert!(progress.complete());
    }
}

/// Guards against a status that is missed or misread, depending on how the response is split into reads or on
/// interim responses before it.
#[test]
fn status_line_is_read_after_interim_responses_and_however_it_is_split() {
    let rows: &[(&[u8], Option<u16>, u64)] = &[
        (b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", Some(200), 4),
        (b"HTTP/1.0 503\r\n\r\n", Some(503), 0),
        (b"\r\nHTTP/1.1 200\n", Some(200), 0),
        (b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 y\r\nA: b\r\n\r\nHTTP/1.1 200 z\r\n\r\n.", Some(200), 1),
        (b"HTTP/1.1 101 x\r\nUpgrade: y\r\n\r\nHTTP/1.1 429 z\r\nA", Some(429), 0),
        (b"HTTP/1.1 2000 OK\r\n\r\n", None, 0),
        (b"HTTP/1.1 20x OK\r\n\r\n", None, 0),
        (b"http/1.1 200 OK\r\n\r\n", None, 0),
        (b"noise\r\nHTTP/1.1 200 OK\r\n\r\n", None, 0),
        (b"HTTP/1.1 100 never over\r\nHTTP/1.1 200", None, 0),
    ];
    for (bytes, status, expected_bytes) in rows {
        for cut in 0..=bytes.len() {
            let progress = Progress::default();
            let mut bytes = bytes.to_vec();
            let (first, second) = bytes.split_at_mut(cut);
            progress.response.borrow_mut().read(first);
            progress.response.borrow_mut().read(second);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            assert_eq!(progress.status(), *status, "{text} cut at {cut}");
            let bytes_after_head = match progress.response.borrow().state {
                ScanState::AfterHead { bytes, .. } => bytes,
                _ => 0,
            };
            assert_eq!(bytes_after_head, *expected_bytes, "{text} cut at {cut}");
            assert!(!text.contains(" 101 "), "a 101 was passed on, at which hyper would stop");
        }
    }
    let mut endless = ResponseScanner::default();
    (0..MAX_HEAD_BYTES).for_each(|_| endless.read(&mut b"HTTP/1.1 100 x\r\n\r\n".to_vec()));
    assert_eq!(endless.state, ScanState::Invalid);
}

/// Guards against a request without a body that never counts as written in full, or does so before the end of
/// its head.
#[test]
fn request_without_a_body_is_complete_with_its_head() {
    let progress = Progress::default();
    progress.begin(0);
    progress.on_written(b"GET /ping HTTP/1.1\r\n\r");
    assert!(!progress.complete());
    progress.on_written(b"\n");
    assert!(progress.complete());
    progress.begin(0);
    assert!(!progress.started() && !progress.complete());
}
