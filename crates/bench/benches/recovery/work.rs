//! What the engines ran, against what was needed.

use sorrellock_core::id::Layer;
use sorrellock_local::LocalFleet;
use std::collections::{HashMap, HashSet};

/// Layer applications at engines that live beyond one a position: what the lost stages ran is
/// lost, and runs again elsewhere; nothing else may.
pub fn repeated(fleet: &LocalFleet, dead: &HashSet<usize>) -> u64 {
    let mut applied: HashMap<(String, Layer), u64> = HashMap::new();
    let mut ends: HashMap<String, u64> = HashMap::new();
    for (index, engine) in fleet.engines.iter().enumerate() {
        for ((session, layer), count) in engine.engine.record().totals {
            let request = request_of(&session);
            let end = ends.entry(request.clone()).or_default();
            *end = (*end).max(count.end.into());
            if !dead.contains(&index) {
                *applied.entry((request, layer)).or_default() += count.applied;
            }
        }
    }
    applied.iter().map(|((request, _), count)| count.saturating_sub(ends[request])).sum()
}

/// A session is named after the request, the attempt and the stage.
fn request_of(session: &str) -> String {
    session.rsplitn(3, '-').last().unwrap_or_default().to_owned()
}
