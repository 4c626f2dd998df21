//! The recorder: stands between clients and a relay, and passes everything on as it comes.

use crate::format::{Message, Writer};
use mulleinslip_testkit::{receive, ReceivedRequest};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct State<W> {
    /// `None` once it has ended.
    writer: Option<Writer<W>>,
    start: Instant,
    last_us: u64,
}

/// Records what is handed in through it, once each message was answered: in the order of the answers, with the time
/// at which its last byte had come, or that of the line above if that is later.
pub struct Recorder<W> {
    /// Where clients connect.
    pub address: SocketAddr,
    state: Arc<Mutex<State<W>>>,
}

impl<W: Write + Send + 'static> Recorder<W> {
    /// Listens on a free port of loopback, before the relay at `to`.
    ///
    /// # Errors
    /// What listening and writing give.
    pub fn start(to: SocketAddr, out: W) -> std::io::Result<Recorder<W>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { writer: Some(Writer::begin(out)?), start: Instant::now(), last_us: 0 };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let state = shared.clone();
                std::thread::spawn(move || pass(client, to, &state));
            }
        });
        Ok(Recorder { address, state })
    }

    /// Ends the recording; gives what it was written to.
    ///
    /// # Errors
    /// What writing gives; `None` if it had ended already.
    pub fn finish(&self) -> std::io::Result<Option<W>> {
        let writer = self.state.lock().ok().and_then(|mut s| s.writer.take());
        writer.map(Writer::finish).transpose()
    }
}

/// Passes one connection's requests on, one at a time.
fn pass<W: Write>(client: TcpStream, to: SocketAddr, state: &Mutex<State<W>>) {
    let Ok(relay) = TcpStream::connect(to) else { return };
    let (mut client, mut relay) = (BufReader::new(client), BufReader::new(relay));
    while let Some(asked) = receive(&mut client, 0) {
        let sent = relay.get_mut().write_all(&bytes(&asked));
        let Some(answer) = sent.ok().and_then(|()| receive(&mut relay, 0)) else { return };
        if let Ok(mut state) = state.lock() {
            // Answers come in another order than messages do; the lines are in that of the answers.
            let at_us = asked.at.saturating_duration_since(state.start).as_micros() as u64;
            let at_us = at_us.max(state.last_us);
            state.last_us = at_us;
            let message = message(&asked, at_us);
            if let (Some(message), Some(writer)) = (message, state.writer.as_mut()) {
                if let Err(e) = writer.add(&message) {
                    eprintln!("recorder: {e}; it ends here");
                    state.writer = None;
                }
            }
        }
        if client.get_mut().write_all(&bytes(&answer)).is_err() {
            return;
        }
    }
    let _nothing = client.read(&mut []);
}

fn bytes(heard: &ReceivedRequest) -> Vec<u8> {
    let mut out = format!("{}\r\n", heard.line).into_bytes();
    for (name, value) in &heard.headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&heard.body);
    out
}

/// What was handed in, if it can be read as the relay would.
fn message(asked: &ReceivedRequest, at_us: u64) -> Option<Message> {
    let target = asked.line.split(' ').nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (class, key) = path.trim_start_matches('/').split_once('/').unwrap_or((path.trim_matches('/'), ""));
    let in_query = || query.split('&').find_map(|p| p.strip_prefix("about="));
    let owned = |name: &str| Some(asked.header(name)).filter(|v| !v.is_empty()).map(String::from);
    Some(Message {
        at_us,
        id: owned("x-call-id")?,
        class: class.into(),
        tenant: owned("x-caller")?,
        dest: owned("x-envelope")?.split(';').find_map(|p| p.trim().strip_prefix("dest="))?.parse().ok()?,
        budget_ms: owned("x-budget")?.strip_suffix('m')?.parse().ok()?,
        key: owned("idempotency-key"),
        order_key: Some(key).filter(|k| !k.is_empty()).or_else(in_query).map(String::from),
        body: asked.body.clone(),
    })
}
