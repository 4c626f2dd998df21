//! How a client's connection is closed so that nobody loses an answer by it. A close over bytes that nobody has read resets
//! the connection, and takes along an answer that its client has not read yet: so the sending side is shut first, and what
//! comes is read and dropped until the client closes as well, within bounds. What is read after that is never sent on: its
//! client has seen the end, and sends it again elsewhere.

use crate::client_connection::ClientConnection;
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// So long a client that was told the end is waited for: a round trip and its turn on a busy machine.
pub const LINGER: Duration = Duration::from_millis(250);
/// And where others wait for its place.
pub const LINGER_CROWDED: Duration = Duration::from_millis(20);
/// An answer that is due is waited for so long, when its connection has to go.
pub const LAST_ANSWER: Duration = Duration::from_millis(800);
/// What is read and dropped of one that goes on sending.
const MOST_DROPPED: usize = 256 * 1024;
/// The answer to a request that does not come whole. Handing it in again is harmless.
pub const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// And to one that has taken longer than any may.
pub const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A client's socket: hyper reads and writes it, and it outlasts hyper's connection.
pub type Socket = Rc<RefCell<TcpStream>>;

/// Whether bytes have come that nobody has read, or the client has closed. The socket itself is asked, as the event loop may
/// not have seen yet what has come.
pub fn unread(io: &Socket) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let socket = io.borrow();
    let peeked = socket2::SockRef::from(&*socket).peek(&mut byte);
    !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Closes: in order, and for so long at most, or until its place is needed.
pub async fn close(mut io: TcpStream, connection: &ClientConnection, within: Duration) {
    connection.lingers.set(true);
    let _shut_already = io.shutdown().await;
    let mut dropped = 0;
    let until_closed = async {
        let mut bytes = [0; 4096];
        while dropped < MOST_DROPPED {
            match io.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(n) => dropped += n,
            }
        }
    };
    tokio::select! {
        biased;
        _in_time_or_not = tokio::time::timeout(within, until_closed) => {}
        () = connection.hurry.notified() => {}
    }
}
