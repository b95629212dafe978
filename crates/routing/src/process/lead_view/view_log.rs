//! The view as its lead changes it.

use super::{EngineView, ViewMark, ViewSnapshot, ViewUpdate};
use crate::process::{Incarnation, Revision};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// How long a change is repeated: several messages, as some get lost.
const REPEAT_FOR: Duration = Duration::from_millis(1_200);
/// Maximum number of engines in a message, of some 25 B each.
const MAX_ENGINES: usize = 400;

/// Engines that changed together.
#[derive(Debug)]
struct LoggedChange {
    base: ViewMark,
    at: Instant,
    engines: Vec<Incarnation>,
}

/// The lead's view and its latest changes.
#[derive(Debug, Default)]
pub struct ViewLog {
    engines: HashMap<Incarnation, EngineView>,
    mark: ViewMark,
    changes: VecDeque<LoggedChange>,
}

impl ViewLog {
    /// Creates the log of a new lead. The view goes on from `before`, which most gateways have.
    pub fn new(before: ViewSnapshot) -> ViewLog {
        let engines = before.engines.into_iter();
        let engines = engines.map(|engine| (engine.incarnation.clone(), engine)).collect();
        ViewLog { engines, mark: before.mark, changes: VecDeque::new() }
    }

    /// Sets the view of the lead with this term. Returns the changes, none if it is the same.
    pub fn publish(
        &mut self,
        term: Revision,
        engines: Vec<EngineView>,
        now: Instant,
    ) -> ViewUpdate {
        let after: HashMap<Incarnation, EngineView> =
            engines.into_iter().map(|engine| (engine.incarnation.clone(), engine)).collect();
        let is_changed =
            |engine: &&EngineView| self.engines.get(&engine.incarnation) != Some(*engine);
        let changed: Vec<EngineView> = after.values().filter(is_changed).cloned().collect();
        let is_removed = |incarnation: &&Incarnation| !after.contains_key(*incarnation);
        let removed: Vec<Incarnation> = self.engines.keys().filter(is_removed).cloned().collect();
        let is_new_term = self.mark.term != term;
        if changed.is_empty() && removed.is_empty() && !is_new_term {
            return ViewUpdate { base: self.mark, mark: self.mark, ..ViewUpdate::default() };
        }
        let base = self.mark;
        let version = if is_new_term { 1 } else { base.version + 1 };
        self.mark = ViewMark { term, version };
        self.engines = after;
        let changed_ids = changed.iter().map(|engine| &engine.incarnation);
        let engines = changed_ids.chain(&removed).cloned().collect();
        self.changes.push_back(LoggedChange { base, at: now, engines });
        ViewUpdate { base, mark: self.mark, changed, removed }
    }

    /// Returns the latest changes for the other gateways.
    pub fn update(&mut self, now: Instant) -> ViewUpdate {
        self.changes.retain(|change| now.duration_since(change.at) < REPEAT_FOR);
        let mut base = self.mark;
        let mut engines: HashSet<&Incarnation> = HashSet::new();
        for change in self.changes.iter().rev() {
            let more = change.engines.iter().filter(|engine| !engines.contains(engine)).count();
            if engines.len() + more > MAX_ENGINES {
                break;
            }
            engines.extend(&change.engines);
            base = change.base;
        }
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for incarnation in engines {
            match self.engines.get(incarnation) {
                Some(engine) => changed.push(engine.clone()),
                None => removed.push(incarnation.clone()),
            }
        }
        ViewUpdate { base, mark: self.mark, changed, removed }
    }
}
