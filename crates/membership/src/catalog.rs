//! A compact catalog of all listed hosts. Each host has a record of fixed size; names are in one arena, and
//! zones and kinds are interned. Two hash tables hold indices of records, by name and by destination. The
//! tables store no keys, so each look-up compares the key in the record.

use crate::list::{Entry, Status};
use foldhash::fast::RandomState;
use hashbrown::hash_table::{Entry as TableEntry, HashTable};
use std::collections::HashMap;
use std::hash::BuildHasher;
use std::net::{IpAddr, SocketAddr};

/// Maximum length of a host name. Usual names have ten bytes.
const MAX_NAME_BYTES: usize = u16::MAX as usize;
/// Maximum number of distinct zones, and of distinct kinds. Any further one counts as unknown: a list with
/// more of them is malformed.
const MAX_INTERNED_NAMES: usize = 4096;
/// Index that refers to no record.
const NO_RECORD: u32 = u32::MAX;
/// Records and names grow by this fraction (one eighth) of their size: doubling would take twice the memory
/// in the worst case.
const GROWTH_DIVISOR: usize = 8;

/// An address in eight bytes. Addresses that do not fit are in [`Catalog::ipv6_addresses`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Address {
    V4([u8; 4], u16),
    Ipv6,
}

#[derive(Clone, Debug)]
struct HostRecord {
    destination: u64,
    weight: f64,
    since_ms: f64,
    name_offset: u32,
    /// Index of the next host of the same destination.
    next: u32,
    /// Number of the last full list that contained the host.
    last_full_list: u32,
    name_len: u16,
    zone: u16,
    kind: u16,
    status: Status,
    address: Address,
}

/// What [`Catalog::upsert`] changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upsert {
    /// The entry equals the one in the catalog, or is not accepted.
    Unchanged,
    /// The host was not in the catalog.
    Inserted,
    /// The host was in the catalog with other values.
    Updated {
        /// The destination that the host belonged to before.
        previous_destination: u64,
    },
}

/// Interns strings: stores each distinct one once and refers to it by a number.
#[derive(Clone, Debug, Default)]
struct Interner {
    strings: Vec<Box<str>>,
    numbers: HashMap<Box<str>, u16>,
}

impl Interner {
    fn intern(&mut self, text: &str) -> u16 {
        if let Some(number) = self.numbers.get(text) {
            return *number;
        }
        if self.strings.len() >= MAX_INTERNED_NAMES {
            return u16::MAX;
        }
        let number = self.strings.len() as u16;
        self.strings.push(text.into());
        self.numbers.insert(text.into(), number);
        number
    }

    fn resolve(&self, number: u16) -> &str {
        self.strings.get(usize::from(number)).map_or("", |text| text)
    }
}

/// All listed hosts. See the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    records: Vec<HostRecord>,
    /// Indices of unused records.
    free: Vec<u32>,
    /// The arena of host names.
    names: Vec<u8>,
    /// Bytes of the arena that belong to removed hosts.
    wasted_bytes: usize,
    zones: Interner,
    kinds: Interner,
    /// Addresses of hosts with [`Address::Ipv6`], by index of the record.
    ipv6_addresses: HashMap<u32, SocketAddr>,
    by_name: HashTable<u32>,
    /// Index of the first host of each destination.
    by_destination: HashTable<u32>,
    hash: RandomState,
    /// Number of the full list that is being applied.
    full_list: u32,
}

impl Catalog {
    /// Returns the number of listed hosts.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no host is listed.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the number of destinations that have a host.
    pub fn destinations(&self) -> usize {
        self.by_destination.len()
    }

    /// Returns the memory that the catalog takes, in bytes, including reserved capacity.
    pub fn bytes(&self) -> usize {
        let tables = self.by_name.allocation_size() + self.by_destination.allocation_size();
        self.records.capacity() * size_of::<HostRecord>()
            + self.names.capacity()
            + tables
            + self.free.capacity() * 4
    }

    fn record(&self, index: u32) -> Option<&HostRecord> {
        self.records.get(index as usize)
    }

    fn name(&self, record: &HostRecord) -> &str {
        let offset = record.name_offset as usize;
        let bytes = self.names.get(offset..offset + usize::from(record.name_len)).unwrap_or_default();
        std::str::from_utf8(bytes).unwrap_or_default()
    }

    fn find(&self, name: &str) -> Option<u32> {
        let hash = self.hash.hash_one(name);
        self.by_name
            .find(hash, |index| self.record(*index).is_some_and(|record| self.name(record) == name))
            .copied()
    }

    fn first_host(&self, destination: u64) -> Option<u32> {
        let hash = self.hash.hash_one(destination);
        self.by_destination
            .find(hash, |index| self.record(*index).is_some_and(|record| record.destination == destination))
            .copied()
    }

