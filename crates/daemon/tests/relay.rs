//! The relay as a program, over loopback sockets.
use mulleinslip_testkit::*;
use serde_json::json;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

const PROGRAM: Program = program!();

#[test]
fn a_message_is_taken_on_and_delivered_as_it_came() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 7, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let body: Vec<u8> = (0..=255).cycle().take(64 * 1024).collect();
    let answer = relay.client().submit("keyed", "m1", 7, 4000, &body);
    assert_eq!(answer.status(), 202);
    let call = host.wait_calls(1).remove(0);
    assert_eq!(call.line, "POST /inbox HTTP/1.1");
    assert_eq!((call.id(), call.header("Idempotency-Key")), ("m1", "key-m1"));
    assert!(call.header("X-Budget").ends_with('m') && call.body == body);
    // Delivered, it is owed nothing: no second call and no notice, also not after a restart.
    host.wait_reuse(&relay, 7);
    let relay = relay.killed(|_| {});
    relay.take("safe", "m3", 7);
    until("the next message", || (host.calls_of("m3") == 1).then_some(()));
    assert_eq!((host.calls_of("m1"), agent.notices_of("m1").len()), (1, 0));
}

#[test]
fn health_is_answered_and_connections_are_kept_on_both_sides() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut client = relay.client();
    client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.answer().unwrap().status(), 200);
    for n in 0..5 {
        assert_eq!(client.submit("safe", &format!("k{n}"), 1, 4000, b"").status(), 202);
        host.wait_calls(n + 1);
    }
    host.wait_reuse(&relay, 1);
    // Calls may overlap, but they never need more connections than may be out at once.
    assert!(host.conns.load(std::sync::atomic::Ordering::SeqCst) <= 3);
}

/// Each row of the protocol's table: what a host does first, and how often a message of each effect comes.
#[test]
fn each_outcome_is_told_apart() {
    let rows: &[(Reply, &str, usize, bool)] = &[
        // A reply, a class, calls in all, whether it ends by a notice.
        (Reply::Status(200), "unsafe", 1, false),
        (Reply::Status(500), "safe", 2, false),
        (Reply::Status(500), "keyed", 2, false),
        (Reply::Status(500), "unsafe", 1, true),
        (Reply::With(429, "Retry-After: 0.05\r\n"), "unsafe", 2, false),
        (Reply::Status(503), "unsafe", 2, false),
        (Reply::With(503, "X-No-Slot: 1\r\n"), "unsafe", 2, false),
        (Reply::Status(504), "unsafe", 2, false),
        (Reply::Status(410), "safe", 1, false),
        (Reply::Reset, "keyed", 2, false),
        (Reply::Reset, "unsafe", 1, true),
        (Reply::Silent, "keyed", 2, false),
        // Spoilt: it may have run, whatever status it gives.
        (Reply::Raw("\0noise\r\n\r\n"), "unsafe", 1, true),
        (Reply::Raw("\0noise\r\n\r\n"), "keyed", 2, false),
        (Reply::Raw("HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\nshort"), "unsafe", 1, true),
        (Reply::Raw("HTTP/1.1 504 x\r\nContent-Length: -9\r\n\r\n"), "unsafe", 1, true),
        (Reply::Raw("HTTP/1.1 429 x\r\nRetry-After: 0.05\r\nno colon\r\n\r\n"), "unsafe", 1, true),
        (Reply::Raw("HTTP/1.1 503 x\r\nA: b\r\n"), "unsafe", 1, true),
        (Reply::Raw("HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\n..."), "unsafe", 1, true),
        (Reply::Raw("HTTP/1.1 410 x\r\nContent-Length: 9\r\n\r\nshort"), "safe", 2, false),
        // Or its length is too short for it, or it came twice: nobody can tell.
        (Reply::Raw("HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nlonger"), "unsafe", 1, true),
        // But for a first line that says 200: that is true.
        (Reply::Raw("HTTP/1.1 200 x\r\nA: b\r\n"), "unsafe", 1, false),
        (Reply::Raw("HTTP/1.1 200 x\r\nno colon\r\n\r\n"), "unsafe", 1, false),
        (Reply::Raw("HTTP/1.1 200 x\r\nContent-Length: -9\r\n\r\n"), "unsafe", 1, false),
        (Reply::Raw("HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n..."), "unsafe", 1, false),
        // Good, with more than belongs to it.
        (Reply::Raw("HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"), "unsafe", 1, false),
        (Reply::Raw("HTTP/1.1 101 x\r\n\r\nHTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\n"), "unsafe", 2, false),
        (Reply::With(504, "X-Load-Report: {\"x0\":\"?\r\n"), "unsafe", 2, false),
    ];
    for (row, (reply, class, calls, notice)) in rows.iter().enumerate() {
        let host = Host::first(vec![reply.clone()]);
        let agent = Agent::new(&[("a", 1, &host)]);
        let relay = Relay::start(PROGRAM, &agent);
        relay.take(class, "m", 1);
        host.wait_calls(*calls);
        if *notice {
            assert_eq!(agent.wait_notice("m")["status"], "undeliverable", "row {row}");
        }
        // What comes after is delivered, so the message before it has been dealt with.
        relay.take("safe", "last", 1);
        until("the next message", || (host.calls_of("last") == 1).then_some(()));
        assert_eq!(host.calls_of("m"), *calls, "row {row}: {reply:?} for {class}");
        assert_eq!(agent.notices_of("m").len(), usize::from(*notice), "row {row}");
    }
}

