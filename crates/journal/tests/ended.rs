//! Messages that ended and are remembered in the journal.
mod common;
use common::empty_folder;
use mulleinslip_journal::{AcceptedMessage, EndedMessage, Journal, ENDED_RETENTION_MS};
use std::fs;

const MAX_BYTES: u64 = 256 * 1024;

fn message(call_id: &str) -> AcceptedMessage {
    AcceptedMessage {
        call_id: call_id.into(),
        class: "unsafe".into(),
        tenant: "acme".into(),
        order_key: None,
        idempotency_key: None,
        due: 1e9,
        dest: 1,
        body: vec![1; 500],
    }
}

/// Guards against ids that take the room of messages that are owed their end, or drop one of a number that
/// was used before: 20,000 messages end within their time, in a folder of 256 KB.
#[test]
fn remembered_ends_keep_to_their_bound_and_drop_no_open_message() {
    let folder = empty_folder("ended-bound");
    let (mut journal, _) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
    journal.record_accepted(1, message("open")).unwrap();
    for number in 0..20_000 {
        let id = 2 + number % 100;
        let call_id = format!("{number:032}");
        journal.record_accepted(id, message(&call_id)).unwrap();
        let ended = EndedMessage { call_id, delivered: true, at: number as f64 };
        journal.record_ended_remembered(id, ended).unwrap();
    }
    journal.record_accepted(2, message("open too")).unwrap();
    drop(journal);
    assert!(fs::metadata(folder.join("journal")).unwrap().len() < MAX_BYTES);
    for _ in 0..2 {
        let (_journal, recovered) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
        let open: Vec<_> = recovered.messages.iter().map(|m| m.message.call_id.as_str()).collect();
        assert_eq!(open, ["open", "open too"]);
        let kept = recovered.ended.iter().filter(|ended| ended.at > 19_800.0).count();
        assert_eq!(kept, 199, "the newest were dropped");
    }
}

/// Guards against an end that is remembered for good.
#[test]
fn end_is_dropped_after_its_time() {
    let folder = empty_folder("ended-time");
    let (mut journal, _) = Journal::open(folder.clone(), MAX_BYTES).unwrap();
    for (number, at) in [0.0, 1.0, ENDED_RETENTION_MS + 0.5].into_iter().enumerate() {
        let ended = EndedMessage { call_id: number.to_string(), delivered: false, at };
        journal.record_ended_remembered(number as u64 + 1, ended).unwrap();
    }
    drop(journal);
    // The first compaction drops it.
    let bytes = fs::read(folder.join("journal")).unwrap();
    fs::write(folder.join("journal"), [&bytes[..], b"torn"].concat()).unwrap();
    drop(Journal::open(folder.clone(), MAX_BYTES).unwrap());
    let (_journal, recovered) = Journal::open(folder, MAX_BYTES).unwrap();
    let ids: Vec<_> = recovered.ended.iter().map(|ended| ended.call_id.as_str()).collect();
    assert_eq!(ids, ["1", "2"]);
}
