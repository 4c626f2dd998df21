//! The books on a relay driven by hand: what slots were spent on, what held a message, how it ended.
use linenhall::*;
use mulleinslip_account::{Account, CallOutcome, HealthState, MessageOutcome, UsageReport};

struct Rig {
    relay: Relay,
    account: Account,
    now: f64,
    next: u64,
}

fn settings() -> Settings {
    let class = Class {
        aim_ms: 500.0,
        deadline_ms: 4000.0,
        effect: Effect::Safe,
        dedup_scope: DedupScope::All,
        dedup_window_ms: 1000.0,
        value: 1.0,
        late_value: 0.2,
        in_order: false,
    };
    Settings {
        relays: 1,
        slots: 2,
        max_open: 12,
        max_attempts: 5,
        classes: vec![class],
        conn_idle_ms: 5000.0,
        conn_streams: 1,
        cold_share: 0.2,
        warm_after_ms: 5000.0,
        fall_multiple: 2.0,
        fall_ms: 2000.0,
        tick_ms: 5.0,
        ..Settings::default()
    }
}

impl Rig {
    fn new(s: Settings) -> Rig {
        let account = Account::new(&s);
        let mut rig = Rig { relay: Relay::new(s, 1), account, now: 1000.0, next: 0 };
        let host = |n: u64| Endpoint {
            name: format!("h{n}"),
            destination: n,
            zone: 0,
            kind: 0,
            weight: 1.0,
            status: EndpointStatus::Active,
        };
        rig.give(Event::ListUpdate(ListUpdate::Full(vec![host(0), host(1)])));
        rig
    }

    fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.relay.handle(self.now, std::slice::from_ref(&event), &mut out);
        self.account.round(self.now, &[event], &out, &self.relay);
        out
    }

    fn wait(&mut self, ms: f64) {
        for _ in 0..(ms / 10.0) as usize {
            self.now += 10.0;
            self.give(Event::Timer { token: 0 });
        }
    }

    fn ask(&mut self, destination: u64) -> u64 {
        self.next += 1;
        let (id, due) = (self.next, self.now + 4000.0);
        self.give(Event::Request { id, class: 0, tenant: 0, key: None, due, destination });
        id
    }

    fn end(&mut self, id: u64, attempt: u32, outcome: Outcome, wait_ms: f64) {
        let settled = outcome == Outcome::Delivered;
        let (took_ms, report) = (0.0, Vec::new());
        self.give(Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report });
    }
}

#[test]
fn slot_time_goes_to_how_each_call_ended() {
    let mut rig = Rig::new(settings());
    let (a, b) = (rig.ask(0), rig.ask(1));
    rig.wait(100.0);
    rig.end(a, 0, Outcome::Delivered, 0.0);
    rig.wait(500.0);
    rig.end(b, 0, Outcome::Delivered, 0.0);
    let c = rig.ask(0);
    rig.wait(50.0);
    rig.end(c, 0, Outcome::Error, 0.0);
    rig.wait(30.0);
    let usage_report = rig.account.take(rig.now, false);
    let ends = usage_report.by_end();
    assert_eq!((ends[&CallOutcome::InTime].count, ends[&CallOutcome::InTime].ms), (1, 100.0));
    assert_eq!(
        (ends[&CallOutcome::Late].count, ends[&CallOutcome::Late].ms),
        (1, 600.0),
        "its aim is 500 ms"
    );
    assert_eq!((ends[&CallOutcome::Error].count, ends[&CallOutcome::Error].ms), (1, 50.0));
    assert_eq!(usage_report.span_ms, 680.0);
    assert_eq!(usage_report.slot_ms, 1360.0, "two slots");
    assert_eq!(usage_report.by_verdict()[&MessageOutcome::InTime], 1);
    assert_eq!(rig.account.take(rig.now, false), UsageReport::default(), "each is booked once");
}

/// Among many relays three things keep a message back after a refusal, which one name hid: the quiet time, the bucket
/// that the refusal emptied, and the pace itself.
#[test]
fn after_a_refusal_quiet_time_emptied_bucket_and_pace_are_told_apart() {
    let (remaining_column, limit_column) = (Some(0), Some(1));
    let mut rig = Rig::new(Settings { relays: 100, remaining_column, limit_column, ..settings() });
    let id = rig.ask(0);
    // Half a call a second is this relay's part of a limit of 50.
    let (outcome, took_ms, report) = (Outcome::Full, 0.0, vec![0.0, 50.0]);
    let (attempt, settled, wait_ms) = (0, false, 0.0);
    rig.give(Event::Ended { id, attempt, outcome, took_ms, settled, wait_ms, report });
    rig.wait(3500.0);
    let usage_report = rig.account.take(rig.now, false);
    let held = |bound: WaitReason| usage_report.held.get(&(0, bound)).copied().unwrap_or(0.0);
    assert!((90.0..=510.0).contains(&held(WaitReason::Quiet)), "{:?}", usage_report.held);
    assert!(held(WaitReason::Bucket) > 100.0, "{:?}", usage_report.held);
    assert!(held(WaitReason::Pace) > 500.0, "{:?}", usage_report.held);
    assert!(
        usage_report
            .held
            .keys()
            .all(|k| matches!(k.1, WaitReason::Quiet | WaitReason::Bucket | WaitReason::Pace)),
        "{:?}",
        usage_report.held
    );
}