    fn entry(&self, index: u32) -> Option<Entry> {
        let record = self.record(index)?;
        let address = match record.address {
            Address::V4(ip, port) => SocketAddr::from((ip, port)),
            Address::Ipv6 => *self.ipv6_addresses.get(&index)?,
        };
        Some(Entry {
            name: self.name(record).into(),
            address,
            zone: self.zones.resolve(record.zone).into(),
            kind: self.kinds.resolve(record.kind).into(),
            group: record.destination,
            status: record.status,
            weight: record.weight,
            since_ms: record.since_ms,
        })
    }

    /// Returns the entry of a host.
    pub fn get(&self, name: &str) -> Option<Entry> {
        self.find(name).and_then(|index| self.entry(index))
    }

    /// Returns a host's destination, its status, and its last start as listed.
    pub fn status_of(&self, name: &str) -> Option<(u64, Status, f64)> {
        self.find(name)
            .and_then(|index| self.record(index))
            .map(|record| (record.destination, record.status, record.since_ms))
    }

    /// Returns the hosts of a destination, sorted by name.
    pub fn hosts_of(&self, destination: u64) -> Vec<Entry> {
        let mut found = Vec::new();
        let mut index = self.first_host(destination).unwrap_or(NO_RECORD);
        while let Some(record) = self.record(index) {
            found.extend(self.entry(index));
            index = record.next;
        }
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Returns whether a destination has a host.
    pub fn has_hosts(&self, destination: u64) -> bool {
        self.first_host(destination).is_some()
    }

    /// Returns all hosts, in no particular order.
    pub fn hosts(&self) -> impl Iterator<Item = Entry> + '_ {
        self.by_name.iter().filter_map(|index| self.entry(*index))
    }

    /// Inserts or updates a host. An entry whose name is longer than 65,535 bytes is ignored.
    pub fn upsert(&mut self, entry: &Entry) -> Upsert {
        if entry.name.len() > MAX_NAME_BYTES {
            return Upsert::Unchanged;
        }
        let (zone, kind) = (self.zones.intern(&entry.zone), self.kinds.intern(&entry.kind));
        let address = match entry.address.ip() {
            IpAddr::V4(ip) => Address::V4(ip.octets(), entry.address.port()),
            IpAddr::V6(_) => Address::Ipv6,
        };
        let full_list = self.full_list;
        let Some(index) = self.find(&entry.name) else {
            let record = HostRecord {
                destination: entry.group,
                weight: entry.weight,
                since_ms: entry.since_ms,
                name_offset: self.names.len() as u32,
                next: NO_RECORD,
                last_full_list: full_list,
                name_len: entry.name.len() as u16,
                zone,
                kind,
                status: entry.status,
                address,
            };
            self.add(record, entry);
            return Upsert::Inserted;
        };
        let ipv6_address = (address == Address::Ipv6).then_some(entry.address);
        let ipv6_address_before = self.ipv6_addresses.get(&index).copied();
        let Some(record) = self.records.get_mut(index as usize) else { return Upsert::Unchanged };
        record.last_full_list = full_list;
        let updated = (
            entry.group,
            entry.weight.to_bits(),
            entry.since_ms.to_bits(),
            zone,
            kind,
            entry.status,
            address,
        );
        let current = (
            record.destination,
            record.weight.to_bits(),
            record.since_ms.to_bits(),
            record.zone,
            record.kind,
            record.status,
            record.address,
        );
        if updated == current && ipv6_address == ipv6_address_before {
            return Upsert::Unchanged;
        }
        let previous_destination = record.destination;
        (record.weight, record.since_ms, record.zone, record.kind) =
            (entry.weight, entry.since_ms, zone, kind);
        (record.status, record.address) = (entry.status, address);
        match ipv6_address {
            Some(address) => drop(self.ipv6_addresses.insert(index, address)),
            None => drop(self.ipv6_addresses.remove(&index)),
        }
        if previous_destination != entry.group {
            self.unlink(index, previous_destination);
            self.link(index, entry.group);
        }
        Upsert::Updated { previous_destination }
    }