#[test]
fn a_refused_connection_never_ran_and_the_other_host_gets_the_message() {
    let host = Host::ok();
    let agent = Agent::new(&[("b", 1, &host)]);
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    agent.list("a", 1, gone.local_addr().unwrap(), "active");
    drop(gone);
    let relay = Relay::start(PROGRAM, &agent);
    for n in 0..4 {
        relay.take("unsafe", &format!("m{n}"), 1);
    }
    host.wait_calls(4);
    assert!((0..4).all(|n| host.calls_of(&format!("m{n}")) == 1));
}

#[test]
fn a_told_wait_is_heeded_for_every_message() {
    let host = Host::first(vec![Reply::With(429, "Retry-After: 0.6\r\n")]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("safe", "m0", 1);
    let told = host.wait_calls(1)[0].at;
    // Taken on while the wait binds.
    std::thread::sleep(Duration::from_millis(50));
    for n in 1..4 {
        relay.take("safe", &format!("m{n}"), 1);
    }
    let calls = host.wait_calls(5);
    let soonest = calls[1..].iter().map(|c| c.at - told).min().unwrap();
    assert!(soonest >= Duration::from_millis(600), "the next call came after {soonest:?}");
}

#[test]
fn a_host_that_drains_gets_nothing_new() {
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("old", 1, &old)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("safe", "before", 1);
    old.wait_calls(1);
    let watched = until("a watch", || Some(agent.watches()).filter(|w| *w > 0));
    agent.list("new", 1, new.address, "active");
    agent.list("old", 1, old.address, "leaving");
    until("the next watch", || (agent.watches() > watched).then_some(()));
    // The grace of the rule is 250 ms; the relay has had the list for some milliseconds at most.
    std::thread::sleep(Duration::from_millis(100));
    for n in 0..6 {
        relay.take("safe", &format!("m{n}"), 1);
    }
    new.wait_calls(6);
    assert_eq!(old.received().len(), 1);
}

/// A host may close an idle connection at any time: an unsafe message written to one would be lost.
#[test]
fn a_stale_idle_connection_is_noticed_before_anything_is_written() {
    let host = Host::new(|_, n| if n == 0 { Reply::AndClose } else { Reply::Status(200) });
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("safe", "first", 1);
    until("the close", || (host.closed.load(std::sync::atomic::Ordering::SeqCst) == 1).then_some(()));
    relay.take("unsafe", "second", 1);
    let calls = host.wait_calls(2);
    assert_eq!((calls[1].id(), calls[1].conn), ("second", 1));
    assert!(agent.notices_of("second").is_empty());
}

#[test]
fn a_keyed_message_that_may_have_run_is_not_sent_after_its_window() {
    let host = Host::first(vec![Reply::Reset]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Profiles"][1]["DedupWindowMs"] = json!(1.0);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.take("keyed", "m", 1);
    assert_eq!(agent.wait_notice("m")["status"], "undeliverable");
    assert_eq!(host.calls_of("m"), 1);
}

#[test]
fn messages_of_one_key_go_one_at_a_time_and_in_order() {
    for key_in in ["ordered?about=k", "ordered/k"] {
        let host = Host::new(|_, n| if n == 1 { Reply::Status(500) } else { Reply::Late(20) });
        let agent = Agent::new(&[("a", 1, &host)]);
        let relay = Relay::start(PROGRAM, &agent);
        let mut client = relay.client();
        for n in 0..4 {
            assert_eq!(client.submit(key_in, &format!("m{n}"), 1, 4000, b"").status(), 202);
        }
        let calls = host.wait_calls(5);
        let order: Vec<_> = calls.iter().map(|c| c.id().to_string()).collect();
        assert_eq!(order, ["m0", "m1", "m1", "m2", "m3"], "{key_in}");
    }
}

/// SIGKILL with one message held, three out, one ended and one whose notice was never confirmed.
#[test]
fn what_was_taken_on_outlasts_the_process() {
    let silent = Host::new(|_, n| if n < 3 { Reply::Silent } else { Reply::Status(200) });
    let fine = Host::ok();
    let agent = Agent::new(&[("a", 1, &silent), ("b", 2, &fine)]);
    agent.hold(3);
    agent.reply_to_notices(vec![500; 10_000]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("safe", "ended", 2);
    fine.wait_calls(1);
    relay.take("safe", "held", 3);
    // In one message's short time nobody takes it: given up, and its notice fails.
    assert_eq!(relay.client().submit("safe", "unheard", 3, 30, b"").status(), 202);
    agent.wait_notice("unheard");
    for class in ["safe", "keyed", "unsafe"] {
        relay.take(class, &format!("out-{class}"), 1);
    }
    silent.wait_calls(3);
    let mut before = 0;
    let relay = relay.killed(|_| {
        before = agent.notices_of("unheard").len();
        agent.reply_to_notices(Vec::new());
        agent.list("draining-3", 3, fine.address, "active");
    });
    until("the notice once more", || (agent.notices_of("unheard").len() > before).then_some(()));
    until("what was held", || (fine.calls_of("held") == 1).then_some(()));
    until("what may be repeated", || {
        (silent.calls_of("out-safe") == 2 && silent.calls_of("out-keyed") == 2).then_some(())
    });
    assert_eq!(agent.wait_notice("out-unsafe")["status"], "undeliverable");
    assert_eq!((fine.calls_of("ended"), silent.calls_of("out-unsafe")), (1, 1));
    assert!(agent.notices_of("out-safe").is_empty() && agent.notices_of("out-keyed").is_empty());
    // Each is over now, so a further process sends none of them again.
    fine.wait_reuse(&relay, 2);
    let counts = || (fine.calls_of("held"), silent.calls_of("out-keyed"), agent.notices_of("unheard").len());
    let over = counts();
    let relay = relay.killed(|_| {});
    relay.take("safe", "last", 2);
    until("the last message", || (fine.calls_of("last") == 1).then_some(()));
    assert_eq!(counts(), over);
}

/// After a restart a key rests too: the attempt that was out may still run when the next message's turn comes.
#[test]
fn a_key_rests_after_a_restart() {
    let host = Host::first(vec![Reply::Silent]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Safety"]["OrderPauseMs"] = json!(800.0);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.client().submit("ordered/k", "m0", 1, 4000, b"");
    relay.client().submit("ordered/k", "m1", 1, 4000, b"");
    host.wait_calls(1);
    let mut killed = Instant::now();
    let _relay = relay.killed(|_| killed = Instant::now());
    let calls = host.wait_calls(3);
    assert_eq!((calls[1].id(), calls[2].id()), ("m0", "m1"));
    let rested = calls[2].at - killed;
    assert!(rested >= Duration::from_millis(800), "the next one went after {rested:?}");
}

#[test]
fn a_host_at_a_new_address_is_called_there() {
    let (old, new) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[("a", 1, &old)]);
    let relay = Relay::start(PROGRAM, &agent);
    old.wait_reuse(&relay, 1);
    let watched = agent.watches();
    agent.list("a", 1, new.address, "active");
    until("the next watch", || (agent.watches() > watched).then_some(()));
    let before = old.received().len();
    for n in 0..4 {
        relay.take("safe", &format!("m{n}"), 1);
    }
    new.wait_calls(4);
    assert_eq!(old.received().len(), before);
}

#[test]
fn attempts_are_counted_across_processes() {
    let host = Host::new(|_, n| if n == 2 { Reply::Silent } else { Reply::Status(500) });
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxAttempts"] = json!(3);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.take("safe", "m", 1);
    host.wait_calls(3);
    let _relay = relay.killed(|_| {});
    // Three attempts were made: the message is given up, by the process that made none of them.
    agent.wait_notice("m");
    assert_eq!(host.calls_of("m"), 3);
}

#[test]
fn overdue_messages_end_at_the_restart() {
    let agent = Agent::new(&[]);
    agent.hold(1);
    let relay = Relay::start(PROGRAM, &agent);
    assert_eq!(relay.client().submit("safe", "m", 1, 300, b"").status(), 202);
    let _relay = relay.killed(|_| std::thread::sleep(Duration::from_millis(400)));
    assert_eq!(agent.wait_notice("m")["status"], "deferred");
}

#[test]
fn a_torn_tail_and_a_damaged_record_cost_only_themselves() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    agent.hold(1);
    agent.hold(9);
    let relay = Relay::start(PROGRAM, &agent);
    for id in ["one", "two", "three"] {
        relay.take("safe", id, 1);
    }
    let relay = relay.killed(|journal| {
        let mut bytes = std::fs::read(journal).unwrap();
        let place = bytes.windows(3).position(|w| w == b"two").unwrap();
        bytes[place] ^= 0xff;
        bytes.extend_from_slice(b"\xf5mj\x01\x40\0\0\0torn");
        std::fs::write(journal, bytes).unwrap();
        agent.list("a", 1, host.address, "active");
    });
    host.wait_calls(2);
    assert_eq!((host.calls_of("one"), host.calls_of("three")), (1, 1));
    assert!(relay.logged("damaged bytes") && relay.logged("torn tail"));
    // What is written after the damage is read by the next process.
    relay.take("safe", "four", 9);
    let _relay = relay.killed(|_| agent.list("b", 9, host.address, "active"));
    until("what came after", || (host.calls_of("four") == 1).then_some(()));
}

#[test]
fn a_full_journal_refuses_and_the_folder_stays_within_its_limit() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["limits"]["disk_mb"] = json!(0.5);
    let relay = Relay::with(PROGRAM, config, &agent);
    let body = vec![7; 40_000];
    let mut client = relay.client();
    let answers: Vec<_> = (0..12).map(|n| client.submit("safe", &format!("m{n}"), 1, 4000, &body)).collect();
    let taken = answers.iter().filter(|a| a.status() == 202).count();
    assert!(taken > 2 && taken < 12, "{taken} of 12 fit");
    let refused = answers.iter().find(|a| a.status() == 503).unwrap();
    assert!(refused.header("Retry-After").parse::<f64>().unwrap() > 0.0);
    // All that was taken on is delivered, and then there is room again.
    agent.list("a", 1, host.address, "active");
    host.wait_calls(taken);
    for n in 12..40 {
        until("room", || {
            (client.submit("safe", &format!("m{n}"), 1, 4000, &body).status() == 202).then_some(())
        });
        let files = std::fs::read_dir(relay.folder.join("state")).unwrap();
        let used: u64 = files.flatten().filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum();
        assert!(used <= 500_000, "{used} bytes");
    }
}

#[test]
fn more_than_max_open_is_refused() {
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxOpen"] = json!(4);
    let relay = Relay::with(PROGRAM, config, &agent);
    let statuses: Vec<_> = (0..8).map(|n| relay.submit("safe", &format!("m{n}"), 1).status()).collect();
    let taken: Vec<_> = (0..8).filter(|n| statuses[*n] == 202).collect();
    assert!(taken.len() < 8 && statuses.iter().all(|s| [202, 503].contains(s)), "{statuses:?}");
    // Each that was taken on and then had to make room was told so at once.
    let ended = taken.iter().filter(|n| !agent.notices_of(&format!("m{n}")).is_empty()).count();
    assert!(taken.len() - ended <= 4);
}

#[test]
fn at_sigterm_nothing_is_taken_on_and_nothing_read_is_cut() {
    let host = Host::new(|_, _| Reply::Late(900));
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut relay = Relay::start(PROGRAM, &agent);
    let mut kept = relay.client();
    assert_eq!(kept.submit("unsafe", "out", 1, 4000, b"").status(), 202);
    host.wait_calls(1);
    relay.terminate();
    until("the signal", || relay.logged("SIGTERM").then_some(()));
    // On a kept connection as on a new one.
    for client in [&mut kept, &mut relay.client()] {
        let answer = client.submit("safe", "late", 1, 4000, b"");
        assert_eq!((answer.status(), answer.header("Connection")), (503, "close"));
        let mut rest = Vec::new();
        assert_eq!(client.0.read_to_end(&mut rest).unwrap(), 0, "closed, with no more said");
    }
    let start = Instant::now();
    assert!(relay.wait_exit().success());
    assert!(start.elapsed() < Duration::from_millis(3700));
    // The unsafe call that was out had its answer: nothing is owed.
    let _relay = relay.killed(|journal| assert!(std::fs::metadata(journal).unwrap().len() > 0));
    assert_eq!((host.calls_of("out"), host.calls_of("late")), (1, 0));
    assert!(agent.notices_of("out").is_empty());
}

#[test]
fn what_is_held_at_sigterm_is_for_the_next_process() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    agent.hold(1);
    let mut config = config(agent.address);
    config["settings"]["Profiles"][2]["DeadlineMs"] = json!(60_000.0);
    let mut relay = Relay::with(PROGRAM, config, &agent);
    relay.client().submit("unsafe", "held", 1, 60_000, b"");
    relay.terminate();
    until("the signal", || relay.logged("SIGTERM").then_some(()));
    let mut client = relay.client();
    client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.answer().unwrap().status(), 503, "no new client should come");
    let start = Instant::now();
    assert!(relay.wait_exit().success());
    assert!(start.elapsed() < Duration::from_millis(3700));
    assert!(agent.notices_of("held").is_empty());
    let _relay = relay.killed(|_| agent.list("a", 1, host.address, "active"));
    host.wait_calls(1);
    assert_eq!(host.calls_of("held"), 1);
}

