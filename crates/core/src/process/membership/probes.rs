//! Pending probes and the order in which members are probed.

use crate::id::Incarnation;
use crate::request::Peer;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of pings on behalf of other processes that are remembered.
const MAX_RELAYED: usize = 256;

/// A pending probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    /// The probed process.
    pub target: Peer,
    /// When the current wait ends.
    pub deadline: Instant,
    /// Whether others were asked to ping it.
    pub indirect: bool,
}

/// A ping sent on behalf of another process.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedPing {
    /// The process that requested it.
    pub requester: Peer,
    /// The number of its probe.
    pub number: u64,
}

/// Holds the pending probes and the order in which members are probed.
#[derive(Debug, Default)]
pub(super) struct Probes {
    next_number: u64,
    pending: BTreeMap<u64, Probe>,
    relayed: VecDeque<(u64, RelayedPing)>,
    probe_order: Vec<Incarnation>,
}

impl Probes {
    /// Returns a number that no other ping of this process has.
    pub fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Starts a probe and returns its number.
    pub fn start(&mut self, target: Peer, deadline: Instant) -> u64 {
        let number = self.new_number();
        self.pending.insert(number, Probe { target, deadline, indirect: false });
        number
    }

    /// Returns whether a probe of a member is pending.
    pub fn is_probing(&self, incarnation: Incarnation) -> bool {
        self.pending.values().any(|probe| probe.target.incarnation == incarnation)
    }

    /// Removes the probe that an answer belongs to.
    pub fn finish(&mut self, number: u64) -> Option<Probe> {
        self.pending.remove(&number)
    }

    /// Removes and returns the probes whose deadline has passed at `now`.
    pub fn take_due(&mut self, now: Instant) -> Vec<(u64, Probe)> {
        self.pending.extract_if(.., |_, probe| probe.deadline <= now).collect()
    }

    /// Keeps a probe pending until `deadline`, for an answer relayed by other members.
    pub fn wait_for_indirect(&mut self, number: u64, probe: Probe, deadline: Instant) {
        self.pending.insert(number, Probe { deadline, indirect: true, ..probe });
    }

    /// Records a ping on behalf of `requester` and returns the number under which this process sends it.
    pub fn add_relayed(&mut self, requester: Peer, number: u64) -> u64 {
        if self.relayed.len() == MAX_RELAYED {
            self.relayed.pop_front();
        }
        let own = self.new_number();
        self.relayed.push_back((own, RelayedPing { requester, number }));
        own
    }

    /// Removes and returns the relayed ping that an answer belongs to.
    pub fn take_relayed(&mut self, number: u64) -> Option<RelayedPing> {
        let at = self.relayed.iter().position(|(own, _)| *own == number)?;
        self.relayed.remove(at).map(|(_, relayed)| relayed)
    }

    /// Extends all deadlines by `gap`, during which this process itself was paused.
    pub fn extend_deadlines(&mut self, gap: Duration) {
        self.pending.values_mut().for_each(|probe| probe.deadline += gap);
    }

    /// Returns the next member to probe. Each is probed once per round; the order is shuffled for every round.
    pub fn next_target(
        &mut self,
        rng: &mut StdRng,
        candidates: impl Fn() -> Vec<Incarnation>,
    ) -> Option<Incarnation> {
        if self.probe_order.is_empty() {
            self.probe_order = candidates();
            self.probe_order.shuffle(rng);
        }
        self.probe_order.pop()
    }
}
