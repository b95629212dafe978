//! Fields of answers that nothing reads.

use crate::process::{Count, Gateway};
use http::HeaderName;
use sorrellock_routing::process::Incarnation;
use spdlog::warn;

/// Maximum number of names that are logged.
const MAX_LOGGED: usize = 64;

impl Gateway {
    /// Counts the fields of an answer that nothing reads, and logs each name once.
    pub(crate) fn note_unknown_fields<'a>(
        &self,
        endpoint: &Incarnation,
        fields: impl Iterator<Item = &'a HeaderName>,
    ) {
        for name in fields {
            self.counters.add(Count::UnknownAnswerFields);
            let mut logged = self.unknown_fields.borrow_mut();
            if logged.len() >= MAX_LOGGED || logged.contains(name) {
                continue;
            }
            logged.insert(name.clone());
            warn!("unknown field in an endpoint's answer", kv: {
                endpoint = endpoint.id.as_str(), field = name.as_str()
            });
        }
    }
}