/// A destination that was out is not sent all that was held for it by a new process that knows no better.
#[test]
fn an_outage_is_known_after_a_restart() {
    let host = Host::new(|_, n| if n < 12 { Reply::Status(500) } else { Reply::Silent });
    let fine = Host::ok();
    let agent = Agent::new(&[("a", 1, &host), ("b", 2, &fine)]);
    let relay = Relay::start(PROGRAM, &agent);
    for n in 0..6 {
        relay.take("safe", &format!("m{n}"), 1);
    }
    until("the outage", || relay.logged("destination 1 out").then_some(()));
    let mut before = 0;
    let relay = relay.killed(|_| before = host.received().len());
    // What the first round sent has come before this.
    relay.take("safe", "marker", 2);
    fine.wait_calls(1);
    let after = host.received().len() - before;
    assert!(after <= 1, "{after} calls at once to a destination that is out");
}

#[test]
fn a_notice_is_sent_until_it_is_confirmed() {
    let agent = Agent::new(&[]);
    agent.hold(1);
    agent.reply_to_notices(vec![500, 503, 500]);
    let relay = Relay::start(PROGRAM, &agent);
    assert_eq!(relay.client().submit("safe", "m", 1, 50, b"").status(), 202);
    until("four notices", || (agent.notices_of("m").len() == 4).then_some(()));
    // Confirmed, it is not sent again: another message's notice comes without it.
    assert_eq!(relay.client().submit("safe", "n", 1, 50, b"").status(), 202);
    agent.wait_notice("n");
    let all = agent.notices_of("m");
    assert_eq!((all.len(), &all[0]["status"]), (4, &json!("deferred")));
    assert!(all[0]["again_ms"].as_u64().is_some(), "a client is told when to come back");
}

