use super::Bounds;

/// Guards against connections whose number follows from the descriptors alone: what they may hold has to fit into the
/// memory.
#[test]
fn connections_are_bounded_by_the_memory_too() {
    let clients_and_hosts = |sockets, memory_mb: Option<usize>| {
        let bounds = Bounds::new(sockets, memory_mb.map(|mb| mb * 1_000_000));
        (bounds.max_clients, bounds.max_host_connections)
    };
    assert_eq!(clients_and_hosts(1024, Some(192)), (484, 484));
    assert_eq!(clients_and_hosts(1024, Some(32)), (484, 122));
    assert_eq!(clients_and_hosts(1024, Some(16)), (244, 61));
    assert_eq!(clients_and_hosts(1024, Some(1)), (16, 16));
    assert_eq!(clients_and_hosts(60, Some(32)), (2, 2));
    assert_eq!(clients_and_hosts(1024, None), (484, 484));
}
