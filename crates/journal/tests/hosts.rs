//! What the journal keeps about hosts, over restarts, failed writes and damage.
mod common;
use common::empty_folder;
use mulleinslip_journal::{HostChange, Journal, RecoveredState, StoredHost, StoredList};
use std::fs;
use std::path::Path;

/// A folder of three megabytes, as relays have.
const MAX_BYTES: u64 = 3_000_000;
/// The largest fleet has so many hosts.
const HOSTS: usize = 3200;

fn listed(number: usize) -> HostChange {
    HostChange::Listed(StoredHost {
        name: format!("s-{number:08x}"),
        address: "127.10.1.18:8000".parse().unwrap(),
        zone: "zone-a".into(),
        kind: "wholesale".into(),
        destination: number as u64,
        leaving: false,
        weight: 1.0,
        since_ms: 1_764_760_000_000.5,
    })
}

fn tombstone(number: usize) -> HostChange {
    let name = format!("s-{number:08x}");
    HostChange::TombstoneAdded((name, 1_764_760_000_000.5, "127.10.1.18:8500".into(), number as u64))
}

fn complete() -> HostChange {
    HostChange::List(StoredList::Complete { agent: "127.10.1.18:8500".into(), index: 7 })
}

fn whole_list(hosts: std::ops::Range<usize>) -> Vec<HostChange> {
    let mut changes = vec![HostChange::List(StoredList::Incomplete)];
    changes.extend(hosts.map(listed));
    changes.push(complete());
    changes
}

/// Opens the folder anew, as after the end of the process.
fn reopened(journal: Journal, folder: &Path, max_bytes: u64) -> (Journal, RecoveredState) {
    drop(journal);
    Journal::open(folder.to_path_buf(), max_bytes).unwrap()
}

/// Guards against hosts that come back as active after a restart because the folder keeps only some of the
/// departures: the largest fleet is replaced host by host, twice, and every departure is kept.
#[test]
fn all_departures_of_the_largest_fleet_are_kept() {
    let folder = empty_folder("hosts-replaced");
    let (mut journal, _) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
    journal.record_host_changes(whole_list(0..HOSTS)).unwrap();
    for number in 0..2 * HOSTS {
        let mut changes = vec![tombstone(number), HostChange::Removed(format!("s-{number:08x}"))];
        changes.extend(
            (number >= 4096).then(|| HostChange::TombstoneRemoved(format!("s-{:08x}", number - 4096))),
        );
        changes.extend([listed(number + HOSTS), complete()]);
        journal.record_host_changes(changes).unwrap();
    }
    let (_journal, recovered) = reopened(journal, &folder, MAX_BYTES);
    assert!(matches!(recovered.list, StoredList::Complete { index: 7, .. }), "{:?}", recovered.list);
    let destinations: Vec<u64> = recovered.hosts.iter().map(|host| host.destination).collect();
    assert_eq!(destinations, (2 * HOSTS as u64..3 * HOSTS as u64).collect::<Vec<_>>());
    let versions: Vec<u64> = recovered.tombstones.iter().map(|tombstone| tombstone.3).collect();
    assert_eq!(versions, (2304..6400).collect::<Vec<_>>(), "not the newest tombstones, oldest first");
}

/// Guards against an incomplete list that is taken for the whole one: after a record that did not fit, no
/// host is recovered, only the newest tombstones are, and the folder stays within its limit.
#[test]
fn list_that_does_not_fit_is_given_up_as_a_whole() {
    let (folder, max_bytes) = (empty_folder("hosts-too-many"), 200_000);
    let (mut journal, _) = Journal::open(folder.clone(), max_bytes).unwrap();
    journal.record_host_changes(whole_list(0..200)).unwrap();
    let departures = (0..300).map(tombstone).collect();
    journal.record_host_changes(departures).unwrap();
    assert!(journal.record_host_changes((200..1000).map(listed).collect()).is_err());
    journal.give_up_list().unwrap();
    assert!(fs::metadata(folder.join("journal")).unwrap().len() < max_bytes / 5);
    let (mut journal, recovered) = reopened(journal, &folder, max_bytes);
    assert_eq!((&recovered.list, recovered.hosts.len()), (&StoredList::Incomplete, 0));
    let versions: Vec<u64> = recovered.tombstones.iter().map(|tombstone| tombstone.3).collect();
    assert_eq!(versions, (172..300).collect::<Vec<_>>());
    // A list that fits makes it complete again.
    journal.record_host_changes(whole_list(0..100)).unwrap();
    let (_journal, recovered) = reopened(journal, &folder, max_bytes);
    assert_eq!(recovered.hosts.len(), 100);
}

/// Guards against a list that misses a departure: the change came while another process had the folder, which
/// then did not take over.
#[test]
fn change_during_an_aborted_takeover_gives_the_list_up() {
    let folder = empty_folder("hosts-retaken");
    let (mut journal, _) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
    journal.record_host_changes(whole_list(0..10)).unwrap();
    journal.release().unwrap();
    assert!(journal.record_host_changes(vec![tombstone(1)]).is_err());
    journal.give_up_list().unwrap();
    journal.reacquire().unwrap();
    let (_journal, recovered) = reopened(journal, &folder, MAX_BYTES);
    assert_eq!((recovered.list, recovered.hosts), (StoredList::Incomplete, vec![]));
}

/// Guards against a list that misses a departure whose record is damaged. A torn tail is no damage: it is the
/// record that a killed process had not finished, and the list before it counts.
#[test]
fn damage_gives_the_list_up_and_a_torn_tail_does_not() {
    let folder = empty_folder("hosts-damaged");
    let (mut journal, _) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
    journal.record_host_changes(whole_list(0..10)).unwrap();
    drop(journal);
    let path = folder.join("journal");
    let mut contents = fs::read(&path).unwrap();
    fs::write(&path, [&contents[..], b"\xf5mj\x01torn"].concat()).unwrap();
    let (journal, recovered) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
    assert_eq!(recovered.hosts.len(), 10);
    drop(journal);
    contents[100] ^= 1;
    fs::write(&path, &contents).unwrap();
    let (_journal, recovered) = Journal::open(folder, MAX_BYTES).unwrap();
    assert_eq!((recovered.list, recovered.hosts), (StoredList::Incomplete, vec![]));
}
