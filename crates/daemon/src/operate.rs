//! What on-call staff operate: the parts that answer the second address.

use mulleinslip_control::{Metrics, OutcomeCounts, RelayControl};
use mulleinslip_engine::{Engine, Names};
use mulleinslip_http::{Clients, HttpCarrier, Intake};
use mulleinslip_journal::Journal;
use mulleinslip_runtime::Clock;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

/// The parts that stand once the process serves.
pub struct Serving {
    pub clients: Rc<Clients>,
    pub carrier: Rc<HttpCarrier>,
    pub engine: Rc<RefCell<Engine<Journal, ()>>>,
    pub intake: Rc<Intake>,
    pub clock: Clock,
}

/// The process as the second address sees it, also while it starts.
pub struct Operator {
    names: Names,
    serving: OnceCell<Serving>,
    /// Another process goes on.
    passed: Cell<bool>,
}

impl Operator {
    /// A process that does not serve yet.
    pub fn new(names: Names) -> Operator {
        Operator { names, serving: OnceCell::new(), passed: Cell::new(false) }
    }

    /// From now on it serves. Said once.
    pub fn serves(&self, parts: Serving) {
        let _said_before = self.serving.set(parts);
    }

    /// Whether another process does.
    pub fn has_passed(&self) -> bool {
        self.passed.get()
    }

    /// From now on another process does.
    pub fn passed(&self) {
        self.passed.set(true);
    }
}

impl RelayControl for Operator {
    fn check(&self) -> Result<(), &'static str> {
        match self.serving.get() {
            None => Err("starting"),
            Some(_) if self.passed.get() => Err("another process goes on"),
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
        let (known_hosts, skipped_hosts) = engine.hosts(parts.clock.now());
        let ends = engine.tally().classes().iter();
        let ends = ends.map(|e| OutcomeCounts { passed: e.delivered, dropped: e.refused, failed: e.failed });
        Metrics {
            classes: names.zip(ends).collect(),
            upstream_tries: parts.carrier.attempts_written(),
            in_progress: if self.passed.get() { 0 } else { engine.held().0 },
            known_hosts,
            skipped_hosts,
        }
    }

    fn drain(&self, on: bool) -> Result<(), &'static str> {
        let parts = self.serving.get().ok_or("starting")?;
        if self.passed.get() {
            return Err("another process goes on");
        }
        parts.clients.drain(on);
        Ok(())
    }
}
