//! Starts the relay: its settings, its hosts, its folder, its thread.

use crate::body::Collected;
use crate::carrier::{Connect, News, TowerCarrier};
use crate::client::{Client, Queue, Shared};
use crate::error::Error;
use crate::front::{OnCarried, Ticket, TowerFront};
use crate::host::Host;
use crate::options::Methods;
use crate::protocol::Protocol;
use http::Response;
use linenhall::Settings;
use mulleinslip_engine::journal::{Journal, RecoveredState};
use mulleinslip_engine::{Engine, Message, Names, Store, VolatileStore};
use mulleinslip_http::{Discovery, List, ListNames, PollCost};
use mulleinslip_runtime::{Clock, Handle, Predecessor, Runtime, ShutdownTimes};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The longest request body, in bytes.
const MOST_REQUEST: usize = 1 << 20;
/// The longest answer that is read, in bytes: as much as gRPC clients take unless told otherwise.
const MOST_ANSWER: usize = 4 << 20;
/// Calls that wait at once: with requests of a KiB or so they hold some 16 MB.
const MOST_WAITING: usize = 16_384;

/// Where the relay hears of hosts. A clone speaks to the same relay.
#[derive(Clone)]
pub struct Endpoints(Arc<dyn Fn(News) -> bool + Send + Sync>);

impl Endpoints {
    /// These are all; what is missing is gone. `false` if the relay has ended.
    pub fn all(&self, hosts: Vec<Host>) -> bool {
        (self.0)(News::Whole(hosts))
    }

    /// These changed. `false` if the relay has ended.
    pub fn changed(&self, hosts: Vec<Host>) -> bool {
        (self.0)(News::Changes(hosts))
    }
}

/// Why the relay doesn't start. Nothing was touched.
#[derive(Debug)]
pub enum StartError {
    /// The folder can't be used: another process has it, or it can't be read or written.
    Folder(PathBuf, std::io::Error),
    /// No thread or runtime of its own.
    Thread(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Folder(folder, e) => write!(f, "folder {}: {e}", folder.display()),
            StartError::Thread(e) => write!(f, "the relay's thread: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// What the relay is told at its start.
pub struct Builder {
    settings: Settings,
    names: Names,
    hosts: Vec<Host>,
    methods: Methods,
    protocol: Protocol,
    folder: Option<(PathBuf, u64)>,
    discovery: Option<(SocketAddr, ListNames)>,
    seed: u64,
    most_request: usize,
    most_answer: usize,
    most_waiting: usize,
    on_carried: OnCarried,
    log: fn(&str),
}

impl Builder {
    /// With the module's settings and the names of its classes and tenants.
    pub fn new(settings: Settings, names: Names) -> Builder {
        Builder {
            settings,
            names,
            hosts: Vec::new(),
            methods: Methods::default(),
            protocol: Protocol::Grpc,
            folder: None,
            discovery: None,
            seed: fastrand::u64(..),
            most_request: MOST_REQUEST,
            most_answer: MOST_ANSWER,
            most_waiting: MOST_WAITING,
            on_carried: Box::new(|_, _| {}),
            log: |words| eprintln!("mulleinslip: {words}"),
        }
    }

    /// The hosts that are known at the start; more may follow by [`Endpoints`].
    pub fn hosts(mut self, hosts: Vec<Host>) -> Builder {
        self.hosts = hosts;
        self
    }

    /// Hosts come from the platform's discovery at this address: asked for the whole list, then watched without a gap.
    /// While it doesn't answer, the list held stays in force. `names` are those of the settings, by index.
    pub fn discovery(mut self, agent: SocketAddr, names: ListNames) -> Builder {
        self.discovery = Some((agent, names));
        self
    }

    /// What calls are, by path.
    pub fn methods(mut self, methods: Methods) -> Builder {
        self.methods = methods;
        self
    }

    /// How answers are read; gRPC unless told otherwise.
    pub fn protocol(mut self, protocol: Protocol) -> Builder {
        self.protocol = protocol;
        self
    }

    /// Keeps what is taken on in this folder, of its own, up to so many bytes. Without one nothing outlasts the
    /// process.
    pub fn folder(mut self, folder: impl Into<PathBuf>, most_bytes: u64) -> Builder {
        self.folder = Some((folder.into(), most_bytes));
        self
    }

    /// The seed of the module's random numbers; another with each start unless told otherwise.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// The longest body of a request, in bytes; 1 MiB unless told otherwise.
    pub fn most_request(mut self, bytes: usize) -> Builder {
        self.most_request = bytes;
        self
    }

    /// The longest body of an answer, in bytes; 4 MiB unless told otherwise. A longer one may have run.
    pub fn most_answer(mut self, bytes: usize) -> Builder {
        self.most_answer = bytes;
        self
    }

    /// Calls that may wait for their end at once; more are refused before their bodies are read. 16,384 unless told
    /// otherwise.
    pub fn most_waiting(mut self, calls: usize) -> Builder {
        self.most_waiting = calls;
        self
    }

    /// Is told the ends of calls that an earlier process had taken on, on the engine's thread: the call's id, and its
    /// end. An undelivered end is forgotten once this returns; a process killed before is told it again.
    pub fn on_carried(
        mut self, told: impl FnMut(&str, Result<&Response<Collected>, &Error>) + Send + 'static,
    ) -> Builder {
        self.on_carried = Box::new(told);
        self
    }

    /// Where lines for the log go; standard error unless told otherwise.
    pub fn log(mut self, log: fn(&str)) -> Builder {
        self.log = log;
        self
    }

    /// Starts it.
    ///
    /// # Errors
    /// The folder is in use or can't be read or written, or there is no thread for it.
    pub fn start<M: Connect>(mut self, connect: M) -> Result<(Client, Running), StartError> {
        match self.folder.take() {
            None => self.run(connect, VolatileStore, RecoveredState::default()),
            Some((folder, most)) => {
                let opened = Journal::open(folder.clone(), most);
                let (journal, left) = opened.map_err(|e| StartError::Folder(folder, e))?;
                left.damage_notes.iter().for_each(|note| (self.log)(note));
                self.run(connect, journal, left)
            }
        }
    }

    fn run<M: Connect, S: Store + Send + 'static>(
        self, connect: M, store: S, left: RecoveredState,
    ) -> Result<(Client, Running), StartError> {
        type Queued<M> =
            (Handle<Ticket, TowerCarrier<M>>, mulleinslip_runtime::Queue<Ticket, TowerCarrier<M>>);
        let queue: Queued<M> = Runtime::<S, Ticket, TowerCarrier<M>, TowerFront>::queue();
        let handle = queue.0.clone();
        let clock = Clock::start();
        let shared = Shared {
            queue: Box::new(handle.clone()),
            names: self.names.clone(),
            classes: self.settings.classes.clone(),
            methods: self.methods,
            protocol: self.protocol,
            clock,
            most_request: self.most_request,
            most_waiting: self.most_waiting,
            waiting: Arc::new(AtomicUsize::new(0)),
            prefix: fastrand::u128(..),
            made: AtomicU64::new(0),
        };
        let (confirm, withdraw) = (handle.clone(), handle.clone());
        let front = TowerFront::new(
            self.on_carried,
            Box::new(move |id| _ = confirm.confirm(vec![id])),
            Box::new(move |id| _ = withdraw.withdraw(id)),
        );
        let (settings, names, seed, log) = (self.settings, self.names, self.seed, self.log);
        let (protocol, most_answer, hosts) = (self.protocol, self.most_answer, self.hosts);
        let (discovery, news) = (self.discovery, handle.clone());
        let (started, starts) = mpsc::channel();
        let serve = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(e) => return drop(started.send(Err(e))),
            };
            let own_limits = settings.own_limits.clone();
            let engine = Engine::new(settings, seed, names, store);
            let carrier = Rc::new(TowerCarrier::new(connect, protocol, most_answer, own_limits));
            let mut relay = Runtime::new(engine, carrier, front, clock, queue, log);
            let _starter_gone = started.send(Ok(()));
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                relay.restore(vec![News::Whole(hosts)], left, &Predecessor::default());
                if let Some((agent, names)) = discovery {
                    let (_stays, place) = watch::channel(agent);
                    let told = move |_, list: List| news.apply_list_update(News::of(&list, &names));
                    tokio::task::spawn_local(Discovery::new(agent, PollCost::Free).watch(None, place, told));
                }
                relay.run().await;
            });
        };
        let thread = std::thread::Builder::new().name("mulleinslip".into()).spawn(serve);
        let thread = thread.map_err(StartError::Thread)?;
        match starts.recv() {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return Err(StartError::Thread(e)),
            Err(_) => return Err(StartError::Thread(std::io::Error::other("it ended at once"))),
        }
        let (news, stops) = (handle.clone(), handle);
        let running = Running {
            endpoints: Endpoints(Arc::new(move |n| news.apply_list_update(n))),
            stop: Box::new(move |times| _ = stops.stop(times)),
            thread: Some(thread),
        };
        Ok((Client(Arc::new(shared)), running))
    }
}

