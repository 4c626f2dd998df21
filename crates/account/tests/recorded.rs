//! Guards against changes of the stored form: a relay reads what an earlier version wrote, and versions run beside
//! each other during a takeover.
//! The sheet's table is what operators read, so its text is recorded too.
use linenhall::Bound;
use mulleinslip_account::{End, Sheet, Spent, State, Verdict};

const SAMPLE: &str = include_str!("recorded/sheet.json");
const TABLE: &str = include_str!("recorded/sheet.txt");

const STATES: [State; 4] = [State::Well, State::Sick, State::Out, State::Ramp];
const ENDS: [End; 11] = [
    End::InTime,
    End::Late,
    End::Error,
    End::Full,
    End::TimedOut,
    End::CalledOff,
    End::NoConnection,
    End::Broken,
    End::Stale,
    End::NotSent,
    End::PassedOn,
];
const LOST: [Verdict; 3] = [Verdict::TimeUp, Verdict::HoldFull, Verdict::Spent];
const OTHER: [Verdict; 3] = [Verdict::InTime, Verdict::Late, Verdict::Withdrawn];

/// Each variant at least once, over three destinations and two classes.
fn sheet() -> Sheet {
    let mut sheet = Sheet { span_ms: 60_000.5, slot_ms: 240_002.25, full_ms: 15_000.75, ..Sheet::default() };
    for (n, end) in ENDS.into_iter().enumerate() {
        let spent = Spent { count: n as u64 + 1, ms: 1000.25 * (n + 1) as f64 };
        sheet.calls.insert((41 + n as u64 % 3, n % 2, STATES[n % 4], end), spent);
    }
    for (n, bound) in Bound::ALL.into_iter().enumerate() {
        let dest = 41 + n as u64 % 3;
        sheet.held.insert((dest, bound), 2000.5 * (n + 1) as f64);
        sheet.ends.insert((dest, (n % 2, LOST[n % 3], Some(bound))), n as u64 + 1);
    }
    for (n, verdict) in OTHER.into_iter().enumerate() {
        sheet.ends.insert((41, (n % 2, verdict, None)), n as u64 + 20);
    }
    sheet.ends.insert((42, (1, Verdict::Spent, None)), 30);
    sheet
}

#[test]
fn the_recorded_sheet_is_read_and_written_as_it_was() {
    let read: Sheet = serde_json::from_str(SAMPLE).unwrap();
    assert_eq!(read, sheet());
    assert_eq!(serde_json::to_string(&read).unwrap() + "\n", SAMPLE);
}

#[test]
fn the_sheets_table_reads_as_recorded() {
    assert_eq!(sheet().to_string(), TABLE);
}
