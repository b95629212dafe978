//! Divides the level of a bucket among entries that all want more.

use super::Amount;

/// The other entries that want more: what each wants, and what it was recently served.
#[derive(Clone, Debug)]
pub struct Division {
    others: Vec<(f64, f64)>,
}

impl Division {
    /// Creates a division over the given pairs of wanted and served amounts, in one dimension.
    pub fn new(others: &[(Amount, Amount)], dimension: impl Fn(&Amount) -> f64) -> Division {
        let pair = |(want, served): &(Amount, Amount)| (dimension(want), dimension(served));
        Division { others: others.iter().map(pair).collect() }
    }

    /// Returns the part of `level` for an entry that wants `want` and was served `served`.
    pub fn part(&self, want: f64, served: f64, level: f64) -> f64 {
        self.due(want, served, level).clamp(0.0, want.min(level).max(0.0))
    }

    /// As `part`, rounded down; the entry with the largest due amount gets at least one.
    pub fn whole_part(&self, want: f64, served: f64, level: f64) -> f64 {
        let due = self.due(want, served, level);
        let has_max_due =
            self.others.iter().all(|other| self.due_of(*other, want, served, level) <= due);
        let min_part = if has_max_due { 1.0 } else { 0.0 };
        due.max(min_part).min(want).min(level).max(0.0).floor()
    }

    fn due(&self, want: f64, served: f64, level: f64) -> f64 {
        self.due_of((want, served), want, served, level)
    }

    /// Returns the amount due to one entry: its part, in proportion to what it wants, of all that
    /// was served and is left, minus what it was served.
    fn due_of(&self, one: (f64, f64), want: f64, served: f64, level: f64) -> f64 {
        let wants: f64 = self.others.iter().map(|other| other.0).sum::<f64>() + want;
        let all: f64 = self.others.iter().map(|other| other.1).sum::<f64>() + served + level;
        if wants <= 0.0 {
            return 0.0;
        }
        one.0 / wants * all - one.1
    }
}
