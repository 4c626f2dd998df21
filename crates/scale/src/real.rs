//! Runs the relay program beside a stand-in for discovery, and measures its memory and CPU as the operating
//! system counts them.

use crate::discovery::DiscoveryStub;
use crate::plan::Plan;
use crate::simulated_hosts::SimulatedHosts;
use mulleinslip_membership::Status;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Number of changes, one per call.
const CHANGES: u64 = 2000;
/// Maximum duration of one step of a measurement.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Measurements of one relay process.
#[derive(Clone, Copy, Debug)]
pub struct RealRelay {
    pub destinations: usize,
    /// Resident memory, in bytes.
    pub memory: u64,
    /// Peak resident memory, in bytes.
    pub peak: u64,
    /// CPU time from the start until the relay has the list, in seconds.
    pub start_cpu_s: f64,
    /// CPU time per call with one change, in microseconds.
    pub change_us: f64,
    /// Size of the full list as JSON.
    pub list_bytes: u64,
    /// Bytes of a call for one change and of its answer.
    pub bytes_per_change: f64,
}

/// A relay process. Dropping it kills the process and removes its folder.
struct Running {
    child: Child,
    folder: PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _already_exited = self.child.kill();
        let _reaped = self.child.wait();
        let _ignored = std::fs::remove_dir_all(&self.folder);
    }
}

fn config(agent: &DiscoveryStub, memory_mb: f64) -> Value {
    json!({"name": "real", "listen": "127.0.0.1:0", "discovery": agent.address.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 256, "disk_mb": 3},
        "settings": {"Balancers": 1, "Zone": 0, "Zones": ["z0"], "MachineTypes": ["m2"], "TickMs": 5.0,
            "Domain": {"Slots": 8, "BatchByKind": [1], "OwnLimits": [false], "Fades": "by_half"},
            "Limits": {"Cancel": true, "ConnIdleMs": 3000.0, "ConnectTimeoutMs": 500.0, "MaxAttempts": 6,
                "MaxOpen": 400, "MaxRetryAfterMs": 2000.0, "MaxStreams": 1, "Probing": false,
                "RetryAfter": true, "SecondCopies": false},
            "Orgs": [{"Name": "acme", "QuotaRps": 1000.0, "Fraction": 1.0}],
            "Profiles": [{"Name": "safe", "Effect": "retryable", "Group": "all", "AimMs": 300.0,
                "DeadlineMs": 5000.0, "DedupWindowMs": 4000.0, "Points": 1.0, "LateValue": 0.3,
                "SerialByKey": false, "New": [1]}],
            "Safety": {"ColdShare": 0.5, "WarmAfterMs": 2000.0, "FallMultiple": 3.0, "FallMs": 1000.0,
                "OrderPauseMs": 300.0}}})
}

/// Waits until a condition is true, for at most [`STEP_TIMEOUT`].
fn wait(what: &str, mut is_true: impl FnMut() -> bool) -> Result<(), String> {
    let start = Instant::now();
    while !is_true() {
        if start.elapsed() > STEP_TIMEOUT {
            return Err(format!("timed out waiting for {what} after {} s", STEP_TIMEOUT.as_secs()));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// Returns the CPU time of a process in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Returns a field of the process's status in bytes.
fn status_bytes(pid: u32, name: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Starts the program with this many destinations, and measures it while the list changes.
pub fn measure(plan: &Plan, destinations: usize) -> Result<RealRelay, String> {
    let mut hosts = SimulatedHosts::new(destinations, plan.hosts, plan.zones);
    let list = hosts.full_list(None);
    let list_bytes = serde_json::to_string(&list).map_err(|e| e.to_string())?.len() as u64;
    let agent = DiscoveryStub::start(&list)?;
    drop(list);
    let folder =
        std::env::temp_dir().join(format!("mulleinslip-scale-{}-{destinations}", std::process::id()));
    let state = folder.join("state");
    std::fs::create_dir_all(&state).map_err(|e| format!("{}: {e}", state.display()))?;
    let file = folder.join("config.json");
    std::fs::write(&file, config(&agent, plan.memory_mb).to_string())
        .map_err(|e| format!("{}: {e}", file.display()))?;
    let mut running = start(&plan.program, &file, &state, folder)?;
    let pid = running.child.id();
    let stderr = running.child.stderr.take().ok_or("the program's standard error is not captured")?;
    let mut log = BufReader::new(stderr).lines().map_while(Result::ok);
    log.find(|line| line.contains(" serves on "))
        .ok_or("the program exited or closed its log before it served")?;
    std::thread::spawn(move || log.for_each(drop));
    // The relay has the list once it opens a watch: the first call fetches the list, the second is the watch.
    wait("the first watch", || agent.served().calls >= 2 && agent.served().full_lists >= 1)?;
    std::thread::sleep(Duration::from_millis(300));
    let start_cpu_s = cpu_seconds(pid);
    let (before, before_cpu) = (agent.served(), cpu_seconds(pid));
    for number in 0..CHANGES {
        let status = if number % 2 == 0 { Status::Leaving } else { Status::Active };
        let calls = agent.served().calls;
        let change = hosts.change_status((number / 2 * 7919) % destinations as u64, status, None);
        agent.change(&change)?;
        wait("the next watch", || agent.served().calls > calls)?;
    }
    let (after, after_cpu) = (agent.served(), cpu_seconds(pid));
    Ok(RealRelay {
        destinations,
        memory: status_bytes(pid, "VmRSS"),
        peak: status_bytes(pid, "VmHWM"),
        start_cpu_s,
        change_us: (after_cpu - before_cpu) / CHANGES as f64 * 1e6,
        list_bytes,
        bytes_per_change: (after.bytes - before.bytes) as f64 / CHANGES as f64,
    })
}

/// Starts the program with this configuration and state folder.
fn start(program: &Path, config: &Path, state: &Path, folder: PathBuf) -> Result<Running, String> {
    let mut command = Command::new(program);
    command.env("ROUTER_CONFIG", config).env("ROUTER_STATE", state);
    command.env_remove("ROUTER_DISCOVERY").env_remove("ROUTER_LISTEN").env_remove("ROUTER_CONTROL");
    let child = command.stderr(Stdio::piped()).spawn();
    Ok(Running { child: child.map_err(|e| format!("{}: {e}", program.display()))?, folder })
}
