//! What the entry does when stages fail or leave: the cheapest way to go on.
//!
//! In order of cost: the KV cache of a leaving stage goes to its replacement; kept output is
//! replayed into a replacement; the stages up to a spent one are prefilled again; all are.

use crate::id::{Attempt, StageIndex};
use crate::request::{Cut, Driver, HandoverFrom, Hop, Outgoing, Route, StageTrouble};
use std::net::SocketAddr;

/// Lost stages that a request remembers; past it the oldest is forgotten.
const MAX_REMEMBERED: usize = 32;

/// Where routes and replacements come from.
pub trait RouteSource {
    /// Another engine that holds the layers of `hop`, on none of the daemons of `without`.
    fn replacement(&self, hop: &Hop, without: &[Hop]) -> Option<Hop>;

    /// The best route that passes none of the daemons of `without`.
    fn route(&self, without: &[Hop]) -> Option<Route>;
}

/// What was done about a trouble.
#[derive(Clone, Debug, PartialEq)]
pub enum Repair {
    /// Nothing is to be done: it is of an earlier attempt, or nobody can take over.
    Ignored,
    /// The request goes on under the next attempt with these messages.
    Sent(Vec<Outgoing>),
    /// No engines are left for it at present: see [`Driver::retry`].
    NoRoute,
    /// Too many attempts in a row brought no token.
    Spent,
}

impl Driver {
    /// Takes what a stage can't go on with.
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

    /// A daemon can't be reached.
    pub fn on_closed(&mut self, peer: SocketAddr, routes: &impl RouteSource) -> Repair {
        let hops = self.route.hops.iter();
        let lost: Vec<Hop> = hops.filter(|hop| hop.daemon.addr == peer).cloned().collect();
        if lost.is_empty() || self.finished() {
            return Repair::Ignored;
        }
        self.replace(lost, routes)
    }

    /// Stages make no progress.
    pub fn on_stalled(&mut self, stages: &[StageIndex], routes: &impl RouteSource) -> Repair {
        let hops = stages.iter().filter_map(|stage| self.route.hops.get(usize::from(*stage)));
        let lost: Vec<Hop> = hops.cloned().collect();
        if lost.is_empty() || self.finished() {
            return Repair::Ignored;
        }
        self.replace(lost, routes)
    }

    /// Looks for a route again after [`Repair::NoRoute`]. Lost stages that are known again may
    /// take part, but start from nothing.
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

    /// Replaces lost stages; the others keep what they have.
    fn replace(&mut self, lost: Vec<Hop>, routes: &impl RouteSource) -> Repair {
        self.remember(&lost);
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

    /// The route in force with the lost stages replaced by engines of the same layers.
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

    /// Goes on with the same route; the stages that `fresh` picks start from nothing.
    fn start_over(&mut self, fresh: impl Fn(usize) -> bool) -> Repair {
        let route = self.route.clone();
        self.begin(route, fresh, None)
    }

    /// Takes another route, in which stages that were lost start from nothing.
    fn move_to(&mut self, route: Route, lost: &[Hop]) -> Repair {
        let fresh: Vec<bool> = route.hops.iter().map(|hop| lost.contains(hop)).collect();
        self.begin(route, |index| fresh[index], None)
    }

    /// Begins the next attempt.
    fn begin(
        &mut self,
        route: Route,
        fresh: impl Fn(usize) -> bool,
        handover: Option<(usize, HandoverFrom)>,
    ) -> Repair {
        if self.fruitless >= self.cfg.max_attempts {
            return Repair::Spent;
        }
        self.fruitless += 1;
        self.attempt += 1;
        let before = std::mem::replace(&mut self.route, route);
        self.carry_over(&before, fresh);
        if let Some((index, from)) = handover {
            self.handover[index] = Some(from);
        }
        self.note_cut();
        let mut messages = self.close_dropped(before);
        messages.extend(self.open());
        Repair::Sent(messages)
    }

    /// Stages that were in the route before keep what they have, unless they are to start over.
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

    /// Notes a last stage that starts from nothing, and forgets cuts that all stages have seen.
    fn note_cut(&mut self) {
        let last = usize::from(self.route.last());
        if self.since[last] == self.attempt && self.handover[last].is_none() {
            self.cuts.push(Cut { attempt: self.attempt, position: self.have() });
        }
        let handed = self.handover.iter().flatten().map(|from| from.since);
        let oldest = self.since.iter().copied().chain(handed).min().unwrap_or(self.attempt);
        self.cuts.retain(|cut| cut.attempt > oldest);
    }

    /// Frees the stages that the route no longer passes, but for one that hands over.
    fn close_dropped(&mut self, before: Route) -> Vec<Outgoing> {
        let handing = |hop: &Hop| self.leaving.contains(hop);
        let dropped = before.hops.into_iter().filter(|hop| !self.route.hops.contains(hop));
        let dropped: Vec<Hop> = dropped.filter(|hop| !handing(hop)).collect();
        let attempt = self.attempt - 1;
        let messages = dropped.iter().map(|hop| self.close_hop(hop, attempt)).collect();
        self.left.extend(dropped);
        let excess = self.left.len().saturating_sub(MAX_REMEMBERED);
        self.left.drain(..excess);
        messages
    }

    fn remember(&mut self, lost: &[Hop]) {
        self.avoid.extend(lost.iter().cloned());
        let excess = self.avoid.len().saturating_sub(MAX_REMEMBERED);
        self.avoid.drain(..excess);
    }
}
