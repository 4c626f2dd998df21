//! Measurement of a rate with exponential decay.

/// A rate per second in which each event decays with the time constant.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    time_constant_ms: f64,
    first_added_at: Option<f64>,
    updated_at: f64,
    sum: f64,
}

impl Meter {
    /// Returns an empty meter.
    pub fn new(time_constant_ms: f64) -> Self {
        Meter { time_constant_ms, first_added_at: None, updated_at: 0.0, sum: 0.0 }
    }
    /// Returns when the first event was added.
    pub fn first_added_at(&self) -> Option<f64> {
        self.first_added_at
    }
    /// Returns the decayed sum of all that was added.
    pub fn sum_at(&self, now: f64) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / self.time_constant_ms).exp()
    }
    /// Returns a meter with the same time constant and this content.
    pub fn set(&self, updated_at: f64, sum: f64, first_added_at: Option<f64>) -> Self {
        Meter { time_constant_ms: self.time_constant_ms, first_added_at, updated_at, sum }
    }
    /// Adds events.
    pub fn add(&mut self, now: f64, amount: f64) {
        self.first_added_at.get_or_insert(now);
        self.sum = self.sum_at(now) + amount;
        self.updated_at = now;
    }
    /// Returns the rate. A young meter extrapolates as if it had always counted at its present rate, but
    /// assumes an age of at least half the time constant, so that a first burst does not look like a flood.
    pub fn rate(&self, now: f64) -> f64 {
        let age = self
            .first_added_at
            .map_or(0.0, |first_added_at| (now - first_added_at) / self.time_constant_ms)
            .max(0.5);
        self.sum_at(now) * 1000.0 / self.time_constant_ms / (1.0 - (-age).exp())
    }
}
