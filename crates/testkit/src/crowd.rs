//! Crowds of clients that write slowly, stop in the middle of a request, or send heads of very many fields.

use crate::partner::Random;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Maximum size of a message's body by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a request's head that the relay accepts.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Number of further fields in a head that has nearly as many as the relay accepts, 100.
const MANY_FIELDS: usize = 90;
const SHORT_FIELD: &str = "a: b\r\n";
const CHUNK_BYTES: usize = 512;
/// Number of threads that play a crowd: a connection may take long to come up.
const CROWD_THREADS: usize = 20;
/// Pause of a thread after each of its clients has written a piece.
const PIECE_PAUSE: Duration = Duration::from_millis(2);

/// What a client sends, and how many bytes at a time. It then stops, and connects again once the relay has
/// closed its connection.
pub struct SlowRequest {
    /// The kind of request, for messages.
    pub name: &'static str,
    /// The bytes that are sent.
    pub bytes: Vec<u8>,
    /// How many are sent at a time.
    pub piece_bytes: usize,
}

/// Returns the head of a message without its end, of about this length.
fn head(head_bytes: usize, content_length: usize) -> Vec<u8> {
    let mut head = format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Caller: acme\r\nX-Budget: 4000m\r\nX-Envelope: dest=1\r\n\
         Content-Length: {content_length}\r\n"
    );
    while head.len() + SHORT_FIELD.len() + 2 < head_bytes {
        head.push_str(SHORT_FIELD);
    }
    head.into_bytes()
}

/// Returns the length of a head with as many short fields as the relay accepts, without those that it needs.
fn many_fields_head_bytes() -> usize {
    head(0, MAX_BODY_BYTES).len() + MANY_FIELDS * SHORT_FIELD.len()
}

/// Returns a request whose body comes in chunks, the last of which is missing.
fn chunked() -> Vec<u8> {
    let head =
        String::from_utf8(head(0, 0)).unwrap().replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
    format!("{head}\r\n{}", chunk.repeat(MAX_BODY_BYTES / CHUNK_BYTES)).into_bytes()
}

/// Returns requests that come slowly, in part, or with very many fields.
pub fn slow_requests() -> Vec<SlowRequest> {
    let ended = |head: Vec<u8>| [head, b"\r\n".to_vec()].concat();
    let request = |name, bytes, piece_bytes| SlowRequest { name, bytes, piece_bytes };
    let short_body = |fields| [ended(head(fields, MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES - 1]].concat();
    let pipelined = [ended(head(0, MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES], short_body(0)].concat();
    let many_fields =
        [ended(head(many_fields_head_bytes(), MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES / 8]].concat();
    let expecting = ended([head(0, MAX_BODY_BYTES), b"Expect: 100-continue\r\n".to_vec()].concat());
    let half_body = [ended(head(0, MAX_BODY_BYTES)), vec![b'b'; MAX_BODY_BYTES / 2]].concat();
    vec![
        request("bodies one byte short", short_body(0), usize::MAX),
        request("bodies one byte short, slowly", short_body(0), 2000),
        request("bodies one byte short behind heads of 50 fields", short_body(500), usize::MAX),
        request("half of a body", half_body, usize::MAX),
        request("an eighth of a body behind a head of 90 fields", many_fields, usize::MAX),
        request("chunks without an end", chunked(), 1000),
        request("heads that expect to be asked for their body", expecting, usize::MAX),
        request("heads of thousands of fields", head(MAX_HEAD_BYTES, 10), usize::MAX),
        request("heads of thousands of fields, slowly", head(MAX_HEAD_BYTES, 10), 100),
        request("heads byte by byte", head(400, 10), 1),
        request("a message, and all but a byte of the next one", pipelined, usize::MAX),
    ]
}

/// Returns a request of random form, of which a random part is sent in random pieces: with fields, a body of any
/// length or in chunks, behind complete requests, or of random bytes.
pub fn random_request(random: &mut Random) -> SlowRequest {
    let fields = random.below(MANY_FIELDS as u64 + 1) as usize;
    let body_bytes = [0, 100, 3000, 20_000, MAX_BODY_BYTES, 60_000_000][random.below(6) as usize];
    let sent_bytes = random.below(body_bytes.min(MAX_BODY_BYTES) as u64 + 1) as usize;
    let long_head = head(head(0, body_bytes).len() + fields * SHORT_FIELD.len() + 2, body_bytes);
    let expectation: &[u8] = if random.percent(10) { b"Expect: 100-continue\r\n" } else { b"" };
    let sized = [&long_head[..], expectation, b"\r\n", &vec![b'b'; sent_bytes]].concat();
    let (name, bytes) = match random.below(10) {
        0 => ("chunks", chunked()),
        1 => ("a part of a head", long_head),
        2 => ("random bytes", (0..random.below(40_000)).map(|_| random.below(256) as u8).collect()),
        3 => ("nothing", Vec::new()),
        4 | 5 => {
            let complete = [head(0, 300), b"\r\n".to_vec(), vec![b'b'; 300]].concat();
            (
                "complete requests, and a part",
                [complete.repeat(random.below(30) as usize + 1), sized].concat(),
            )
        }
        _ => ("a request with a part of its body", sized),
    };
    let piece_bytes = [1, 50, 500, 4096, usize::MAX][random.below(5) as usize];
    SlowRequest { name, bytes, piece_bytes }
}

/// One client of a crowd.
struct Writer<'a> {
    request: &'a SlowRequest,
    stream: Option<TcpStream>,
    written: usize,
}

impl Writer<'_> {
    /// Writes the next piece, and connects again if the relay has closed the connection.
    fn step(&mut self, address: SocketAddr) {
        let Some(stream) = &mut self.stream else {
            self.stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
            self.stream.iter().for_each(|stream| stream.set_nonblocking(true).unwrap());
            self.written = 0;
            return;
        };
        let rest = &self.request.bytes[self.written..];
        let piece = &rest[..rest.len().min(self.request.piece_bytes)];
        let closed = match stream.write(piece) {
            Ok(count) => {
                self.written += count;
                false
            }
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        let ended = match stream.read(&mut [0; 1024]) {
            Ok(count) => count == 0,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        if closed || ended {
            self.stream = None;
        }
    }
}

/// Lets a crowd of clients write to the relay at `address` until `stop` is set; they send these requests in
/// turns.
pub fn play_crowd(address: &Mutex<SocketAddr>, clients: usize, requests: &[SlowRequest], stop: &AtomicBool) {
    let play_part = |thread: usize| {
        let of_thread = (0..clients).filter(|client| client % CROWD_THREADS == thread);
        let writer =
            |client| Writer { request: &requests[client % requests.len()], stream: None, written: 0 };
        let mut writers: Vec<Writer> = of_thread.map(writer).collect();
        while !stop.load(Ordering::SeqCst) {
            for writer in &mut writers {
                writer.step(*address.lock().unwrap());
            }
            std::thread::sleep(PIECE_PAUSE);
        }
    };
    std::thread::scope(|scope| {
        (0..CROWD_THREADS).for_each(|thread| drop(scope.spawn(move || play_part(thread))));
    });
}
