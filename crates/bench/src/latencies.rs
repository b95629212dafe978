//! A histogram of latencies.

use crate::figure_f64;
use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest latency told apart; longer ones count as this.
const MAX: Duration = Duration::from_secs(600);
/// Significant digits kept.
const DIGITS: u8 = 3;

/// A histogram of latencies, in nanoseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Latencies {
    /// An empty histogram.
    pub fn new() -> Latencies {
        let max = MAX.as_nanos() as u64;
        let histogram = Histogram::new_with_bounds(1, max, DIGITS).expect("the bounds are valid");
        Latencies { histogram }
    }

    /// Adds a latency.
    pub fn add(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_nanos() as u64);
    }

    /// Adds those of another histogram.
    pub fn merge(&mut self, other: &Latencies) {
        self.histogram.add(&other.histogram).expect("the bounds are the same");
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The latency at a quantile, such as 0.99.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_nanos(self.histogram.value_at_quantile(quantile))
    }

    /// Prints `NAME.p50_us` and `NAME.p99_us`.
    pub fn print_us(&self, name: &str) {
        figure_f64(&format!("{name}.p50_us"), self.quantile(0.5).as_secs_f64() * 1e6, "us");
        figure_f64(&format!("{name}.p99_us"), self.quantile(0.99).as_secs_f64() * 1e6, "us");
    }

    /// Prints `NAME.p50_ms` and `NAME.p99_ms`.
    pub fn print_ms(&self, name: &str) {
        figure_f64(&format!("{name}.p50_ms"), self.quantile(0.5).as_secs_f64() * 1e3, "ms");
        figure_f64(&format!("{name}.p99_ms"), self.quantile(0.99).as_secs_f64() * 1e3, "ms");
    }
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies::new()
    }
}
