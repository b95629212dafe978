//! Exponential moving average.

/// Weight of a new value in the mean.
const NEW_VALUE_WEIGHT: f64 = 0.1;

/// Exponential moving average: newer values count more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean(Option<f64>);

impl Mean {
    /// Adds a value; the first one is the mean.
    pub fn add(&mut self, value: f64) {
        self.0 = Some(match self.0 {
            Some(mean) => mean + (value - mean) * NEW_VALUE_WEIGHT,
            None => value,
        });
    }

    /// Returns the mean; `None` without a value.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}
