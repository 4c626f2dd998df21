use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use tokio::time::timeout;

fn list(index: u64, snapshot: bool) -> String {
    let host = r#"{"name":"a","address":"127.0.0.1:9","group":1,"status":"active"}"#;
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{host}]}}"#)
}

/// Runs an agent that serves these bodies in turn, `None` for one that breaks off, and returns the versions
/// that the relay received and the request lines of its calls.
fn run_agent(bodies: Vec<Option<String>>) -> (Vec<u64>, Vec<String>) {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = agent.local_addr().unwrap();
    let (tell_done, done) = tokio::sync::oneshot::channel();
    let agent_thread = std::thread::spawn(move || {
        let (mut requests, mut kept) = (Vec::new(), None::<TcpStream>);
        for body in bodies {
            let mut conn = kept.take().unwrap_or_else(|| agent.accept().unwrap().0);
            let mut head = vec![0; 4096];
            let mut length = conn.read(&mut head).unwrap();
            if length == 0 {
                // The relay has closed the connection.
                conn = agent.accept().unwrap().0;
                length = conn.read(&mut head).unwrap();
            }
            requests.push(String::from_utf8_lossy(&head[..length]).lines().next().unwrap_or("").to_string());
            let full = body.clone().unwrap_or_else(|| list(9, true));
            let sent = if body.is_some() { full.len() } else { full.len() / 2 };
            let length = full.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", &full[..sent]);
            conn.write_all(answer.as_bytes()).unwrap();
            kept = body.is_some().then_some(conn);
        }
        // One more call shows that the last answer was read.
        let mut last = kept.unwrap_or_else(|| agent.accept().unwrap().0);
        assert!(last.read(&mut [0; 4096]).unwrap() > 0);
        tell_done.send(()).unwrap();
        requests
    });
    let received = Arc::new(Mutex::new(Vec::new()));
    let recorder = received.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async move {
        let (_keep_open, agent_address) = watch::channel(address);
        let watcher = Discovery::new(address, PollCost::Free).watch(None, agent_address, move |_, list| {
            recorder.lock().unwrap().push(list.index);
            true
        });
        tokio::select! {
            result = timeout(Duration::from_secs(30), done) => {
                result.expect("the relay stopped calling the agent").unwrap();
            }
            () = watcher => panic!("the watch ended early"),
        }
    });
    let received = received.lock().unwrap().clone();
    (received, agent_thread.join().unwrap())
}

/// Guards against lists that are applied although they are malformed, incomplete or older than the current
/// one: they must change nothing. After each of them the full list is asked for, as another agent may have taken the
/// place of this one, and the watch goes on from there.
#[test]
fn malformed_truncated_or_older_lists_change_nothing_and_are_fetched_again() {
    let malformed = Some("{\"index\":9,\"endpoints\":[{]}".to_string());
    let (received, requests) = run_agent(vec![
        Some(list(5, true)),
        malformed,
        None,
        Some(list(5, true)),
        Some(list(3, false)),
        Some(list(5, true)),
        Some(list(4, true)),
        Some(list(6, true)),
        Some(list(7, false)),
    ]);
    assert_eq!(received, [5, 5, 5, 6, 7]);
    assert!(requests[0].starts_with("GET /catalog/members "), "{requests:?}");
    for (number, line) in requests.iter().enumerate() {
        match number {
            0 | 2 | 3 | 5 | 7 => {
                assert!(line.starts_with("GET /catalog/members "), "not for the full list: {requests:?}")
            }
            1..8 => assert!(line.contains("after=5&"), "not from the current version: {requests:?}"),
            _ => assert!(line.contains("after=6&"), "not from the current version: {requests:?}"),
        }
    }
}

