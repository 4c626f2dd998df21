//! Recorded traffic through the daemon and through the plug-in must have the same final answer for every
//! message. `ALIKE_RUNS=20 ALIKE_MESSAGES=5000` makes a long run of it.
//!
//! To keep answers deterministic, a partner's answer depends on the message and the attempt alone, or on a
//! state that lasts for the whole run. Temporary trouble (Retry-After, an outage, a drain) ends well
//! within the budgets of the messages that meet it, and the limits allow all messages to be open at once.
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mulleinslip_engine::Names;
use mulleinslip_settings::FileSettings;
use mulleinslip_testkit::*;
use mulleinslip_tower::{
    shared, Builder, CallOptions, Client, Collected, Error, Host as TowerHost, Protocol, Running,
};
use mulleinslip_traffic::{Message, Reader, Recorder};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: Program = program!();
const CLASSES: [&str; 4] = ["safe", "keyed", "unsafe", "ordered"];
const DEDUP_WINDOW: Duration = Duration::from_millis(4000);

const HEALTHY: u64 = 1;
/// Answers the first attempt of every seventh message with 500.
const FAILING: u64 = 2;
/// Loses the answer to the first attempt of every seventh message, which has run.
const LOSING: u64 = 3;
/// Answers the first attempt of some messages with Retry-After.
const WAITING: u64 = 4;
/// Listed, without a host that may be sent to.
const EMPTY: u64 = 5;
/// Refuses connections.
const REFUSING: u64 = 6;
/// Not listed.
const UNKNOWN: u64 = 7;
/// Two hosts, one of which is marked as leaving in the middle of the run.
const DRAINING: u64 = 8;
/// Refuses everything for a while in the middle of the run.
const OUTAGE: u64 = 9;
/// Answers every third message with 410: the partner has ended it.
const ENDED_BY_PARTNER: u64 = 10;

/// Returns the number in a message's id.
fn number(id: &str) -> usize {
    id[1..].parse().unwrap()
}

/// Counts the attempts of each message.
#[derive(Clone, Default)]
struct Attempts(Arc<Mutex<HashMap<String, usize>>>);

impl Attempts {
    /// Returns how many attempts of this message came before this one.
    fn next(&self, id: &str) -> usize {
        let mut counts = self.0.lock().unwrap();
        let count = counts.entry(id.to_string()).or_default();
        *count += 1;
        *count - 1
    }
}

/// Starts a host whose reply depends on the number of the message and on how many attempts came before.
fn host_by_attempt(script: impl Fn(usize, usize) -> Reply + Send + Sync + 'static) -> Host {
    let attempts = Attempts::default();
    Host::new(move |call, _| {
        let id = call.id();
        script(number(id), attempts.next(id))
    })
}

/// The hosts of one run; they stop when it is dropped.
struct PartnerHosts {
    hosts: Vec<(&'static str, u64, Host)>,
    start: Arc<Mutex<Option<Instant>>>,
}

const OUTAGE_MS: std::ops::Range<u128> = 1000..1500;
const DRAIN_AT: Duration = Duration::from_millis(1200);

impl PartnerHosts {
    fn new() -> PartnerHosts {
        let start: Arc<Mutex<Option<Instant>>> = Arc::default();
        let run_start = start.clone();
        let outage_host = Host::new(move |_, _| {
            let elapsed_ms = run_start.lock().unwrap().map_or(0, |s: Instant| s.elapsed().as_millis());
            if OUTAGE_MS.contains(&elapsed_ms) {
                Reply::With(503, "X-No-Slot: 1\r\n")
            } else {
                Reply::Status(200)
            }
        });
        let hosts = vec![
            ("well", HEALTHY, Host::ok()),
            (
                "failing",
                FAILING,
                host_by_attempt(|n, attempt| {
                    if n % 7 == 0 && attempt == 0 {
                        Reply::Status(500)
                    } else {
                        Reply::Status(200)
                    }
                }),
            ),
            (
                "losing",
                LOSING,
                host_by_attempt(
                    |n, attempt| if n % 7 == 0 && attempt == 0 { Reply::Reset } else { Reply::Status(200) },
                ),
            ),
            (
                "waiting",
                WAITING,
                host_by_attempt(|n, attempt| {
                    if n % 7 == 3 && attempt == 0 {
                        Reply::With(429, "Retry-After: 0.1\r\n")
                    } else {
                        Reply::Status(200)
                    }
                }),
            ),
            ("stays", DRAINING, Host::ok()),
            ("drains", DRAINING, Host::new(|_, _| Reply::Late(20))),
            ("out", OUTAGE, outage_host),
            (
                "over",
                ENDED_BY_PARTNER,
                host_by_attempt(|n, _| Reply::Status(if n % 3 == 0 { 410 } else { 200 })),
            ),
        ];
        PartnerHosts { hosts, start }
    }

