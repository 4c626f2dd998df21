//! Scripted partner hosts: listeners that answer calls as a script says and record what they received.

use crate::framing::{write_in_pieces, Framing};
use crate::wire::{receive, until, ReceivedRequest};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a host does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with a status.
    Status(u16),
    /// Answers with a status and header lines, each with its line end.
    With(u16, &'static str),
    /// Answers 200 after a delay in milliseconds.
    Late(u64),
    /// Answers 500 after a delay in milliseconds.
    Fails(u64),
    /// Answers 200 without `Connection: close`, and closes the connection 150 ms later.
    AndClose,
    /// Sends these bytes and keeps the connection open.
    Raw(&'static str),
    /// Answers in this form.
    Framed {
        status: u16,
        /// Header lines, each with its line end.
        headers: &'static str,
        /// Length of the body.
        body_bytes: usize,
        framing: Framing,
        /// Pause between the pieces of the answer, in milliseconds; 0: it comes in one piece.
        pause_ms: u64,
    },
    /// Works on the call, answers, and sends the same answer again.
    Repeated {
        status: u16,
        /// Time until the answer, in milliseconds.
        work_ms: u64,
        /// Time from the answer to its copy, in milliseconds.
        copy_after_ms: u64,
    },
    /// On a connection that carried an earlier call: sends the answer to the previous call again, and answers
    /// with the status and header lines after a delay in milliseconds. On a new connection: only answers.
    AfterRepeat(u16, &'static str, u64),
    /// Closes the connection without an answer.
    Reset,
    /// Never answers, and keeps the connection open until the relay closes it.
    Silent,
}

/// Returns a response without a body. `headers` holds header lines, each with its line end.
pub fn response(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: 0\r\n\r\n")
}

type Script = dyn Fn(&ReceivedRequest, usize) -> Reply + Send + Sync;

/// A scripted host.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Number of connections accepted.
    pub conns: Arc<AtomicUsize>,
    /// Number of connections closed on [`Reply::AndClose`].
    pub closed: Arc<AtomicUsize>,
    /// Number of answers sent a second time.
    pub repeated: Arc<AtomicUsize>,
    /// Ids of the calls that the host answered, and the statuses.
    answers: Arc<Mutex<Vec<(String, u16)>>>,
    /// Ids of the calls on [`Reply::Silent`] that the relay has given up, and when.
    abandoned: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Host {
    /// Starts a host. The script gets each call and the number of calls before it, and returns the reply.
    pub fn new(script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static) -> Host {
        Host::on(TcpListener::bind("127.0.0.1:0").unwrap(), Duration::ZERO, script)
    }

    /// Starts a host that accepts no connection during the first `for_ms` milliseconds: its accept queue is
    /// full, so the SYN packets of new connections are lost. A client sends a lost SYN again after a second
    /// (RFC 6298, 2.1).
    pub fn unresponsive(
        for_ms: u64, script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Host {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // These connections fill the accept queue; they are closed when this function returns.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let filling: Vec<_> = (0..4).map_while(fill).collect();
        assert!(filling.len() < 4, "the accept queue did not fill up: all connections were accepted");
        Host::on(listener, Duration::from_millis(for_ms), script)
    }

    fn on(
        listener: TcpListener, unresponsive: Duration,
        script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Host {
        let host = Host {
            address: listener.local_addr().unwrap(),
            calls: Arc::default(),
            conns: Arc::default(),
            closed: Arc::default(),
            repeated: Arc::default(),
            answers: Arc::default(),
            abandoned: Arc::default(),
        };
        let (this, script): (Host, Arc<Script>) = (host.clone(), Arc::new(script));
        std::thread::spawn(move || {
            std::thread::sleep(unresponsive);
            for stream in listener.incoming().flatten() {
                let (this, script) = (this.clone(), script.clone());
                let conn = this.conns.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || this.serve(stream, conn, &*script));
            }
        });
        host
    }

    /// Starts a host that answers each call with 200.
    pub fn ok() -> Host {
        Host::new(|_, _| Reply::Status(200))
    }

    /// Starts a host that gives these replies, one per call, and then answers each call with 200.
    pub fn first(replies: Vec<Reply>) -> Host {
        Host::new(move |_, earlier_calls| replies.get(earlier_calls).cloned().unwrap_or(Reply::Status(200)))
    }

    fn serve(&self, stream: TcpStream, conn: usize, script: &Script) {
        let mut reader = BufReader::new(stream);
        let mut previous_answer: Option<String> = None;
        while let Some(call) = receive(&mut reader, conn) {
            let earlier_calls = {
                let mut all = self.calls.lock().unwrap();
                all.push(call.clone());
                all.len() - 1
            };
            let reply = script(&call, earlier_calls);
            let text = match &reply {
                Reply::Status(status) => response(*status, ""),
                Reply::With(status, headers) => response(*status, headers),
                Reply::Late(ms) => {
                    std::thread::sleep(Duration::from_millis(*ms));
                    response(200, "")
                }
                Reply::Fails(ms) => {
                    std::thread::sleep(Duration::from_millis(*ms));
                    response(500, "")
                }
                Reply::AndClose => response(200, ""),
                Reply::Repeated { status, work_ms, .. } => {
                    std::thread::sleep(Duration::from_millis(*work_ms));
                    response(*status, "")
                }
                Reply::AfterRepeat(status, headers, ms) => {
                    if let Some(previous) = &previous_answer {
                        let _closed = reader.get_mut().write_all(previous.as_bytes());
                        self.repeated.fetch_add(1, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_millis(*ms));
                    }
                    response(*status, headers)
                }
                Reply::Framed { status, headers, body_bytes, framing, pause_ms } => {
                    let answer = framing.response(*status, headers, &vec![b'b'; *body_bytes]);
                    let pause = Duration::from_millis(*pause_ms);
                    if write_in_pieces(reader.get_mut(), &answer, pause).is_err() {
                        return;
                    }
                    self.answers.lock().unwrap().push((call.id().to_string(), *status));
                    if framing.closes() {
                        return;
                    }
                    continue;
                }
                Reply::Raw(bytes) => bytes.to_string(),
                Reply::Reset => return,
                Reply::Silent => {
                    // Returns once the relay closes the connection.
                    let _no_data = reader.read(&mut [0; 1]);
                    self.abandoned.lock().unwrap().push((call.id().to_string(), Instant::now()));
                    return;
                }
            };
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
            let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            self.answers.lock().unwrap().push((call.id().to_string(), status));
            if let Reply::Repeated { copy_after_ms, .. } = reply {
                let (mut stream, copy) = (reader.get_ref().try_clone().unwrap(), text.clone());
                let delay = Duration::from_millis(copy_after_ms);
                let repeated = self.repeated.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let _closed = stream.write_all(copy.as_bytes());
                    repeated.fetch_add(1, Ordering::SeqCst);
                });
            }
            previous_answer = Some(text);
            if matches!(reply, Reply::AndClose) {
                std::thread::sleep(Duration::from_millis(150));
                drop(reader);
                self.closed.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }

    /// Returns all calls so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.calls.lock().unwrap().clone()
    }

    /// Returns the number of calls answered so far.
    pub fn served(&self) -> usize {
        self.answers.lock().unwrap().len()
    }

    /// Whether the host has answered a call for this message.
    pub fn answered(&self, id: &str) -> bool {
        self.answers.lock().unwrap().iter().any(|answer| answer.0 == id)
    }

    /// Whether the host has answered a call for this message with 200.
    pub fn delivered(&self, id: &str) -> bool {
        self.answers.lock().unwrap().iter().any(|answer| answer.0 == id && answer.1 == 200)
    }

    /// Returns the ids of all answered calls, and the statuses.
    pub fn all_answered(&self) -> Vec<(String, u16)> {
        self.answers.lock().unwrap().clone()
    }

    /// Waits until the relay has given up all calls for this message, which this host leaves unanswered; returns
    /// when it gave up the last one.
    pub fn wait_abandoned(&self, id: &str) -> Instant {
        until("the end of the calls", || {
            let abandoned = self.abandoned.lock().unwrap();
            let times: Vec<Instant> =
                abandoned.iter().filter(|call| call.0 == id).map(|call| call.1).collect();
            times.last().filter(|_| times.len() == self.calls_of(id)).copied()
        })
    }

    /// Returns the number of calls received for a message.
    pub fn calls_of(&self, id: &str) -> usize {
        self.received().iter().filter(|call| call.id() == id).count()
    }

    /// Waits until so many calls were received, and returns them all.
    pub fn wait_calls(&self, count: usize) -> Vec<ReceivedRequest> {
        until(&format!("{count} calls"), || Some(self.received()).filter(|calls| calls.len() >= count))
    }
}
