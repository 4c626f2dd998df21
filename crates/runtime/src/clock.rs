//! The engine's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic, and set to the wall clock once, at the start, so that times in a journal mean the same to the next
/// process. Milliseconds since 1970.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    wall: f64,
}

impl Clock {
    /// Starts it.
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall: wall.as_secs_f64() * 1000.0 }
    }

    /// What it shows.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// What it showed, or will show, at an instant that isn't before its start.
    pub fn at(&self, instant: Instant) -> f64 {
        self.wall + instant.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// When it shows this, within eleven days of its start.
    pub fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at - self.wall) / 1000.0).clamp(0.0, 1e6))
    }
}
