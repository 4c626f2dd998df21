//! A partner's answer that comes with the end of its message's time, to the millisecond. `daemon/tests/late.rs` tells what
//! callers saw.
#[allow(dead_code)]
mod common;
use common::{names, settings, Memory};
use linenhall::{Endpoint, EndpointStatus, ListUpdate, Outcome};
use mulleinslip_engine::journal::GivenUp;
use mulleinslip_engine::{
    Attempt, AttemptEnd, Engine, FinalAnswer, FrontReply, Input, Message, Output, Predecessor,
};

const ORDERED: usize = 3;
const BUDGET_MS: f64 = 1000.0;

struct Bench {
    engine: Engine<Memory, u32>,
    store: Memory,
}

impl Bench {
    fn new() -> Bench {
        let store = Memory::default();
        let mut bench = Bench { engine: Engine::new(settings(), 1, names(), store.clone()), store };
        let host = Endpoint {
            name: "a".into(),
            destination: 1,
            zone: 0,
            kind: 0,
            weight: 1.0,
            status: EndpointStatus::Active,
        };
        bench.handle(0.0, Input::ListUpdate(ListUpdate::Full(vec![host])));
        bench
    }

    fn handle(&mut self, now: f64, input: Input<&'static str, u32>) -> Vec<Output<&'static str, u32>> {
        let mut out = Vec::new();
        self.engine.handle(now, [input], &mut out);
        out
    }

    /// Hands in a message in order; all have one key.
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

    /// The answer of the one attempt that is out.
    fn answered(&mut self, now: f64, attempt: &Attempt) -> Vec<Output<&'static str, u32>> {
        let end = AttemptEnd {
            settled: true,
            response: Some(200),
            ..AttemptEnd::without_response(Outcome::Delivered)
        };
        self.handle(now, Input::Ended { id: attempt.id, attempt: attempt.attempt, took_ms: 5.0, end })
    }
}

fn attempt(out: &[Output<&'static str, u32>]) -> Option<Attempt> {
    out.iter().find_map(|o| match o {
        Output::Attempt(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

fn last_word(out: Vec<Output<&'static str, u32>>) -> Option<FinalAnswer<u32>> {
    out.into_iter().find_map(|o| match o {
        Output::Reply(FrontReply::Final { answer, .. }) => Some(answer),
        _ => None,
    })
}

/// Up to 200 ms before the end of its time a delivery needs no words; from then on its sender is told as well, until that is
/// confirmed.
#[test]
fn a_delivery_near_the_end_of_its_time_or_after_it_is_owed_a_word() {
    for (at, late) in [(799.0, false), (801.0, true), (999.0, true), (1000.0, true), (1000.9, true)] {
        let mut bench = Bench::new();
        let sent = attempt(&bench.submit(0.0, "m")).expect("it goes at once");
        bench.engine.begin(1.0, sent.id, sent.attempt, &sent.endpoint).unwrap();
        let answer = last_word(bench.answered(at, &sent)).expect("an end");
        let wanted = if late { FinalAnswer::DeliveredLate(200) } else { FinalAnswer::Delivered(200) };
        assert_eq!(answer, wanted, "answered after {at} ms");
        assert_eq!(bench.engine.held(), (0, usize::from(late)), "answered after {at} ms");
        assert_eq!(bench.engine.tally().classes()[ORDERED].delivered, 1);
        let out = bench.handle(at + 1.0, Input::AnswersConfirmed(vec![sent.id]));
        assert!(last_word(out).is_none() && bench.engine.is_idle(), "answered after {at} ms");
        assert!(bench.store.0.borrow().kept.is_empty());
    }
}

/// The next of its key goes once the sender has heard, as the one before is not over for it until then.
#[test]
fn the_next_in_order_waits_until_the_sender_of_a_late_delivery_has_heard() {
    let mut bench = Bench::new();
    let first = attempt(&bench.submit(0.0, "first")).expect("it goes at once");
    bench.engine.begin(1.0, first.id, first.attempt, &first.endpoint).unwrap();
    assert!(attempt(&bench.submit(500.0, "second")).is_none(), "the first is out");
    let out = bench.answered(999.0, &first);
    assert!(attempt(&out).is_none(), "the first one's end is owed");
    let out = bench.handle(1002.0, Input::AnswersConfirmed(vec![first.id]));
    assert_eq!(attempt(&out).map(|a| a.call_id).as_deref(), Some("second"));
}

/// Killed before the sender has heard, the next process tells it, and sends nothing.
#[test]
fn a_late_delivery_is_told_by_the_next_process_if_this_one_could_not() {
    let mut bench = Bench::new();
    let sent = attempt(&bench.submit(0.0, "m")).expect("it goes at once");
    bench.engine.begin(1.0, sent.id, sent.attempt, &sent.endpoint).unwrap();
    bench.answered(1000.5, &sent);
    let left = bench.store.left();
    assert_eq!(left.messages[0].given_up, Some(GivenUp::Undeliverable));
    let mut next = Engine::new(settings(), 2, names(), bench.store.clone());
    let mut out: Vec<Output<&'static str, u32>> = Vec::new();
    next.restore(1700.0, Vec::new(), left, &Predecessor::default(), &mut out);
    assert!(attempt(&out).is_none());
    assert!(matches!(last_word(out), Some(FinalAnswer::Failed { may_have_run: true, .. })));
}