impl<M: Connect> Queue for Handle<Ticket, TowerCarrier<M>> {
    fn submit(&self, message: Box<Message>, ticket: Ticket) -> bool {
        Handle::submit(self, message, ticket)
    }
    fn withdraw(&self, id: u64) {
        let _ended = Handle::withdraw(self, id);
    }
}

/// The relay while it runs. Dropped, it ends at once: attempts that are out may have run, and calls that wait end
/// with [`Error::Stopped`]; with a folder, the next start carries them on.
pub struct Running {
    endpoints: Endpoints,
    stop: Box<dyn Fn(ShutdownTimes) + Send + Sync>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Where to tell news of the hosts.
    pub fn endpoints(&self) -> Endpoints {
        self.endpoints.clone()
    }

    /// Takes on nothing more, lets attempts end, and waits for all that until the deadline. Gives whether every
    /// attempt had ended. Blocks; within a runtime it belongs on a thread that may.
    pub fn shutdown(mut self, within: Duration) -> bool {
        let (start, ms) = (Instant::now(), within.as_secs_f64().min(1e6) * 1000.0);
        // A little before the deadline, so that an attempt's end is still recorded.
        let calls_end_ms = (ms - 100.0).max(ms * 0.9);
        (self.stop)(ShutdownTimes { calls_end_ms, grace_ms: 0.0, exit_ms: ms });
        let ended = self.thread.take().is_none_or(|t| t.join().is_ok());
        ended && start.elapsed() < within
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            (self.stop)(ShutdownTimes { calls_end_ms: 0.0, grace_ms: 0.0, exit_ms: 0.0 });
            // The folder is free when this returns. It takes one turn of the engine's loop.
            let _panicked = thread.join();
        }
    }
}
