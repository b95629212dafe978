//! Signs of life of whole places.

use crate::id::Place;
use crate::process::membership::{MAX_PLACE_BYTES, MAX_PLACES};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
struct Pulse {
    number: u64,
    /// When it last grew here, or when it was first told of.
    grew: Instant,
    /// Whether it ever grew here; one that never did may be of a place that is no more.
    alive: bool,
}

/// What a sweep of the pulses found.
#[derive(Debug)]
pub(super) struct Swept {
    /// Places that were heard before and fell silent.
    pub lost: Vec<Place>,
    /// Places that were silent and are heard.
    pub back: Vec<Place>,
    /// Whether the set of silent places changed.
    pub changed: bool,
}

/// Signs of life of whole places: a number a place, raised by the place's relays, that only grows.
#[derive(Debug)]
pub(super) struct PlacePulses {
    mine: Place,
    pulses: BTreeMap<Place, Pulse>,
    cut_off: BTreeSet<Place>,
    cut_off_after: Duration,
}

impl PlacePulses {
    /// Knows of no place but `mine`.
    pub fn new(mine: Place, cut_off_after: Duration) -> PlacePulses {
        PlacePulses { mine, pulses: BTreeMap::new(), cut_off: BTreeSet::new(), cut_off_after }
    }

    /// Raises the number of the own place.
    pub fn beat(&mut self, now: Instant) {
        let number = self.pulses.get(&self.mine).map_or(0, |pulse| pulse.number);
        self.pulses.insert(self.mine.clone(), Pulse { number: number + 1, grew: now, alive: true });
    }

    /// Takes the numbers that a message carried.
    pub fn merge(&mut self, seen: &[(Place, u64)], now: Instant) {
        for (place, number) in seen {
            let room = self.pulses.len() < MAX_PLACES && place.len() <= MAX_PLACE_BYTES;
            match self.pulses.get_mut(place) {
                Some(pulse) if *number > pulse.number => {
                    *pulse = Pulse { number: *number, grew: now, alive: true }
                }
                Some(_) => {}
                None if room => {
                    let pulse = Pulse { number: *number, grew: now, alive: false };
                    self.pulses.insert(place.clone(), pulse);
                }
                None => {}
            }
        }
    }

    /// A message came straight from a member of `place`.
    pub fn hear(&mut self, place: &Place, now: Instant) {
        if !self.pulses.contains_key(place) {
            self.merge(&[(place.clone(), 0)], now);
        }
        if let Some(pulse) = self.pulses.get_mut(place) {
            (pulse.grew, pulse.alive) = (now, true);
        }
    }

    /// Takes `gap` out of all waits: this process itself stood still for so long.
    pub fn shift(&mut self, gap: Duration) {
        self.pulses.values_mut().for_each(|pulse| pulse.grew += gap);
    }

    /// Notices what fell silent and what was heard again since the last call.
    pub fn sweep(&mut self, now: Instant) -> Swept {
        let is_silent =
            |pulse: &Pulse| now.saturating_duration_since(pulse.grew) > self.cut_off_after;
        let others = self.pulses.iter().filter(|(place, _)| **place != self.mine);
        let silent: BTreeSet<Place> =
            others.filter(|(_, pulse)| is_silent(pulse)).map(|(place, _)| place.clone()).collect();
        let was_heard = |place: &&Place| self.pulses[*place].alive;
        let lost = silent.difference(&self.cut_off).filter(was_heard).cloned().collect();
        let back = self.cut_off.difference(&silent).cloned().collect();
        let changed = self.cut_off != silent;
        self.cut_off = silent;
        Swept { lost, back, changed }
    }

    /// The silent places.
    pub fn cut_off(&self) -> &BTreeSet<Place> {
        &self.cut_off
    }

    /// How long nothing has come from a place.
    pub fn silent_for(&self, place: &str, now: Instant) -> Option<Duration> {
        self.pulses.get(place).map(|pulse| now.saturating_duration_since(pulse.grew))
    }

    /// All numbers, to pass on.
    pub fn numbers(&self) -> Vec<(Place, u64)> {
        self.pulses.iter().map(|(place, pulse)| (place.clone(), pulse.number)).collect()
    }
}
