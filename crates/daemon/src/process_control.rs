//! The state of the process as the second address shows and controls it.

use mulleinslip_control::{ClientMetrics, Metrics, OutcomeCounts, RelayControl};
use mulleinslip_engine::{Engine, Names};
use mulleinslip_http::{ClientCounts, Clients, HttpCarrier, Intake};
use mulleinslip_journal::Journal;
use mulleinslip_runtime::Clock;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

/// The components that exist once the process serves.
pub struct ServingParts {
    pub clients: Rc<Clients>,
    pub carrier: Rc<HttpCarrier>,
    pub engine: Rc<RefCell<Engine<Journal, ()>>>,
    pub intake: Rc<Intake>,
    pub clock: Clock,
}

/// The process as the second address sees it, from its start on.
pub struct ProcessControl {
    names: Names,
    serving: OnceCell<ServingParts>,
    /// Whether another process has taken over.
    handed_over: Cell<bool>,
}

impl ProcessControl {
    /// Creates the control of a process that does not serve yet.
    pub fn new(names: Names) -> ProcessControl {
        ProcessControl { names, serving: OnceCell::new(), handed_over: Cell::new(false) }
    }

    /// Records that the process serves from now on. Only the first call has an effect.
    pub fn set_serving(&self, parts: ServingParts) {
        let _set_before = self.serving.set(parts);
    }

    /// Returns whether another process has taken over.
    pub fn is_handed_over(&self) -> bool {
        self.handed_over.get()
    }

    /// Records that another process has taken over.
    pub fn set_handed_over(&self) {
        self.handed_over.set(true);
    }
}

impl RelayControl for ProcessControl {
    fn check(&self) -> Result<(), &'static str> {
        match self.serving.get() {
            None => Err("starting"),
            Some(_) if self.handed_over.get() => Err("another process goes on"),
            Some(parts) if parts.intake.stopping.get() => Err("stopping"),
            Some(_) => Ok(()),
        }
    }

    fn metrics(&self) -> Metrics {
        let names = self.names.classes.iter().cloned();
        let Some(parts) = self.serving.get() else {
            let classes = names.map(|name| (name, OutcomeCounts::default())).collect();
            return Metrics { classes, ..Metrics::default() };
        };
        let engine = parts.engine.borrow();
        let (known_hosts, skipped_hosts) = engine.host_counts(parts.clock.now());
        let counts = engine.tally().classes().iter();
        let counts =
            counts.map(|c| OutcomeCounts { passed: c.delivered, dropped: c.refused, failed: c.failed });
        Metrics {
            classes: names.zip(counts).collect(),
            upstream_tries: parts.carrier.attempts_written(),
            upstream_connections: parts.carrier.connections_opened(),
            unrequested_responses: parts.carrier.unrequested_responses(),
            in_progress: if self.handed_over.get() { 0 } else { engine.queued_and_unconfirmed().0 },
            known_hosts,
            skipped_hosts,
            clients: client_metrics(parts.clients.counts()),
            resident_bytes: resident_bytes().unwrap_or_default(),
        }
    }

    fn drain(&self, on: bool) -> Result<(), &'static str> {
        let parts = self.serving.get().ok_or("starting")?;
        if self.handed_over.get() {
            return Err("another process goes on");
        }
        parts.clients.drain(on);
        Ok(())
    }
}

fn client_metrics(counts: ClientCounts) -> ClientMetrics {
    let ClientCounts { connections, input_bytes, no_place, timed_out, refused_incomplete } = counts;
    ClientMetrics { connections, input_bytes, no_place, timed_out, refused_incomplete }
}

/// Returns the resident memory of this process, in bytes, if the system tells.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? * 1024)
}
