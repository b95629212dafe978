//! Which members of a data centre have received a relay's latest summary.

/// The latest summary that a relay sent to its members, by the sequence of its message; 0 for none.
///
/// Members name the summary that they received last in each of their messages. A relay sends a member that names an earlier one the
/// summary again, so that a lost message costs one send interval and not the time until the next summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentSummary(u64);

impl SentSummary {
    /// Returns the summary that was sent with a sequence.
    pub fn new(sequence: u64) -> SentSummary {
        SentSummary(sequence)
    }

    /// Returns whether a member misses it that received the summary `received` last; 0 for a member that is new, or of a build that
    /// doesn't name what it received.
    pub fn is_missed_after(self, received: u64) -> bool {
        (1..self.0).contains(&received)
    }
}
