use super::*;

/// Returns a carrier, and the view that it uses, in which at most `max_active` destinations are in use.
fn carrier(max_active: usize) -> (HttpCarrier, Rc<RefCell<View>>) {
    let view = Rc::new(RefCell::new(View::new(Vec::new(), max_active)));
    let settings = CarrierSettings {
        max_open: 4,
        connect_timeout: Duration::from_secs(1),
        conn_idle_ms: 1000.0,
        names: ListNames::default(),
        own_limits: Vec::new(),
        report_columns: Vec::new(),
    };
    (HttpCarrier::new(settings, view.clone()), view)
}

fn list(text: &str) -> List {
    serde_json::from_str(text).unwrap()
}

fn host(name: &str, group: u64, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"127.0.0.1:9","group":{group},"status":"{status}"}}"#)
}

/// Guards against calls to a host that was removed. The update that adds the host is still queued when its
/// destination is deactivated to make room for another; the removal is then not passed on, so the host must
/// not be known when the destination is used again.
#[test]
fn queued_list_of_a_deactivated_destination_is_not_applied() {
    let (carrier, view) = carrier(1);
    let agent = SocketAddr::from(([127, 0, 0, 1], 1));
    let apply = |text: &str| view.borrow_mut().apply(agent, list(text), 0.0).unwrap().list;
    let (a, b) = (host("a", 1, "active"), host("b", 2, "active"));
    let queued = apply(&format!(r#"{{"index":1,"snapshot":true,"endpoints":[{a},{b}]}}"#));
    assert_eq!(queued.endpoints.len(), 1, "a destination beyond the limit was activated");
    let second = carrier.activate(2).expect("the second destination was not activated");
    carrier.apply_list(second);
    // The first destination was not used since, and the carrier doesn't know it yet.
    while view.borrow().is_active(1) {
        view.borrow_mut().evict_surplus(|destination| Some(destination == 1));
    }
    carrier.apply_list(queued);
    assert!(
        carrier.writable_address("a", Some(1)).is_none(),
        "a host of a destination that is not in use may be called"
    );
    let removed = host("a", 1, "left");
    assert!(apply(&format!(r#"{{"index":2,"snapshot":false,"endpoints":[{removed}]}}"#))
        .endpoints
        .is_empty());
    assert!(
        carrier.activate(1).is_none() && carrier.writable_address("a", Some(1)).is_none(),
        "a removed host may be called"
    );
    assert!(carrier.writable_address("b", Some(2)).is_some());
}

/// Guards against calls to a leaving host between the arrival of the list and the round in which the engine
/// processes it: what was decided before must not be sent.
#[test]
fn leaving_host_is_sent_nothing_before_the_list_is_processed() {
    let (carrier, view) = carrier(8);
    let host = |name: &str, status: &str| host(name, 1, status);
    let (a, b) = (host("a", "active"), host("b", "active"));
    let known = list(&format!(r#"{{"index":1,"snapshot":true,"endpoints":[{a},{b}]}}"#));
    let known = view.borrow_mut().apply_known(known);
    carrier.apply_list(known);
    assert!(
        carrier.writable_address("a", Some(1)).is_some() && carrier.writable_address("b", Some(1)).is_some()
    );
    let leaving = host("a", "leaving");
    carrier.stop_sending_to_drained(&list(&format!(
        r#"{{"index":2,"snapshot":false,"endpoints":[{leaving}]}}"#
    )));
    assert!(carrier.writable_address("a", Some(1)).is_none(), "a leaving host may be called");
    assert!(
        carrier.writable_address("b", Some(1)).is_some(),
        "a host that the list of changes does not name may not be called"
    );
    carrier.stop_sending_to_drained(&list(r#"{"index":3,"snapshot":true,"endpoints":[]}"#));
    assert!(
        carrier.writable_address("b", None).is_none(),
        "a host that the full list leaves out may be called"
    );
}
