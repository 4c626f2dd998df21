//! What is harmless when one relay does it, and harmful when a hundred do.

mod common;
use common::*;

/// Relays that know the same and differ in their seeds alone.
fn relays(count: u64, list: &[linenhall::Endpoint]) -> Vec<Rig> {
    let settings = linenhall::Settings { relays: count as usize, ..settings() };
    (0..count).map(|seed| Rig::seeded(settings.clone(), list.to_vec(), seed)).collect()
}

#[test]
fn relays_that_know_the_same_do_not_all_call_the_endpoint_named_first() {
    let list: Vec<_> = ["a", "b", "c"].iter().map(|name| endpoint(name, 0)).collect();
    let mut got = std::collections::BTreeMap::<String, usize>::new();
    for mut relay in relays(99, &list) {
        let (_, event) = relay.request(SAFE, 0);
        let sent = relay.give(&[event]);
        *got.entry(sent[0].1.clone()).or_default() += 1;
        // Each keeps to its own: another endpoint would cost another connection.
        let id = sent[0].0;
        relay.end(id, 0, linenhall::Outcome::Delivered, 20.0);
        let (_, event) = relay.request(SAFE, 0);
        assert_eq!(relay.give(&[event])[0].1, sent[0].1);
    }
    assert!(got.len() == 3 && got.values().all(|n| (20..=46).contains(n)), "of 99 calls: {got:?}");
}
