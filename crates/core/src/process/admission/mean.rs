//! A mean in which newer values count more.

/// Share of a new value in the mean.
const NEW_SHARE: f64 = 0.1;

/// A mean in which newer values count more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean(Option<f64>);

impl Mean {
    /// Takes a value.
    pub fn add(&mut self, value: f64) {
        self.0 = Some(match self.0 {
            Some(mean) => mean + (value - mean) * NEW_SHARE,
            None => value,
        });
    }

    /// The mean, once there is a value.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}
