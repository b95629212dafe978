//! Decides whether an entry must give the start of its endpoint.
//!
//! On some platforms each start has an id of its own, and entries give no start. On others an id outlives starts:
//! an entry without a start was written by another party there, and doesn't show which incarnation it belongs to.

use crate::process::Endpoint;

/// Returns whether more than half of the endpoints give their start.
pub fn do_most_give_start<'a>(endpoints: impl IntoIterator<Item = &'a Endpoint>) -> bool {
    let mut all: usize = 0;
    let mut with_start: usize = 0;
    for endpoint in endpoints {
        all += 1;
        with_start += usize::from(endpoint.started.is_some());
    }
    with_start * 2 > all
}

/// Returns whether an entry lacks a start that it should give: most endpoints give theirs, or this one did
/// before.
pub fn is_start_missing(endpoint: &Endpoint, had_start: bool, is_start_required: bool) -> bool {
    endpoint.started.is_none() && (is_start_required || had_start)
}
