//! Responses of partners that come close to the message's deadline or just after it. `daemon/tests/late.rs`
//! has the same faults as clients saw them.
#[allow(dead_code)]
mod common;
use common::{names, settings, MemoryStore};
use linenhall::{Endpoint, EndpointStatus, ListUpdate, Outcome};
use mulleinslip_engine::journal::GivenUp;
use mulleinslip_engine::{
    Attempt, AttemptEnd, Engine, FinalAnswer, FrontReply, Input, Message, Output, Predecessor,
};

const ORDERED: usize = 3;
const BUDGET_MS: f64 = 1000.0;

struct TestEngine {
    engine: Engine<MemoryStore, u32>,
    store: MemoryStore,
}

impl TestEngine {
    fn new() -> TestEngine {
        let store = MemoryStore::default();
        let mut test = TestEngine { engine: Engine::new(settings(), 1, names(), store.clone()), store };
        let host = Endpoint {
            name: "a".into(),
            destination: 1,
            zone: 0,
            kind: 0,
            weight: 1.0,
            status: EndpointStatus::Active,
        };
        test.handle(0.0, Input::ListUpdate(ListUpdate::Full(vec![host])));
        test
    }

    fn handle(&mut self, now: f64, input: Input<&'static str, u32>) -> Vec<Output<&'static str, u32>> {
        let mut outputs = Vec::new();
        self.engine.handle(now, [input], &mut outputs);
        outputs
    }

    /// Submits a message of the ordered class; all have the same order key.
    fn submit(&mut self, now: f64, call_id: &'static str) -> Vec<Output<&'static str, u32>> {
        let message = Message {
            call_id: call_id.into(),
            class: ORDERED,
            tenant: 0,
            destination: 1,
            due: now + BUDGET_MS,
            order_key: Some("k".into()),
            idempotency_key: None,
            body: "body".into(),
        };
        self.handle(now, Input::Submitted(Box::new(message), call_id))
    }

    /// The partner responds to the attempt.
    fn respond(&mut self, now: f64, attempt: &Attempt) -> Vec<Output<&'static str, u32>> {
        let end = AttemptEnd {
            settled: true,
            response: Some(200),
            ..AttemptEnd::without_response(Outcome::Delivered)
        };
        self.handle(now, Input::Ended { id: attempt.id, attempt: attempt.attempt, took_ms: 5.0, end })
    }
}

fn find_attempt(outputs: &[Output<&'static str, u32>]) -> Option<Attempt> {
    outputs.iter().find_map(|o| match o {
        Output::Attempt(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

fn final_answer(outputs: Vec<Output<&'static str, u32>>) -> Option<FinalAnswer<u32>> {
    outputs.into_iter().find_map(|o| match o {
        Output::Reply(FrontReply::Final { answer, .. }) => Some(answer),
        _ => None,
    })
}

/// Guards against a sender that waits forever because it counted a delivery close to its deadline as not
/// answered. From 200 ms before the deadline on, the sender must get a final answer that stays open until it
/// is confirmed. An earlier delivery needs no confirmation.
#[test]
fn delivery_near_or_after_its_deadline_needs_a_confirmed_answer() {
    for (at, late) in [(799.0, false), (801.0, true), (999.0, true), (1000.0, true), (1000.9, true)] {
        let mut test = TestEngine::new();
        let attempt = find_attempt(&test.submit(0.0, "m")).expect("no attempt was made at once");
        test.engine.begin(1.0, attempt.id, attempt.attempt, &attempt.endpoint).unwrap();
        let answer = final_answer(test.respond(at, &attempt)).expect("no final answer");
        let expected = if late { FinalAnswer::DeliveredLate(200) } else { FinalAnswer::Delivered(200) };
        assert_eq!(answer, expected, "final answer after a response at {at} ms");
        assert_eq!(
            test.engine.queued_and_unconfirmed(),
            (0, usize::from(late)),
            "unconfirmed answers after a response at {at} ms"
        );
        assert_eq!(test.engine.tally().classes()[ORDERED].delivered, 1);
        let outputs = test.handle(at + 1.0, Input::AnswersConfirmed(vec![attempt.id]));
        assert!(
            final_answer(outputs).is_none() && test.engine.is_idle(),
            "not done after the confirmation, response at {at} ms"
        );
        assert!(test.store.0.borrow().messages.is_empty());
    }
}

/// Guards against a message that is sent before its sender knows the end of the previous one with the same
/// order key: a late delivery has not ended for its sender before the sender has confirmed the answer.
#[test]
fn next_message_in_order_waits_for_confirmation_of_late_delivery() {
    let mut test = TestEngine::new();
    let first = find_attempt(&test.submit(0.0, "first")).expect("no attempt was made at once");
    test.engine.begin(1.0, first.id, first.attempt, &first.endpoint).unwrap();
    assert!(
        find_attempt(&test.submit(500.0, "second")).is_none(),
        "the second message was sent while the first was in flight"
    );
    let outputs = test.respond(999.0, &first);
    assert!(
        find_attempt(&outputs).is_none(),
        "the second message was sent before the answer of the first was confirmed"
    );
    let outputs = test.handle(1002.0, Input::AnswersConfirmed(vec![first.id]));
    assert_eq!(find_attempt(&outputs).map(|a| a.call_id).as_deref(), Some("second"));
}

/// Guards against a late delivery that is never answered, or sent again, when the process is killed before
/// the sender has confirmed the answer. The next process must answer it as failed and make no attempt.
#[test]
fn next_process_answers_late_delivery_that_was_not_confirmed() {
    let mut test = TestEngine::new();
    let attempt = find_attempt(&test.submit(0.0, "m")).expect("no attempt was made at once");
    test.engine.begin(1.0, attempt.id, attempt.attempt, &attempt.endpoint).unwrap();
    test.respond(1000.5, &attempt);
    let recovered = test.store.recover();
    assert_eq!(recovered.messages[0].given_up, Some(GivenUp::Undeliverable));
    let mut next = Engine::new(settings(), 2, names(), test.store.clone());
    let mut outputs: Vec<Output<&'static str, u32>> = Vec::new();
    next.restore(1700.0, Vec::new(), recovered, &Predecessor::default(), &mut outputs);
    assert!(find_attempt(&outputs).is_none());
    assert!(matches!(final_answer(outputs), Some(FinalAnswer::Failed { may_have_run: true, .. })));
}
