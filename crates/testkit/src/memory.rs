//! Watches the memory and the descriptors that the processes of one relay take together, as the platform counts it: the folder's
//! files count as memory, and so do two processes while one takes over from the other.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval between two looks.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Memory at one moment, in bytes.
#[derive(Clone, Debug, Default)]
pub struct MemorySample {
    /// Time since the watch began.
    pub at: Duration,
    /// Resident memory of each process, by process id.
    pub resident: Vec<(u32, u64)>,
    /// Size of the files in the folder that lasts.
    pub files: u64,
}

impl MemorySample {
    /// Returns the sum.
    pub fn total(&self) -> u64 {
        self.resident.iter().map(|(_, bytes)| bytes).sum::<u64>() + self.files
    }
}

#[derive(Default)]
struct Watched {
    processes: Vec<u32>,
    state_folder: PathBuf,
    peak: MemorySample,
    /// The largest number of descriptors of all processes together.
    peak_descriptors: usize,
}

/// Watches the memory of a relay's processes until it is dropped.
pub struct MemoryWatch {
    watched: Arc<Mutex<Watched>>,
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Begins to watch the processes that [`MemoryWatch::add`] names, and the files in this folder.
    pub fn new(state_folder: &Path) -> MemoryWatch {
        let watched = Watched { state_folder: state_folder.to_path_buf(), ..Watched::default() };
        let (watched, stop) = (Arc::new(Mutex::new(watched)), Arc::new(AtomicBool::new(false)));
        let (of_thread, stopped, start) = (watched.clone(), stop.clone(), Instant::now());
        let sampler = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                take_sample(&mut of_thread.lock().unwrap(), start.elapsed());
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        MemoryWatch { watched, stop, sampler: Some(sampler) }
    }

    /// Watches this process too, until it ends.
    pub fn add(&self, process: u32) {
        let mut watched = self.watched.lock().unwrap();
        if !watched.processes.contains(&process) {
            watched.processes.push(process);
        }
    }

    /// Returns the sample with the largest sum so far.
    pub fn peak(&self) -> MemorySample {
        self.watched.lock().unwrap().peak.clone()
    }

    /// Returns the largest number of descriptors that the processes had open together so far.
    pub fn peak_descriptors(&self) -> usize {
        self.watched.lock().unwrap().peak_descriptors
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.sampler.take().into_iter().for_each(|sampler| sampler.join().unwrap());
    }
}

fn take_sample(watched: &mut Watched, at: Duration) {
    let resident = watched.processes.iter().filter_map(|id| Some((*id, resident_bytes(*id)?))).collect();
    let sample = MemorySample { at, resident, files: files_bytes(&watched.state_folder) };
    let descriptors = watched.processes.iter().map(|id| open_descriptors(*id)).sum();
    watched.peak_descriptors = watched.peak_descriptors.max(descriptors);
    if sample.total() > watched.peak.total() {
        watched.peak = sample;
    }
}

/// Returns the resident memory of a process, or `None` if it has ended.
fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? * 1024)
}

/// Returns the number of descriptors that a process has open; 0 if it has ended.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Returns the size of the files in a folder. Files that are replaced meanwhile may be missed.
fn files_bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    entries.filter_map(|entry| Some(entry.metadata().ok()?.len())).sum()
}
