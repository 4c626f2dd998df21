//! Passes updates of the list of hosts on: to the carrier at once, to the engine as an event, and to the
//! journal for a later process. [`View`] decides which updates are trusted and which are passed on.

use crate::log::log;
use mulleinslip_engine::Engine;
use mulleinslip_http::{Entry, Handle, HttpCarrier, List, Status};
use mulleinslip_journal::{HostChange, Journal, RecoveredState, StoredHost, StoredList};
use mulleinslip_membership::{Tombstone, TombstoneChange, View, ViewUpdate};
use mulleinslip_runtime::Clock;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of hosts of a list that is stored. A process that starts while no agent answers, after a
/// longer one, sends nothing until an agent does.
const MAX_STORED_HOSTS: usize = 8192;

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
        let mut lists = vec![self.view.borrow_mut().apply_known(known)];
        for list in received {
            let Some(update) = self.update_view(agent, list) else { continue };
            self.store(agent, &update);
            lists.push(update.list);
        }
        lists
    }

    /// Applies a list from an agent, and passes the changes on. Returns `false` once the engine has stopped.
    pub fn apply(&self, agent: SocketAddr, list: List) -> bool {
        let Some(update) = self.update_view(agent, list) else { return true };
        self.carrier.stop_sending_to_drained(&update.list);
        self.store(agent, &update);
        self.handle.apply_list_update(update.list)
    }

    fn update_view(&self, agent: SocketAddr, list: List) -> Option<ViewUpdate> {
        self.view.borrow_mut().apply(agent, list, self.clock.now())
    }

    /// Records an update in the journal. If that fails, the stored list is given up, so that a later process
    /// does not send to a host that has left.
    fn store(&self, agent: SocketAddr, update: &ViewUpdate) {
        let (view, mut engine) = (self.view.borrow(), self.engine.borrow_mut());
        let journal = engine.store_mut();
        let Err(failed) = record_update(journal, &view, agent, update) else { return };
        if *journal.stored_list() != StoredList::Incomplete {
            if !journal.is_released() {
                log_journal(&format!(
                    "the hosts are not stored: {failed}; a restart sends nothing before discovery answers"
                ));
            }
            log_failure(journal.give_up_list());
        }
        if !journal.is_released() {
            let tombstones = update.tombstones.iter().map(tombstone_change).collect();
            log_failure(journal.record_host_changes(tombstones));
        }
    }
}

/// Logs that what is stored about hosts may be out of date.
fn log_failure(recorded: io::Result<()>) {
    if let Err(e) = recorded {
        log_journal(&format!("{e}; after a restart, hosts that have left may count as active"));
    }
}

fn log_journal(text: &str) {
    log(&format!("journal: {text}"));
}

/// Records an update: its changes if the stored list is complete, or else the whole list.
fn record_update(
    journal: &mut Journal, view: &View, agent: SocketAddr, update: &ViewUpdate,
) -> io::Result<()> {
    let catalog = view.members().catalog();
    if catalog.len() > MAX_STORED_HOSTS || !journal.may_store_hosts(catalog.len()) {
        return Err(io::Error::other(format!("{} hosts are too many", catalog.len())));
    }
    let complete = StoredList::Complete { agent: agent.to_string(), index: view.index() };
    let mut changes = Vec::new();
    if matches!(journal.stored_list(), StoredList::Complete { .. }) {
        changes.extend(update.tombstones.iter().map(tombstone_change));
        changes.extend(update.hosts.iter().map(host_change));
        if changes.is_empty() {
            return Ok(());
        }
    } else {
        changes.push(HostChange::List(StoredList::Incomplete));
        let tombstones = view.members().tombstones().into_iter().map(TombstoneChange::Added);
        changes.extend(tombstones.map(|change| tombstone_change(&change)));
        changes.extend(catalog.hosts().map(|entry| host_change(&entry)));
    }
    changes.push(HostChange::List(complete));
    journal.record_host_changes(changes)
}

fn host_change(entry: &Entry) -> HostChange {
    if entry.status == Status::Left {
        return HostChange::Removed(entry.name.clone());
    }
    HostChange::Listed(StoredHost {
        name: entry.name.clone(),
        address: entry.address,
        zone: entry.zone.clone(),
        kind: entry.kind.clone(),
        destination: entry.group,
        leaving: entry.status == Status::Leaving,
        weight: entry.weight,
        since_ms: entry.since_ms,
    })
}

fn tombstone_change(change: &TombstoneChange) -> HostChange {
    match change {
        TombstoneChange::Added(Tombstone { name, since_ms, agent, index }) => {
            HostChange::TombstoneAdded((name.clone(), *since_ms, agent.clone(), *index))
        }
        TombstoneChange::Removed(name) => HostChange::TombstoneRemoved(name.clone()),
    }
}

/// What a process knows of the hosts before an agent answers.
pub struct StartingList {
    /// The hosts.
    pub list: List,
    /// The tombstones of an earlier process.
    pub tombstones: Vec<Tombstone>,
    /// The version from which to ask `agent` for changes; `None` if it has to be asked for the full list.
    pub version: Option<u64>,
}

impl StartingList {
    /// Returns what an earlier process has left. The list of the configuration, `configured`, counts only if
    /// no list of an agent was ever stored: it may be older.
    pub fn new(recovered: &mut RecoveredState, configured: List, agent: SocketAddr) -> StartingList {
        let (list, version) = match &recovered.list {
            StoredList::Never => {
                let version = configured.index;
                (configured, Some(version))
            }
            StoredList::Complete { agent: source, index } => {
                let endpoints = std::mem::take(&mut recovered.hosts).into_iter().map(listed_entry).collect();
                let list = List { index: *index, snapshot: true, endpoints };
                (list, (*source == agent.to_string()).then_some(*index))
            }
            StoredList::Incomplete => (List::default(), None),
        };
        let tombstones = std::mem::take(&mut recovered.tombstones).into_iter();
        let tombstones =
            tombstones.map(|(name, since_ms, agent, index)| Tombstone { name, since_ms, agent, index });
        StartingList { list, tombstones: tombstones.collect(), version }
    }
}

fn listed_entry(host: StoredHost) -> Entry {
    Entry {
        name: host.name,
        address: host.address,
        zone: host.zone,
        kind: host.kind,
        group: host.destination,
        status: if host.leaving { Status::Leaving } else { Status::Active },
        weight: host.weight,
        since_ms: host.since_ms,
    }
}
