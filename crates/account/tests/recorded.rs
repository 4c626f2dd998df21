//! Guards against changes of the stored form: a relay reads what an earlier version wrote, and versions run beside
//! each other during a takeover.
//! The sheet's table is what operators read, so its text is recorded too.
use linenhall::WaitReason;
use mulleinslip_account::{CallOutcome, CountAndTime, HealthState, MessageOutcome, UsageReport};

const SAMPLE: &str = include_str!("recorded/sheet.json");
const TABLE: &str = include_str!("recorded/sheet.txt");

const STATES: [HealthState; 4] = [HealthState::Well, HealthState::Sick, HealthState::Out, HealthState::Ramp];
const ENDS: [CallOutcome; 11] = [
    CallOutcome::InTime,
    CallOutcome::Late,
    CallOutcome::Error,
    CallOutcome::Full,
    CallOutcome::TimedOut,
    CallOutcome::CalledOff,
    CallOutcome::NoConnection,
    CallOutcome::Broken,
    CallOutcome::Stale,
    CallOutcome::NotSent,
    CallOutcome::PassedOn,
];
const LOST: [MessageOutcome; 3] = [MessageOutcome::TimeUp, MessageOutcome::HoldFull, MessageOutcome::Spent];
const OTHER: [MessageOutcome; 3] = [MessageOutcome::InTime, MessageOutcome::Late, MessageOutcome::Withdrawn];

/// Each variant at least once, over three destinations and two classes.
fn sheet() -> UsageReport {
    let mut sheet =
        UsageReport { span_ms: 60_000.5, slot_ms: 240_002.25, full_ms: 15_000.75, ..UsageReport::default() };
    for (n, end) in ENDS.into_iter().enumerate() {
        let spent = CountAndTime { count: n as u64 + 1, ms: 1000.25 * (n + 1) as f64 };
        sheet.calls.insert((41 + n as u64 % 3, n % 2, STATES[n % 4], end), spent);
    }
    for (n, bound) in WaitReason::ALL.into_iter().enumerate() {
        let dest = 41 + n as u64 % 3;
        sheet.held.insert((dest, bound), 2000.5 * (n + 1) as f64);
        sheet.ends.insert((dest, (n % 2, LOST[n % 3], Some(bound))), n as u64 + 1);
    }
    for (n, verdict) in OTHER.into_iter().enumerate() {
        sheet.ends.insert((41, (n % 2, verdict, None)), n as u64 + 20);
    }
    sheet.ends.insert((42, (1, MessageOutcome::Spent, None)), 30);
    sheet
}

#[test]
fn the_recorded_sheet_is_read_and_written_as_it_was() {
    let read: UsageReport = serde_json::from_str(SAMPLE).unwrap();
    assert_eq!(read, sheet());
    assert_eq!(serde_json::to_string(&read).unwrap() + "\n", SAMPLE);
}

#[test]
fn the_sheets_table_reads_as_recorded() {
    assert_eq!(sheet().to_string(), TABLE);
}
