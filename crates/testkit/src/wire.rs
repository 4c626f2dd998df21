//! Reading HTTP messages off a socket, and waiting for conditions.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum time to wait for a condition: far longer than any should take, so that only a fault reaches it.
pub const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// Calls `look` until it returns something, and returns that. Panics after [`WAIT_LIMIT`].
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// An HTTP request or response as received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// When the message was received in full.
    pub at: Instant,
    /// The request line or status line.
    pub line: String,
    /// By lower-case name.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Number of the host's connection that it came on, counted from 0.
    pub conn: usize,
}

impl ReceivedRequest {
    /// Returns a header's value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_lowercase()).map_or("", |v| v.as_str())
    }
    /// Returns the message's id: the value of `X-Call-Id`.
    pub fn id(&self) -> &str {
        self.header("x-call-id")
    }
    /// Returns a response's status; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one HTTP message off a stream. `None` if the stream ends before the message does.
pub fn receive(stream: &mut BufReader<TcpStream>, conn: usize) -> Option<ReceivedRequest> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(ReceivedRequest { at: Instant::now(), line: line.trim_end().to_string(), headers, body, conn })
}