#[test]
fn bad_requests_are_turned_away_and_the_relay_serves_on() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let good = [
        ("X-Call-Id", "m"),
        ("X-Caller", "acme"),
        ("X-Budget", "900m"),
        ("X-Envelope", "dest=1"),
        ("Idempotency-Key", "k"),
    ];
    let ask = |path: &str, without: &str, with: (&str, &str), length: &str| {
        let mut head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n");
        for (name, value) in good.iter().filter(|h| h.0 != without && h.0 != with.0) {
            head += &format!("{name}: {value}\r\n");
        }
        if !with.0.is_empty() {
            head += &format!("{}: {}\r\n", with.0, with.1);
        }
        let mut client = relay.client();
        client.send(format!("{head}\r\n").as_bytes());
        client.answer().expect("an answer").status()
    };
    for missing in good.map(|h| h.0) {
        assert_eq!(ask("/keyed", missing, ("", ""), "0"), 400, "without {missing}");
    }
    assert_eq!(ask("/nonsense", "", ("", ""), "0"), 404);
    assert_eq!(ask("/", "", ("", ""), "0"), 404);
    for bad in ["", "m", "12", "-5m", "NaNm", "1e999m", "infm", "5s", "1.2.3m", "1e3m"] {
        assert_eq!(ask("/safe", "", ("X-Budget", bad), "0"), 400, "budget {bad:?}");
    }
    for bad in ["", "dest", "dest=", "dest=x", "dest=-1", "dest=99999999999999999999"] {
        assert_eq!(ask("/safe", "", ("X-Envelope", bad), "0"), 400, "envelope {bad:?}");
    }
    assert_eq!(ask("/safe", "", ("X-Caller", "stranger"), "0"), 400);
    assert_eq!(ask("/safe", "", ("", ""), "65537"), 413);
    assert_eq!(ask("/safe", "", ("", ""), "-4"), 400);
    let mut client = relay.client();
    client.send(b"\x00\xff nonsense\r\n\r\n");
    assert_eq!(client.answer().map(|a| a.status()), Some(400));
    let mut half = relay.client();
    half.send(b"POST /safe HTTP/1.1\r\nX-Call-Id: half\r\nContent-Le");
    drop(half);
    assert!(host.received().is_empty());
    relay.take("safe", "good", 1);
    host.wait_calls(1);
}

