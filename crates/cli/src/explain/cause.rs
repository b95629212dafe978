//! Why a request wasn't served as its caller expects.

use std::fmt;

/// Why a request wasn't served in time, or not at all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Its first event came late, at the first send.
    FirstEventLate,
    /// Its first event came late, after it was sent again.
    FirstEventAfterRepeat,
    /// It paused for too long when it lost its run.
    PauseByFailover,
    /// It paused for too long when it waited until others had loaded lost layers.
    PauseByRepair,
    /// It paused for too long when it was moved to another path.
    PauseByMove,
    /// It paused for too long for none of these reasons.
    Pause,
    /// It was refused as not run, for this reason.
    Refused(String),
    /// It ended without an answer, for this reason, and may have run.
    Failed(String),
    /// Its answer was cut, for this reason.
    Cut(String),
    /// Its caller left before the end.
    CallerGone,
    /// Its gateway ended, or its log is incomplete.
    NoEnd,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::FirstEventLate => f.write_str("first event late"),
            Cause::FirstEventAfterRepeat => f.write_str("first event late, sent again"),
            Cause::PauseByFailover => f.write_str("pause: lost its run"),
            Cause::PauseByRepair => f.write_str("pause: waited for a repair"),
            Cause::PauseByMove => f.write_str("pause: moved to another path"),
            Cause::Pause => f.write_str("pause: other"),
            Cause::Refused(why) => write!(f, "refused: {why}"),
            Cause::Failed(why) => write!(f, "failed: {why}"),
            Cause::Cut(why) => write!(f, "cut: {why}"),
            Cause::CallerGone => f.write_str("caller gone"),
            Cause::NoEnd => f.write_str("no end: its gateway ended"),
        }
    }
}

/// Shortens a reason to what it has in common with others: no details after a colon, no ids, no numbers.
pub fn common_reason(why: &str) -> String {
    let is_id = |word: &&str| word.chars().any(|c| c.is_ascii_digit());
    let mut parts = why.split(": ");
    let first = parts.next().unwrap_or_default();
    // Some begin with the endpoint's id.
    let reason = if is_id(&first) { parts.next().unwrap_or_default() } else { first };
    reason
        .split(' ')
        .map(|word| if is_id(&word) { "N" } else { word })
        .collect::<Vec<_>>()
        .join(" ")
}