#[test]
fn what_waits_is_booked_under_what_holds_it() {
    let mut rig = Rig::new(settings());
    // One slot is the ceiling of a destination here: two taken by two destinations, the third message waits for one.
    let (a, b) = (rig.ask(0), rig.ask(1));
    rig.ask(0);
    rig.wait(200.0);
    rig.end(a, 0, Outcome::Delivered, 0.0);
    rig.end(b, 0, Outcome::Full, 1000.0);
    rig.wait(300.0);
    let usage_report = rig.account.take(rig.now, false);
    let held = |dest, bound| usage_report.held.get(&(dest, bound)).copied().unwrap_or(0.0);
    assert!((190.0..=210.0).contains(&held(0, WaitReason::ThreeQuarters)), "{:?}", usage_report.held);
    assert!((290.0..=310.0).contains(&held(1, WaitReason::Wait)), "{:?}", usage_report.held);
    assert_eq!(usage_report.full_ms, 200.0, "all slots taken, and something waits");
    // Given up after its time: the wait held it for a second, its pace or a trial after that.
    rig.wait(4000.0);
    let usage_report = rig.account.take(rig.now, false);
    let lost: u64 = usage_report.lost_by_bound().values().sum();
    assert_eq!(lost, usage_report.by_verdict().get(&MessageOutcome::TimeUp).copied().unwrap_or(0));
}

#[test]
fn every_message_has_one_end_and_a_full_hold_is_told_from_time() {
    let mut rig = Rig::new(settings());
    for n in 0..40 {
        rig.ask(n % 2);
        rig.wait(20.0);
    }
    rig.wait(6000.0);
    let usage_report = rig.account.take(rig.now, true);
    let verdicts = usage_report.by_verdict();
    let out = usage_report.by_end().get(&CallOutcome::PassedOn).map_or(0, |s| s.count);
    assert_eq!(verdicts.values().sum::<u64>() + out, 40, "{verdicts:?}, {out} out");
    assert!(
        verdicts[&MessageOutcome::HoldFull] > 10 && verdicts[&MessageOutcome::TimeUp] > 5,
        "{verdicts:?}"
    );
}

#[test]
fn an_earlier_processs_call_counts_from_the_takeover_on() {
    let mut rig = Rig::new(settings());
    let restored = Event::Restored {
        id: 9,
        class: 0,
        tenant: 0,
        key: None,
        due: rig.now + 3000.0,
        destination: 0,
        attempts: 2,
        first_uncertain_send: None,
        may_be_running: false,
        untried: false,
    };
    let resumed = Event::Resumed { id: 9, endpoint: "h0".into(), sent: rig.now - 300.0 };
    let (mut out, events) = (Vec::new(), [restored, resumed]);
    rig.relay.handle(rig.now, &events, &mut out);
    rig.account.round(rig.now, &events, &out, &rig.relay);
    rig.wait(100.0);
    rig.end(9, 2, Outcome::Delivered, 0.0);
    let usage_report = rig.account.take(rig.now, false);
    let spent: Vec<_> = usage_report.calls.values().collect();
    assert_eq!((spent.len(), spent[0].count, spent[0].ms), (1, 1, 100.0), "the rest is in the other's books");
    assert!(usage_report.calls.keys().all(|k| k.2 == HealthState::Well));
}

#[test]
fn sheets_add_up_and_have_a_text() {
    let mut rig = Rig::new(settings());
    let mut sum = UsageReport::default();
    for n in 0..6 {
        let id = rig.ask(n % 2);
        rig.wait(40.0);
        rig.end(id, 0, Outcome::Delivered, 0.0);
        let usage_report = rig.account.take(rig.now, false);
        let text = serde_json::to_string(&usage_report).expect("it has a text");
        assert_eq!(serde_json::from_str::<UsageReport>(&text).expect("it can be read"), usage_report);
        sum.add(&usage_report);
    }
    assert_eq!((sum.by_end()[&CallOutcome::InTime].count, sum.by_end()[&CallOutcome::InTime].ms), (6, 240.0));
    let words = sum.to_string();
    assert!(words.contains("InTime") && words.contains("slots used 50%"), "{words}");
}
