//! Hosts: listeners that give scripted replies to calls and note what they heard.

use crate::wire::{receive, until, ReceivedRequest};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a host does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    Status(u16),
    With(u16, &'static str),
    /// Answers 200 after so many milliseconds.
    Late(u64),
    /// Answers 500 after so many milliseconds.
    Fails(u64),
    /// Answers 200 and closes the connection once it has stood idle for a while, without saying so.
    AndClose,
    /// These bytes, and the connection stays open.
    Raw(&'static str),
    Reset,
    Silent,
}

pub fn response(status: u16, headers: &str) -> String {
    format!("HTTP/1.1 {status} x\r\n{headers}Content-Length: 0\r\n\r\n")
}

type Script = dyn Fn(&ReceivedRequest, usize) -> Reply + Send + Sync;

/// A host: what it heard, and on how many connections.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    heard: Arc<Mutex<Vec<ReceivedRequest>>>,
    pub conns: Arc<AtomicUsize>,
    /// Connections that it closed by itself.
    pub closed: Arc<AtomicUsize>,
    /// Ids of the calls that it answered, and the statuses.
    answers: Arc<Mutex<Vec<(String, u16)>>>,
}

impl Host {
    /// A host that replies to a call, given how many came before it.
    pub fn new(script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static) -> Host {
        Host::on(TcpListener::bind("127.0.0.1:0").unwrap(), Duration::ZERO, script)
    }

    /// A host that takes no new connection for so long: its queue for them is full, and packets that open one are lost.
    /// Whoever lost one tries again a second later (RFC 6298, 2.1).
    pub fn unresponsive(
        for_ms: u64, script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Host {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // They fill the queue, and go once that is read.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        let fillers: Vec<_> = (0..4).map_while(fill).collect();
        assert!(fillers.len() < 4, "the queue is full");
        Host::on(listener, Duration::from_millis(for_ms), script)
    }

    fn on(
        listener: TcpListener, unresponsive: Duration,
        script: impl Fn(&ReceivedRequest, usize) -> Reply + Send + Sync + 'static,
    ) -> Host {
        let host = Host {
            address: listener.local_addr().unwrap(),
            heard: Arc::default(),
            conns: Arc::default(),
            closed: Arc::default(),
            answers: Arc::default(),
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

    pub fn ok() -> Host {
        Host::new(|_, _| Reply::Status(200))
    }

    /// First the given replies, one a call, then 200.
    pub fn first(replies: Vec<Reply>) -> Host {
        Host::new(move |_, n| replies.get(n).cloned().unwrap_or(Reply::Status(200)))
    }

    fn serve(&self, stream: TcpStream, conn: usize, script: &Script) {
        let mut reader = BufReader::new(stream);
        while let Some(heard) = receive(&mut reader, conn) {
            let place = {
                let mut all = self.heard.lock().unwrap();
                all.push(heard.clone());
                all.len() - 1
            };
            let reply = script(&heard, place);
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
                Reply::Raw(bytes) => bytes.to_string(),
                Reply::Reset => return,
                Reply::Silent => {
                    // Until the relay gives up.
                    let _nothing = reader.read(&mut [0; 1]);
                    return;
                }
            };
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
            let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            self.answers.lock().unwrap().push((heard.id().to_string(), status));
            if matches!(reply, Reply::AndClose) {
                std::thread::sleep(Duration::from_millis(150));
                drop(reader);
                self.closed.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.heard.lock().unwrap().clone()
    }

    pub fn served(&self) -> usize {
        self.answers.lock().unwrap().len()
    }

    pub fn answered(&self, id: &str) -> bool {
        self.answers.lock().unwrap().iter().any(|a| a.0 == id)
    }

    /// Whether it has answered a call of this message with 200.
    pub fn delivered(&self, id: &str) -> bool {
        self.answers.lock().unwrap().iter().any(|a| a.0 == id && a.1 == 200)
    }

    /// Ids of all calls that it answered, and the statuses.
    pub fn all_answered(&self) -> Vec<(String, u16)> {
        self.answers.lock().unwrap().clone()
    }

    pub fn calls_of(&self, id: &str) -> usize {
        self.received().iter().filter(|h| h.id() == id).count()
    }

    pub fn wait_calls(&self, count: usize) -> Vec<ReceivedRequest> {
        until(&format!("{count} calls"), || Some(self.received()).filter(|h| h.len() >= count))
    }
}
