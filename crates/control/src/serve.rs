//! The listener of the second address. The number of connections is limited; a new one closes the oldest one
//! if there are too many, so that silent callers can't block the address.

use crate::call::{answer, RelayControl, MAX_LINE_BYTES};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Maximum number of connections at once; each takes a descriptor. A few callers may hang for seconds; the
/// others call a few times a second and are answered within milliseconds.
pub const MAX_CALLERS: usize = 8;
/// Time in which a caller has to send its line and read the answer. Callers wait one second for their answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, which mostly means that the process has run out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The open connections, the oldest first: number, and a sender that closes the connection when dropped.
type Callers = VecDeque<(u64, oneshot::Sender<()>)>;

/// Reads a line or, without a line break, all up to the end of the stream. Returns `None` if that is empty or
/// too long, or if reading fails.
async fn read_line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut received = Vec::new();
    let mut buffer = [0; MAX_LINE_BYTES];
    loop {
        let count = stream.read(&mut buffer).await.ok()?;
        received.extend_from_slice(buffer.get(..count)?);
        if let Some(end) = received.iter().position(|b| *b == b'\n') {
            received.truncate(end + 1);
            return Some(received);
        }
        if received.len() >= MAX_LINE_BYTES || (count == 0 && received.is_empty()) {
            return None;
        }
        if count == 0 {
            return Some(received);
        }
    }
}

/// Answers one caller.
async fn answer_caller<R: RelayControl>(mut stream: TcpStream, relay: &R) {
    if let Some(line) = read_line(&mut stream).await {
        let reply = answer(&line, relay);
        let _caller_gone = stream.write_all(reply.as_bytes()).await;
        let _caller_gone = stream.shutdown().await;
    }
}

/// Accepts and answers callers; never returns. Must run on a [`tokio::task::LocalSet`].
pub async fn serve<R: RelayControl + 'static>(listener: TcpListener, relay: Rc<R>) {
    let connected: Rc<RefCell<Callers>> = Rc::default();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            connected.borrow_mut().pop_front();
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (close, closed) = oneshot::channel();
        let mut callers = connected.borrow_mut();
        while callers.len() >= MAX_CALLERS {
            // Dropping the sender wakes the task, which closes the connection.
            callers.pop_front();
        }
        callers.push_back((number, close));
        drop(callers);
        let (relay, connected) = (relay.clone(), connected.clone());
        spawn_local(async move {
            tokio::select! {
                biased;
                _too_slow = timeout(CALL_TIMEOUT, answer_caller(stream, &*relay)) => {}
                _closed_for_newer = closed => {}
            }
            connected.borrow_mut().retain(|(other, _)| *other != number);
        });
    }
}
