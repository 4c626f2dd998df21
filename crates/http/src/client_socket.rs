//! A client's socket: received by the relay itself until a request is complete, and read and written by hyper
//! while that is answered. So only a request that is being answered has a server with its buffers.

use crate::client_connection::{ClientConnection, Socket};
use crate::input_budget::MAX_READ_BYTES;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Receives input while there is room for it. Returns the number of bytes; 0 if the client has ended its sending.
fn poll_receive(socket: &Socket, connection: &ClientConnection, cx: &mut Context) -> Poll<io::Result<usize>> {
    let max_bytes = connection.readable_bytes(cx.waker()).min(MAX_READ_BYTES);
    if max_bytes == 0 {
        return Poll::Pending;
    }
    let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
    let mut read = ReadBuf::uninit(&mut bytes[..max_bytes]);
    ready!(Pin::new(&mut *socket.borrow_mut()).poll_read(cx, &mut read))?;
    connection.receive(read.filled());
    Poll::Ready(Ok(read.filled().len()))
}

/// Receives input until there is some for a server. Returns whether there is; else no more will come.
pub fn poll_request(socket: &Socket, connection: &ClientConnection, cx: &mut Context) -> Poll<bool> {
    while !connection.needs_server() {
        match ready!(poll_receive(socket, connection, cx)) {
            Ok(0) | Err(_) => return Poll::Ready(false),
            Ok(_) => {}
        }
    }
    Poll::Ready(true)
}

/// A client's socket as hyper reads and writes it. Hyper gets no more than the current request.
pub struct ServerSocket {
    pub socket: Socket,
    pub connection: Rc<ClientConnection>,
}

impl Read for ServerSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut buf: ReadBufCursor) -> Poll<io::Result<()>> {
        while !self.connection.deliver_input(buf.remaining(), |input| buf.put_slice(input)) {
            if !self.connection.is_streamed() {
                // The connection's task receives the next request.
                return Poll::Pending;
            }
            if ready!(poll_receive(&self.socket, &self.connection, cx))? == 0 {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ServerSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, buf)
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        // hyper flushes when it has nothing left to write.
        self.connection.on_flushed();
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}
