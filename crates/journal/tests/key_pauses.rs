//! Pauses of order keys in the journal.
mod common;
use common::empty_folder;
use mulleinslip_journal::Journal;
use std::fs;

/// Guards against a journal that grows with each pause, and against a compaction that drops one that has not
/// ended: the pauses of 10,000 keys, each over before the next one begins, in a folder of 64 KiB.
#[test]
fn pauses_that_ended_are_dropped_and_others_kept() {
    let folder = empty_folder("key-pauses-dropped");
    let (mut journal, _) = Journal::open(folder.clone(), 64 * 1024).unwrap();
    journal.record_key_pause("long", 1e9, 0.0).unwrap();
    for number in 0..10_000u32 {
        let now = f64::from(number) * 10.0;
        journal.record_key_pause(&format!("key-{number}"), now + 5.0, now).unwrap();
    }
    drop(journal);
    assert!(fs::metadata(folder.join("journal")).unwrap().len() < 64 * 1024);
    let (_journal, recovered) = Journal::open(folder, 64 * 1024).unwrap();
    // Some that ended are left in the file until it is compacted.
    let lasting: Vec<_> = recovered.key_pauses.iter().filter(|(_, until)| *until > 99_990.0).collect();
    let keys: Vec<_> = lasting.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["key-9999", "long"]);
}

/// Guards against pauses that take the space of accepted messages: they have a bound, and an error beyond it.
#[test]
fn pauses_of_many_keys_keep_to_their_bound() {
    let folder = empty_folder("key-pauses-bound");
    let (mut journal, _) = Journal::open(folder, 1024 * 1024).unwrap();
    let stored =
        (0..10_000).take_while(|n| journal.record_key_pause(&format!("key-{n}"), 1e9, 0.0).is_ok()).count();
    assert!((500..10_000).contains(&stored), "{stored} pauses were stored");
}
