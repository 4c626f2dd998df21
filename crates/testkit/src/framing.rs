//! Forms in which a stand-in sends an HTTP response: how its body ends, and in how many pieces it comes.

use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Number of pieces of a response that does not come at once.
const PIECES: usize = 5;

/// How the end of a response is told, and whether the connection stays open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`; the connection stays open.
    #[default]
    Sized,
    /// By `Content-Length`, with `Connection: close`; the connection is closed.
    SizedAndClosed,
    /// By the end of the connection, with `Connection: close` and no `Content-Length`.
    Closed,
    /// By a last chunk; the connection stays open.
    Chunked,
    /// By a last chunk, with `Connection: close`; the connection is closed.
    ChunkedAndClosed,
}

impl Framing {
    /// All forms.
    pub const ALL: [Framing; 5] = [
        Framing::Sized,
        Framing::SizedAndClosed,
        Framing::Closed,
        Framing::Chunked,
        Framing::ChunkedAndClosed,
    ];

    /// Whether the connection is closed after the response.
    pub fn closes(self) -> bool {
        matches!(self, Framing::SizedAndClosed | Framing::Closed | Framing::ChunkedAndClosed)
    }

    /// Returns a response in this form. `headers` holds header lines, each with its line end.
    pub fn response(self, status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
        let close = if self.closes() { "Connection: close\r\n" } else { "" };
        let head = format!("HTTP/1.1 {status} x\r\n{headers}{close}");
        let chunked = || match body.is_empty() {
            true => b"0\r\n\r\n".to_vec(),
            false => [format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n0\r\n\r\n"].concat(),
        };
        let (framing_header, content) = match self {
            // A 204 has neither a body nor a way to tell its end.
            _ if status == 204 => (String::new(), Vec::new()),
            Framing::Sized | Framing::SizedAndClosed => {
                (format!("Content-Length: {}\r\n", body.len()), body.to_vec())
            }
            Framing::Closed => (String::new(), body.to_vec()),
            Framing::Chunked | Framing::ChunkedAndClosed => {
                ("Transfer-Encoding: chunked\r\n".to_string(), chunked())
            }
        };
        [head.as_bytes(), framing_header.as_bytes(), b"\r\n", &content].concat()
    }
}

/// Writes a response at once or, with a pause between them, in several pieces.
pub fn write_in_pieces(stream: &mut TcpStream, response: &[u8], pause: Duration) -> io::Result<()> {
    if pause.is_zero() {
        return stream.write_all(response);
    }
    let piece_bytes = response.len().div_ceil(PIECES).max(1);
    for (number, piece) in response.chunks(piece_bytes).enumerate() {
        if number > 0 {
            std::thread::sleep(pause);
        }
        stream.write_all(piece)?;
    }
    Ok(())
}
