//! Rendezvous hashing: all processes that know the same members select the same ones for a key, and a
//! change of the members moves only the keys of those that joined or left.

use crate::id::Incarnation;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a key; the candidate with the highest weight is selected.
pub fn rendezvous_weight(key: &[u8], candidate: Incarnation) -> u64 {
    xxh3_64_with_seed(key, candidate)
}

/// Returns the candidate selected for a key.
pub fn rendezvous(
    key: &[u8],
    candidates: impl IntoIterator<Item = Incarnation>,
) -> Option<Incarnation> {
    let weight = |candidate: &Incarnation| (rendezvous_weight(key, *candidate), *candidate);
    candidates.into_iter().max_by_key(weight)
}

/// Returns the `count` candidates of the highest weight for a key, in descending order.
pub fn rendezvous_several(
    key: &[u8],
    candidates: impl IntoIterator<Item = Incarnation>,
    count: usize,
) -> Vec<Incarnation> {
    let mut found: Vec<_> = candidates.into_iter().collect();
    found.sort_by_key(|candidate| Reverse((rendezvous_weight(key, *candidate), *candidate)));
    found.truncate(count);
    found
}
