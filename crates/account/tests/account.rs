//! Accounting of a relay with a manual clock: what slots are used for, why messages wait, and how they end.
use linenhall::*;
use mulleinslip_account::{Account, CallOutcome, HealthState, MessageOutcome, UsageReport};

struct Harness {
    relay: Relay,
    account: Account,
    now: f64,
    last_id: u64,
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

impl Harness {
    fn new(settings: Settings) -> Harness {
        let account = Account::new(&settings);
        let mut harness = Harness { relay: Relay::new(settings, 1), account, now: 1000.0, last_id: 0 };
        let host = |n: u64| Endpoint {
            name: format!("h{n}"),
            destination: n,
            zone: 0,
            kind: 0,
            weight: 1.0,
            status: EndpointStatus::Active,
        };
        harness.handle(Event::ListUpdate(ListUpdate::Full(vec![host(0), host(1)])));
        harness
    }

    /// Handles one event, records the round and returns the actions.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.relay.handle(self.now, std::slice::from_ref(&event), &mut actions);
        self.account.record_round(self.now, &[event], &actions, &self.relay);
        actions
    }

    /// Advances the clock by `ms` in steps of 10 ms, with a timer event at each.
    fn advance(&mut self, ms: f64) {
        for _ in 0..(ms / 10.0) as usize {
            self.now += 10.0;
            self.handle(Event::Timer { token: 0 });
        }
    }

    /// Submits a message and returns its id.
    fn submit(&mut self, destination: u64) -> u64 {
        self.last_id += 1;
        let (id, due) = (self.last_id, self.now + 4000.0);
        self.handle(Event::Request { id, class: 0, tenant: 0, key: None, due, destination });
        id
    }

    /// Ends an attempt.
    fn end_attempt(&mut self, id: u64, attempt: u32, outcome: Outcome, retry_after_ms: f64) {
        let settled = outcome == Outcome::Delivered;
        let (took_ms, report) = (0.0, Vec::new());
        self.handle(Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report });
    }
}

/// Guards against slot time that is recorded under a wrong outcome, or twice.
#[test]
fn slot_time_is_recorded_by_call_outcome() {
    let mut harness = Harness::new(settings());
    let (first, second) = (harness.submit(0), harness.submit(1));
    harness.advance(100.0);
    harness.end_attempt(first, 0, Outcome::Delivered, 0.0);
    harness.advance(500.0);
    harness.end_attempt(second, 0, Outcome::Delivered, 0.0);
    let third = harness.submit(0);
    harness.advance(50.0);
    harness.end_attempt(third, 0, Outcome::Error, 0.0);
    harness.advance(30.0);
    let usage_report = harness.account.take_report(harness.now, false);
    let outcomes = usage_report.calls_by_outcome();
    assert_eq!((outcomes[&CallOutcome::InTime].count, outcomes[&CallOutcome::InTime].ms), (1, 100.0));
    assert_eq!(
        (outcomes[&CallOutcome::Late].count, outcomes[&CallOutcome::Late].ms),
        (1, 600.0),
        "a delivery after the aim of 500 ms is not recorded as late"
    );
    assert_eq!((outcomes[&CallOutcome::Error].count, outcomes[&CallOutcome::Error].ms), (1, 50.0));
    assert_eq!(usage_report.span_ms, 680.0);
    assert_eq!(usage_report.slot_ms, 1360.0, "slot time is not twice the elapsed time with two slots");
    assert_eq!(usage_report.messages_by_outcome()[&MessageOutcome::InTime], 1);
    assert_eq!(
        harness.account.take_report(harness.now, false),
        UsageReport::default(),
        "a second report contains what the first one did"
    );
}

/// Where many relays share a destination, a message can wait for three reasons after a refusal: the backoff,
/// the token bucket that the refusal emptied, and the rate limit. Guards against recording them under one
/// reason.
#[test]
fn waits_for_backoff_empty_token_bucket_and_rate_limit_are_recorded_separately() {
    let (remaining_column, limit_column) = (Some(0), Some(1));
    let mut harness = Harness::new(Settings { relays: 100, remaining_column, limit_column, ..settings() });
    let id = harness.submit(0);
    // The part of this relay is half a call a second, of a limit of 50 for 100 relays.
    let (outcome, took_ms, report) = (Outcome::Full, 0.0, vec![0.0, 50.0]);
    let (attempt, settled, retry_after_ms) = (0, false, 0.0);
    harness.handle(Event::Ended { id, attempt, outcome, took_ms, settled, retry_after_ms, report });
    harness.advance(3500.0);
    let usage_report = harness.account.take_report(harness.now, false);
    let waited_ms = |reason: WaitReason| usage_report.held.get(&(0, reason)).copied().unwrap_or(0.0);
    assert!(
        (90.0..=510.0).contains(&waited_ms(WaitReason::Quiet)),
        "wrong time for the backoff: {:?}",
        usage_report.held
    );
    assert!(
        waited_ms(WaitReason::Bucket) > 100.0,
        "too little time for the token bucket: {:?}",
        usage_report.held
    );
    assert!(
        waited_ms(WaitReason::Pace) > 500.0,
        "too little time for the rate limit: {:?}",
        usage_report.held
    );
    assert!(
        usage_report
            .held
            .keys()
            .all(|k| matches!(k.1, WaitReason::Quiet | WaitReason::Bucket | WaitReason::Pace)),
        "waits are recorded under other reasons: {:?}",
        usage_report.held
    );
}

