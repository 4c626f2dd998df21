//! The process's memory and descriptors under many disruptions at once, by seed: crowds of clients with requests of
//! random form, hosts that hang, fail and send long answers, a slow discovery, signals in series and takeovers. The
//! processes of a relay together have to stay within the limits of its configuration, and none may end by itself.
//!
//! `MEMORY_SOAK_SEEDS=100-149 cargo test -p mulleinslip --test memory_soak` runs other seeds than the fixed ones.
use mulleinslip_testkit::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};
const PROGRAM: Program = mulleinslip_testkit::program!();

/// Seeds that run if no others are asked for.
const FIXED_SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// Number of runs side by side.
const PARALLEL_RUNS: usize = 2;
/// Limits of memory and descriptors, from the least memory that a relay is given to the most.
const LIMITS: [(u64, usize); 6] = [(32, 1024), (32, 256), (48, 512), (64, 1024), (96, 512), (192, 1024)];
/// Number of requests of random form in a crowd.
const CROWD_REQUESTS: usize = 12;
/// Number of restarts in a run.
const RESTARTS: usize = 3;
/// Time from SIGTERM to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// Time in which a process that was started has to be ready, by the rule for nine of ten.
const READY_LIMIT: Duration = Duration::from_secs(6);
/// Time for which a process may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);
/// Time that a client waits for an answer.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// The destination without a host that takes calls, those whose hosts have faults, and those of other listed hosts.
const HELD_DESTINATION: u64 = 1;
const FAULTY_DESTINATIONS: std::ops::Range<u64> = 2..5;
const FIRST_OTHER_DESTINATION: u64 = 100;

/// What a seed draws.
struct Story {
    memory_mb: u64,
    sockets: usize,
    clients: usize,
    hosts: u64,
    slots: u64,
    list_delay: Duration,
    faults: PartnerFaults,
    requests: Vec<SlowRequest>,
}

impl Story {
    fn draw(random: &mut Random) -> Story {
        let (memory_mb, sockets) = LIMITS[random.below(LIMITS.len() as u64) as usize];
        Story {
            memory_mb,
            sockets,
            clients: [0, sockets / 2, sockets][random.below(3) as usize].min(900),
            hosts: [20, 200][random.below(2) as usize],
            slots: [4, 20, 200][random.below(3) as usize],
            list_delay: Duration::from_millis([0, 0, 500, 3000][random.below(4) as usize]),
            faults: PartnerFaults {
                refused: random.below(25),
                failed: random.below(10),
                hung: [0, 10, 60][random.below(3) as usize],
                repeated: [0, 30][random.below(2) as usize],
            },
            requests: (0..CROWD_REQUESTS).map(|_| random_request(random)).collect(),
        }
    }

    fn config(&self, agent: &Agent) -> Value {
        let mut config = config(agent.address);
        config["limits"] =
            json!({"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": 3});
        config["settings"]["Limits"]["MaxOpen"] = json!(300);
        config["settings"]["Domain"]["Slots"] = json!(self.slots);
        config
    }
}

impl std::fmt::Display for Story {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Story { memory_mb, sockets, clients, hosts, slots, list_delay, faults, requests } = self;
        let requests: Vec<String> = requests
            .iter()
            .map(|r| format!("{} ({} B by {})", r.name, r.bytes.len(), r.piece_bytes))
            .collect();
        write!(
            f,
            "{memory_mb} MB, {sockets} descriptors, {clients} clients, {hosts} hosts, {slots} slots, lists after \
             {list_delay:?}, {faults:?}; {}",
            requests.join(", ")
        )
    }
}

/// What the threads of a run share.
struct Shared {
    address: Mutex<SocketAddr>,
    stop: AtomicBool,
    answered: Mutex<usize>,
}

