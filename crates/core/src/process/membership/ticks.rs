//! Work of the state machine of membership at each tick.

use super::{Change, FleetMessage, Membership, RELAY_KEY, RELAYS, Standing, rendezvous_several};
use crate::clock::Clock;
use crate::id::{Incarnation, Place};
use crate::request::Peer;
use rand::RngExt;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Number of members that are requested to ping one that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Ticks between two digests to members of the own place.
const SYNC_TICKS: u64 = 8;
/// Ticks between two pulses of a place.
const PULSE_TICKS: u64 = 4;
/// Ticks between two pings of a gone member.
const GONE_PING_TICKS: u64 = 4;
/// Listed addresses that a process without other members pings per tick.
const SEEDS_PER_TICK_ALONE: usize = 3;
/// One in this number of digests to another place goes to any member, in case its relays have changed.
const ANY_MEMBER_ODDS: u32 = 4;
/// A gap between ticks of more than this number of intervals means that this process was paused.
const PAUSE_INTERVALS: u32 = 4;

impl<C: Clock> Membership<C> {
    /// Does the due work; must be called once per interval.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.detect_pause(now);
        self.ticks += 1;
        self.listeners = self.count_listeners();
        self.check_probes(now);
        self.check_suspicions(now);
        self.probe_next();
        self.sync_in_place();
        self.relay(now);
        self.ping_gone_and_listed();
        self.sweep(now);
    }

    /// Detects a pause of this process and extends all deadlines by it: no message was received
    /// meanwhile, so other processes must not be suspected for their silence.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap <= self.cfg.interval * PAUSE_INTERVALS {
            return;
        }
        self.probes.extend_deadlines(gap);
        self.pulses.extend_deadlines(gap);
        self.suspicions.values_mut().for_each(|(_, deadline)| *deadline += gap);
        let cause = format!("no tick for {} ms", gap.as_millis());
        self.note(Change::Paused, None, "tick", cause);
    }

    fn check_probes(&mut self, now: Instant) {
        for (number, probe) in self.probes.take_due(now) {
            let target = probe.target;
            if !self.table.get(target.incarnation).is_some_and(|member| member.is_present()) {
                continue;
            }
            if probe.indirect {
                self.suspect(target, now);
                continue;
            }
            self.probes.wait_for_indirect(number, probe, now + self.cfg.indirect_timeout);
            for helper in self.some_in_place(INDIRECT_PROBES, target.incarnation) {
                let gossip = self.gossip_for(helper.incarnation);
                let message = FleetMessage::PingFor { number, target: target.addr, gossip };
                self.send(helper.addr, message);
            }
        }
    }

    fn suspect(&mut self, target: Peer, now: Instant) {
        let Some(member) = self.table.get(target.incarnation) else { return };
        if member.standing != Standing::Trusted {
            return;
        }
        let counter = member.fact.counter;
        self.set_standing(target.incarnation, Standing::Suspected);
        self.suspicions.insert(target.incarnation, (counter, now + self.cfg.suspicion));
        let cause = "it answered neither this process nor others".to_owned();
        self.note(Change::Suspected, Some(target.addr), "probe", cause);
    }

    fn check_suspicions(&mut self, now: Instant) {
        let due = self.suspicions.extract_if(.., |_, (_, deadline)| *deadline <= now);
        let due: Vec<_> = due.map(|(incarnation, (counter, _))| (incarnation, counter)).collect();
        for (incarnation, counter) in due {
            let Some(member) = self.table.get(incarnation) else { continue };
            if member.rank() != (counter, Standing::Suspected) {
                continue;
            }
            let addr = member.fact.peer.addr;
            self.set_standing(incarnation, Standing::Gone);
            let cause = "it did not refute the suspicion in time".to_owned();
            self.note(Change::Gone, Some(addr), "suspicion", cause);
        }
    }

    fn probe_next(&mut self) {
        let (table, me, place) = (&self.table, self.me.incarnation, &self.place);
        let candidates = || {
            let others = table.members().values().filter(|member| {
                member.is_present() && member.fact.place == *place && member.incarnation() != me
            });
            others.map(|member| member.incarnation()).collect()
        };
        let turn = self.probes.next_target(&mut self.rng, candidates);
        let Some(member) = turn.and_then(|incarnation| self.table.get(incarnation)) else { return };
        if member.is_present() && !self.probes.is_probing(member.incarnation()) {
            let peer = member.fact.peer;
            self.probe(peer);
        }
    }

    fn sync_in_place(&mut self) {
        if !self.sync_soon && !self.ticks.is_multiple_of(SYNC_TICKS) {
            return;
        }
        let Some(peer) = self.some_in_place(1, 0).pop() else { return };
        self.sync_soon = false;
        self.send_digest(peer);
    }

    fn send_digest(&mut self, to: Peer) {
        let digest = self.table.digest().clone();
        let gossip = self.gossip_for(to.incarnation);
        self.send(to.addr, FleetMessage::Digest { digest, gossip });
    }

    /// Does the work of a relay: raises the pulse of the place and exchanges digests with the next other place.
    fn relay(&mut self, now: Instant) {
        let place = self.place.clone();
        let is_relay = self.relays_of(&place).contains(&self.me);
        if is_relay && self.ticks.is_multiple_of(PULSE_TICKS) {
            self.pulses.raise_own(now);
        }
        let places = self.other_places();
        if places.is_empty() {
            return;
        }
        self.next_place = (self.next_place + 1) % places.len();
        let place = &places[self.next_place];
        if !is_relay && !self.acts_as_relay(place, now) {
            return;
        }
        let any = self.rng.random_range(0..ANY_MEMBER_ODDS) == 0;
        let candidates = if any { self.present_in(place) } else { self.relays_of(place) };
        if let Some(peer) = candidates.into_iter().choose(&mut self.rng) {
            self.send_digest(peer);
        }
    }

    /// Returns whether a process that is no relay does a relay's work: the other place was silent for
    /// long, possibly because the known relays are outdated. About one member of the own place tries per tick.
    fn acts_as_relay(&mut self, place: &str, now: Instant) -> bool {
        let silent = self.pulses.silent_for(place, now).unwrap_or(Duration::MAX);
        let members = self.present_in(&self.place.clone()).len().max(1);
        silent > self.cfg.cut_off_after / 2 && self.rng.random_range(0..members) == 0
    }

    pub(super) fn other_places(&self) -> Vec<Place> {
        let present = self.table.members().values().filter(|member| member.is_present());
        let places: BTreeSet<&Place> = present.map(|member| &member.fact.place).collect();
        places.into_iter().filter(|place| **place != self.place).cloned().collect()
    }

    fn present_in(&self, place: &str) -> Vec<Peer> {
        let present = self.table.members().values().filter(|member| member.is_present());
        present.filter(|member| member.fact.place == place).map(|member| member.fact.peer).collect()
    }

    pub(super) fn relays_of(&self, place: &str) -> Vec<Peer> {
        let all = self.present_in(place);
        let named = rendezvous_several(RELAY_KEY, all.iter().map(|peer| peer.incarnation), RELAYS);
        all.into_iter().filter(|peer| named.contains(&peer.incarnation)).collect()
    }

    /// Pings a gone member of the place, which may only have been cut off, and listed addresses without a known member.
    fn ping_gone_and_listed(&mut self) {
        let alone = self.table.members().len() <= 1;
        for _ in 0..if alone { SEEDS_PER_TICK_ALONE } else { 1 } {
            let Some(seed) = self.seeds.pop_front() else { break };
            self.ping_once(Peer { addr: seed, incarnation: 0 });
            self.seeds.push_back(seed);
        }
        if !self.ticks.is_multiple_of(GONE_PING_TICKS) {
            return;
        }
        let gone =
            self.table.members().values().filter(|member| {
                member.standing == Standing::Gone && member.fact.place == self.place
            });
        if let Some(peer) = gone.map(|member| member.fact.peer).choose(&mut self.rng) {
            self.ping_once(peer);
        }
    }

    fn sweep(&mut self, now: Instant) {
        for incarnation in self.table.stale_tombstones(self.cfg.tombstone, now) {
            self.forget(incarnation, "its tombstone expired");
        }
        let swept = self.pulses.sweep(now);
        self.changes += u64::from(swept.changed);
        for place in swept.lost {
            let cause = format!("{place} has been silent for {:?}", self.cfg.cut_off_after);
            self.note(Change::PlaceCutOff, None, "pulse", cause);
        }
        for place in swept.back {
            let cause = format!("{place} is no longer silent");
            self.note(Change::PlaceBack, None, "pulse", cause);
        }
        self.forget_expired_places(now);
    }

    /// Forgets the members of places that have expired.
    fn forget_expired_places(&mut self, now: Instant) {
        for place in self.pulses.cut_off().clone() {
            if !self.is_place_expired(&place, now) {
                continue;
            }
            let members = self.table.members().values().filter(|m| m.fact.place == place);
            let members: Vec<Incarnation> = members.map(|member| member.incarnation()).collect();
            for incarnation in members {
                self.forget(incarnation, "its place has been silent for long");
            }
        }
    }

    /// Returns whether a place was silent for so long that its members are forgotten.
    pub(super) fn is_place_expired(&self, place: &str, now: Instant) -> bool {
        let silent = self.pulses.silent_for(place, now);
        silent.is_some_and(|silent| silent > self.cfg.cut_off_tombstone)
    }

    fn forget(&mut self, incarnation: Incarnation, cause: &str) {
        let addr = self.table.get(incarnation).map(|member| member.fact.peer.addr);
        self.table.forget(incarnation);
        self.queue.forget(incarnation);
        self.note(Change::Forgotten, addr, "sweep", cause.to_owned());
    }
}
