//! What the log has told of objects in the store that can't be used.

use sorrellock_routing::process::{EntryFault, FOUND_MOST, cut};
use std::collections::HashSet;

/// The most faults of which it is remembered that the log told them; then all may be told again.
const MOST_TOLD: usize = 1_024;

/// What the log has told of objects in the store that can't be used: each fault once.
#[derive(Default)]
pub(crate) struct LoggedFaults {
    told: HashSet<String>,
}

impl LoggedFaults {
    /// Whether an object's fault wasn't told yet. A value that changes with each write is no news.
    pub(crate) fn is_news(&mut self, name: &str, fault: &EntryFault) -> bool {
        if self.told.len() >= MOST_TOLD {
            self.told.clear();
        }
        let field = fault.field().unwrap_or_default();
        self.told.insert(format!("{}/{:?}/{field}", cut(name, FOUND_MOST), fault.kind()))
    }
}
