//! Repairs a request whose stages fail or leave, in the cheapest way available.
//!
//! In order of cost: a leaving stage hands its KV cache over to its replacement; kept output is
//! replayed into a replacement; the stages up to the one whose kept output is insufficient are
//! prefilled again; all stages are prefilled again.

use crate::id::{Attempt, StageIndex};
use crate::request::{Cut, Driver, HandoverFrom, Hop, Outgoing, Route, StageTrouble};
use std::net::SocketAddr;

/// Maximum number of lost or dropped stages that a request remembers; the oldest are evicted first.
const MAX_REMEMBERED_HOPS: usize = 32;

/// Provides routes and replacement engines.
pub trait RouteSource {
    /// Returns another engine that holds the layers of `hop`, on none of the daemons in `without`.
    fn replacement(&self, hop: &Hop, without: &[Hop]) -> Option<Hop>;

    /// Returns the best route that avoids the daemons in `without`.
    fn route(&self, without: &[Hop]) -> Option<Route>;
}

/// Result of a repair.
#[derive(Clone, Debug, PartialEq)]
pub enum Repair {
    /// Nothing to do: the report is of an earlier attempt or concerns no stage of the route, the request
    /// has finished, or a leaving stage has no replacement.
    Ignored,
    /// The request continues in the next attempt; these messages start it.
    Sent(Vec<Outgoing>),
    /// No route is available at present; see [`Driver::retry`].
    NoRoute,
    /// Too many consecutive attempts produced no token.
    Spent,
}

impl Driver {
    /// Handles a stage's report that it cannot continue.
    pub fn on_trouble(
        &mut self,
        attempt: Attempt,
        stage: StageIndex,
        trouble: StageTrouble,
        routes: &impl RouteSource,
    ) -> Repair {
        let index = usize::from(stage);
        if attempt != self.attempt || self.finished() || index >= self.route.hops.len() {
            return Repair::Ignored;
        }
        match trouble {
            StageTrouble::EngineFailed | StageTrouble::NextClosed | StageTrouble::Refused(_) => {
                self.replace(vec![self.route.hops[index].clone()], routes)
            }
            StageTrouble::Leaving => self.hand_over(index, routes),
            StageTrouble::NoSession | StageTrouble::HandoverFailed => {
                self.start_over(|other| other == index)
            }
            StageTrouble::ReplaySpent => self.start_over(|other| other <= index),
            StageTrouble::Diverged => self.start_over(|_| true),
        }
    }

    /// Replaces the stages at a daemon whose link closed.
    pub fn on_closed(&mut self, peer: SocketAddr, routes: &impl RouteSource) -> Repair {
        let hops = self.route.hops.iter();
        let lost: Vec<Hop> = hops.filter(|hop| hop.daemon.addr == peer).cloned().collect();
        if lost.is_empty() || self.finished() {
            return Repair::Ignored;
        }
        self.replace(lost, routes)
    }

    /// Replaces stages that make no progress.
    pub fn on_stalled(&mut self, stages: &[StageIndex], routes: &impl RouteSource) -> Repair {
        let hops = stages.iter().filter_map(|stage| self.route.hops.get(usize::from(*stage)));
        let lost: Vec<Hop> = hops.cloned().collect();
        if lost.is_empty() || self.finished() {
            return Repair::Ignored;
        }
        self.replace(lost, routes)
    }

    /// Looks for a route again after [`Repair::NoRoute`]. Lost stages that are available again may be
    /// used, but start without state.
    pub fn retry(&mut self, routes: &impl RouteSource) -> Repair {
        if self.finished() {
            return Repair::Ignored;
        }
        let lost = self.avoid.clone();
        match self.patched(&lost, &[], routes).or_else(|| routes.route(&[])) {
            Some(route) => self.move_to(route, &lost),
            None => Repair::NoRoute,
        }
    }

    /// Replaces lost stages; the other stages keep their state.
    fn replace(&mut self, lost: Vec<Hop>, routes: &impl RouteSource) -> Repair {
        self.remember_lost(&lost);
        let avoid = self.avoid.clone();
        let route = self
            .patched(&lost, &avoid, routes)
            .or_else(|| self.patched(&lost, &lost, routes))
            .or_else(|| routes.route(&avoid))
            .or_else(|| routes.route(&lost));
        match route {
            Some(route) => self.move_to(route, &lost),
            None => Repair::NoRoute,
        }
    }