#[test]
fn a_message_handed_in_twice_under_one_id_is_taken_on_once() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    agent.hold(1);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("safe", "m", 1);
    relay.take("safe", "m", 1);
    agent.list("a", 1, host.address, "active");
    relay.take("safe", "n", 1);
    host.wait_calls(2);
    assert_eq!((host.calls_of("m"), host.calls_of("n")), (1, 1));
}

#[test]
fn without_discovery_the_list_held_stays_in_force() {
    let (first, second) = (Host::ok(), Host::ok());
    let agent = Agent::new(&[]);
    agent.set_down(true);
    let mut config = config(agent.address);
    config["known"]["endpoints"] = json!([{"name": "a", "address": first.address.to_string(), "zone": "z",
        "type": "k", "group": 1, "status": "active", "weight": 1.0, "since_ms": 0}]);
    let relay = Relay::with(PROGRAM, config, &agent);
    relay.take("safe", "m", 1);
    first.wait_calls(1);
    agent.list("b", 2, second.address, "active");
    assert_eq!(relay.submit("safe", "early", 2).status(), 503, "in no list that the relay has");
    agent.set_down(false);
    relay.submit_accepted_once_listed("safe", "n", 2);
    second.wait_calls(1);
    assert_eq!(second.calls_of("n"), 1);
}

#[test]
fn a_configuration_that_cannot_be_read_is_one_plain_line() {
    let agent = Agent::new(&[]);
    let spoil: [&dyn Fn(&mut serde_json::Value); 4] = [
        &|c| c["settings"]["Limits"]["MaxOpen"] = json!("many"),
        &|c| c["settings"]["Profiles"][0]["Effect"] = json!("odd"),
        &|c| c["listen"] = json!("nowhere"),
        &|c| c["settings"]["Domain"]["Slots"] = json!(0),
    ];
    for spoil in spoil {
        let mut config = config(agent.address);
        spoil(&mut config);
        let (mut command, folder) = command(&PROGRAM, &config);
        let output = command.output().unwrap();
        assert!(!output.status.success());
        let log = String::from_utf8_lossy(&output.stderr);
        assert_eq!(log.lines().count(), 1, "{log}");
        std::fs::remove_dir_all(folder).unwrap();
    }
}

/// A client that goes before its request is whole leaves nothing behind.
#[test]
fn a_client_that_leaves_mid_body_is_owed_nothing() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let mut client = relay.client();
    let head = "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: half\r\nX-Caller: acme\r\nX-Budget: 900m\r\n\
                X-Envelope: dest=1\r\nContent-Length: 10\r\n\r\nfive.";
    client.send(head.as_bytes());
    client.0.get_mut().flush().unwrap();
    drop(client);
    relay.take("safe", "next", 1);
    host.wait_calls(1);
    assert_eq!((host.calls_of("half"), agent.notices_of("half").len()), (0, 0));
}