    fn add(&mut self, record: HostRecord, entry: &Entry) {
        let hash = self.hash.hash_one(entry.name.as_str());
        if self.names.len() + entry.name.len() > self.names.capacity() {
            self.names.reserve_exact(entry.name.len().max(1024).max(self.names.len() / GROWTH_DIVISOR));
        }
        self.names.extend_from_slice(entry.name.as_bytes());
        let index = match self.free.pop() {
            Some(index) => {
                if let Some(unused) = self.records.get_mut(index as usize) {
                    *unused = record;
                }
                index
            }
            None => {
                if self.records.len() == self.records.capacity() {
                    self.records.reserve_exact((self.records.len() / GROWTH_DIVISOR).max(16));
                }
                self.records.push(record);
                self.records.len() as u32 - 1
            }
        };
        if entry.address.is_ipv6() {
            self.ipv6_addresses.insert(index, entry.address);
        }
        let (records, names, hasher) = (&self.records, &self.names, &self.hash);
        let name = |index: &u32| {
            let record = records.get(*index as usize);
            let bytes = record.and_then(|record| {
                names.get(
                    record.name_offset as usize..record.name_offset as usize + usize::from(record.name_len),
                )
            });
            hasher.hash_one(std::str::from_utf8(bytes.unwrap_or_default()).unwrap_or_default())
        };
        self.by_name.insert_unique(hash, index, name);
        self.link(index, entry.group);
    }

    /// Makes a record the first one of its destination.
    fn link(&mut self, index: u32, destination: u64) {
        let hash = self.hash.hash_one(destination);
        let (records, hasher) = (&self.records, &self.hash);
        let destination_of = |index: &u32| records.get(*index as usize).map(|record| record.destination);
        let slot = self.by_destination.entry(
            hash,
            |index| destination_of(index) == Some(destination),
            |index| hasher.hash_one(destination_of(index).unwrap_or_default()),
        );
        let next = match slot {
            TableEntry::Occupied(mut first) => std::mem::replace(first.get_mut(), index),
            TableEntry::Vacant(vacant) => {
                vacant.insert(index);
                NO_RECORD
            }
        };
        if let Some(record) = self.records.get_mut(index as usize) {
            (record.destination, record.next) = (destination, next);
        }
    }

    fn unlink(&mut self, index: u32, destination: u64) {
        let after = self.record(index).map_or(NO_RECORD, |record| record.next);
        let Some(first) = self.first_host(destination) else { return };
        if first == index {
            let hash = self.hash.hash_one(destination);
            let records = &self.records;
            let found = self.by_destination.find_entry(hash, |found| {
                records.get(*found as usize).is_some_and(|record| record.destination == destination)
            });
            if let Ok(mut found) = found {
                match after {
                    NO_RECORD => drop(found.remove()),
                    after => *found.get_mut() = after,
                }
            }
            return;
        }
        let mut before = first;
        while let Some(record) = self.records.get_mut(before as usize) {
            if record.next == index {
                record.next = after;
                return;
            }
            before = record.next;
        }
    }

    /// Removes a host. Returns its entry.
    pub fn remove(&mut self, name: &str) -> Option<Entry> {
        let index = self.find(name)?;
        let entry = self.entry(index)?;
        let hash = self.hash.hash_one(name);
        if let Ok(found) = self.by_name.find_entry(hash, |found| *found == index) {
            found.remove();
        }
        self.unlink(index, entry.group);
        self.ipv6_addresses.remove(&index);
        self.free.push(index);
        self.wasted_bytes += name.len();
        if self.wasted_bytes > 4096 && self.wasted_bytes * 2 > self.names.len() {
            self.compact();
        }
        Some(entry)
    }

    /// Drops the names of removed hosts from the arena.
    fn compact(&mut self) {
        let mut names = Vec::with_capacity(self.names.len() - self.wasted_bytes);
        for index in self.by_name.iter() {
            let Some(record) = self.records.get_mut(*index as usize) else { continue };
            let from = record.name_offset as usize;
            record.name_offset = names.len() as u32;
            names.extend_from_slice(
                self.names.get(from..from + usize::from(record.name_len)).unwrap_or_default(),
            );
        }
        (self.names, self.wasted_bytes) = (names, 0);
    }

    /// Begins a full list. A host that is not passed to [`Catalog::mark_listed`] or [`Catalog::upsert`] from
    /// now on is not in it.
    pub fn begin_full_list(&mut self) {
        self.full_list = self.full_list.wrapping_add(1);
    }

    /// Records that the full list contains this host.
    pub fn mark_listed(&mut self, name: &str) {
        let full_list = self.full_list;
        let record = self.find(name).and_then(|index| self.records.get_mut(index as usize));
        record.into_iter().for_each(|record| record.last_full_list = full_list);
    }

    /// Returns the names of hosts that the full list does not contain, sorted.
    pub fn unlisted(&self) -> Vec<String> {
        let full_list = self.full_list;
        let unlisted = self
            .by_name
            .iter()
            .filter_map(|index| self.record(*index))
            .filter(|record| record.last_full_list != full_list);
        let mut unlisted: Vec<String> = unlisted.map(|record| self.name(record).to_string()).collect();
        unlisted.sort_unstable();
        unlisted
    }
}
