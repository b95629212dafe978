//! Probes under way, and whose turn is next.

use crate::id::Incarnation;
use crate::request::Peer;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The most pings made for others that are remembered.
const MAX_RELAYED: usize = 256;

/// A probe under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    /// Who is probed.
    pub target: Peer,
    /// When the present wait ends.
    pub deadline: Instant,
    /// Whether others were asked to ping it.
    pub indirect: bool,
}

/// A ping made for another process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relayed {
    /// Who asked.
    pub asker: Peer,
    /// The number that it drew.
    pub number: u64,
}

/// Probes under way, and whose turn is next.
#[derive(Debug, Default)]
pub(super) struct Probes {
    next_number: u64,
    pending: BTreeMap<u64, Probe>,
    relayed: VecDeque<(u64, Relayed)>,
    turns: Vec<Incarnation>,
}

impl Probes {
    /// A number that no other ping of this process has.
    pub fn draw(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Starts a probe, and returns its number.
    pub fn start(&mut self, target: Peer, deadline: Instant) -> u64 {
        let number = self.draw();
        self.pending.insert(number, Probe { target, deadline, indirect: false });
        number
    }

    /// Whether a member is being probed.
    pub fn is_probing(&self, incarnation: Incarnation) -> bool {
        self.pending.values().any(|probe| probe.target.incarnation == incarnation)
    }

    /// An answer came: ends the probe.
    pub fn answered(&mut self, number: u64) -> Option<Probe> {
        self.pending.remove(&number)
    }

    /// Takes the probes whose wait ended at `now`.
    pub fn take_due(&mut self, now: Instant) -> Vec<(u64, Probe)> {
        self.pending.extract_if(.., |_, probe| probe.deadline <= now).collect()
    }

    /// Waits on, for an answer through others.
    pub fn wait_on(&mut self, number: u64, probe: Probe, deadline: Instant) {
        self.pending.insert(number, Probe { deadline, indirect: true, ..probe });
    }

    /// Remembers a ping made for another process, and returns its number.
    pub fn relay(&mut self, asker: Peer, number: u64) -> u64 {
        if self.relayed.len() == MAX_RELAYED {
            self.relayed.pop_front();
        }
        let own = self.draw();
        self.relayed.push_back((own, Relayed { asker, number }));
        own
    }

    /// The answer to a ping made for another process came.
    pub fn relayed(&mut self, number: u64) -> Option<Relayed> {
        let at = self.relayed.iter().position(|(own, _)| *own == number)?;
        self.relayed.remove(at).map(|(_, relayed)| relayed)
    }

    /// Takes `gap` out of all waits: this process itself stood still for so long.
    pub fn shift(&mut self, gap: Duration) {
        self.pending.values_mut().for_each(|probe| probe.deadline += gap);
    }

    /// Whose turn it is: each once before any is twice, in an order drawn anew each time.
    pub fn next_turn(
        &mut self,
        rng: &mut StdRng,
        candidates: impl Fn() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if self.turns.is_empty() {
            self.turns = candidates();
            self.turns.shuffle(rng);
        }
        self.turns.pop()
    }
}