/// SIGHUP, with a watch in flight and a notice that the old address does not confirm: both move at once. The new
/// agent's versions are lower than the old one's, so only the whole list can bring its hosts.
#[test]
fn at_sighup_discovery_and_notices_move_to_the_address_in_the_file() {
    let (host, old_host) = (Host::ok(), Host::ok());
    let old = Agent::new(&[]);
    (0..5).for_each(|_| old.list("gone", 2, old_host.address, "active"));
    old.hold(1);
    old.reply_to_notices(vec![500; 10_000]);
    let mut config = config(old.address);
    let relay = Relay::with(PROGRAM, config.clone(), &old);
    until("a watch", || (old.watches() > 0).then_some(()));
    assert_eq!(relay.client().submit("safe", "ended", 1, 30, b"").status(), 202);
    old.wait_notice("ended");
    let file = relay.folder.join("config.json");
    // What can't be read changes nothing, and is told in one line.
    let good = config.to_string();
    for bad in [&good[..good.len() / 2], &good.replace(&old.address.to_string(), "nowhere")] {
        std::fs::write(&file, bad).unwrap();
        let lines = relay.log_lines("nothing changed");
        relay.signal("HUP");
        until("the line", || (relay.log_lines("nothing changed") == lines + 1).then_some(()));
    }
    let asked = old.notices_of("ended").len();
    until("the old address still", || (old.notices_of("ended").len() > asked).then_some(()));

    let new = Agent::new(&[("a", 1, &host)]);
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&file, config.to_string()).unwrap();
    relay.signal("HUP");
    new.wait_notice("ended");
    until("a watch there", || (new.watches() > 0).then_some(()));
    relay.take("safe", "m", 1);
    host.wait_calls(1);
    // What comes there is watched too, and nothing goes to the old address any more.
    let over = (old.watches(), old.notices_of("ended").len());
    new.list("b", 3, host.address, "active");
    relay.submit_accepted_once_listed("safe", "n", 3);
    host.wait_calls(2);
    assert_eq!(over, (old.watches(), old.notices_of("ended").len()));
}

/// A head with the given lines of length, for raw clients.
fn head(id: &str, dest: u64, lengths: &str) -> String {
    format!(
        "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 900m\r\n\
         X-Envelope: dest={dest}\r\n{lengths}\r\n"
    )
}

/// Where two lengths are given, or one that is none, the body may hide another request: neither is taken, and
/// nothing that follows. Taking the hidden one on would let a client send what no client handed in.
#[test]
fn a_length_that_can_be_read_in_two_ways_is_refused_with_all_that_follows() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let hidden = head("hidden", 1, "Content-Length: 0\r\n");
    let (length, chunks) =
        (format!("Content-Length: {}\r\n", hidden.len() + 5), "Transfer-Encoding: chunked\r\n");
    let bodies = [
        // By its length the body is all that follows; by its chunks it is empty, and a request follows.
        (format!("{length}{chunks}"), format!("0\r\n\r\n{hidden}")),
        (format!("{chunks}{length}"), format!("0\r\n\r\n{hidden}")),
        (format!("Content-Length: 0\r\n{length}"), hidden.clone()),
        ("Content-Length: 0\r\nContent-Length: 0\r\n".into(), hidden.clone()),
        ("Content-Length: +0\r\n".into(), hidden.clone()),
        ("Content-Length: 0, 0\r\n".into(), hidden.clone()),
        ("Content-Length: 99999999999999999999\r\n".into(), hidden.clone()),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n".into(), format!("0\r\n\r\n{hidden}")),
        ("Transfer-Encoding: gzip, chunked\r\n".into(), format!("0\r\n\r\n{hidden}")),
        // No header at all to some readers.
        ("Transfer-Encoding : chunked\r\n".into(), format!("0\r\n\r\n{hidden}")),
    ];
    for (row, (lengths, rest)) in bodies.iter().enumerate() {
        // Also in two pieces, cut within the head.
        for cut in [0, 60] {
            let mut client = relay.client();
            let text = head(&format!("outer-{row}-{cut}"), 1, lengths) + rest;
            let (first, second) = text.split_at(cut);
            client.send(first.as_bytes());
            client.send(second.as_bytes());
            let answer = client.answer().expect("an answer");
            assert!((400..500).contains(&answer.status()), "row {row}: {answer:?}");
            let mut more = Vec::new();
            let _reset_or_end = client.0.read_to_end(&mut more);
            assert!(more.is_empty(), "row {row}: closed, with no further answer");
        }
    }
    relay.take("safe", "last", 1);
    host.wait_calls(1);
    assert_eq!(host.received().iter().map(|h| h.id().to_string()).collect::<Vec<_>>(), ["last"]);
}

/// A client that says nothing, stops half way, or has been served and stays, is let go; one that asks within its
/// time is served on the connection that it has.
#[test]
fn silent_and_slow_clients_are_let_go() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    let good = head("half", 1, "Content-Length: 10\r\n") + "five.";
    for sent in ["", "\r\n", "POST /safe HT", &good[..60], &good] {
        let start = Instant::now();
        let mut client = relay.client();
        client.send(sent.as_bytes());
        let mut all = Vec::new();
        client.0.get_mut().set_read_timeout(Some(Duration::from_secs(15))).unwrap();
        let _reset_or_end = client.0.read_to_end(&mut all);
        assert!(
            start.elapsed() < Duration::from_millis(2900),
            "{sent:?}: let go after {:?}",
            start.elapsed()
        );
        let answer = String::from_utf8_lossy(&all).into_owned();
        assert!(all.is_empty() || answer.starts_with("HTTP/1.1 4"), "{sent:?}: {answer}");
    }
    let mut client = relay.client();
    for id in ["m0", "m1"] {
        assert_eq!(client.submit("safe", id, 1, 4000, b"").status(), 202);
        let mut byte = [0];
        client.0.get_mut().set_read_timeout(Some(Duration::from_millis(1700))).unwrap();
        assert!(client.0.read(&mut byte).is_err(), "kept for 2 s");
    }
    client.0.get_mut().set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    assert_eq!(client.0.read(&mut [0]).unwrap_or(0), 0, "then closed");
    assert_eq!(host.calls_of("half"), 0);
}

