//! Guards against changes of the frames' postcard form: two versions of the relay exchange them during a
//! takeover.
use linenhall::Outcome;
use mulleinslip_takeover::message::{AttemptEnd, ToNew, ToOld};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

/// The recorded frames, one per line: the name and the bytes in hexadecimal.
const SAMPLE: &str = include_str!("recorded/frames.txt");

fn to_old() -> Vec<(&'static str, ToOld)> {
    vec![
        ("ToOld.Ask", ToOld::Ask { version: 2 }),
        ("ToOld.Taken", ToOld::FolderOpened),
        ("ToOld.CallOff", ToOld::CancelAttempt { id: 300, attempt: 5 }),
    ]
}

fn to_new() -> Vec<(&'static str, ToNew)> {
    let list = ToNew::List { agent: "10.0.0.1:8500".into(), part: "[1]".into() };
    let ended = |outcome| {
        let (id, attempt, took_ms, settled, answered) = (301, 6, 21.5, true, false);
        let (retry_after_ms, report) = (1500.25, vec![0.5, 50.75]);
        ToNew::Ended(AttemptEnd { id, attempt, took_ms, outcome, settled, answered, retry_after_ms, report })
    };
    vec![
        ("ToNew.No", ToNew::Rejected("not now".into())),
        ("ToNew.Out", ToNew::AttemptsInFlight(vec![(7, 0), (300, 2)])),
        ("ToNew.Waits", ToNew::RetryAfters(vec![(41, "h1".into(), 250.5), (42, String::new(), 9.75)])),
        ("ToNew.Ready", ToNew::Ready { drained: true }),
        ("ToNew.Go", ToNew::Go),
        ("ToNew.Client", ToNew::ClientConnection { unread: b"POST /\x00\xff".to_vec() }),
        ("ToNew.Ended.Delivered", ended(Outcome::Delivered)),
        ("ToNew.Ended.Error", ended(Outcome::Error)),
        ("ToNew.Ended.Full", ended(Outcome::Full)),
        ("ToNew.Ended.TimedOut", ended(Outcome::TimedOut)),
        ("ToNew.Ended.NoConnection", ended(Outcome::NoConnection)),
        ("ToNew.Ended.Broken", ended(Outcome::Broken)),
        ("ToNew.Ended.Stale", ended(Outcome::Stale)),
        ("ToNew.Ended.Cancelled", ended(Outcome::Cancelled)),
        ("ToNew.Ended.NotSent", ended(Outcome::NotSent)),
        ("ToNew.Learnt", ToNew::Learnt("{}".into())),
        ("ToNew.List", list),
        ("ToNew.Host", ToNew::IdleConnection { endpoint: "h2".into(), idle_ms: 777.5 }),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().map(|c| c.to_digit(16).unwrap()).collect();
    digits.chunks(2).map(|two| (two[0] * 16 + two[1]) as u8).collect()
}

/// Checks that each recorded frame of a side decodes to the expected one and encodes to the recorded bytes.
fn check<T: Debug + PartialEq + Serialize + DeserializeOwned>(side: &str, frames: &[(&str, T)]) {
    let recorded: Vec<_> = SAMPLE.lines().filter(|l| l.starts_with(side)).collect();
    assert_eq!(recorded.len(), frames.len());
    for (line, (name, frame)) in recorded.into_iter().zip(frames) {
        let (recorded_name, bytes) = line.split_once(' ').unwrap();
        assert_eq!(recorded_name, *name);
        let read: T = postcard::from_bytes(&unhex(bytes)).expect(name);
        assert_eq!(read, *frame, "{name}");
        assert_eq!(hex(&postcard::to_stdvec(&read).unwrap()), bytes, "{name}");
    }
}

#[test]
fn recorded_frames_to_old_process_round_trip_unchanged() {
    check("ToOld.", &to_old());
}

#[test]
fn recorded_frames_to_new_process_round_trip_unchanged() {
    check("ToNew.", &to_new());
}
