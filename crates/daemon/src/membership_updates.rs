//! Passes updates of the list of hosts on: to the carrier at once, to the engine as an event, and tombstones
//! to the journal for a later process. [`View`] decides which updates are trusted and which are passed on.

use mulleinslip_engine::Engine;
use mulleinslip_http::{Handle, HttpCarrier, List};
use mulleinslip_journal::Journal;
use mulleinslip_membership::{Members, View};
use mulleinslip_runtime::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Applies lists from discovery to the view, and passes the changes on. See the module's documentation.
pub struct MembershipUpdates {
    view: Rc<RefCell<View>>,
    engine: Rc<RefCell<Engine<Journal, ()>>>,
    carrier: Rc<HttpCarrier>,
    handle: Handle,
    clock: Clock,
}

impl MembershipUpdates {
    /// Connects the components. `view` must already have the tombstones of an earlier process.
    pub fn new(
        view: Rc<RefCell<View>>, engine: Rc<RefCell<Engine<Journal, ()>>>, carrier: Rc<HttpCarrier>,
        handle: Handle, clock: Clock,
    ) -> MembershipUpdates {
        MembershipUpdates { view, engine, carrier, handle, clock }
    }

    /// Applies the lists to start from: the known one, then those that the agent has sent already. Returns
    /// the changes.
    pub fn initial_lists(&self, known: List, agent: SocketAddr, received: Vec<List>) -> Vec<List> {
        let (now, mut view) = (self.clock.now(), self.view.borrow_mut());
        let known = view.apply_known(known);
        let updates: Vec<_> = received.into_iter().filter_map(|list| view.apply(agent, list, now)).collect();
        if updates.iter().any(|update| update.tombstones_changed) {
            self.record_tombstones(view.members());
        }
        [known].into_iter().chain(updates.into_iter().map(|update| update.list)).collect()
    }

    /// Applies a list from an agent, and passes the changes on. Returns `false` once the engine has stopped.
    pub fn apply(&self, agent: SocketAddr, list: List) -> bool {
        let mut view = self.view.borrow_mut();
        let Some(update) = view.apply(agent, list, self.clock.now()) else { return true };
        self.carrier.stop_sending_to_drained(&update.list);
        if update.tombstones_changed {
            self.record_tombstones(view.members());
        }
        self.handle.apply_list_update(update.list)
    }

    fn record_tombstones(&self, members: &Members) {
        let rows = members.tombstones().into_iter().map(|t| (t.name, t.since_ms, t.agent, t.index)).collect();
        let recorded = self.engine.borrow_mut().store_mut().record_tombstones(rows);
        if let Err(e) = recorded {
            eprintln!("mulleinslip: journal: {e}; after a restart, hosts that have left may count as active");
        }
    }
}