/// More silent connections than there are places shut nobody out: the longest idle one goes.
#[test]
fn silent_clients_shut_nobody_out() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["limits"]["sockets"] = json!(64);
    let relay = Relay::with(PROGRAM, config, &agent);
    let mut silent = Vec::new();
    for n in 0..10 {
        (0..20).for_each(|_| silent.push(relay.client()));
        let start = Instant::now();
        relay.take("safe", &format!("m{n}"), 1);
        assert!(start.elapsed() < Duration::from_millis(1500), "served after {:?}", start.elapsed());
        let open = std::fs::read_dir(format!("/proc/{}/fd", relay.child.id())).unwrap().count();
        assert!(open <= 64, "{open} descriptors");
    }
    host.wait_calls(10);
}

/// Clients that ask once and stay: with half of the places taken, an answer closes its connection, and says so, as
/// clients have only so many connections themselves.
#[test]
fn in_a_crowd_an_answer_closes_its_connection() {
    let host = Host::ok();
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["limits"]["sockets"] = json!(64);
    let relay = Relay::with(PROGRAM, config, &agent);
    let mut first = relay.client();
    assert_eq!(first.submit("safe", "m0", 1, 4000, b"").header("Connection"), "");
    let _crowd: Vec<_> = (0..12).map(|_| relay.client()).collect();
    let answer = relay.submit("safe", "m1", 1);
    assert_eq!((answer.status(), answer.header("Connection")), (202, "close"));
    host.wait_calls(2);
}

#[test]
fn a_destination_in_no_list_is_refused_until_it_is_listed() {
    let host = Host::ok();
    let agent = Agent::new(&[]);
    let relay = Relay::start(PROGRAM, &agent);
    let answer = relay.submit("safe", "m", 7);
    assert_eq!(answer.status(), 503);
    assert!(answer.header("Retry-After").parse::<f64>().unwrap() > 0.0, "told when to come back");
    agent.list("a", 7, host.address, "active");
    relay.submit_accepted_once_listed("safe", "m", 7);
    host.wait_calls(1);
    assert_eq!(host.calls_of("m"), 1);
}

/// What stands behind an answer must not pass for the answer to the next call: here it would end a message that
/// the host has turned away.
#[test]
fn what_comes_behind_an_answer_answers_no_other_call() {
    const TWICE: &str =
        "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n";
    const CHUNKS: &str =
        "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 x\r\n\r\n";
    for behind in [TWICE, CHUNKS, "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\nnoise"] {
        let host = Host::first(vec![Reply::Raw(behind), Reply::Status(504)]);
        let agent = Agent::new(&[("a", 1, &host)]);
        let relay = Relay::start(PROGRAM, &agent);
        relay.take("safe", "first", 1);
        host.wait_calls(1);
        relay.take("unsafe", "second", 1);
        let calls = host.wait_calls(3);
        assert_eq!((calls[1].id(), calls[2].id()), ("second", "second"), "behind: {behind}");
        assert_ne!(calls[0].conn, calls[1].conn);
    }
}

/// A wait is heeded also where the rest of its answer proves nothing.
#[test]
fn a_wait_told_with_more_than_belongs_to_it_is_heeded() {
    let told = "HTTP/1.1 429 x\r\nRetry-After: 0.6\r\nContent-Length: 0\r\n\r\nnoise";
    let host = Host::first(vec![Reply::Raw(told)]);
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    relay.take("safe", "m", 1);
    let calls = host.wait_calls(2);
    let waited = calls[1].at - calls[0].at;
    assert!(waited >= Duration::from_millis(600), "the next call came after {waited:?}");
}

/// Kept connections that turn out dead, several in a row, say nothing of their destination: it is not taken to be
/// out, and what was written on them, which may have run, is repeated only where it may be.
#[test]
fn kept_connections_that_are_dead_are_no_outage() {
    let known = std::sync::Mutex::new(std::collections::HashSet::new());
    let host = Host::new(move |call, _| match known.lock().unwrap().insert(call.conn) {
        true => Reply::Late(100),
        false => Reply::Reset,
    });
    let agent = Agent::new(&[("a", 1, &host)]);
    let relay = Relay::start(PROGRAM, &agent);
    // Six at once open six connections, which are dead when the next six come.
    for round in 0..6 {
        let ids: Vec<_> = (0..6).map(|n| format!("m{round}-{n}")).collect();
        ids.iter().for_each(|id| relay.take("safe", id, 1));
        // Each comes until it is answered: the next round finds those connections idle.
        until("six answers", || ids.iter().all(|id| host.answered(id)).then_some(()));
    }
    let resets = host.received().len() - host.served();
    assert!(resets >= 12, "{resets} calls met a dead connection");
    assert!(!relay.logged("out:"));
    until("an unsafe message on a dead connection", || {
        let id = format!("u{}", host.received().len());
        relay.take("unsafe", &id, 1);
        until("its call", || (host.calls_of(&id) > 0).then_some(()));
        let done = until("its end", || {
            let reset = !agent.notices_of(&id).is_empty();
            (reset || host.answered(&id)).then_some(reset)
        });
        assert_eq!(host.calls_of(&id), 1, "{id} is not repeated");
        done.then_some(())
    });
}

