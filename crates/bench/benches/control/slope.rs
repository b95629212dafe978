//! A straight line through measured points.

/// A straight line through measured points, by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Slope {
    /// Growth a unit.
    pub per_unit: f64,
    /// Value at 0.
    pub at_zero: f64,
}

impl Slope {
    /// The line through `points`, at least two.
    pub fn through(points: &[(f64, f64)]) -> Slope {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let shared: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let per_unit = shared / spread;
        Slope { per_unit, at_zero: y - per_unit * x }
    }

    /// The value on the line.
    pub fn at(&self, x: f64) -> f64 {
        self.at_zero + self.per_unit * x
    }
}
