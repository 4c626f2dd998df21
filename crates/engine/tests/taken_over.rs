//! Messages that are taken over from a running process while an attempt of theirs is in flight there.
#[allow(dead_code)]
mod common;
use common::{names, settings, MemoryStore};
use linenhall::{Endpoint, EndpointStatus, ListUpdate, Outcome};
use mulleinslip_engine::journal::{AcceptedMessage, GivenUp, RecoveredState};
use mulleinslip_engine::{AttemptEnd, Engine, FinalAnswer, FrontReply, Input, Output, Predecessor, Store};

type Outputs = Vec<Output<&'static str, u32>>;

const DUE: f64 = 10_000.0;
const CLASSES: [&str; 4] = ["safe", "keyed", "unsafe", "ordered"];

/// Returns a store with this many messages, each with this many attempts that never ran and one in flight.
fn store_with_attempts_in_flight(class: &str, messages: u64, refused_attempts: u32) -> MemoryStore {
    let mut store = MemoryStore::default();
    for id in 1..=messages {
        let message = AcceptedMessage {
            call_id: format!("m{id}"),
            class: class.into(),
            tenant: "acme".into(),
            order_key: Some(format!("k{id}")),
            idempotency_key: None,
            due: DUE,
            dest: 1,
            body: Vec::new(),
        };
        store.record_accepted(id, message).unwrap();
        for attempt in 0..=refused_attempts {
            store.record_attempt(id, attempt, DUE - 4000.0 + 10.0 * f64::from(attempt), "a").unwrap();
            if attempt < refused_attempts {
                store.record_outcome(id, attempt, false, false).unwrap();
            }
        }
    }
    store
}

fn engine(store: &MemoryStore, now: f64, messages: u64, attempt: u32) -> (Engine<MemoryStore, u32>, Outputs) {
    let recovered: RecoveredState = store.recover();
    let predecessor = Predecessor {
        is_running: true,
        attempts_in_flight: (1..=messages).map(|id| (id, attempt)).collect(),
        ..Predecessor::default()
    };
    let host = |status| Endpoint { name: "a".into(), destination: 1, zone: 0, kind: 0, weight: 1.0, status };
    let lists = vec![ListUpdate::Full(vec![host(EndpointStatus::Active)])];
    let mut engine = Engine::new(settings(), 2, names(), store.clone());
    let mut outputs = Vec::new();
    engine.restore(now, lists, recovered, &predecessor, &mut outputs);
    (engine, outputs)
}

fn final_answers(outputs: &Outputs) -> Vec<&FinalAnswer<u32>> {
    let answers = outputs.iter().filter_map(|output| match output {
        Output::Reply(FrontReply::Final { answer, .. }) => Some(answer),
        _ => None,
    });
    answers.collect()
}

/// Guards against a message that may have run and is refused, which says that trying again is harmless: its
/// time ended while its process was taken over, with an attempt in flight there. The new process must wait
/// for the end of the attempt, which decides. Before and after the end of the time, with attempts left and
/// without.
#[test]
fn message_whose_time_ends_during_a_takeover_is_not_refused_while_its_attempt_is_in_flight() {
    for class in CLASSES {
        for now in [DUE - 20.0, DUE - 1.0, DUE, DUE + 3.0, DUE + 400.0] {
            for refused_attempts in [0, settings().max_attempts - 1] {
                let case = format!("{class} at {now}, {refused_attempts} attempts before");
                let store = store_with_attempts_in_flight(class, 3, refused_attempts);
                let (mut engine, outputs) = engine(&store, now, 3, refused_attempts);
                assert!(final_answers(&outputs).is_empty(), "{case}: {:?}", final_answers(&outputs));
                let ends = [Outcome::TimedOut, Outcome::Full, Outcome::Delivered];
                let ended = ends.iter().enumerate().map(|(index, outcome)| Input::Ended {
                    id: index as u64 + 1,
                    attempt: refused_attempts,
                    took_ms: 4000.0,
                    end: AttemptEnd {
                        settled: *outcome == Outcome::Delivered,
                        response: (*outcome == Outcome::Delivered).then_some(200),
                        ..AttemptEnd::without_response(*outcome)
                    },
                });
                let mut outputs = Vec::new();
                engine.handle(now.max(DUE) + 1.0, ended.collect::<Vec<_>>(), &mut outputs);
                let given_up = |id: u64| store.0.borrow().messages.get(&id).and_then(|m| m.given_up);
                if class == "unsafe" || class == "keyed" {
                    assert_eq!(given_up(1), Some(GivenUp::Undeliverable), "{case}: timed out");
                }
                assert!(matches!(given_up(2), Some(GivenUp::Deferred { .. })), "{case}: turned away");
                let delivered =
                    |answer: &&FinalAnswer<u32>| matches!(answer, FinalAnswer::DeliveredLate(200));
                assert_eq!(final_answers(&outputs).into_iter().filter(delivered).count(), 1, "{case}");
            }
        }
    }
}
