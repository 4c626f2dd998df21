//! The hosts as this relay last knew them, and the tombstones of those that left. A process that starts while
//! no discovery agent answers starts from these: the list in its configuration may be older.
//!
//! Each change is one record. The stored list is either complete or not used at all: a host whose departure
//! could not be recorded must not come back as an active one.

use crate::record::{frame, unframe, Record, StoredHost, StoredList, TombstoneRecord};
use std::collections::BTreeMap;
use std::io;

/// Number of tombstones that are kept when the stored list is given up; the newest ones.
const MIN_TOMBSTONES: usize = 128;

/// A change of what is stored about hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum HostChange {
    /// A host is listed with these values.
    Listed(StoredHost),
    /// The host of this name is not listed any more.
    Removed(String),
    /// A host was reported as leaving or removed. Replaces an earlier tombstone of the host.
    TombstoneAdded(TombstoneRecord),
    /// The tombstone of the host of this name no longer applies.
    TombstoneRemoved(String),
    /// What the stored hosts stand for from now on. [`StoredList::Incomplete`] drops all hosts and tombstones
    /// that were recorded before.
    List(StoredList),
}

/// Key of a live record, in the order in which compaction writes them: [`StoredList::Incomplete`] drops what
/// is recorded before it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RowKey {
    List,
    Host(String),
    Tombstone(String),
}

/// The frames of the live records about hosts.
#[derive(Default)]
pub(crate) struct HostTable {
    list: StoredList,
    rows: BTreeMap<RowKey, Vec<u8>>,
    bytes: u64,
    /// Sequence number of the next tombstone.
    next_sequence: u64,
}

impl HostTable {
    /// Returns what the hosts stand for.
    pub(crate) fn list(&self) -> &StoredList {
        &self.list
    }

    /// Returns the size of the live records, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends the live records to `contents`.
    pub(crate) fn write_to(&self, contents: &mut impl io::Write) -> io::Result<()> {
        self.rows.values().try_for_each(|row| contents.write_all(row))
    }

    fn set(&mut self, key: RowKey, row: Vec<u8>) {
        self.bytes += row.len() as u64;
        let replaced = self.rows.insert(key, row).unwrap_or_default();
        self.bytes -= replaced.len() as u64;
    }

    fn remove(&mut self, key: &RowKey) {
        self.bytes -= self.rows.remove(key).unwrap_or_default().len() as u64;
    }

    /// Returns how much the live records grow by these, in bytes; negative if they shrink.
    pub(crate) fn growth(&self, records: &[(Record, Vec<u8>)]) -> i64 {
        let growth = records.iter().map(|(record, row)| {
            let (key, is_live) = match record {
                Record::Host(host) => (RowKey::Host(host.name.clone()), true),
                Record::HostRemoved(name) => (RowKey::Host(name.clone()), false),
                Record::Tombstone(_, tombstone) => (RowKey::Tombstone(tombstone.0.clone()), true),
                Record::TombstoneRemoved(name) => (RowKey::Tombstone(name.clone()), false),
                _ => (RowKey::List, true),
            };
            let replaced = self.rows.get(&key).map_or(0, Vec::len);
            if is_live {
                row.len() as i64 - replaced as i64
            } else {
                -(replaced as i64)
            }
        });
        growth.sum()
    }

    /// Applies a record and its frame. Records of other kinds change nothing.
    pub(crate) fn apply(&mut self, record: Record, row: Vec<u8>) {
        match record {
            Record::Host(host) => self.set(RowKey::Host(host.name), row),
            Record::HostRemoved(name) => self.remove(&RowKey::Host(name)),
            Record::Tombstone(sequence, tombstone) => {
                self.next_sequence = self.next_sequence.max(sequence + 1);
                self.set(RowKey::Tombstone(tombstone.0), row);
            }
            Record::TombstoneRemoved(name) => self.remove(&RowKey::Tombstone(name)),
            Record::HostList(list) => {
                if list == StoredList::Incomplete {
                    self.rows.clear();
                    self.bytes = 0;
                }
                self.list = list;
                self.set(RowKey::List, row);
            }
            _ => {}
        }
    }

    /// Converts a change into the record that is stored.
    pub(crate) fn record(&mut self, change: HostChange) -> Record {
        match change {
            HostChange::Listed(host) => Record::Host(host),
            HostChange::Removed(name) => Record::HostRemoved(name),
            HostChange::TombstoneAdded(tombstone) => {
                self.next_sequence += 1;
                Record::Tombstone(self.next_sequence - 1, tombstone)
            }
            HostChange::TombstoneRemoved(name) => Record::TombstoneRemoved(name),
            HostChange::List(list) => Record::HostList(list),
        }
    }

    /// Applies tombstones in the form of earlier versions, which recorded all of them at once.
    pub(crate) fn apply_all_tombstones(&mut self, tombstones: Vec<TombstoneRecord>) -> io::Result<()> {
        for tombstone in tombstones {
            let record = self.record(HostChange::TombstoneAdded(tombstone));
            let row = frame(&record)?;
            self.apply(record, row);
        }
        Ok(())
    }

    /// Returns the tombstones with their sequence numbers, the oldest first.
    pub(crate) fn tombstones(&self) -> Vec<(u64, TombstoneRecord)> {
        let records = self.rows.values().filter_map(|row| unframe(row));
        let mut tombstones: Vec<_> = records
            .filter_map(|(record, _)| match record {
                Record::Tombstone(sequence, tombstone) => Some((sequence, tombstone)),
                _ => None,
            })
            .collect();
        tombstones.sort_by_key(|(sequence, _)| *sequence);
        tombstones
    }

    /// Returns the hosts, sorted by name; none unless the list is complete.
    pub(crate) fn listed_hosts(&self) -> Vec<StoredHost> {
        if !matches!(self.list, StoredList::Complete { .. }) {
            return Vec::new();
        }
        let records = self.rows.values().filter_map(|row| unframe(row));
        let hosts = records.filter_map(|(record, _)| match record {
            Record::Host(host) => Some(host),
            _ => None,
        });
        hosts.collect()
    }

    /// Drops the stored hosts and all but the newest tombstones.
    pub(crate) fn give_up_list(&mut self) -> io::Result<()> {
        let tombstones = self.tombstones();
        let surplus = tombstones.len().saturating_sub(MIN_TOMBSTONES);
        let list = Record::HostList(StoredList::Incomplete);
        let kept = tombstones.into_iter().skip(surplus);
        let kept = kept.map(|(sequence, tombstone)| Record::Tombstone(sequence, tombstone));
        for record in std::iter::once(list).chain(kept) {
            let row = frame(&record)?;
            self.apply(record, row);
        }
        Ok(())
    }
}