/// Guards against a tight loop of calls for a list over the size limit, which stays that long: the error
/// names the size and the limit, and the next call comes only after a long pause.
#[test]
fn list_over_the_size_limit_is_reported_and_fetched_again_after_a_long_pause() {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = agent.local_addr().unwrap();
    let calls = Arc::new(Mutex::new(0));
    let counter = calls.clone();
    std::thread::spawn(move || {
        for mut conn in agent.incoming().flatten() {
            let _head = conn.read(&mut [0; 4096]);
            *counter.lock().unwrap() += 1;
            let list = " ".repeat(5000);
            let _unread =
                conn.write_all(format!("HTTP/1.1 200 x\r\nContent-Length: 5000\r\n\r\n{list}").as_bytes());
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut discovery = Discovery::new(address, PollCost::Free).with_max_list_bytes(4999);
        let error = discovery.fetch(None).await.expect_err("a list over the limit was accepted");
        assert_eq!(error, FetchError::TooLarge { size: 5000, max_bytes: 4999 });
        let text = "list of 5000 bytes exceeds the maximum of 4999 bytes (limits.memory_mb)";
        assert_eq!(error.to_string(), text);
        let (_keep_open, agent_address) = watch::channel(address);
        let watching = Discovery::new(address, PollCost::Free).with_max_list_bytes(4999).watch(
            None,
            agent_address,
            |_, _| true,
        );
        let _still_watching = timeout(Duration::from_millis(1500), watching).await;
    });
    assert_eq!(
        *calls.lock().unwrap(),
        2,
        "each client calls once within the pause; with the pauses of other failures there would be ten calls"
    );
}

/// Guards against a relay that ignores an agent, for good or for seconds, after the agent began its versions anew: an
/// older list makes the relay fetch the full list and accept its version. Before, it took three older lists, which come
/// after 2 s each; the list has to be in force after 6 s.
#[test]
fn versions_that_begin_anew_are_accepted_after_one_older_list() {
    let older = || Some(list(1, true));
    let (received, requests) = run_agent(vec![Some(list(50, true)), older(), older(), Some(list(2, true))]);
    assert_eq!(received, [50, 1, 2]);
    assert!(requests[2].starts_with("GET /catalog/members "), "not asked for the full list: {requests:?}");
    assert!(requests[3].contains("after=1&"), "{requests:?}");
}

/// Runs an agent that answers each call after this time, and returns when the relay had its first list.
fn first_list_from_slow_agent(
    poll_cost: PollCost, version: Option<u64>, answers_after: Duration,
) -> Option<Duration> {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = agent.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut conn in agent.incoming().flatten() {
            std::thread::spawn(move || {
                while conn.read(&mut [0; 4096]).is_ok_and(|length| length > 0) {
                    std::thread::sleep(answers_after);
                    let list = list(5, true);
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                    let _closed = conn.write_all(answer.as_bytes());
                }
            });
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async move {
        let (_keep_open, agent_address) = watch::channel(address);
        let began = Instant::now();
        let first = Arc::new(Mutex::new(None));
        let recorder = first.clone();
        let watching = Discovery::new(address, poll_cost).watch(version, agent_address, move |_, _| {
            *recorder.lock().unwrap() = Some(began.elapsed());
            false
        });
        let _ended = timeout(Duration::from_secs(20), watching).await;
        let first = *first.lock().unwrap();
        first
    })
}

/// Guards against a relay that never has a list from a discovery service that answers slowly, as it gives up
/// each call: the answer to a call that took too long is accepted while the next ones are in flight. Where few relays
/// ask, a call counts as failed after 1 s.
#[test]
fn late_answer_of_a_slow_discovery_is_accepted() {
    for (poll_cost, version, answers_after_ms) in [
        (PollCost::Costly, Some(1), 6500),
        (PollCost::Free, None, 1300),
        (PollCost::Free, None, 2500),
        (PollCost::Free, Some(1), 3800),
    ] {
        let answers_after = Duration::from_millis(answers_after_ms);
        let first = first_list_from_slow_agent(poll_cost, version, answers_after);
        let first = first.unwrap_or_else(|| panic!("{poll_cost:?}: no list after {answers_after:?}"));
        assert!(first < answers_after + Duration::from_millis(1500), "the first list came after {first:?}");
    }
}
