//! Starts the components in order, handles signals, and serves until the end.

use crate::account::UsageLogger;
use crate::config::{self, Config};
use crate::listeners::{listen_for_clients, serve_control};
use crate::log::log;
use crate::membership_updates::{MembershipUpdates, StartingList};
use crate::process_control::{ProcessControl, ServingParts};
use crate::takeover::{self, TakenOver, TakeoverServer};
use mulleinslip_engine::Engine;
use mulleinslip_http::{
    audit::{self, Step},
    run_notices, CarrierSettings, Clients, Discovery, FetchError, HttpCarrier, HttpFront, Intake, PollCost,
    Ticket,
};
use mulleinslip_journal::Journal;
use mulleinslip_membership::View;
use mulleinslip_runtime::{Clock, Predecessor, Runtime, ShutdownTimes};
use mulleinslip_takeover::calls_lock::{CallsLock, HeldLocks};
use std::cell::{Cell, RefCell};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Time to wait for the first list; after it the relay starts with the list in the configuration.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from SIGTERM until idle client connections are closed; new ones may arrive until then.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(450);
/// Times of the shutdown. SIGKILL may come 3.7 s after SIGTERM; new connections may arrive for 0.4 s.
const SHUTDOWN_TIMES: ShutdownTimes =
    ShutdownTimes { calls_end_ms: 3500.0, grace_ms: 600.0, exit_ms: 3600.0 };
/// Time that the process waits at its end for requests that clients have begun, so that they are answered.
/// Longer than a request may take to arrive completely; the end of [`SHUTDOWN_TIMES`] limits it.
const FINISH_TIMEOUT: Duration = Duration::from_millis(850);
/// The last part of [`FINISH_TIMEOUT`], in which incomplete requests are refused and closed.
const REFUSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from SIGTERM until incomplete requests are refused even if answers are pending: 300 ms before the
/// end of [`SHUTDOWN_TIMES`].
const FORCED_CLOSE_DELAY: Duration = Duration::from_millis(3300);