    /// Returns the current route with the lost stages replaced by engines of the same layers.
    fn patched(&self, lost: &[Hop], avoid: &[Hop], routes: &impl RouteSource) -> Option<Route> {
        let replace = |hop: &Hop| match lost.contains(hop) {
            true => routes.replacement(hop, avoid),
            false => Some(hop.clone()),
        };
        let hops: Option<Vec<Hop>> = self.route.hops.iter().map(replace).collect();
        hops.map(|hops| Route { hops })
    }

    fn hand_over(&mut self, index: usize, routes: &impl RouteSource) -> Repair {
        let leaving = self.route.hops[index].clone();
        let mut avoid = self.avoid.clone();
        avoid.push(leaving.clone());
        let Some(new) = routes.replacement(&leaving, &avoid) else { return Repair::Ignored };
        let since = self.since[index];
        let mut route = self.route.clone();
        route.hops[index] = new;
        let from = HandoverFrom { hop: leaving.clone(), since };
        self.leaving.push(leaving);
        self.begin(route, |_| false, Some((index, from)))
    }

    /// Keeps the route; the stages selected by `fresh` start without state.
    fn start_over(&mut self, fresh: impl Fn(usize) -> bool) -> Repair {
        let route = self.route.clone();
        self.begin(route, fresh, None)
    }

    /// Switches to another route, in which lost stages start without state.
    fn move_to(&mut self, route: Route, lost: &[Hop]) -> Repair {
        let fresh: Vec<bool> = route.hops.iter().map(|hop| lost.contains(hop)).collect();
        self.begin(route, |index| fresh[index], None)
    }

    /// Starts the next attempt.
    fn begin(
        &mut self,
        route: Route,
        fresh: impl Fn(usize) -> bool,
        handover: Option<(usize, HandoverFrom)>,
    ) -> Repair {
        if self.attempts_without_token >= self.cfg.max_attempts {
            return Repair::Spent;
        }
        self.attempts_without_token += 1;
        self.attempt += 1;
        let before = std::mem::replace(&mut self.route, route);
        self.carry_over(&before, fresh);
        if let Some((index, from)) = handover {
            self.handover[index] = Some(from);
        }
        self.record_cut();
        let mut messages = self.close_dropped(before);
        messages.extend(self.open());
        Repair::Sent(messages)
    }

    /// Carries over the state of stages that were in the previous route, except those that start over.
    fn carry_over(&mut self, before: &Route, fresh: impl Fn(usize) -> bool) {
        let (since, handover) = (self.since.clone(), self.handover.clone());
        let stays = |index: usize, hop: &Hop| {
            let place = before.hops.iter().position(|other| other == hop);
            place.filter(|_| !fresh(index))
        };
        let hops = self.route.hops.iter().enumerate();
        let places: Vec<Option<usize>> = hops.map(|(index, hop)| stays(index, hop)).collect();
        self.since =
            places.iter().map(|place| place.map_or(self.attempt, |at| since[at])).collect();
        self.handover = places.iter().map(|place| handover[(*place)?].clone()).collect();
    }

    /// Records a cut if the last stage starts without state, and drops cuts that all stages have applied.
    fn record_cut(&mut self) {
        let last = usize::from(self.route.last());
        if self.since[last] == self.attempt && self.handover[last].is_none() {
            self.cuts.push(Cut { attempt: self.attempt, position: self.have() });
        }
        let handed = self.handover.iter().flatten().map(|from| from.since);
        let oldest = self.since.iter().copied().chain(handed).min().unwrap_or(self.attempt);
        self.cuts.retain(|cut| cut.attempt > oldest);
    }

    /// Closes the stages that are no longer in the route, except those that hand over.
    fn close_dropped(&mut self, before: Route) -> Vec<Outgoing> {
        let is_handing_over = |hop: &Hop| self.leaving.contains(hop);
        let dropped = before.hops.into_iter().filter(|hop| !self.route.hops.contains(hop));
        let dropped: Vec<Hop> = dropped.filter(|hop| !is_handing_over(hop)).collect();
        let attempt = self.attempt - 1;
        let messages = dropped.iter().map(|hop| self.close_hop(hop, attempt)).collect();
        self.dropped_hops.extend(dropped);
        let excess = self.dropped_hops.len().saturating_sub(MAX_REMEMBERED_HOPS);
        self.dropped_hops.drain(..excess);
        messages
    }

    fn remember_lost(&mut self, lost: &[Hop]) {
        self.avoid.extend(lost.iter().cloned());
        let excess = self.avoid.len().saturating_sub(MAX_REMEMBERED_HOPS);
        self.avoid.drain(..excess);
    }
}
