//! Whether silence tells anything of the endpoint that was asked.

use std::time::Duration;

/// How late a process may be at the end of a question's time and still trust the silence: timers are a few
/// ms late at rest, and a process with a tenth of a core that serves a burst is late by hundreds.
const TRUSTED_DELAY: Duration = Duration::from_millis(40);

/// Whether a question without an answer was held up by the process that asked: it took so much longer
/// than its limit that the answer may have waited to be read.
pub fn is_held_up(limit: Duration, took: Duration) -> bool {
    took > limit + TRUSTED_DELAY
}
