//! The engine's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in milliseconds since 1970. It is set to the wall clock once, when it is started, so
/// that times in a journal keep their meaning for the next process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_ms: since_epoch.as_secs_f64() * 1000.0 }
    }

    /// Returns the current time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Returns the time at an instant, which must not be before the start of the clock.
    pub fn at(&self, instant: Instant) -> f64 {
        self.start_ms + instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Returns the instant of a time on this clock, limited to 1e6 seconds (eleven days) after its start.
    pub fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.start_ms) / 1000.0).clamp(0.0, 1e6))
    }
}
