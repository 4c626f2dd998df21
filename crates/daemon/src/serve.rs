//! The order in which the parts start, and signals.

use crate::account::UsageLogger;
use crate::config::{self, Config};
use crate::hearsay::Hearsay;
use crate::operate::{Operator, Serving};
use crate::takeover::{self, Stand, TakenOver};
use mulleinslip_engine::Engine;

use mulleinslip_http::{
    audit::{self, Step},
    run_notices, CarrierSettings, Clients, Discovery, FetchError, HttpCarrier, HttpFront, Intake, Ticket,
};
use mulleinslip_journal::Journal;
use mulleinslip_membership::{Tombstone, View};
use mulleinslip_runtime::{Clock, Predecessor, Runtime, ShutdownTimes};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// The first list is waited for this long; then the list in the configuration has to do.
const FIRST_LIST: Duration = Duration::from_millis(400);
/// From SIGTERM until idle client connections are closed: until then new ones may come.
const KEEP_LISTENING: Duration = Duration::from_millis(450);
/// SIGKILL may come 3.7 s after SIGTERM; connections go on coming for up to 0.4 s.
const STOP: ShutdownTimes = ShutdownTimes { calls_end_ms: 3500.0, linger_ms: 600.0, exit_ms: 3600.0 };
/// Whoever has begun a request has it answered when the process ends; so long is waited for it, which is longer than a
/// request may take to come whole, and never beyond the end of [`STOP`].
const FINISH: Duration = Duration::from_millis(850);
/// The last part of [`FINISH`], in which those are refused whose request is not whole, and closed.
const FINISH_CLOSE: Duration = Duration::from_millis(300);
/// From SIGTERM until the same is done where something is owed yet: so long before the end of [`STOP`].
const LAST_CLOSE: Duration = Duration::from_millis(3300);
/// Descriptors for all that is not a connection of a client or to a host: standard streams 3, event loop and
/// signals 5, listener and one more client than there are places 2, journal 2, discovery 2, notices 2, the
/// configuration 1, the second address with its callers and one more 10, the socket for a new process and its
/// copy of the listener 3; the rest is room for what the runtime may need.
const OTHER_DESCRIPTORS: usize = 36;
/// A process that takes over has nearly as many of its own before it has a single connection, and both together keep
/// to the limit: 3 standard streams, event loop and signals 5, listener 1, second address 1, journal 2, discovery 2,
/// notices 1, the channel 1; the rest for callers.
const NEXT_PROCESS: usize = 20;

/// Serves as the environment says, until a signal. The error is one line.
pub fn run(account: bool, audit: bool) -> Result<(), String> {
    // A task that panics would leave its message without an end and nobody the wiser; a process that ends
    // starts again from its journal.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let config = config::read()?;
    if audit {
        mulleinslip_http::audit::enable();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config, account))
}

/// A line for the log.
pub fn log(words: &str) {
    eprintln!("mulleinslip: {words}");
}