/// Hands in messages of all sizes until told to stop, on a connection that is kept as long as the relay keeps it.
fn run_client(number: u64, seed: u64, shared: &Shared) {
    let mut random = Random::new(seed ^ (number << 32));
    let mut kept: Option<TcpStream> = None;
    for n in 0.. {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(Duration::from_millis(random.below(40)));
        let address = *shared.address.lock().unwrap();
        let dest = [HELD_DESTINATION, 2, 3, 4][random.below(4) as usize];
        let body = vec![1; [10, 300, 5000, MAX_BODY_BYTES][random.below(4) as usize]];
        let head = format!(
            "POST /safe HTTP/1.1\r\nHost: x\r\nX-Call-Id: m-{number}-{n}\r\nX-Caller: acme\r\nX-Budget: 3000m\r\n\
             X-Envelope: dest={dest}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let stream = kept.take().or_else(|| TcpStream::connect_timeout(&address, CLIENT_PATIENCE).ok());
        let Some(mut stream) = stream else { continue };
        stream.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        stream.set_write_timeout(Some(CLIENT_PATIENCE)).unwrap();
        let mut answer = [0; 1024];
        let written = stream.write_all(&[head.as_bytes(), &body].concat());
        if let Ok(count @ 1..) = written.and_then(|()| stream.read(&mut answer)) {
            *shared.answered.lock().unwrap() += 1;
            let closes =
                String::from_utf8_lossy(&answer[..count]).to_lowercase().contains("connection: close");
            kept = Some(stream).filter(|_| !closes);
        }
    }
}

/// Replaces the process in one of several ways, and returns the next one.
fn restart(mut relay: Relay, random: &mut Random, watch: &MemoryWatch) -> Relay {
    match random.below(6) {
        0 | 1 => relay.killed(|_| ()),
        2 => {
            let next = relay.beside();
            watch.add(next.child.id());
            relay.terminate();
            relay.wait_exit();
            next
        }
        signals => {
            if signals == 3 {
                relay.signal("HUP");
            }
            if signals == 4 {
                relay.signal("STOP");
                std::thread::sleep(HOLD_UP);
                relay.signal("CONT");
            }
            let told_at = Instant::now();
            relay.terminate();
            if signals == 5 {
                relay.terminate();
            }
            while told_at.elapsed() < KILL_DELAY && relay.child.try_wait().unwrap().is_none() {
                std::thread::sleep(Duration::from_millis(10));
            }
            relay.killed(|_| ())
        }
    }
}

/// Returns the rules that were broken in this run, as lines.
fn run(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed);
    let story = Story::draw(&mut random);
    let agent = Agent::new(&[]);
    agent.hold(HELD_DESTINATION);
    let partners: Vec<Partner> =
        FAULTY_DESTINATIONS.map(|dest| Partner::new(seed * 31 + dest, story.faults)).collect();
    for (dest, partner) in FAULTY_DESTINATIONS.zip(&partners) {
        agent.list(&format!("h{dest}"), dest, partner.address, "active");
    }
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    agent.list_all((0..story.hosts).map(|n| (format!("s-{n:08x}"), FIRST_OTHER_DESTINATION + n, unused)));
    let mut relay = Relay::with(PROGRAM, story.config(&agent), &agent);
    let watch = MemoryWatch::new(&relay.folder.join("state"));
    watch.add(relay.child.id());
    relay.submit_accepted_once_listed("safe", "listed", HELD_DESTINATION);
    agent.delay_lists(story.list_delay);
    let shared = Shared {
        address: Mutex::new(relay.address),
        stop: AtomicBool::new(false),
        answered: Mutex::default(),
    };
    let mut findings = Vec::new();
    std::thread::scope(|scope| {
        scope.spawn(|| play_crowd(&shared.address, story.clients, &story.requests, &shared.stop));
        for number in 0..4 {
            let shared = &shared;
            scope.spawn(move || run_client(number, seed, shared));
        }
        for _ in 0..RESTARTS {
            std::thread::sleep(Duration::from_millis(700 + random.below(1500)));
            if let Some(status) = relay.child.try_wait().unwrap() {
                findings.push(format!("the process ended by itself: {status}"));
            }
            let descriptors = watch.peak_descriptors();
            if descriptors > story.sockets {
                findings.push(format!("{descriptors} descriptors"));
            }
            let began = Instant::now();
            relay = restart(relay, &mut random, &watch);
            watch.add(relay.child.id());
            *shared.address.lock().unwrap() = relay.address;
            if began.elapsed() > KILL_DELAY + READY_LIMIT {
                findings.push(format!("ready after {:?}", began.elapsed()));
            }
        }
        std::thread::sleep(Duration::from_millis(1000));
        shared.stop.store(true, Ordering::SeqCst);
    });
    let peak = watch.peak();
    let answered = *shared.answered.lock().unwrap();
    println!("seed {seed}: peak {:.1} MB, {answered} answered; {story}", peak.total() as f64 / 1e6);
    if peak.total() > story.memory_mb * 1_000_000 {
        findings.push(format!("{peak:?}"));
    }
    if answered == 0 {
        findings.push("no request of a regular client was answered".into());
    }
    findings
}

fn seeds() -> Vec<u64> {
    let asked = std::env::var("MEMORY_SOAK_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once('-'));
    let parsed = range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    parsed.map_or(FIXED_SEEDS.collect(), |(from, to): (u64, u64)| (from..=to).collect())
}

/// Guards against a process that passes its memory or its descriptors, or ends by itself, whatever clients, hosts,
/// discovery and signals do at once.
#[test]
fn no_process_passes_its_limits_or_ends_by_itself() {
    let (seeds, findings) = (Mutex::new(seeds().into_iter()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let Some(seed) = seeds.lock().unwrap().next() else { return };
                let broken = run(seed).into_iter().map(|finding| format!("seed {seed}: {finding}"));
                findings.lock().unwrap().extend(broken);
            });
        }
    });
    let findings = findings.into_inner().unwrap();
    assert!(findings.is_empty(), "{} findings:\n{}", findings.len(), findings.join("\n"));
}
