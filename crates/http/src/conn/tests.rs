use super::{Heard, Part, Progress, MOST_HEAD};

/// A break before the last byte proves that the call never ran: an unsafe message may be tried again then,
/// and only then. Sockets take a small request in one write, so this can't be provoked over one.
#[test]
fn a_request_is_complete_with_its_last_byte_and_not_before() {
    let request = b"POST /inbox HTTP/1.1\r\nX-Call-Id: m\r\n\r\nbo\r\n\r\ndy";
    for cut in 0..=request.len() {
        let progress = Progress::default();
        progress.begin(8);
        progress.wrote(&request[..cut]);
        assert_eq!((progress.begun(), progress.complete()), (cut > 0, cut == request.len()), "cut at {cut}");
        progress.wrote(&request[cut..]);
        assert!(progress.complete());
    }
}

/// What an answer shows must not depend on how it is cut into reads.
#[test]
fn the_first_line_is_read_whatever_comes_ahead_and_however_it_is_cut() {
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
    for (bytes, status, behind) in rows {
        for cut in 0..=bytes.len() {
            let progress = Progress::default();
            let mut bytes = bytes.to_vec();
            let (first, second) = bytes.split_at_mut(cut);
            progress.answer.borrow_mut().read(first);
            progress.answer.borrow_mut().read(second);
            let words = String::from_utf8_lossy(&bytes).into_owned();
            assert_eq!(progress.status(), *status, "{words} cut at {cut}");
            let counted = match progress.answer.borrow().part {
                Part::Rest { bytes, .. } => bytes,
                _ => 0,
            };
            assert_eq!(counted, *behind, "{words} cut at {cut}");
            assert!(!words.contains(" 101 "), "hyper would stop at a 101");
        }
    }
    let mut endless = Heard::default();
    (0..MOST_HEAD).for_each(|_| endless.read(&mut b"HTTP/1.1 100 x\r\n\r\n".to_vec()));
    assert_eq!(endless.part, Part::Noise);
}

#[test]
fn a_request_without_a_body_is_complete_with_its_head() {
    let progress = Progress::default();
    progress.begin(0);
    progress.wrote(b"GET /ping HTTP/1.1\r\n\r");
    assert!(!progress.complete());
    progress.wrote(b"\n");
    assert!(progress.complete());
    progress.begin(0);
    assert!(!progress.begun() && !progress.complete());
}
