//! Estimate of the service time of a kind of work on a backend server.

use std::time;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Moving averages of the service time and of its absolute deviation.
#[derive(Clone, Debug, Default)]
pub struct ServiceTime {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl ServiceTime {
    /// Adds a measured service time.
    pub fn add(&mut self, sample: time::Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let error = sample.as_secs_f64() - self.mean_s;
        self.mean_s += weight * error;
        self.deviation_s += weight * (error.abs() - self.deviation_s);
    }

    /// Mean service time, or `None` without a sample.
    pub fn mean(&self) -> Option<time::Duration> {
        (self.samples > 0).then(|| time::Duration::from_secs_f64(self.mean_s))
    }

    /// Mean service time in seconds, or 0 without a sample.
    pub fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// Likely upper bound of the service time: the mean plus the mean deviation.
    pub fn likely(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.mean_s + self.deviation_s)
    }
}
