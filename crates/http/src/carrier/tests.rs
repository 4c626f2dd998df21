use super::*;

fn carrier(room: usize) -> (HttpCarrier, Rc<RefCell<View>>) {
    let view = Rc::new(RefCell::new(View::new(Vec::new(), room)));
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

/// News of a destination wait for their turn; meanwhile it makes room for another. Nobody is told then that the host leaves,
/// so it must not be known when the destination is used again.
#[test]
fn news_of_a_destination_that_made_room_meanwhile_is_not_learnt() {
    let (carrier, view) = carrier(1);
    let agent = SocketAddr::from(([127, 0, 0, 1], 1));
    let told = |text: &str| view.borrow_mut().apply(agent, list(text), 0.0).unwrap().list;
    let (a, b) = (host("a", 1, "active"), host("b", 2, "active"));
    let waits = told(&format!(r#"{{"index":1,"snapshot":true,"endpoints":[{a},{b}]}}"#));
    assert_eq!(waits.endpoints.len(), 1, "there is room for the first alone");
    let second = carrier.activate(2).expect("it comes into use");
    carrier.apply_list(second);
    // The first was not used since, and nobody knows it yet.
    while view.borrow().is_active(1) {
        view.borrow_mut().shrink(|destination| Some(destination == 1));
    }
    carrier.apply_list(waits);
    assert!(carrier.may_write("a", Some(1)).is_none(), "not in use");
    let gone = host("a", 1, "left");
    assert!(told(&format!(r#"{{"index":2,"snapshot":false,"endpoints":[{gone}]}}"#)).endpoints.is_empty());
    assert!(carrier.activate(1).is_none() && carrier.may_write("a", Some(1)).is_none(), "it has left");
    assert!(carrier.may_write("b", Some(2)).is_some());
}

/// The decisions hear of a list in their turn; until then what they have decided must not go out.
#[test]
fn a_host_that_leaves_is_left_alone_before_the_decisions_hear_of_it() {
    let (carrier, view) = carrier(8);
    let host = |name: &str, status: &str| host(name, 1, status);
    let (a, b) = (host("a", "active"), host("b", "active"));
    let known = list(&format!(r#"{{"index":1,"snapshot":true,"endpoints":[{a},{b}]}}"#));
    let known = view.borrow_mut().apply_known(known);
    carrier.apply_list(known);
    assert!(carrier.may_write("a", Some(1)).is_some() && carrier.may_write("b", Some(1)).is_some());
    let leaving = host("a", "leaving");
    carrier.stop_sending_to_drained(&list(&format!(
        r#"{{"index":2,"snapshot":false,"endpoints":[{leaving}]}}"#
    )));
    assert!(carrier.may_write("a", Some(1)).is_none(), "told to be leaving");
    assert!(carrier.may_write("b", Some(1)).is_some(), "not named in what changed");
    carrier.stop_sending_to_drained(&list(r#"{"index":3,"snapshot":true,"endpoints":[]}"#));
    assert!(carrier.may_write("b", None).is_none(), "left out of a whole list");
}
