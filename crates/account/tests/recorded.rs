//! Guards against changes of the serialized form: reports of different versions are read and added up, also
//! during a takeover, when two versions run side by side. Operators read the table of a report, so its text
//! is recorded as well.
use linenhall::WaitReason;
use mulleinslip_account::{CallOutcome, CountAndTime, HealthState, MessageOutcome, UsageReport};

const SAMPLE: &str = include_str!("recorded/sheet.json");
const TABLE: &str = include_str!("recorded/sheet.txt");

const STATES: [HealthState; 4] = [HealthState::Well, HealthState::Sick, HealthState::Out, HealthState::Ramp];
const CALL_OUTCOMES: [CallOutcome; 11] = [
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
const LOST_OUTCOMES: [MessageOutcome; 3] =
    [MessageOutcome::TimeUp, MessageOutcome::HoldFull, MessageOutcome::Spent];
const OTHER_OUTCOMES: [MessageOutcome; 3] =
    [MessageOutcome::InTime, MessageOutcome::Late, MessageOutcome::Withdrawn];

/// A report with each variant at least once, over three destinations and two classes.
fn sample_report() -> UsageReport {
    let mut report =
        UsageReport { span_ms: 60_000.5, slot_ms: 240_002.25, full_ms: 15_000.75, ..UsageReport::default() };
    for (n, outcome) in CALL_OUTCOMES.into_iter().enumerate() {
        let used = CountAndTime { count: n as u64 + 1, ms: 1000.25 * (n + 1) as f64 };
        report.calls.insert((41 + n as u64 % 3, n % 2, STATES[n % 4], outcome), used);
    }
    for (n, reason) in WaitReason::ALL.into_iter().enumerate() {
        let destination = 41 + n as u64 % 3;
        report.held.insert((destination, reason), 2000.5 * (n + 1) as f64);
        report.ends.insert((destination, (n % 2, LOST_OUTCOMES[n % 3], Some(reason))), n as u64 + 1);
    }
    for (n, outcome) in OTHER_OUTCOMES.into_iter().enumerate() {
        report.ends.insert((41, (n % 2, outcome, None)), n as u64 + 20);
    }
    report.ends.insert((42, (1, MessageOutcome::Spent, None)), 30);
    report
}

#[test]
fn recorded_report_is_read_and_written_unchanged() {
    let read: UsageReport = serde_json::from_str(SAMPLE).unwrap();
    assert_eq!(read, sample_report());
    assert_eq!(serde_json::to_string(&read).unwrap() + "\n", SAMPLE);
}

#[test]
fn report_table_matches_the_recorded_text() {
    assert_eq!(sample_report().to_string(), TABLE);
}
