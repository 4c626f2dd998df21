//! A new process takes over while an attempt is in flight in the old one, which a script stands in for.

use linenhall::Outcome;
use mulleinslip_takeover::channel::TakeoverListener;
use mulleinslip_takeover::message::{AttemptEnd, ToNew, ToOld};
use mulleinslip_testkit::{program, receive, until, Agent, Host, Relay, Reply};
use std::fs::File;
use std::io::{BufReader, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time that the message has. Longer than the start of its first attempt takes, shorter than a process that
/// takes over waits for a frame.
const BUDGET: Duration = Duration::from_millis(700);

/// Plays the old process to the new one that is about to start: it has one attempt in flight, keeps the folder until the time
/// of the message is over, and then reports the attempt's end.
async fn play_old_process(
    takeover_listener: TakeoverListener, lock: File, listener: TcpListener, outcome: Outcome,
) {
    let channel = takeover_listener.accept().await.unwrap();
    let asked = channel.receive::<ToOld>().await.unwrap();
    assert!(matches!(asked, Some((ToOld::Ask { .. }, _))), "{asked:?}");
    // The first message of a journal has this id, and its first attempt this number.
    let (id, attempt) = (1, 0);
    channel.send(&ToNew::AttemptsInFlight(vec![(id, attempt)]), None).await.unwrap();
    tokio::time::sleep(BUDGET).await;
    lock.unlock().unwrap();
    channel.send(&ToNew::Ready { drained: false }, Some(listener.as_fd())).await.unwrap();
    let opened = channel.receive::<ToOld>().await.unwrap();
    assert!(matches!(opened, Some((ToOld::FolderOpened, _))), "{opened:?}");
    channel.send(&ToNew::Go, None).await.unwrap();
    let end = AttemptEnd {
        id,
        attempt,
        took_ms: BUDGET.as_secs_f64() * 1000.0,
        outcome,
        settled: false,
        answered: false,
        retry_after_ms: 0.0,
        report: Vec::new(),
    };
    let _not_needed_any_more = channel.send(&ToNew::Ended(end), None).await;
    // Stays until the new process is done with the channel.
    let _cancelled_or_not = timeout(Duration::from_millis(300), channel.receive::<ToOld>()).await;
}

/// Guards against a refusal (`deferred`) of a message that its host has received in full: its time ended
/// between the release of the folder by the old process and the start of the new one. A message that surely
/// never ran may be refused.
#[test]
fn message_whose_time_ends_during_a_takeover_is_refused_only_if_it_never_ran() {
    let cases = [
        ("unsafe", Outcome::TimedOut, "undeliverable"),
        ("keyed", Outcome::TimedOut, "undeliverable"),
        ("unsafe", Outcome::Full, "deferred"),
    ];
    for (class, outcome, status) in cases {
        let host = Host::new(|_, _| Reply::Silent);
        let agent = Agent::new(&[("a", 1, &host)]);
        let mut old = Relay::start(program!(), &agent);
        let budget_ms = BUDGET.as_millis() as u64;
        assert_eq!(old.client().submit(class, "m", 1, budget_ms, b"body").status(), 202);
        host.wait_calls(1);
        old.child.kill().unwrap();
        old.child.wait().unwrap();
        let folder = old.folder.join("state");
        let listener = TcpListener::bind(old.address).unwrap();
        let lock = File::open(&folder).unwrap();
        until("the lock of the folder", || lock.try_lock().ok());
        let script = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let takeover_listener = TakeoverListener::open(&folder).unwrap();
                play_old_process(takeover_listener, lock, listener, outcome).await
            })
        });
        let _new = old.beside();
        assert_eq!(agent.wait_notice("m")["status"], status, "{class}, {outcome:?}");
        script.join().unwrap();
        assert_eq!(agent.notices_of("m").len(), 1, "{class}, {outcome:?}");
    }
}

/// A host that takes calls and answers none, and counts those that come while an earlier call of the same
/// message is in flight.
#[derive(Clone, Default)]
struct HangingHost {
    calls: Arc<Mutex<Vec<(String, TcpStream)>>>,
    second_copies: Arc<Mutex<Vec<String>>>,
}

impl HangingHost {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let host = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let host = host.clone();
                std::thread::spawn(move || host.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let Some(call) = receive(&mut reader, 0) else { return };
        let mut calls = self.calls.lock().unwrap();
        if calls.iter().any(|(id, earlier)| id == call.id() && is_open(earlier)) {
            self.second_copies.lock().unwrap().push(call.id().to_string());
        }
        calls.push((call.id().to_string(), stream));
    }

    fn calls_of(&self, id: &str) -> usize {
        self.calls.lock().unwrap().iter().filter(|call| call.0 == id).count()
    }
}

/// Whether the relay has neither closed nor reset the connection.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Guards against two attempts of a message in flight at once: the process that took over was killed, and the
/// next one sent the messages again while the first still had its calls open. The next one is started at
/// once, or is there already and has taken over from the one that is killed.
#[test]
fn next_process_waits_for_the_calls_of_the_first_if_the_one_between_is_killed() {
    for takes_over in [false, true] {
        let host = HangingHost::default();
        let agent = Agent::new(&[]);
        agent.list("a", 1, host.start(), "active");
        let mut first = Relay::start(program!(), &agent);
        first.take("safe", "m", 1);
        first.take("keyed", "n", 1);
        until("both calls", || (host.calls_of("m") == 1 && host.calls_of("n") == 1).then_some(()));
        let mut second = first.beside();
        let _third = if takes_over {
            let third = second.beside();
            second.child.kill().unwrap();
            third
        } else {
            second.killed(|_| ())
        };
        until("the next calls", || (host.calls_of("m") > 1 && host.calls_of("n") > 1).then_some(()));
        assert_eq!(*host.second_copies.lock().unwrap(), [""; 0], "takes over: {takes_over}");
    }
}

/// Guards against notices that come seconds after their messages' time: a process that had handed over itself waited for
/// its own lock before it told that the calls of the process before it broke. The first process, with the calls, is
/// killed once two or three others have taken over, shortly before the messages' time is up.
#[test]
fn messages_end_in_time_after_several_takeovers_and_the_end_of_the_first_process() {
    const BUDGET_MS: u64 = 3500;
    // A message has its end 300 ms after its time, and each limit is 50 ms longer.
    const END_BY: Duration = Duration::from_millis(BUDGET_MS + 300 + 50);
    for takeovers in [1, 2, 3] {
        for class in ["unsafe", "keyed"] {
            let host = HangingHost::default();
            let agent = Agent::new(&[]);
            agent.list("a", 1, host.start(), "active");
            let mut first = Relay::start(program!(), &agent);
            first.submit_accepted_once_listed("safe", "listed", 1);
            let began = Instant::now();
            assert_eq!(first.client().submit(class, "m", 1, BUDGET_MS, b"body").status(), 202);
            until("the call", || (host.calls_of("m") == 1).then_some(()));
            let mut next = vec![first.beside()];
            for _ in 1..takeovers {
                let following = next.last_mut().unwrap().beside();
                next.push(following);
            }
            std::thread::sleep(Duration::from_millis(BUDGET_MS - 300).saturating_sub(began.elapsed()));
            first.child.kill().unwrap();
            first.child.wait().unwrap();
            agent.wait_notice("m");
            let ended_after = began.elapsed();
            assert!(ended_after < END_BY, "{class}, {takeovers} takeovers: ended after {ended_after:?}");
            assert_eq!(*host.second_copies.lock().unwrap(), [""; 0], "{class}, {takeovers} takeovers");
        }
    }
}
