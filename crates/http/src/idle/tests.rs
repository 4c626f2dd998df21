use super::Idle;
use std::time::{Duration, Instant};

#[test]
fn the_newest_is_taken_and_the_oldest_of_all_goes() {
    let (mut idle, start) = (Idle::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    for (n, host) in ["a", "b", "a", "b", "c"].iter().enumerate() {
        idle.keep(host, at(n as u64), n);
    }
    assert_eq!(idle.take("a"), Some((at(2), 2)));
    assert!(idle.drop_oldest());
    assert_eq!(idle.take("a"), None, "0 was the oldest");
    assert_eq!(idle.len(), 3);
    idle.retain(|since, _| since > at(1));
    assert_eq!((idle.take("b"), idle.take("b")), (Some((at(3), 3)), None));
    idle.drop_all("c");
    assert!(idle.len() == 0 && !idle.drop_oldest());
    idle.retain(|_, _| true);
    assert!(idle.of.is_empty(), "hosts without any leave nothing behind");
}
