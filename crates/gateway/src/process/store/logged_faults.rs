//! Faults of unusable objects in the store that have been logged.

use sorrellock_routing::process::{EntryFault, MAX_FOUND_CHARS, cut};
use std::collections::HashSet;

/// The most logged faults that are remembered. At this number all are forgotten, and may be logged again.
const MAX_LOGGED: usize = 1_024;

/// The faults of unusable objects in the store that have been logged, so that each is logged once.
#[derive(Default)]
pub(crate) struct LoggedFaults {
    logged: HashSet<String>,
}

impl LoggedFaults {
    /// Records an object's fault and returns whether it is new. Faults differ by object, kind and
    /// field: a value that changes with each write makes no new fault.
    pub(crate) fn is_new(&mut self, name: &str, fault: &EntryFault) -> bool {
        if self.logged.len() >= MAX_LOGGED {
            self.logged.clear();
        }
        let field = fault.field().unwrap_or_default();
        self.logged.insert(format!("{}/{:?}/{field}", cut(name, MAX_FOUND_CHARS), fault.kind()))
    }
}
