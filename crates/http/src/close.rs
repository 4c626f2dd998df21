//! Closes client connections without losing an answer. Closing a socket with unread input resets the
//! connection, which discards an answer that the client has not read yet. So the sending side is shut down
//! first, and input is read and discarded until the client closes as well, within limits. Discarded requests
//! are never processed: the client has seen the end of the connection and sends them again elsewhere.

use crate::client_connection::{ClientConnection, Socket};
use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time that a client has to close its side: a round trip and the time that a busy machine needs.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that a client has to close its side while all connection permits are in use.
pub const LINGER_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(20);
/// Time that a connection with a pending answer may stay open after it was asked to close.
pub const PENDING_ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of bytes that are discarded from a client that keeps sending.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Maximum number of bytes that are discarded at a time.
const DISCARD_BUFFER_BYTES: usize = 4096;
/// Answer to a request that is incomplete when its connection has to close; the client may hand it in again.
pub const REFUSED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Answer to a request that did not arrive within its time limit.
pub const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Returns whether the socket has unread input or was closed by the client. It asks the socket itself, as the
/// event loop may not have processed new input yet.
pub fn has_unread_input(socket: &Socket, connection: &ClientConnection) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let socket = socket.borrow();
    match socket2::SockRef::from(&*socket).peek(&mut byte) {
        Ok(_) => true,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => false,
        Err(_) => {
            // The system reports the error only once.
            connection.set_reset();
            true
        }
    }
}

/// Closes the connection gracefully, within `linger_timeout` or until its permit is needed.
pub async fn close_gracefully(
    mut socket: TcpStream, connection: &ClientConnection, linger_timeout: Duration,
) {
    connection.discard_input();
    connection.awaiting_client_close.set(true);
    let _already_shut_down = socket.shutdown().await;
    tokio::select! {
        biased;
        _closed_or_timed_out = tokio::time::timeout(linger_timeout, discard_until_closed(&socket)) => {}
        () = connection.permit_needed.notified() => {}
    }
}

/// Reads and discards input until the client closes its side or has sent too much.
async fn discard_until_closed(socket: &TcpStream) {
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES && socket.readable().await.is_ok() {
        match discard_available(socket) {
            Ok(0) => return,
            Ok(count) => discarded_bytes += count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Reads and discards what has been received. The buffer is on the stack, not in a future that is kept.
fn discard_available(socket: &TcpStream) -> io::Result<usize> {
    socket.try_read(&mut [0; DISCARD_BUFFER_BYTES])
}
