//! Estimates how long streams of a service take, from earlier answers.

use std::time::Duration;

/// Weight of the newest answer: the mean covers about twenty.
const NEWEST_WEIGHT: f64 = 0.05;

/// How long streams of a service take for their expected tokens. Keeps the means of both, not of their quotient:
/// some callers' estimates are far off, and these would weigh most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamPace {
    means: Option<Means>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Means {
    tokens: f64,
    seconds: f64,
}

impl StreamPace {
    /// Records a complete stream of which `tokens` were expected.
    pub fn on_answered(&mut self, tokens: f64, took: Duration) {
        let newest = Means { tokens: tokens.max(1.0), seconds: took.as_secs_f64() };
        let means = self.means.get_or_insert(newest);
        means.tokens += NEWEST_WEIGHT * (newest.tokens - means.tokens);
        means.seconds += NEWEST_WEIGHT * (newest.seconds - means.seconds);
    }

    /// Returns the mean duration of a stream; zero before the first answer.
    pub fn mean(&self) -> Duration {
        let seconds = self.means.map_or(0.0, |means| means.seconds);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns how long a stream of which `tokens` are expected usually takes; zero before the first answer.
    pub fn usual(&self, tokens: f64) -> Duration {
        let seconds = self.means.map_or(0.0, |means| tokens * means.seconds / means.tokens);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
