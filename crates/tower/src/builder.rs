//! Configures and starts the relay on its own thread.

use crate::body::Collected;
use crate::carrier::{Connect, HostUpdate, TowerCarrier};
use crate::client::{Client, EngineQueue, Shared};
use crate::error::Error;
use crate::front::{RecoveredCallback, Ticket, TowerFront};
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

/// Default maximum length of a request body.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Default maximum length of a response body; the same as the default of gRPC clients.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Default maximum number of waiting calls. With requests of about 1 KiB they take about 16 MB.
const MAX_WAITING_CALLS: usize = 16_384;

/// Handle to update the relay's hosts. Clones are handles to the same relay.
#[derive(Clone)]
pub struct Endpoints(Arc<dyn Fn(HostUpdate) -> bool + Send + Sync>);

impl Endpoints {
    /// Replaces the list of hosts; hosts that are not in it are removed. Returns `false` if the relay has
    /// ended.
    pub fn all(&self, hosts: Vec<Host>) -> bool {
        (self.0)(HostUpdate::Full(hosts))
    }

    /// Adds, changes or removes the given hosts; all others stay. Returns `false` if the relay has ended.
    pub fn changed(&self, hosts: Vec<Host>) -> bool {
        (self.0)(HostUpdate::Delta(hosts))
    }
}

/// Why the relay could not start. The state folder is unchanged.
#[derive(Debug)]
pub enum StartError {
    /// The state folder can't be used: another process uses it, or it can't be read or written.
    Folder(PathBuf, std::io::Error),
    /// The relay's thread or its async runtime could not be started.
    Thread(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Folder(folder, e) => write!(f, "folder {}: {e}", folder.display()),
            StartError::Thread(e) => write!(f, "can't start the relay's thread: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Configures and starts a relay.
pub struct Builder {
    settings: Settings,
    names: Names,
    hosts: Vec<Host>,
    methods: Methods,
    protocol: Protocol,
    folder: Option<(PathBuf, u64)>,
    discovery: Option<(SocketAddr, ListNames)>,
    seed: u64,
    max_request_bytes: usize,
    max_response_bytes: usize,
    max_waiting_calls: usize,
    on_carried: RecoveredCallback,
    log: fn(&str),
}

impl Builder {
    /// Returns a builder with the settings of the decision module and the names of its classes and tenants.
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
            max_request_bytes: MAX_REQUEST_BYTES,
            max_response_bytes: MAX_RESPONSE_BYTES,
            max_waiting_calls: MAX_WAITING_CALLS,
            on_carried: Box::new(|_, _| {}),
            log: |line| eprintln!("mulleinslip: {line}"),
        }
    }

    /// Sets the hosts that are known at the start. [`Endpoints`] updates them later.
    pub fn hosts(mut self, hosts: Vec<Host>) -> Builder {
        self.hosts = hosts;
        self
    }

    /// Gets the hosts from the platform's discovery agent at the given address: the full list first, then a
    /// watch that misses no change. While the agent doesn't answer, the last list stays in force. `names` are
    /// the names of the zones and kinds in the settings, by index.
    pub fn discovery(mut self, agent: SocketAddr, names: ListNames) -> Builder {
        self.discovery = Some((agent, names));
        self
    }

    /// Sets the table of call options by path.
    pub fn methods(mut self, methods: Methods) -> Builder {
        self.methods = methods;
        self
    }

    /// Sets how responses are interpreted. Default: [`Protocol::Grpc`].
    pub fn protocol(mut self, protocol: Protocol) -> Builder {
        self.protocol = protocol;
        self
    }

    /// Stores accepted calls in the given folder, which only this relay may use, up to `max_bytes` bytes.
    /// Without a folder no call survives the process.
    pub fn folder(mut self, folder: impl Into<PathBuf>, max_bytes: u64) -> Builder {
        self.folder = Some((folder.into(), max_bytes));
        self
    }

    /// Sets the seed of the decision module's random numbers. Default: a random seed at each start.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = seed;
        self
    }

    /// Sets the maximum length of a request body in bytes. Default: 1 MiB.
    pub fn most_request(mut self, bytes: usize) -> Builder {
        self.max_request_bytes = bytes;
        self
    }

    /// Sets the maximum length of a response body in bytes. Default: 4 MiB. A call whose response is longer
    /// counts as one that may have run.
    pub fn most_answer(mut self, bytes: usize) -> Builder {
        self.max_response_bytes = bytes;
        self
    }

    /// Sets the maximum number of calls that wait for a result at once. Calls above it are refused before
    /// their bodies are read. Default: 16,384.
    pub fn most_waiting(mut self, calls: usize) -> Builder {
        self.max_waiting_calls = calls;
        self
    }

    /// Sets the callback for the results of calls that an earlier process had accepted. It is called on the
    /// engine's thread with the call's id and the result. The result of a call that was not delivered is
    /// dropped from the state folder once the callback returns; if the process is killed before that, the
    /// next process reports it again.
    pub fn on_carried(
        mut self, callback: impl FnMut(&str, Result<&Response<Collected>, &Error>) + Send + 'static,
    ) -> Builder {
        self.on_carried = Box::new(callback);
        self
    }

    /// Sets the function that writes log lines. Default: standard error.
    pub fn log(mut self, log: fn(&str)) -> Builder {
        self.log = log;
        self
    }