/// Guards against waiting time that is recorded under a wrong reason: the slot ceiling, a Retry-After.
#[test]
fn waiting_time_is_recorded_by_wait_reason() {
    let mut harness = Harness::new(settings());
    // The ceiling of a destination is one slot here. Two destinations take the two slots, and the third
    // message waits.
    let (first, second) = (harness.submit(0), harness.submit(1));
    harness.submit(0);
    harness.advance(200.0);
    harness.end_attempt(first, 0, Outcome::Delivered, 0.0);
    harness.end_attempt(second, 0, Outcome::Full, 1000.0);
    harness.advance(300.0);
    let usage_report = harness.account.take_report(harness.now, false);
    let waited_ms =
        |destination, reason| usage_report.held.get(&(destination, reason)).copied().unwrap_or(0.0);
    assert!(
        (190.0..=210.0).contains(&waited_ms(0, WaitReason::ThreeQuarters)),
        "wrong time for the slot ceiling: {:?}",
        usage_report.held
    );
    assert!(
        (290.0..=310.0).contains(&waited_ms(1, WaitReason::Wait)),
        "wrong time for Retry-After: {:?}",
        usage_report.held
    );
    assert_eq!(usage_report.full_ms, 200.0, "wrong time with all slots taken while a message waits");
    // Given up at its deadline: it waited for a second for the Retry-After, then for the rate limit or a
    // half-open trial.
    harness.advance(4000.0);
    let usage_report = harness.account.take_report(harness.now, false);
    let lost: u64 = usage_report.lost_by_wait_reason().values().sum();
    assert_eq!(lost, usage_report.messages_by_outcome().get(&MessageOutcome::TimeUp).copied().unwrap_or(0));
}

/// Guards against messages that are not counted or counted twice, and against recording messages shed from a
/// full queue as expired.
#[test]
fn every_message_ends_once_and_shed_messages_differ_from_expired_ones() {
    let mut harness = Harness::new(settings());
    for n in 0..40 {
        harness.submit(n % 2);
        harness.advance(20.0);
    }
    harness.advance(6000.0);
    let usage_report = harness.account.take_report(harness.now, true);
    let message_outcomes = usage_report.messages_by_outcome();
    let passed_on = usage_report.calls_by_outcome().get(&CallOutcome::PassedOn).map_or(0, |s| s.count);
    assert_eq!(
        message_outcomes.values().sum::<u64>() + passed_on,
        40,
        "not 40 ends: {message_outcomes:?}, {passed_on} passed on"
    );
    assert!(
        message_outcomes[&MessageOutcome::HoldFull] > 10 && message_outcomes[&MessageOutcome::TimeUp] > 5,
        "too few messages shed or expired: {message_outcomes:?}"
    );
}

/// Guards against slot time that both processes record: a call of an earlier process counts from the takeover
/// on.
#[test]
fn a_call_of_an_earlier_process_counts_from_the_takeover_on() {
    let mut harness = Harness::new(settings());
    let restored = Event::RequestRestored {
        id: 9,
        class: 0,
        tenant: 0,
        key: None,
        due: harness.now + 3000.0,
        destination: 0,
        attempts: 2,
        first_uncertain_send: None,
        may_be_running: false,
        untried: false,
        in_flight: true,
    };
    let resumed = Event::AttemptResumed { id: 9, endpoint: "h0".into(), sent: harness.now - 300.0 };
    let (mut actions, events) = (Vec::new(), [restored, resumed]);
    harness.relay.handle(harness.now, &events, &mut actions);
    harness.account.record_round(harness.now, &events, &actions, &harness.relay);
    harness.advance(100.0);
    harness.end_attempt(9, 2, Outcome::Delivered, 0.0);
    let usage_report = harness.account.take_report(harness.now, false);
    let used: Vec<_> = usage_report.calls.values().collect();
    assert_eq!(
        (used.len(), used[0].count, used[0].ms),
        (1, 1, 100.0),
        "the call does not count from the takeover on"
    );
    assert!(usage_report.calls.keys().all(|k| k.2 == HealthState::Well));
}

/// Guards against reports that do not add up or change when they are serialized.
#[test]
fn reports_add_up_and_can_be_serialized_and_printed() {
    let mut harness = Harness::new(settings());
    let mut sum = UsageReport::default();
    for n in 0..6 {
        let id = harness.submit(n % 2);
        harness.advance(40.0);
        harness.end_attempt(id, 0, Outcome::Delivered, 0.0);
        let usage_report = harness.account.take_report(harness.now, false);
        let json = serde_json::to_string(&usage_report).expect("the report was not serialized");
        assert_eq!(
            serde_json::from_str::<UsageReport>(&json).expect("the serialized report was not read"),
            usage_report
        );
        sum.add(&usage_report);
    }
    assert_eq!(
        (sum.calls_by_outcome()[&CallOutcome::InTime].count, sum.calls_by_outcome()[&CallOutcome::InTime].ms),
        (6, 240.0)
    );
    let table = sum.to_string();
    assert!(table.contains("InTime") && table.contains("slots used 50%"), "wrong table: {table}");
}
