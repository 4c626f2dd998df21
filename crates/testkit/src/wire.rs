//! Messages as they stand on a socket, and waiting for what is to come.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What a condition may take to come true; far more than it should.
pub const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// Waits until something is there.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "never came: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A message as it stands on a socket: first line, headers by lower-case name, body.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Which connection of the host it came on.
    pub conn: usize,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_lowercase()).map_or("", |v| v.as_str())
    }
    pub fn id(&self) -> &str {
        self.header("x-call-id")
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message off a stream. `None` once it has ended.
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