/// A destination that answers with errors is there: trials go on as fast as it bears cold, so that its return shows
/// at once, and not only when what is held for it has run out of time.
#[test]
fn a_destination_that_answers_with_errors_is_found_back_in_time() {
    const WELL: usize = 60;
    const SICK: usize = 20;
    const SICK_END: usize = WELL + SICK;
    let host = Host::new(|_, before| match before {
        WELL..SICK_END => Reply::Status(500),
        _ => Reply::Status(200),
    });
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Limits"]["MaxAttempts"] = json!(40);
    let relay = Relay::with(PROGRAM, config, &agent);
    for n in 0..WELL {
        relay.take("safe", &format!("w{n}"), 1);
    }
    host.wait_calls(WELL);
    let ids: Vec<_> = (0..12).map(|n| format!("m{n}")).collect();
    ids.iter().for_each(|id| relay.take("safe", id, 1));
    until("the outage", || relay.logged("destination 1 out").then_some(()));
    host.wait_calls(WELL + SICK);
    until("their ends", || {
        let over = |id: &String| host.answered(id) || !agent.notices_of(id).is_empty();
        ids.iter().all(over).then_some(())
    });
    let given_up = ids.iter().filter(|id| !agent.notices_of(id).is_empty()).count();
    assert_eq!(given_up, 0, "of {} messages", ids.len());
}

/// Hands in a hundred messages, one after the other and so at 40 a second at most, then `last`, and then a rush;
/// returns how many of the rush go out within 200 ms.
fn rush_after(
    script: impl Fn(&ReceivedRequest) -> Option<Reply> + Send + Sync + 'static, last: &[&str],
) -> usize {
    const RUSH: usize = 46;
    let host = Host::new(move |call, _| {
        let late = if call.id().starts_with("rush") { 400 } else { 25 };
        script(call).unwrap_or(Reply::Late(late))
    });
    let agent = Agent::new(&[("a", 1, &host)]);
    let mut config = config(agent.address);
    config["settings"]["Domain"]["Slots"] = json!(100);
    config["settings"]["Limits"]["MaxOpen"] = json!(200);
    let relay = Relay::with(PROGRAM, config, &agent);
    let mut client = relay.client();
    let mut take = |id: &str| assert_eq!(client.submit("safe", id, 1, 4000, b"").status(), 202);
    let steady: Vec<_> = (0..100).map(|n| format!("m{n}")).collect();
    for id in steady.iter().map(String::as_str).chain(last.iter().copied()) {
        take(id);
        until("its answer", || (host.calls_of(id) > 0 && host.answered(id)).then_some(()));
    }
    (0..RUSH).for_each(|n| take(&format!("rush{n}")));
    let of_rush = || host.received().into_iter().filter(|h| h.id().starts_with("rush")).map(|h| h.at);
    until("the rush", || (of_rush().count() >= RUSH).then_some(()));
    let first = of_rush().min().expect("the rush");
    of_rush().filter(|at| *at - first < Duration::from_millis(200)).count()
}

/// What a rush may send at once: a bucket of 0.3 s at 50 a second, and 0.2 s more; the rest is room for a machine
/// that stalls.
const PACED: usize = 38;

/// A destination over its limit is paced by what it delivers: a pace that goes on growing while little is sent is no
/// pace, and when a rush comes it goes out all at once, to be refused.
#[test]
fn a_pace_that_was_not_used_does_not_grow() {
    const REPORT: &str = "X-Load-Report: {\"x0\":0.5,\"x1\":40}\r\n";
    let refused = std::sync::atomic::AtomicBool::default();
    let first = move |call: &ReceivedRequest| match call.id() {
        "m0" if !refused.swap(true, std::sync::atomic::Ordering::SeqCst) => Some(Reply::With(503, REPORT)),
        "m1" => Some(Reply::With(200, REPORT)),
        _ => None,
    };
    let at_once = rush_after(first, &[]);
    assert!(at_once <= PACED, "{at_once} at once");
}

/// A limit that has fallen far shows in what is delivered and told: the next refusal sets the pace by that.
#[test]
fn a_refusal_after_a_limit_has_fallen_sets_the_pace_by_the_new_one() {
    const HIGH: &str = "X-Load-Report: {\"x0\":0.5,\"x1\":4000}\r\n";
    const LOW: &str = "X-Load-Report: {\"x0\":0.0,\"x1\":40}\r\n";
    let refused = std::sync::Mutex::new(std::collections::HashSet::new());
    let twice = move |call: &ReceivedRequest| match call.id() {
        "m0" if refused.lock().unwrap().insert(0) => Some(Reply::With(503, HIGH)),
        "full" if refused.lock().unwrap().insert(1) => Some(Reply::With(503, LOW)),
        "m1" => Some(Reply::With(200, LOW)),
        _ => None,
    };
    let at_once = rush_after(twice, &["full"]);
    assert!(at_once <= PACED, "{at_once} at once");
}

/// A hundred relays that ask anew for what is only late keep discovery busy for good: none of them ever had a list.
#[test]
fn among_many_relays_a_call_for_the_list_that_is_late_is_waited_for() {
    let host = Host::ok();
    let agent = Agent::new(&[("h", 1, &host)]);
    agent.set_down(true);
    let mut config = config(agent.address);
    config["settings"]["Balancers"] = json!(100);
    config["settings"]["Discovery"] = json!("ask");
    let relay = Relay::with(program!(), config, &agent);
    until("a call", || (agent.calls() > 0).then_some(()));
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(
        (agent.calls(), agent.watches()),
        (1, 1),
        "one call, and that a watch, which tells what was missed"
    );
    agent.set_down(false);
    relay.submit_accepted_once_listed("safe", "m", 1);
    until("a delivery", || host.delivered("m").then_some(()));
}
