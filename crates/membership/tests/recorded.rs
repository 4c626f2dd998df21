//! Guards against changes of the list's JSON form: a relay reads lists that an earlier version wrote, and two
//! versions run side by side during a takeover.
use mulleinslip_membership::{Entry, List, Status};

const SAMPLE: &str = include_str!("recorded/list.json");

fn list() -> List {
    let host = |name: &str, address: &str, status| Entry {
        name: name.into(),
        address: address.parse().unwrap(),
        zone: "west".into(),
        kind: "bank".into(),
        group: 41,
        status,
        weight: 2.5,
        since_ms: 1_764_770_000_123.5,
    };
    let endpoints = vec![
        host("h1", "10.0.0.1:8080", Status::Active),
        host("h2", "10.0.0.2:8081", Status::Leaving),
        host("h3", "[fd00::3]:8082", Status::Left),
    ];
    List { index: 88, snapshot: true, endpoints }
}

#[test]
fn recorded_list_round_trips_unchanged() {
    let read: List = serde_json::from_str(SAMPLE).unwrap();
    // `List` does not implement `PartialEq`.
    assert_eq!(format!("{read:?}"), format!("{:?}", list()));
    assert_eq!(serde_json::to_string(&read).unwrap() + "\n", SAMPLE);
}
