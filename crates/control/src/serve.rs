//! The listener. A caller that says nothing holds one of few places, and loses it to one that comes later.

use crate::call::{answer, RelayControl, MOST_LINE};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Callers at once; each takes a descriptor. A few may hang for seconds, and the others ask a few times a second
/// and are gone within milliseconds.
pub const MOST_CALLERS: usize = 8;
/// Whoever has sent no line by then is left. Callers wait one second for their answer.
const LINE: Duration = Duration::from_secs(2);
/// After a failed accept, which mostly means that descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);

type Callers = VecDeque<(u64, oneshot::Sender<()>)>;

/// Reads a line, or what comes before the end of what is sent. `None` if it is too long or does not come whole.
async fn line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut read = Vec::new();
    let mut bytes = [0; MOST_LINE];
    loop {
        let count = stream.read(&mut bytes).await.ok()?;
        read.extend_from_slice(bytes.get(..count)?);
        if let Some(end) = read.iter().position(|b| *b == b'\n') {
            read.truncate(end + 1);
            return Some(read);
        }
        if read.len() >= MOST_LINE || (count == 0 && read.is_empty()) {
            return None;
        }
        if count == 0 {
            return Some(read);
        }
    }
}

async fn talk<R: RelayControl>(mut stream: TcpStream, relay: &R) {
    if let Some(line) = line(&mut stream).await {
        let said = answer(&line, relay);
        let _caller_gone = stream.write_all(said.as_bytes()).await;
        let _caller_gone = stream.shutdown().await;
    }
}

/// Answers callers, for good. Runs on a [`tokio::task::LocalSet`].
pub async fn serve<R: RelayControl + 'static>(listener: TcpListener, relay: Rc<R>) {
    // Those that are here, the first first, and what sends each away.
    let here: Rc<RefCell<Callers>> = Rc::default();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            here.borrow_mut().pop_front();
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let (stay, left) = oneshot::channel();
        let mut callers = here.borrow_mut();
        while callers.len() >= MOST_CALLERS {
            // Dropped, it wakes its task, which then closes the connection.
            callers.pop_front();
        }
        callers.push_back((number, stay));
        drop(callers);
        let (relay, here) = (relay.clone(), here.clone());
        spawn_local(async move {
            tokio::select! {
                biased;
                _too_slow = timeout(LINE, talk(stream, &*relay)) => {}
                _sent_away = left => {}
            }
            here.borrow_mut().retain(|(n, _)| *n != number);
        });
    }
}
