//! The view as a gateway has it.

use super::{EngineView, ViewMark, ViewSnapshot, ViewUpdate};
use crate::process::{Incarnation, Revision};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long the lead's last view is used; after that the list of endpoints is fresher.
pub const VIEW_TIMEOUT: Duration = Duration::from_secs(4);

/// What an update or a whole view did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// The engines changed.
    Changed,
    /// The view is the lead's, as it was before.
    Unchanged,
    /// It is of an earlier lead, or older than what is known.
    Outdated,
    /// Changes before it are missing.
    Behind,
}

/// A gateway's copy of the lead's view, and what it knows of the lead.
#[derive(Debug, Default)]
pub struct EngineViews {
    engines: HashMap<Incarnation, EngineView>,
    mark: ViewMark,
    /// When the view was last known to be the lead's.
    confirmed_at: Option<Instant>,
    /// The newest term that was announced, and when last.
    lead: Option<(Revision, Instant)>,
    missing: Option<MissingView>,
}

/// A view that a gateway lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MissingView {
    /// The lead's term.
    pub term: Revision,
    /// The earliest state that the lead's latest update can be applied to.
    pub base: ViewMark,
    /// Since when it is missing.
    pub since: Instant,
}

impl MissingView {
    /// Returns whether a view in this state is recent enough.
    pub fn is_met_by(&self, mark: ViewMark) -> bool {
        mark == self.base || mark.term == self.term && mark >= self.base
    }
}

impl EngineViews {
    /// Records a message of the lead with this term, whether it carries a view or not. Returns whether it is the current one.
    pub fn on_lead(&mut self, term: Revision, now: Instant) -> bool {
        let known = self.lead(now);
        let is_older = known.is_some_and(|(known, _)| known > term);
        if !is_older {
            // What a relay reports of the lead may be older than what is known.
            let latest =
                known.filter(|(known, _)| *known == term).map_or(now, |(_, at)| at.max(now));
            self.lead = Some((term, latest));
        }
        !is_older
    }

    /// Applies an update.
    pub fn on_update(&mut self, update: &ViewUpdate, now: Instant) -> ViewChange {
        if !self.on_lead(update.mark.term, now) {
            return ViewChange::Outdated;
        }
        if self.mark == update.mark {
            self.confirm(now);
            return ViewChange::Unchanged;
        }
        let is_same_term = self.mark.term == update.mark.term;
        if is_same_term && self.mark.version > update.mark.version {
            return ViewChange::Outdated;
        }
        let is_whole = update.base == ViewMark::default();
        // Later states of a term follow from each one that is no earlier than the base.
        let follows = if is_same_term {
            update.base.term != self.mark.term || update.base.version <= self.mark.version
        } else {
            update.base == self.mark
        };
        if !is_whole && !follows {
            let since = self.missing.map_or(now, |missing| missing.since);
            self.missing = Some(MissingView { term: update.mark.term, base: update.base, since });
            return ViewChange::Behind;
        }
        if is_whole {
            self.engines.clear();
        }
        for engine in &update.changed {
            self.engines.insert(engine.incarnation.clone(), engine.clone());
        }
        for incarnation in &update.removed {
            self.engines.remove(incarnation);
        }
        self.mark = update.mark;
        self.confirm(now);
        ViewChange::Changed
    }

    /// Applies a whole view that another gateway has, if this one lacks it.
    pub fn on_snapshot(&mut self, snapshot: ViewSnapshot, now: Instant) -> ViewChange {
        let is_missing = |missing: MissingView| missing.is_met_by(snapshot.mark);
        if !self.missing.is_some_and(is_missing) {
            return ViewChange::Outdated;
        }
        let engines = snapshot.engines.into_iter();
        self.engines = engines.map(|engine| (engine.incarnation.clone(), engine)).collect();
        self.mark = snapshot.mark;
        self.confirm(now);
        ViewChange::Changed
    }

    fn confirm(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
        self.missing = None;
    }

    /// Returns the term that was last announced and when, unless that is long ago.
    pub fn lead(&self, now: Instant) -> Option<(Revision, Instant)> {
        self.lead.filter(|(_, at)| now.duration_since(*at) < VIEW_TIMEOUT)
    }

    /// Returns the state of this copy.
    pub fn mark(&self) -> ViewMark {
        self.mark
    }

    /// Returns whether the view is recent enough to use.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| now.duration_since(at) < VIEW_TIMEOUT)
    }

    /// Returns the view that this gateway lacks, if any.
    pub fn missing(&self) -> Option<MissingView> {
        self.missing
    }

    /// Returns the lead's view of an engine, if it is fresh.
    pub fn engine(&self, incarnation: &Incarnation, now: Instant) -> Option<&EngineView> {
        if self.is_fresh(now) { self.engines.get(incarnation) } else { None }
    }

    /// Returns the whole view, for other gateways and for a new lead.
    pub fn snapshot(&self) -> ViewSnapshot {
        ViewSnapshot { mark: self.mark, engines: self.engines.values().cloned().collect() }
    }
}
