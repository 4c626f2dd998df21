//! mulleinslip, the relay on real sockets. Here: the order in which its parts start, and signals.

mod calls;
mod clients;
mod config;
mod conn;
mod discovery;
mod driver;
mod intake;
mod journal;
mod notices;

use config::Config;
use driver::{Clock, Driver, Happened};
use std::cell::{Cell, RefCell};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// The first list is waited for this long; then the list in the configuration has to do.
const FIRST_LIST: Duration = Duration::from_millis(400);
/// From SIGTERM until idle client connections are closed: until then new ones may come.
const KEEP_LISTENING: Duration = Duration::from_millis(450);
/// Descriptors for all that is not a connection of a client or to a host: standard streams 3, event loop and
/// signals 5, listener and one more client than there are places 2, journal 2, discovery 2, notices 2, the
/// configuration 1; the rest is room for what the runtime may need.
const OTHER_DESCRIPTORS: usize = 32;

fn main() -> ExitCode {
    // A task that panics would leave its message without an end and nobody the wiser; a process that ends
    // starts again from its journal.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let done = config::read().and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, serve(config))
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("mulleinslip: {}", why.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: Config) -> Result<(), String> {
    let clock = Clock::start();
    // Before anything that takes time: without a handler a signal ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let opened = journal::Journal::open(config.state.clone(), config.disk_bytes);
    let (journal, left) = opened.map_err(|e| format!("journal in {}: {e}", config.state.display()))?;
    left.notes.iter().for_each(|note| eprintln!("mulleinslip: {note}"));
    let journal = Rc::new(RefCell::new(journal));

    let (events, inbox) = mpsc::unbounded_channel();
    let (notices, notices_inbox) = mpsc::unbounded_channel();
    let connections = config.sockets.saturating_sub(OTHER_DESCRIPTORS).max(2) / 2;
    let calls = Rc::new(calls::Calls::new(&config, connections, clock, journal.clone(), events.clone()));
    let relay = linenhall::Relay::new(config.settings.clone(), config.seed);
    let settings = config.settings.clone();
    let mut driver =
        Driver::new(relay, settings, config.names.clone(), clock, journal, calls.clone(), notices);

    // What discovery's agent has counts as told: a host that has left meanwhile must not be sent to.
    let mut agent = discovery::Discovery::new(config.discovery);
    let first = tokio::time::timeout(FIRST_LIST, agent.ask(None)).await;
    let first = first.map_err(|_| "no answer in time".to_string()).and_then(|list| list);
    let first = first.inspect_err(|e| eprintln!("mulleinslip: first list: {e}; starting from the known one"));
    let index = first.as_ref().ok().map(|list| list.index);
    driver.restore([Some(config.known), first.ok()].into_iter().flatten().collect(), left);

    let (moved, place) = watch::channel(config.discovery);
    spawn_local(notices::run(place.clone(), notices_inbox, events.clone()));
    spawn_local(agent.watch(index, place, events.clone()));
    let file = config.file;
    spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::discovery_now(&file) {
                Ok(address) => {
                    eprintln!("mulleinslip: SIGHUP; discovery and notices at {address}");
                    moved.send_if_modified(|at| std::mem::replace(at, address) != address);
                }
                Err(e) => eprintln!("mulleinslip: SIGHUP; nothing changed: {}", e.replace('\n', " ")),
            }
        }
    });
    spawn_local(async move { calls.sweep().await });
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let listening = listener.local_addr().map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let intake = Rc::new(intake::Intake {
        names: config.names,
        classes: config.settings.classes.clone(),
        events: events.clone(),
        stopping: Cell::new(false),
    });
    let clients = clients::Clients::new(intake.clone(), connections);
    let (close_idle, close) = watch::channel(false);
    spawn_local(clients.clone().sweep());
    spawn_local(clients.serve(listener, close));
    spawn_local(async move {
        terminate.recv().await;
        eprintln!("mulleinslip: SIGTERM; taking on nothing more");
        intake.stopping.set(true);
        let _driver_gone = events.send(Happened::Stop);
        tokio::time::sleep(KEEP_LISTENING).await;
        let _no_clients = close_idle.send(true);
    });
    eprintln!("mulleinslip: {} serves on {listening}", config.name);
    driver.run(inbox).await;
    Ok(())
}
