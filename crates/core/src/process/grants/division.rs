//! Divides what there is among entries that all want more.

use super::Amount;

/// What the other entries that want more want, and were served lately.
#[derive(Clone, Debug)]
pub struct Division {
    others: Vec<(f64, f64)>,
}

impl Division {
    /// Of the others, each with what it wants and what it was served.
    pub fn new(others: &[(Amount, Amount)], dimension: impl Fn(&Amount) -> f64) -> Division {
        let pair = |(want, served): &(Amount, Amount)| (dimension(want), dimension(served));
        Division { others: others.iter().map(pair).collect() }
    }

    /// The part of `level` for one that wants `want` and was served `served`.
    pub fn part(&self, want: f64, served: f64, level: f64) -> f64 {
        self.due(want, served, level).clamp(0.0, want.min(level).max(0.0))
    }

    /// The same in whole numbers; the one to which most is due gets at least one.
    pub fn whole_part(&self, want: f64, served: f64, level: f64) -> f64 {
        let due = self.due(want, served, level);
        let is_most =
            self.others.iter().all(|other| self.due_of(*other, want, served, level) <= due);
        let least = if is_most { 1.0 } else { 0.0 };
        due.max(least).min(want).min(level).max(0.0).floor()
    }

    fn due(&self, want: f64, served: f64, level: f64) -> f64 {
        self.due_of((want, served), want, served, level)
    }

    /// What is due to one of them: its part, by what it wants, of all that was served and is left.
    fn due_of(&self, one: (f64, f64), want: f64, served: f64, level: f64) -> f64 {
        let wants: f64 = self.others.iter().map(|other| other.0).sum::<f64>() + want;
        let all: f64 = self.others.iter().map(|other| other.1).sum::<f64>() + served + level;
        if wants <= 0.0 {
            return 0.0;
        }
        one.0 / wants * all - one.1
    }
}
