//! The recorder: a proxy between clients and a relay that records the messages and forwards everything
//! unchanged.

use crate::format::{Message, Writer};
use mulleinslip_testkit::{receive, ReceivedRequest};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct State<W> {
    /// `None` after the end of the recording.
    writer: Option<Writer<W>>,
    start: Instant,
    last_us: u64,
}

/// Records each message that is submitted through it once it has been answered, in the order of the answers.
/// The time of a message is that of its last byte, or that of the previous line if this is later.
pub struct Recorder<W> {
    /// Address to which clients connect.
    pub address: SocketAddr,
    state: Arc<Mutex<State<W>>>,
}

impl<W: Write + Send + 'static> Recorder<W> {
    /// Listens on a free loopback port and forwards to the relay at `relay`.
    ///
    /// # Errors
    /// Returns errors from listening and from writing the start of the recording.
    pub fn start(relay: SocketAddr, output: W) -> std::io::Result<Recorder<W>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { writer: Some(Writer::new(output)?), start: Instant::now(), last_us: 0 };
        let state = Arc::new(Mutex::new(state));
        let thread_state = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let state = thread_state.clone();
                std::thread::spawn(move || forward(client, relay, &state));
            }
        });
        Ok(Recorder { address, state })
    }

    /// Ends the recording and returns the underlying writer, or `None` if it has ended already.
    ///
    /// # Errors
    /// Returns errors of the underlying writer.
    pub fn finish(&self) -> std::io::Result<Option<W>> {
        let writer = self.state.lock().ok().and_then(|mut s| s.writer.take());
        writer.map(Writer::finish).transpose()
    }
}

/// Forwards the requests of one connection, one at a time.
fn forward<W: Write>(client: TcpStream, relay: SocketAddr, state: &Mutex<State<W>>) {
    let Ok(relay) = TcpStream::connect(relay) else { return };
    let (mut client, mut relay) = (BufReader::new(client), BufReader::new(relay));
    while let Some(request) = receive(&mut client, 0) {
        let sent = relay.get_mut().write_all(&bytes(&request));
        let Some(response) = sent.ok().and_then(|()| receive(&mut relay, 0)) else { return };
        if let Ok(mut state) = state.lock() {
            // Messages are answered in another order than they arrive in; the lines are in that of the
            // answers.
            let at_us = request.at.saturating_duration_since(state.start).as_micros() as u64;
            let at_us = at_us.max(state.last_us);
            state.last_us = at_us;
            let message = message(&request, at_us);
            if let (Some(message), Some(writer)) = (message, state.writer.as_mut()) {
                if let Err(error) = writer.write(&message) {
                    eprintln!("recorder: writing failed: {error}; the recording ends here");
                    state.writer = None;
                }
            }
        }
        if client.get_mut().write_all(&bytes(&response)).is_err() {
            return;
        }
    }
    let _nothing = client.read(&mut []);
}

/// Returns a request or response as it is written to a connection.
fn bytes(received: &ReceivedRequest) -> Vec<u8> {
    let mut out = format!("{}\r\n", received.line).into_bytes();
    for (name, value) in &received.headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&received.body);
    out
}

/// Returns the message of a request, or `None` if it is not one that the relay would accept.
fn message(request: &ReceivedRequest, at_us: u64) -> Option<Message> {
    let target = request.line.split(' ').nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (class, key) = path.trim_start_matches('/').split_once('/').unwrap_or((path.trim_matches('/'), ""));
    let in_query = || query.split('&').find_map(|p| p.strip_prefix("about="));
    let header = |name: &str| Some(request.header(name)).filter(|v| !v.is_empty()).map(String::from);
    Some(Message {
        at_us,
        id: header("x-call-id")?,
        class: class.into(),
        tenant: header("x-caller")?,
        dest: header("x-envelope")?.split(';').find_map(|p| p.trim().strip_prefix("dest="))?.parse().ok()?,
        budget_ms: header("x-budget")?.strip_suffix('m')?.parse().ok()?,
        key: header("idempotency-key"),
        order_key: Some(key).filter(|k| !k.is_empty()).or_else(in_query).map(String::from),
        body: request.body.clone(),
    })
}