async fn serve(config: Config, account: bool) -> Result<(), String> {
    let clock = Clock::start();
    // Before anything that takes time: without a handler a signal ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let operator = Rc::new(Operator::new(config.names.clone()));
    if let Some(address) = config.control {
        let control = TcpListener::bind(address).await.map_err(|e| format!("control on {address}: {e}"))?;
        let at = control.local_addr().map_err(|e| format!("control on {address}: {e}"))?;
        log(&format!("{} control on {at}", config.name));
        spawn_local(mulleinslip_control::serve(control, operator.clone()));
    }
    let connections = config.sockets.saturating_sub(OTHER_DESCRIPTORS + NEXT_PROCESS).max(2) / 2;
    let view = Rc::new(RefCell::new(View::new(Vec::new(), config.max_active_destinations)));
    let carrier_settings = CarrierSettings {
        max_open: connections,
        connect_timeout: config.connect_timeout,
        conn_idle_ms: config.settings.conn_idle_ms,
        names: config.list_names,
        own_limits: config.settings.own_limits.clone(),
        report_columns: config.report_columns,
    };
    let carrier = Rc::new(HttpCarrier::new(carrier_settings, view.clone()));
    let (notices, notices_inbox) = mpsc::unbounded_channel();
    let queue = Runtime::<Journal, Ticket, HttpCarrier, HttpFront>::queue();
    let handle = queue.0.clone();
    // What discovery's agent has counts as told: a host that has left meanwhile must not be sent to. Asked before the
    // folder is opened: a process that is taken over from stands still until that is over.
    let mut agent = Discovery::new(config.discovery, config.list_calls).reads(config.max_list_bytes);
    let start = agent.start_after(config.known.index);
    let spread = agent.spread();
    let mut asking = Box::pin(async move {
        tokio::time::sleep(spread).await;
        let first = agent.ask(start).await;
        (agent, first)
    });
    // A call that is late goes on: asked anew it would cost discovery twice.
    let wait = if start.is_some() { Duration::ZERO } else { FIRST_LIST };
    let (agent, first) = match tokio::time::timeout(wait, &mut asking).await {
        Ok((agent, first)) => (Some(agent), first),
        Err(_) => (None, Err(FetchError::Failed("no answer in time".into()))),
    };
    // Where nothing is waited for, nothing is late.
    let first = first.inspect_err(|e| {
        if start.is_none() {
            log(&format!("first list: {e}; starting from the known one"));
        }
    });

    let opened = takeover::open(&config.state, config.disk_bytes).await;
    let (journal, mut left, taken) =
        opened.map_err(|e| format!("journal in {}: {e}", config.state.display()))?;
    for kept in &left.messages {
        audit::note(&kept.message.call_id, || Step::Restored {
            due: kept.message.due,
            attempts: kept.attempts.len(),
            given_up: kept.given_up.is_some(),
        });
    }
    left.notes.iter().for_each(|note| log(note));
    let mut engine = Engine::new(config.settings.clone(), config.seed, config.names.clone(), journal);
    let books = account.then(|| UsageLogger::new(&config.settings, clock.now()));
    books.iter().for_each(|books| engine.observe(Box::new(books.clone())));
    let mut runtime = Runtime::new(engine, carrier.clone(), HttpFront::new(notices), clock, queue, log);

    let offer = taken.as_ref().map(|t| t.offer.clone()).unwrap_or_default();
    takeover::restore_retry_afters(&carrier, &offer.retry_afters);
    let now = clock.now();
    let learnt = takeover::learnt(&offer);
    let waits = offer.retry_afters.iter().cloned().map(|(dest, host, ms)| (dest, host, now + ms)).collect();
    let alive = Predecessor {
        is_running: taken.is_some(),
        attempts_in_flight: offer.attempts_in_flight.clone(),
        retry_afters: waits,
        learnt,
    };
    let (call_off, call_offs) = mpsc::unbounded_channel();
    runtime.cancel_elsewhere(move |id, attempt| {
        let _gone = call_off.send((id, attempt));
    });
    let (told, index) = takeover::lists(&offer, first.ok(), config.discovery);
    let departed = std::mem::take(&mut left.tombstones).into_iter();
    let departed = departed.map(|(name, since_ms, agent, index)| Tombstone { name, since_ms, agent, index });
    *view.borrow_mut() = View::new(departed.collect(), config.max_active_destinations);
    let hearsay = Hearsay::new(view.clone(), runtime.engine(), carrier.clone(), handle.clone(), clock);
    let lists = hearsay.first(config.known, config.discovery, told);
    runtime.restore(lists, left, &alive);

    let (moved, place) = watch::channel(config.discovery);
    spawn_local(run_notices(place.clone(), notices_inbox, handle.clone()));
    let (mut watched, mut index) = (place.clone(), index.or(start));
    let (told_at, calls, most) = (config.discovery, config.list_calls, config.max_list_bytes);
    spawn_local(async move {
        let agent = match agent {
            Some(agent) => agent,
            None => tokio::select! {
                biased;
                // The call that is out went to where the list is told no more.
                Ok(()) = watched.changed() => Discovery::new(told_at, calls).reads(most),
                (agent, first) = asking => {
                    if let Ok(list) = first {
                        index = Some(list.index);
                        if !hearsay.apply(told_at, list) {
                            return;
                        }
                    }
                    agent
                }
            },
        };
        agent.watch(index, watched, move |agent, list| hearsay.apply(agent, list)).await;
    });
    let file = config.file;
    spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::discovery_now(&file) {
                Ok(address) => {
                    log(&format!("SIGHUP; discovery and notices at {address}"));
                    moved.send_if_modified(|at| std::mem::replace(at, address) != address);
                }
                Err(e) => log(&format!("SIGHUP; nothing changed: {}", e.replace('\n', " "))),
            }
        }
    });
    let sweeper = carrier.clone();
    spawn_local(async move { sweeper.sweep().await });
    let passed = taken.as_ref().and_then(|t| t.listener.as_ref()).map(|l| l.try_clone());
    let listener = listen(config.listen, passed.transpose().unwrap_or_default()).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let listening = listener.local_addr().map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let intake = Rc::new(Intake {
        names: config.names,
        classes: config.settings.classes.clone(),
        engine: handle.clone(),
        clock,
        stopping: Cell::new(false),
        away: Cell::default(),
        paused: watch::Sender::new(false),
    });
    let door = listener.as_fd().try_clone_to_owned().map_err(|e| format!("the listener: {e}"))?;
    let clients = Clients::new(intake.clone(), connections);
    spawn_local(clients.clone().sweep());
    spawn_local(clients.clone().serve(listener));
    if let Some(TakenOver { channel, .. }) = taken {
        log("goes on for another process");
        if offer.drained {
            clients.drain(true);
        }
        let (clients, carrier, handle) = (clients.clone(), carrier.clone(), handle.clone());
        spawn_local(takeover::follow(channel, offer.attempts_in_flight, call_offs, clients, carrier, handle));
    }
    let stand = Stand {
        folder: config.state,
        listener: door,
        intake: intake.clone(),
        clients: clients.clone(),
        carrier: carrier.clone(),
        view,
        engine: runtime.engine(),
        clock,
        place: place.clone(),
        handle: handle.clone(),
        operator: operator.clone(),
    };
    let passing = spawn_local(stand.wait());
    operator.serves(Serving {
        clients: clients.clone(),
        carrier,
        engine: runtime.engine(),
        intake: intake.clone(),
        clock,
    });
    let (go, mut told_to_go) = watch::channel(false);
    let (told, leaving) = (Rc::new(Cell::new(Instant::now())), clients.clone());
    let stopped = told.clone();
    spawn_local(async move {
        terminate.recv().await;
        log("SIGTERM; taking on nothing more");
        told.set(Instant::now());
        let _serving_yet = go.send(true);
        intake.stopping.set(true);
        let _stopped_already = handle.stop(STOP);
        tokio::time::sleep(KEEP_LISTENING).await;
        clients.close_idle();
        // SIGKILL may be near: by then nobody may be here that has sent something.
        tokio::time::sleep(LAST_CLOSE.saturating_sub(KEEP_LISTENING)).await;
        clients.finish(Duration::ZERO).await;
    });
    eprintln!("mulleinslip: {} serves on {listening}", config.name);
    runtime.run().await;
    books.iter().for_each(UsageLogger::end);
    if !operator.has_passed() {
        // Nothing is owed any more, but for an answer to those whose request is coming: they may not know yet.
        let exit = Duration::from_secs_f64(STOP.exit_ms / 1000.0);
        let left = exit.saturating_sub(stopped.get().elapsed()).min(FINISH);
        let _left_at_last =
            tokio::time::timeout(left, leaving.finish(left.saturating_sub(FINISH_CLOSE))).await;
    } else {
        let _all_is_passed = passing.await;
        tokio::select! {
            () = takeover::linger() => {}
            _ = told_to_go.changed() => {}
        }
    }
    Ok(())
}

/// Listens, on what an earlier process listened on if that is the address.
async fn listen(at: SocketAddr, passed: Option<std::net::TcpListener>) -> std::io::Result<TcpListener> {
    if let Some(listener) = passed {
        let passed = listener.local_addr()?;
        if passed == at || (at.port() == 0 && passed.ip() == at.ip()) {
            listener.set_nonblocking(true)?;
            return TcpListener::from_std(listener);
        }
    }
    TcpListener::bind(at).await
}
