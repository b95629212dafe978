//! Heartbeats of whole places.

use crate::id::Place;
use crate::process::membership::{MAX_PLACE_BYTES, MAX_PLACES};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
struct Pulse {
    number: u64,
    /// When it last rose or a message came from the place, or when it was first reported.
    updated_at: Instant,
    /// Whether it was updated since the first report. Otherwise the place may no longer exist.
    was_updated: bool,
}

/// Changes found by a sweep of the pulses.
#[derive(Debug)]
pub(super) struct SweepResult {
    /// Places that were reachable before and are silent now.
    pub lost: Vec<Place>,
    /// Places that were silent and are reachable again.
    pub back: Vec<Place>,
    /// Whether the set of silent places changed.
    pub changed: bool,
}

/// Holds a heartbeat counter per place. The relays of the place raise it; it never decreases.
#[derive(Debug)]
pub(super) struct PlacePulses {
    own_place: Place,
    pulses: BTreeMap<Place, Pulse>,
    cut_off: BTreeSet<Place>,
    cut_off_after: Duration,
}

impl PlacePulses {
    /// Creates the counters without any place.
    pub fn new(own_place: Place, cut_off_after: Duration) -> PlacePulses {
        PlacePulses { own_place, pulses: BTreeMap::new(), cut_off: BTreeSet::new(), cut_off_after }
    }

    /// Raises the counter of the own place.
    pub fn raise_own(&mut self, now: Instant) {
        let number = self.pulses.get(&self.own_place).map_or(0, |pulse| pulse.number);
        self.pulses.insert(
            self.own_place.clone(),
            Pulse { number: number + 1, updated_at: now, was_updated: true },
        );
    }

    /// Merges the counters that a message carried.
    pub fn merge(&mut self, seen: &[(Place, u64)], now: Instant) {
        for (place, number) in seen {
            let fits = self.pulses.len() < MAX_PLACES && place.len() <= MAX_PLACE_BYTES;
            match self.pulses.get_mut(place) {
                Some(pulse) if *number > pulse.number => {
                    *pulse = Pulse { number: *number, updated_at: now, was_updated: true }
                }
                Some(_) => {}
                None if fits => {
                    let pulse = Pulse { number: *number, updated_at: now, was_updated: false };
                    self.pulses.insert(place.clone(), pulse);
                }
                None => {}
            }
        }
    }

    /// Records a message received directly from a member of `place`.
    pub fn record_contact(&mut self, place: &Place, now: Instant) {
        if !self.pulses.contains_key(place) {
            self.merge(&[(place.clone(), 0)], now);
        }
        if let Some(pulse) = self.pulses.get_mut(place) {
            (pulse.updated_at, pulse.was_updated) = (now, true);
        }
    }

    /// Shifts all times by `gap`, during which this process itself was paused.
    pub fn extend_deadlines(&mut self, gap: Duration) {
        self.pulses.values_mut().for_each(|pulse| pulse.updated_at += gap);
    }

    /// Updates the set of silent places and returns what changed since the last call.
    pub fn sweep(&mut self, now: Instant) -> SweepResult {
        let is_silent =
            |pulse: &Pulse| now.saturating_duration_since(pulse.updated_at) > self.cut_off_after;
        let others = self.pulses.iter().filter(|(place, _)| **place != self.own_place);
        let silent: BTreeSet<Place> =
            others.filter(|(_, pulse)| is_silent(pulse)).map(|(place, _)| place.clone()).collect();
        let was_reachable = |place: &&Place| self.pulses[*place].was_updated;
        let lost = silent.difference(&self.cut_off).filter(was_reachable).cloned().collect();
        let back = self.cut_off.difference(&silent).cloned().collect();
        let changed = self.cut_off != silent;
        self.cut_off = silent;
        SweepResult { lost, back, changed }
    }

    /// Returns the silent places.
    pub fn cut_off(&self) -> &BTreeSet<Place> {
        &self.cut_off
    }

    /// Returns the time since a place was last updated.
    pub fn silent_for(&self, place: &str, now: Instant) -> Option<Duration> {
        self.pulses.get(place).map(|pulse| now.saturating_duration_since(pulse.updated_at))
    }

    /// Returns all counters, for gossip.
    pub fn numbers(&self) -> Vec<(Place, u64)> {
        self.pulses.iter().map(|(place, pulse)| (place.clone(), pulse.number)).collect()
    }
}
