//! Whether an entry must tell when its endpoint started.
//!
//! Some platforms give each start an id of its own, and their entries tell no start. On others an id
//! outlives starts: an entry without a start was written by somebody else there, and can't tell which
//! incarnation it is of.

use crate::process::Endpoint;

/// Whether more than half of the endpoints tell their start.
pub fn do_most_tell_start<'a>(endpoints: impl IntoIterator<Item = &'a Endpoint>) -> bool {
    let mut all: usize = 0;
    let mut told: usize = 0;
    for endpoint in endpoints {
        all += 1;
        told += usize::from(endpoint.started.is_some());
    }
    told * 2 > all
}

/// Whether an entry lacks a start that it should tell: most endpoints tell theirs, or this one told
/// it before.
pub fn is_start_untold(endpoint: &Endpoint, told_before: bool, do_most_tell: bool) -> bool {
    endpoint.started.is_none() && (do_most_tell || told_before)
}
