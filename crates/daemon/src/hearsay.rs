//! What the relay is told of hosts, on its way to those who act on it: the carrier at once, the decisions in their turn, the
//! folder for a later process. Who is believed, and what of it
//! is told on, is [`View`]'s.

use mulleinslip_engine::Engine;
use mulleinslip_http::{Handle, HttpCarrier, List};
use mulleinslip_journal::Journal;
use mulleinslip_membership::{Members, View};
use mulleinslip_runtime::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// See the module's page.
pub struct Hearsay {
    view: Rc<RefCell<View>>,
    engine: Rc<RefCell<Engine<Journal, ()>>>,
    carrier: Rc<HttpCarrier>,
    handle: Handle,
    clock: Clock,
}

impl Hearsay {
    /// Goes on from what an earlier process was told, which is in the view.
    pub fn new(
        view: Rc<RefCell<View>>, engine: Rc<RefCell<Engine<Journal, ()>>>, carrier: Rc<HttpCarrier>,
        handle: Handle, clock: Clock,
    ) -> Hearsay {
        Hearsay { view, engine, carrier, handle, clock }
    }

    /// The lists to start from: the one known from before, then what the agent has told already.
    pub fn first(&self, known: List, agent: SocketAddr, told: Vec<List>) -> Vec<List> {
        let (now, mut view) = (self.clock.now(), self.view.borrow_mut());
        let known = view.apply_known(known);
        let told: Vec<_> = told.into_iter().filter_map(|list| view.apply(agent, list, now)).collect();
        if told.iter().any(|told| told.tombstones_changed) {
            self.keep(view.members());
        }
        [known].into_iter().chain(told.into_iter().map(|told| told.list)).collect()
    }

    /// News of an agent. `false` once nobody serves any more.
    pub fn apply(&self, agent: SocketAddr, list: List) -> bool {
        let mut view = self.view.borrow_mut();
        let Some(told) = view.apply(agent, list, self.clock.now()) else { return true };
        self.carrier.stop_sending_to_drained(&told.list);
        if told.tombstones_changed {
            self.keep(view.members());
        }
        self.handle.list(told.list)
    }

    fn keep(&self, members: &Members) {
        let rows = members.tombstones().into_iter().map(|d| (d.name, d.since_ms, d.agent, d.index)).collect();
        let kept = self.engine.borrow_mut().store_mut().record_tombstones(rows);
        if let Err(e) = kept {
            eprintln!("mulleinslip: journal: {e}; a restart may take hosts for listed that have left");
        }
    }
}