/// Reads the configuration and serves until SIGTERM or a takeover. The error is one line.
pub fn run(account: bool, audit: bool) -> Result<(), String> {
    // A task that panics would leave its message without a final answer, unnoticed. A process that aborts is
    // restarted and recovers from its journal.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::abort();
    }));
    let config = config::read()?;
    if audit {
        mulleinslip_http::audit::enable();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("Tokio runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config, account))
}

async fn serve(config: Config, account: bool) -> Result<(), String> {
    let clock = Clock::start();
    // First of all, since a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let process_control = Rc::new(ProcessControl::new(config.names.clone()));
    if let Some(address) = config.control {
        let served = serve_control(config.name.clone(), address, process_control.clone()).await;
        served.map_err(|e| format!("control on {address}: {e}"))?;
    }
    let bounds = config.bounds;
    log(&format!("at most {bounds}"));
    let view = Rc::new(RefCell::new(View::new(Vec::new(), bounds.max_active_destinations)));
    let carrier_settings = CarrierSettings {
        max_open: bounds.max_host_connections,
        connect_timeout: config.connect_timeout,
        conn_idle_ms: config.settings.conn_idle_ms,
        names: config.list_names,
        own_limits: config.settings.own_limits.clone(),
        report_columns: config.report_columns,
    };
    let carrier = Rc::new(HttpCarrier::new(carrier_settings, view.clone()));
    let (notice_sender, notice_receiver) = mpsc::unbounded_channel();
    let queue = Runtime::<Journal, Ticket, HttpCarrier, HttpFront>::queue();
    let handle = queue.0.clone();
    // The relay must not send to a host whose departure the agent already knows, so it asks for the list
    // first. It does so before it opens the folder, because a process that is taken over from pauses until
    // the takeover is complete.
    let mut agent =
        Discovery::new(config.discovery, config.poll_cost).with_max_list_bytes(bounds.max_list_bytes);
    // A full list and then a watch are two calls. Where calls are costly the first one is a watch already, as
    // that returns what was missed since the list that the process starts from. Its answer may be older than
    // that list, which may come from another agent with a version count of its own.
    let polls_sparingly = config.poll_cost == PollCost::Costly;
    let start_version: Rc<Cell<Option<u64>>> = Rc::default();
    let (start_delay, asked_from) = (agent.start_delay(), start_version.clone());
    let mut first_request = Box::pin(async move {
        tokio::time::sleep(start_delay).await;
        let first = agent.fetch(asked_from.get()).await;
        (agent, first)
    });
    let (agent, first) = if polls_sparingly {
        (None, None)
    } else {
        // A late call continues in the background: repeating it would cost discovery twice.
        match tokio::time::timeout(FIRST_LIST_TIMEOUT, &mut first_request).await {
            Ok((agent, first)) => (Some(agent), Some(first)),
            Err(_) => (None, Some(Err(FetchError::Failed("no answer in time".into())))),
        }
    };
    let first = first.transpose().unwrap_or_else(|e| {
        log(&format!("no list from discovery: {e}; starting with the known hosts"));
        None
    });

    let opened = takeover::open(&config.state, config.disk_bytes).await;
    let (mut journal, mut recovered, taken_over) =
        opened.map_err(|e| format!("journal in {}: {e}", config.state.display()))?;
    bounds.max_message_memory.into_iter().for_each(|bytes| journal.set_max_message_memory(bytes));
    for recovered_message in &recovered.messages {
        audit::log_step(&recovered_message.message.call_id, || Step::Restored {
            due: recovered_message.message.due,
            attempts: recovered_message.attempts.len(),
            given_up: recovered_message.given_up.is_some(),
        });
    }
    recovered.damage_notes.iter().for_each(|note| log(note));
    let mut engine = Engine::new(config.settings.clone(), config.seed, config.names.clone(), journal);
    let usage_logger = account.then(|| UsageLogger::new(&config.settings, clock.now()));
    usage_logger.iter().for_each(|logger| engine.observe(Box::new(logger.clone())));
    let mut runtime = Runtime::new(engine, carrier.clone(), HttpFront::new(notice_sender), clock, queue, log);

    let handover = taken_over.as_ref().map(|t| t.state.clone()).unwrap_or_default();
    takeover::restore_retry_afters(&carrier, &handover.retry_afters);
    let now = clock.now();
    let learnt = takeover::decode_learnt(&handover);
    let retry_afters =
        handover.retry_afters.iter().cloned().map(|(dest, host, ms)| (dest, host, now + ms)).collect();
    let predecessor = Predecessor {
        is_running: taken_over.is_some(),
        attempts_in_flight: handover.attempts_in_flight.clone(),
        retry_afters,
        learnt,
    };
    let (cancel_sender, cancellations) = mpsc::unbounded_channel();
    runtime.cancel_in_predecessor(move |id, attempt| {
        let _closed = cancel_sender.send((id, attempt));
    });
    let (agent_lists, index) = takeover::decode_lists(&handover, first, config.discovery);
    let starting_list = StartingList::new(&mut recovered, config.known, config.discovery);
    if polls_sparingly {
        start_version.set(starting_list.version);
    }
    *view.borrow_mut() = View::new(starting_list.tombstones, bounds.max_active_destinations);
    let membership_updates =
        MembershipUpdates::new(view.clone(), runtime.engine(), carrier.clone(), handle.clone(), clock);
    let lists = membership_updates.initial_lists(starting_list.list, config.discovery, agent_lists);
    runtime.restore(lists, recovered, &predecessor);

    let (agent_sender, agent_address) = watch::channel(config.discovery);
    spawn_local(run_notices(agent_address.clone(), notice_receiver, handle.clone()));
    let (mut watched_address, mut index) = (agent_address.clone(), index.or(start_version.get()));
    let (first_agent, poll_cost, max_list_bytes) =
        (config.discovery, config.poll_cost, bounds.max_list_bytes);
    spawn_local(async move {
        let agent = match agent {
            Some(agent) => agent,
            None => tokio::select! {
                biased;
                // The address of discovery has changed: the call in flight went to the previous agent.
                Ok(()) = watched_address.changed() => {
                    Discovery::new(first_agent, poll_cost).with_max_list_bytes(max_list_bytes)
                }
                (agent, first) = first_request => {
                    match first {
                        // Another agent may have begun its versions anew: the full list is fetched next.
                        Ok(list) if start_version.get().is_some_and(|start| list.index < start) => index = None,
                        Ok(list) => {
                            index = Some(list.index);
                            if !membership_updates.apply(first_agent, list) {
                                return;
                            }
                        }
                        Err(_) => {}
                    }
                    agent
                }
            },
        };
        agent.watch(index, watched_address, move |agent, list| membership_updates.apply(agent, list)).await;
    });
    let file = config.file;
    spawn_local(async move {
        while reload.recv().await.is_some() {
            match config::reload_discovery(&file) {
                Ok(address) => {
                    log(&format!("SIGHUP; discovery and notices at {address}"));
                    agent_sender.send_if_modified(|current| std::mem::replace(current, address) != address);
                }
                Err(e) => log(&format!("SIGHUP; nothing changed: {}", e.replace('\n', " "))),
            }
        }
    });
    let sweeper = carrier.clone();
    spawn_local(async move { sweeper.check_idle_connections().await });
    let inherited = taken_over.as_ref().and_then(|t| t.listener.as_ref()).map(|l| l.try_clone());
    let listener = listen_for_clients(config.listen, inherited.transpose().unwrap_or_default()).await;
    let listener = listener.map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let listen_address = listener.local_addr().map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let intake = Rc::new(Intake {
        names: config.names,
        classes: config.settings.classes.clone(),
        engine: handle.clone(),
        clock,
        stopping: Cell::new(false),
        drain_mode: Cell::default(),
        paused: watch::Sender::new(false),
    });
    let listener_copy =
        listener.as_fd().try_clone_to_owned().map_err(|e| format!("cannot duplicate the listener: {e}"))?;
    let clients = Clients::new(intake.clone(), bounds.max_clients, bounds.max_input_bytes);
    spawn_local(clients.clone().enforce_time_limits());
    spawn_local(clients.clone().serve(listener));
    if let Some(TakenOver { channel, .. }) = taken_over {
        log("goes on for another process");
        let earlier_calls = CallsLock::held(&config.state).unwrap_or_else(|e| {
            log(&format!("takeover: {e}"));
            HeldLocks::default()
        });
        if handover.drained {
            clients.drain(true);
        }
        let (clients, carrier, handle) = (clients.clone(), carrier.clone(), handle.clone());
        spawn_local(takeover::follow_old_process(
            channel,
            handover.attempts_in_flight,
            cancellations,
            clients,
            carrier,
            handle,
            earlier_calls,
        ));
    }
    let takeover_server = TakeoverServer {
        folder: config.state,
        listener: listener_copy,
        intake: intake.clone(),
        clients: clients.clone(),
        carrier: carrier.clone(),
        view,
        engine: runtime.engine(),
        clock,
        agent_address: agent_address.clone(),
        handle: handle.clone(),
        process_control: process_control.clone(),
        calls_remain: Cell::default(),
        calls_lock: Cell::default(),
    };
    let handover_task = spawn_local(takeover_server.run());
    process_control.set_serving(ServingParts {
        clients: clients.clone(),
        carrier,
        engine: runtime.engine(),
        intake: intake.clone(),
        clock,
    });
    let (stop_sender, mut stop_requested) = watch::channel(false);
    let (stopped_at, closing_clients) = (Rc::new(Cell::new(Instant::now())), clients.clone());
    let stop_time = stopped_at.clone();
    spawn_local(async move {
        terminate.recv().await;
        log("SIGTERM; taking on nothing more");
        stopped_at.set(Instant::now());
        let _still_serving = stop_sender.send(true);
        intake.stopping.set(true);
        let _stopped_already = handle.stop(SHUTDOWN_TIMES);
        tokio::time::sleep(IDLE_CLOSE_DELAY).await;
        clients.close_idle();
        // SIGKILL may follow soon: by then no client with an unanswered request may be connected.
        tokio::time::sleep(FORCED_CLOSE_DELAY.saturating_sub(IDLE_CLOSE_DELAY)).await;
        clients.shut_down(Duration::ZERO).await;
    });
    eprintln!("mulleinslip: {} serves on {listen_address}", config.name);
    runtime.run().await;
    usage_logger.iter().for_each(UsageLogger::finish);
    if !process_control.is_handed_over() {
        // No final answer is pending, but clients that are sending a request may not know yet that the
        // process stops.
        let exit = Duration::from_secs_f64(SHUTDOWN_TIMES.exit_ms / 1000.0);
        let remaining = exit.saturating_sub(stop_time.get().elapsed()).min(FINISH_TIMEOUT);
        let _may_time_out = tokio::time::timeout(
            remaining,
            closing_clients.shut_down(remaining.saturating_sub(REFUSE_TIMEOUT)),
        )
        .await;
    } else {
        let calls_remain = handover_task.await.unwrap_or(true);
        if calls_remain {
            return Ok(());
        }
        tokio::select! {
            () = takeover::serve_last_callers() => {}
            _ = stop_requested.changed() => {}
        }
    }
    Ok(())
}
