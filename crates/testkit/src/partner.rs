//! A stand-in for a partner's host with random faults, which records when each call came and how it ended. What
//! the relay did is judged by these records, not by the relay's log.

use crate::host::response;
use crate::wire::receive;
use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between checks whether the relay has given a call up.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Longest time that a host works on a call, unless it hangs.
const MAX_WORK_MS: u64 = 200;
/// Longest time that a hanging host keeps a call.
const MAX_HANG: Duration = Duration::from_secs(4);

/// A call as its host saw it.
#[derive(Clone, Debug)]
pub struct PartnerCall {
    /// The message's id.
    pub id: String,
    /// When the call's last byte came.
    pub received_at: Instant,
    /// When it was answered, or its connection ended.
    pub ended_at: Option<Instant>,
    /// The status that it was answered with.
    pub status: Option<u16>,
    /// How long the relay was told to wait.
    pub retry_after: Option<Duration>,
}

impl PartnerCall {
    /// Whether the call proves by its answer that it never ran.
    pub fn never_ran(&self) -> bool {
        matches!(self.status, Some(429 | 503))
    }
}

/// Random numbers from a seed (xorshift64*).
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Returns a generator; seeds that differ give independent sequences.
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % end.max(1)
    }

    /// Returns true in `percent` of 100 cases.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// How often a partner misbehaves, in percent of its calls.
#[derive(Clone, Copy, Debug)]
pub struct PartnerFaults {
    /// Refused with 503 or 429.
    pub refused: u64,
    /// Answered with 500, or the connection ends.
    pub failed: u64,
    /// Kept without an answer.
    pub hung: u64,
    /// Preceded by a copy of the answer before on the connection, or answered twice.
    pub repeated: u64,
}

/// A partner's host.
#[derive(Clone)]
pub struct Partner {
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<PartnerCall>>>,
    delivered: Arc<Mutex<HashSet<String>>>,
    repeated: Arc<Mutex<usize>>,
}

impl Partner {
    /// Starts a host with these faults.
    pub fn new(seed: u64, faults: PartnerFaults) -> Partner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let partner = Partner {
            address: listener.local_addr().unwrap(),
            calls: Arc::default(),
            delivered: Arc::default(),
            repeated: Arc::default(),
        };
        let this = partner.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let this = this.clone();
                let random = Random::new(seed ^ ((number as u64 + 1) << 20));
                std::thread::spawn(move || this.serve(stream, random, faults));
            }
        });
        partner
    }

    /// Returns all calls so far.
    pub fn calls(&self) -> Vec<PartnerCall> {
        self.calls.lock().unwrap().clone()
    }

    /// Returns how many answers were sent a second time.
    pub fn repeated(&self) -> usize {
        *self.repeated.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream, mut random: Random, faults: PartnerFaults) {
        let _closed = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut previous_answer: Option<String> = None;
        while let Some(call) = receive(&mut reader, 0) {
            let number = self.record_call(call.id());
            let repeat = random.percent(faults.repeated);
            if let Some(copy) = previous_answer.as_ref().filter(|_| repeat) {
                std::thread::sleep(Duration::from_millis(random.below(5)));
                let _closed = reader.get_mut().write_all(copy.as_bytes());
                *self.repeated.lock().unwrap() += 1;
            }
            let Some((status, retry_after)) = self.work(&reader, call.id(), &mut random, faults) else {
                return self.record_end(number, None, None);
            };
            let headers = retry_after
                .map_or_else(String::new, |wait| format!("Retry-After: {:.3}\r\n", wait.as_secs_f64()));
            let answer = response(status, &headers);
            self.record_end(number, Some(status), retry_after);
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
            if status == 200 {
                self.delivered.lock().unwrap().insert(call.id().to_string());
            }
            if random.percent(faults.repeated / 2) {
                std::thread::sleep(Duration::from_millis(random.below(60)));
                let _closed = reader.get_mut().write_all(answer.as_bytes());
                *self.repeated.lock().unwrap() += 1;
            }
            previous_answer = Some(answer);
        }
    }

    /// Works on a call. Returns its status and Retry-After, or `None` if the connection ends without an answer.
    fn work(
        &self, reader: &BufReader<TcpStream>, id: &str, random: &mut Random, faults: PartnerFaults,
    ) -> Option<(u16, Option<Duration>)> {
        if self.delivered.lock().unwrap().contains(id) {
            return Some((200, None));
        }
        if random.percent(faults.hung) {
            self.wait(reader, MAX_HANG);
            return None;
        }
        if !self.wait(reader, Duration::from_millis(5 + random.below(MAX_WORK_MS))) {
            return None;
        }
        if random.percent(faults.refused) {
            let wait = random.percent(50).then(|| Duration::from_millis(100 + random.below(400)));
            return Some((if wait.is_some() { 429 } else { 503 }, wait));
        }
        if random.percent(faults.failed) {
            return random.percent(50).then_some((500, None));
        }
        Some((200, None))
    }

    /// Waits, and returns whether the connection stayed open.
    fn wait(&self, reader: &BufReader<TcpStream>, time: Duration) -> bool {
        let (stream, start) = (reader.get_ref(), Instant::now());
        let _closed = stream.set_nonblocking(true);
        let stayed_open = loop {
            match stream.peek(&mut [0; 1]) {
                Ok(0) => break false,
                Err(e) if e.kind() != ErrorKind::WouldBlock => break false,
                _ if start.elapsed() >= time => break true,
                _ => std::thread::sleep(CLOSE_CHECK_INTERVAL),
            }
        };
        let _closed = stream.set_nonblocking(false);
        stayed_open
    }

    fn record_call(&self, id: &str) -> usize {
        let mut calls = self.calls.lock().unwrap();
        calls.push(PartnerCall {
            id: id.to_string(),
            received_at: Instant::now(),
            ended_at: None,
            status: None,
            retry_after: None,
        });
        calls.len() - 1
    }

    fn record_end(&self, number: usize, status: Option<u16>, retry_after: Option<Duration>) {
        let mut calls = self.calls.lock().unwrap();
        let call = &mut calls[number];
        (call.ended_at, call.status, call.retry_after) = (Some(Instant::now()), status, retry_after);
    }
}