    fn begin(&self) {
        *self.start.lock().unwrap() = Some(Instant::now());
    }

    fn address(&self, name: &str) -> std::net::SocketAddr {
        self.hosts.iter().find(|h| h.0 == name).unwrap().2.address
    }

    /// Returns the messages that ran more often than their class allows.
    fn forbidden_duplicates(&self) -> Vec<String> {
        let mut runs: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
        for (_, _, host) in &self.hosts {
            let mut refused: HashMap<String, usize> = HashMap::new();
            for (id, status) in host.all_answered() {
                *refused.entry(id).or_default() += usize::from(status == 429 || status == 503);
            }
            // Refused calls of a message come before the one that runs.
            for call in host.received() {
                match refused.get_mut(call.id()).filter(|n| **n > 0) {
                    Some(n) => *n -= 1,
                    None => runs.entry(call.id().into()).or_default().push(call.at),
                }
            }
        }
        let forbidden = |(id, times): (String, Vec<Instant>)| {
            let is_forbidden = match CLASSES[number(&id) % 4] {
                "unsafe" => times.len() > 1,
                "keyed" => times.len() > 1 && times[times.len() - 1] - times[0] > DEDUP_WINDOW,
                _ => false,
            };
            is_forbidden.then_some(id)
        };
        runs.into_iter().filter_map(forbidden).collect()
    }
}

fn settings(agent: std::net::SocketAddr) -> Value {
    let mut config = config(agent);
    let settings = &mut config["settings"];
    settings["Domain"]["Slots"] = json!(64);
    settings["Limits"]["MaxOpen"] = json!(20_000);
    settings["Limits"]["MaxAttempts"] = json!(20);
    settings["Orgs"][0]["QuotaRps"] = json!(100_000.0);
    for class in settings["Profiles"].as_array_mut().unwrap() {
        class["DeadlineMs"] = json!(9000.0);
    }
    config["limits"] = json!({"cores": 1.0, "memory_mb": 256, "sockets": 1024, "disk_mb": 64});
    config
}

/// Makes the traffic: most messages go to the healthy destination, some to each kind of trouble.
fn make_messages(messages: usize) -> Vec<Message> {
    let mut random = fastrand::Rng::with_seed(1);
    let span_us = 2_500_000;
    let message = |n: usize| {
        let dest = match random.u32(..100) {
            // These are few, as a destination gets few calls for a while after Retry-After.
            _ if n % (messages / 16) == 3 => WAITING,
            0..60 => HEALTHY,
            60..64 => FAILING,
            64..72 => LOSING,
            72..75 => EMPTY,
            75..77 => REFUSING,
            77..80 => UNKNOWN,
            80..88 => DRAINING,
            88..92 => OUTAGE,
            _ => ENDED_BY_PARTNER,
        };
        // Without a host messages end by their budget; elsewhere there is time for all temporary trouble to
        // pass.
        let budget_ms = if dest == EMPTY || dest == REFUSING { 700 } else { 9000 };
        let class = CLASSES[n % 4];
        let order_key = (class == "ordered").then(|| format!("{dest}-{}", n % 40));
        let (id, key) = (format!("m{n}"), Some(format!("key-{n}")));
        let (tenant, body) = ("acme".into(), format!("order {n}").into_bytes());
        let at_us = (n * span_us / messages) as u64;
        Message { at_us, id, class: class.into(), tenant, dest, budget_ms, key, order_key, body }
    };
    (0..messages).map(message).collect()
}

const CLIENTS: usize = 16;

/// Submits the messages at their times; returns the status of each answer.
fn submit(to: std::net::SocketAddr, messages: &[Message]) -> HashMap<String, u16> {
    let start = Instant::now();
    let parts: Vec<Vec<Message>> =
        (0..CLIENTS).map(|c| messages.iter().skip(c).step_by(CLIENTS).cloned().collect()).collect();
    let threads = parts.into_iter().map(|part| {
        std::thread::spawn(move || {
            let connect = || HttpClient(std::io::BufReader::new(std::net::TcpStream::connect(to).unwrap()));
            let mut client = connect();
            let mut statuses = HashMap::new();
            for message in part {
                let wait = Duration::from_micros(message.at_us).saturating_sub(start.elapsed());
                std::thread::sleep(wait);
                let query = message.order_key.as_ref().map(|k| format!("?about={k}")).unwrap_or_default();
                let head = format!(
                    "POST /{}{query} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {}\r\nX-Caller: {}\r\nX-Budget: {}m\r\n\
                     Idempotency-Key: {}\r\nX-Envelope: dest={}\r\nContent-Length: {}\r\n\r\n",
                    message.class,
                    message.id,
                    message.tenant,
                    message.budget_ms,
                    message.key.as_deref().unwrap_or("-"),
                    message.dest,
                    message.body.len()
                );
                client.send(&[head.as_bytes(), &message.body].concat());
                let answer = client.answer().expect("no answer came");
                if answer.header("connection") == "close" {
                    client = connect();
                }
                statuses.insert(message.id, answer.status());
            }
            statuses
        })
    });
    threads.collect::<Vec<_>>().into_iter().flat_map(|t| t.join().unwrap()).collect()
}

use mulleinslip_testkit::Client as HttpClient;

/// The final answer of each message, by its id.
type FinalAnswers = BTreeMap<String, &'static str>;

/// Sends all messages through the daemon; with `record` the traffic recorder stands in between.
fn through_daemon(messages: &[Message], record: bool) -> (FinalAnswers, Vec<u8>) {
    let partners = PartnerHosts::new();
    let hosts: Vec<(&str, u64, &Host)> = partners.hosts.iter().map(|(n, d, h)| (*n, *d, h)).collect();
    let agent = Agent::new(&hosts);
    agent.hold(EMPTY);
    agent.list("refusing", REFUSING, ([127, 0, 0, 1], 9).into(), "active");
    let relay = Relay::with(PROGRAM, settings(agent.address), &agent);
    until("the list", || (relay.submit("safe", "m999999", HEALTHY).status() == 202).then_some(()));
    partners.begin();
    let recorder = record.then(|| Recorder::start(relay.address, Vec::new()).unwrap());
    let drains = (agent.clone(), partners.address("drains"));
    let drain = std::thread::spawn(move || {
        std::thread::sleep(DRAIN_AT);
        drains.0.list("drains", DRAINING, drains.1, "leaving");
    });
    let statuses = submit(recorder.as_ref().map_or(relay.address, |r| r.address), messages);
    drain.join().unwrap();
    let recorded = recorder.and_then(|r| r.finish().unwrap()).unwrap_or_default();
    let mut final_answers = FinalAnswers::new();
    for (id, status) in &statuses {
        match status {
            202 => {}
            503 => drop(final_answers.insert(id.clone(), "refused")),
            500 => drop(final_answers.insert(id.clone(), "failed")),
            other => panic!("{id}: {other}"),
        }
    }
    let wait_start = Instant::now();
    while final_answers.len() < statuses.len() {
        assert!(
            wait_start.elapsed() < Duration::from_secs(20),
            "messages without a final answer; {} of {} have one",
            final_answers.len(),
            statuses.len()
        );
        std::thread::sleep(Duration::from_millis(20));
        for (_, _, host) in &partners.hosts {
            for (id, status) in host.all_answered() {
                if statuses.get(&id) == Some(&202) && (status == 200 || status == 410) {
                    final_answers.insert(id, if status == 200 { "delivered" } else { "over" });
                }
            }
        }
        for notice in agent.all_notices() {
            let final_answer = if notice["status"] == "deferred" { "refused" } else { "failed" };
            let id = notice["id"].as_str().unwrap().to_string();
            if let Some(before) = final_answers.insert(id.clone(), final_answer) {
                assert_eq!(before, final_answer, "{id} has two final answers");
            }
        }
    }
    assert_eq!(partners.forbidden_duplicates(), Vec::<String>::new());
    (final_answers, recorded)
}

/// Starts the plug-in with the same settings and hosts as the daemon.
fn start_plug_in(partners: &PartnerHosts) -> (Client, Running) {
    #[derive(Deserialize)]
    struct File {
        settings: FileSettings,
    }
    let file: File = serde_json::from_value(settings(([127, 0, 0, 1], 9).into())).unwrap();
    let parsed = file.settings.parse().unwrap();
    let host = |(name, dest, h): &(&str, u64, Host)| TowerHost::new(*name, *dest, h.address.to_string());
    let mut hosts: Vec<TowerHost> = partners.hosts.iter().map(host).collect();
    hosts.push(TowerHost::new("refusing", REFUSING, "127.0.0.1:9"));
    hosts.push(TowerHost::new("empty", EMPTY, "127.0.0.1:9").state(linenhall::EndpointStatus::Draining));
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build::<_, Collected>(connector);
    Builder::new(parsed.settings, Names { classes: parsed.classes, tenants: parsed.tenants })
        .protocol(Protocol::Platform)
        .seed(3)
        .hosts(hosts)
        .most_waiting(50_000)
        .start(shared(http))
        .unwrap()
}

/// Sends all messages through the plug-in.
fn through_plug_in(messages: &[Message]) -> FinalAnswers {
    let partners = PartnerHosts::new();
    let (client, running) = start_plug_in(&partners);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    partners.begin();
    let start = Instant::now();
    let (endpoints, drains) = (running.endpoints(), partners.address("drains"));
    let drain = std::thread::spawn(move || {
        std::thread::sleep(DRAIN_AT);
        let host = TowerHost::new("drains", DRAINING, drains.to_string());
        endpoints.changed(vec![host.state(linenhall::EndpointStatus::Draining)]);
    });
    let calls: Vec<_> = messages
        .iter()
        .cloned()
        .map(|message| {
            let client = client.clone();
            runtime.spawn(async move {
                tokio::time::sleep_until((start + Duration::from_micros(message.at_us)).into()).await;
                let mut options = CallOptions::new(message.class, message.dest)
                    .tenant(message.tenant)
                    .call_id(message.id.clone());
                options = options.budget(Duration::from_millis(message.budget_ms));
                (options.key, options.order_key) = (message.key, message.order_key);
                let request = http::Request::post("/inbox").extension(options);
                let result =
                    client.send(request.body(Collected::new(message.body.into(), None)).unwrap()).await;
                let final_answer = match result {
                    Ok(answer) if answer.status() == 410 => "over",
                    Ok(_) => "delivered",
                    Err(Error::Refused { .. }) => "refused",
                    Err(Error::Failed { .. }) => "failed",
                    Err(other) => panic!("{}: {other}", message.id),
                };
                (message.id, final_answer)
            })
        })
        .collect();
    let final_answers = runtime.block_on(async {
        let mut final_answers = FinalAnswers::new();
        for call in calls {
            let (id, final_answer) = call.await.unwrap();
            assert!(final_answers.insert(id.clone(), final_answer).is_none(), "{id} has two final answers");
        }
        final_answers
    });
    drain.join().unwrap();
    assert!(running.shutdown(Duration::from_secs(5)));
    assert_eq!(partners.forbidden_duplicates(), Vec::<String>::new());
    final_answers
}

/// The daemon and the plug-in share one engine and have fronts and carriers of their own. A difference
/// between these would show as a message with another final answer.
#[test]
fn same_traffic_has_same_final_answers_in_daemon_and_plug_in() {
    let from_env =
        |name: &str, default: usize| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default);
    let (runs, count) = (from_env("ALIKE_RUNS", 1), from_env("ALIKE_MESSAGES", 1200));
    let (first, recorded) = through_daemon(&make_messages(count), true);
    let messages: Vec<Message> = Reader::new(&recorded[..]).unwrap().map(Result::unwrap).collect();
    assert_eq!(messages.len(), count, "the recording does not have all messages");
    let mut counts: BTreeMap<(u64, &str), usize> = BTreeMap::new();
    for message in &messages {
        *counts.entry((message.dest, first[&message.id])).or_default() += 1;
    }
    eprintln!("{counts:?}");
    for final_answer in ["delivered", "over", "refused", "failed"] {
        assert!(first.values().any(|a| *a == final_answer), "no message is {final_answer}");
    }
    for run in 0..runs {
        let (daemon, _) = through_daemon(&messages, false);
        let plug_in = through_plug_in(&messages);
        for message in &messages {
            let both = (daemon[&message.id], plug_in[&message.id]);
            assert!(
                both == (first[&message.id], first[&message.id]),
                "run {run}: {message:?} was {}, then {both:?}",
                first[&message.id]
            );
        }
        eprintln!("run {run}: {} messages with the same final answers", messages.len());
    }
}