    /// Starts the relay.
    ///
    /// # Errors
    /// The state folder is in use or can't be read or written, or the relay's thread can't be started.
    pub fn start<M: Connect>(mut self, connect: M) -> Result<(Client, Running), StartError> {
        match self.folder.take() {
            None => self.run(connect, VolatileStore, RecoveredState::default()),
            Some((folder, max_bytes)) => {
                let opened = Journal::open(folder.clone(), max_bytes);
                let (journal, recovered) = opened.map_err(|e| StartError::Folder(folder, e))?;
                recovered.damage_notes.iter().for_each(|note| (self.log)(note));
                self.run(connect, journal, recovered)
            }
        }
    }

    fn run<M: Connect, S: Store + Send + 'static>(
        self, connect: M, store: S, recovered: RecoveredState,
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
            max_request_bytes: self.max_request_bytes,
            max_waiting_calls: self.max_waiting_calls,
            waiting_calls: Arc::new(AtomicUsize::new(0)),
            id_prefix: fastrand::u128(..),
            generated_ids: AtomicU64::new(0),
        };
        let (confirm, withdraw) = (handle.clone(), handle.clone());
        let front = TowerFront::new(
            self.on_carried,
            Box::new(move |id| _ = confirm.confirm(vec![id])),
            Box::new(move |id| _ = withdraw.withdraw(id)),
        );
        let (settings, names, seed, log) = (self.settings, self.names, self.seed, self.log);
        let (protocol, max_response_bytes, hosts) = (self.protocol, self.max_response_bytes, self.hosts);
        let (discovery, host_updates) = (self.discovery, handle.clone());
        let (start_sender, start_receiver) = mpsc::channel();
        let serve = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(e) => return drop(start_sender.send(Err(e))),
            };
            let own_limits = settings.own_limits.clone();
            let engine = Engine::new(settings, seed, names, store);
            let carrier = Rc::new(TowerCarrier::new(connect, protocol, max_response_bytes, own_limits));
            let mut relay = Runtime::new(engine, carrier, front, clock, queue, log);
            let _starter_gone = start_sender.send(Ok(()));
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                relay.restore(vec![HostUpdate::Full(hosts)], recovered, &Predecessor::default());
                if let Some((agent, names)) = discovery {
                    let (_address_sender, agent_address) = watch::channel(agent);
                    let apply_list = move |_, list: List| {
                        host_updates.apply_list_update(HostUpdate::from_list(&list, &names))
                    };
                    tokio::task::spawn_local(Discovery::new(agent, PollCost::Free).watch(
                        None,
                        agent_address,
                        apply_list,
                    ));
                }
                relay.run().await;
            });
        };
        let thread = std::thread::Builder::new().name("mulleinslip".into()).spawn(serve);
        let thread = thread.map_err(StartError::Thread)?;
        match start_receiver.recv() {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return Err(StartError::Thread(e)),
            Err(_) => {
                return Err(StartError::Thread(std::io::Error::other(
                    "the thread ended before the relay had started",
                )))
            }
        }
        let (host_updates, stop) = (handle.clone(), handle);
        let running = Running {
            endpoints: Endpoints(Arc::new(move |update| host_updates.apply_list_update(update))),
            stop: Box::new(move |times| _ = stop.stop(times)),
            thread: Some(thread),
        };
        Ok((Client(Arc::new(shared)), running))
    }
}

impl<M: Connect> EngineQueue for Handle<Ticket, TowerCarrier<M>> {
    fn submit(&self, message: Box<Message>, ticket: Ticket) -> bool {
        Handle::submit(self, message, ticket)
    }
    fn withdraw(&self, id: u64) {
        let _ended = Handle::withdraw(self, id);
    }
}

/// A running relay. Dropping it stops the relay at once: attempts in flight may have run, and waiting calls
/// end with [`Error::Stopped`]. With a state folder, the next process on that folder continues them.
pub struct Running {
    endpoints: Endpoints,
    stop: Box<dyn Fn(ShutdownTimes) + Send + Sync>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Returns a handle to update the hosts.
    pub fn endpoints(&self) -> Endpoints {
        self.endpoints.clone()
    }

    /// Stops the relay: accepts no new calls and waits until all attempts have ended, at most for the given
    /// time. Returns whether they have ended in that time. Blocks the thread; from async code, call it on a
    /// thread that may block.
    pub fn shutdown(mut self, within: Duration) -> bool {
        let (start, ms) = (Instant::now(), within.as_secs_f64().min(1e6) * 1000.0);
        // Calls end a little before the deadline, so that the outcome of an attempt can still be recorded.
        let calls_end_ms = (ms - 100.0).max(ms * 0.9);
        (self.stop)(ShutdownTimes { calls_end_ms, grace_ms: 0.0, exit_ms: ms });
        let ended = self.thread.take().is_none_or(|thread| thread.join().is_ok());
        ended && start.elapsed() < within
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            (self.stop)(ShutdownTimes { calls_end_ms: 0.0, grace_ms: 0.0, exit_ms: 0.0 });
            // Waits for the thread, so that the state folder is free on return. This takes one iteration of
            // the engine's loop.
            let _panicked = thread.join();
        }
    }
}
