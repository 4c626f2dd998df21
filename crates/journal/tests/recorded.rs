//! Guards against changes of the stored form: a relay reads what an earlier version wrote, and versions run beside
//! each other during a takeover.
use mulleinslip_journal::{Attempt, Journal, Kept, KeptDeparture, KeptOutage, Taken, Verdict};
use std::fs;
use std::path::{Path, PathBuf};

const SAMPLE: &[u8] = include_bytes!("recorded/journal.bin");
const ROOM: u64 = 1024 * 1024;

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _there_or_not = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn keyed() -> Taken {
    Taken {
        call_id: "call-a".into(),
        class: "order".into(),
        tenant: "acme".into(),
        order_key: Some("key-7".into()),
        idempotency_key: Some(b"once\x00\xff".to_vec()),
        due: 1_764_770_000_123.5,
        dest: 41,
        body: b"body\x00\xfe".to_vec(),
    }
}

fn plain(call_id: &str) -> Taken {
    let (class, tenant) = ("note".into(), "umbra".into());
    let (order_key, idempotency_key, due) = (None, None, 1_764_770_000_500.25);
    Taken {
        call_id: call_id.into(),
        class,
        tenant,
        order_key,
        idempotency_key,
        due,
        dest: 70_000,
        body: vec![],
    }
}

fn outages() -> Vec<KeptOutage> {
    vec![(41, "h1".into(), Some(1_764_769_000_000.5), 12.5), (42, String::new(), None, 0.75)]
}

fn departed() -> Vec<KeptDeparture> {
    vec![("h9".into(), 1_764_760_000_000.5, "agent-2".into(), 88)]
}

#[test]
fn a_recorded_journal_is_read_with_all_its_values() {
    let folder = empty_folder("recorded-journal-read");
    fs::write(folder.join("journal"), SAMPLE).unwrap();
    let (_journal, left) = Journal::open(folder, ROOM).unwrap();
    assert_eq!(left.notes, Vec::<String>::new(), "nothing is damaged");
    let attempt = |number, at, endpoint: &str, may_have_run, may_run_yet| Attempt {
        number,
        at,
        endpoint: endpoint.into(),
        may_have_run,
        may_run_yet,
    };
    let attempts = vec![
        attempt(0, 1_764_770_001_000.5, "h1", true, false),
        attempt(1, 1_764_770_002_000.5, "h2", false, true),
        attempt(2, 1_764_770_003_000.5, "h3", true, true),
    ];
    let kept = |id, call_id, verdict| Kept { id, taken: plain(call_id), attempts: vec![], verdict };
    let expected = vec![
        Kept { id: 5, taken: keyed(), attempts, verdict: None },
        kept(300, "call-b", Some(Verdict::Undeliverable)),
        kept(301, "call-c", Some(Verdict::Deferred { again_ms: Some(1500.5) })),
        kept(302, "call-d", Some(Verdict::Deferred { again_ms: None })),
    ];
    assert_eq!(left.kept, expected, "303 has ended");
    assert_eq!(left.outages, outages(), "the later ones");
    assert_eq!(left.departed, departed());
}

#[test]
fn the_same_calls_write_the_recorded_journal() {
    let folder = empty_folder("recorded-journal-written");
    let (mut journal, _) = Journal::open(folder.clone(), ROOM).unwrap();
    journal.outages(vec![(40, "h0".into(), None, 1.5)]).unwrap();
    journal.taken(5, keyed()).unwrap();
    journal.begun(5, 0, 1_764_770_001_000.5, "h1").unwrap();
    journal.outcome(5, 0, true, false).unwrap();
    journal.begun(5, 1, 1_764_770_002_000.5, "h2").unwrap();
    journal.outcome(5, 1, false, true).unwrap();
    journal.begun(5, 2, 1_764_770_003_000.5, "h3").unwrap();
    for (id, call_id) in [(300, "call-b"), (301, "call-c"), (302, "call-d"), (303, "call-e")] {
        journal.taken(id, plain(call_id)).unwrap();
    }
    journal.verdict(300, Verdict::Undeliverable).unwrap();
    journal.verdict(301, Verdict::Deferred { again_ms: Some(1500.5) }).unwrap();
    journal.verdict(302, Verdict::Deferred { again_ms: None }).unwrap();
    journal.ended(303).unwrap();
    journal.outages(outages()).unwrap();
    journal.departed(departed()).unwrap();
    let written = fs::read(folder.join("journal")).unwrap();
    assert_eq!(written, SAMPLE);
}
