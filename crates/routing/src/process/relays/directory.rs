//! The gateways that a gateway knows of, and which of them are relays.

use super::{FirstGateway, FirstGateways};
use crate::process::DataCentre;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Number of relays in a data centre: one may end or pause at any time.
pub const RELAYS: usize = 2;
/// Number of gateways of a data centre that each of its gateways sends its state to, so that the next one is informed when a relay
/// ends.
pub(super) const CANDIDATES: usize = 4;
/// Time without a message after which a gateway counts as gone. Twice that long without any relay, gateways send to twice as many.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without any relay after which a gateway that has read the first ones only reads the list.
const NO_RELAY_LIMIT: Duration = Duration::from_secs(2);
/// The same with fewer than [`RELAYS`]: by then the next ones of the first would have taken over.
const FEW_RELAYS_LIMIT: Duration = Duration::from_secs(5);
/// Limit of the doublings of [`CANDIDATES`]: more than any fleet has gateways.
const MAX_DOUBLINGS: u32 = 12;

/// Where a gateway runs and how much it can carry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placing {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its share of a processor, in thousandths of a core.
    pub processor: u32,
}

/// A gateway that is known from the store's list or by its messages.
#[derive(Clone, Debug)]
struct KnownGateway {
    placing: Placing,
    addr: SocketAddr,
    /// When its last message came.
    heard: Option<Instant>,
    /// Whether it was a relay by its last message.
    says_relay: bool,
}

impl KnownGateway {
    fn is_live(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.saturating_duration_since(at) < SILENCE_TIMEOUT)
    }
}

/// The known gateways of all data centres, without this one.
#[derive(Debug)]
pub struct RelayDirectory {
    instance: String,
    placing: Placing,
    began: Instant,
    gateways: BTreeMap<String, KnownGateway>,
    /// Number of gateways of the fleet, while only the first ones of the own data centre have been read.
    only_first_of: Option<usize>,
}

/// Position in the order of relays: those with the most processor first.
type Order<'a> = (Reverse<u32>, &'a str);

impl RelayDirectory {
    /// Returns the directory of a gateway that began at `began` and knows no others.
    pub fn new(instance: &str, placing: Placing, began: Instant) -> RelayDirectory {
        RelayDirectory {
            instance: instance.to_owned(),
            placing,
            began,
            gateways: BTreeMap::new(),
            only_first_of: None,
        }
    }

    /// Replaces the gateways that the store lists. Others stay known while they are heard.
    pub fn on_list(
        &mut self,
        listed: impl IntoIterator<Item = (String, Placing, SocketAddr)>,
        now: Instant,
    ) {
        self.only_first_of = None;
        let listed: HashMap<String, (Placing, SocketAddr)> =
            listed.into_iter().map(|(name, placing, addr)| (name, (placing, addr))).collect();
        self.gateways.retain(|name, known| listed.contains_key(name) || known.is_live(now));
        for (name, (placing, addr)) in listed {
            // What a live one says of itself is newer.
            let is_live = self.gateways.get(&name).is_some_and(|known| known.is_live(now));
            if name != self.instance && !is_live {
                let heard = self.gateways.get(&name).and_then(|known| known.heard);
                let known = KnownGateway { placing, addr, heard, says_relay: false };
                self.gateways.insert(name, known);
            }
        }
    }

    /// Adds the first gateways of the own data centre in place of a list, if they suffice. Returns whether they do.
    pub fn on_first(&mut self, first: &FirstGateways) -> bool {
        if !first.suffices(&self.instance, &self.placing) {
            return false;
        }
        self.only_first_of = Some(first.gateways);
        for FirstGateway { name, processor, addr } in &first.first {
            let data_centre = self.placing.data_centre.clone();
            let placing = Placing { data_centre, processor: *processor };
            let known = KnownGateway { placing, addr: *addr, heard: None, says_relay: false };
            self.gateways.entry(name.clone()).or_insert(known);
        }
        true
    }

    /// Returns whether the list is needed after all, as only the first gateways have been read: too few of them are heard as relays,
    /// or this one is to be a relay.
    pub fn needs_list(&self, now: Instant) -> bool {
        let own = &self.placing.data_centre;
        self.only_first_of.is_some()
            && (self.is_due_as_relay(now)
                || self.silent_for(own, 1, now) >= NO_RELAY_LIMIT
                || self.silent_for(own, RELAYS, now) >= FEW_RELAYS_LIMIT)
    }

    /// Returns the first live gateways of the own data centre, this one included, if it is the first relay; `addr` is its address.
    pub fn first_gateways(
        &self,
        addr: SocketAddr,
        gateways: usize,
        now: Instant,
    ) -> Option<FirstGateways> {
        let is_first = !self.before_own().iter().any(|(_, known)| known.is_live(now));
        if !is_first || !self.is_relay(now) || self.only_first_of.is_some() {
            return None;
        }
        let own =
            FirstGateway { name: self.instance.clone(), processor: self.placing.processor, addr };
        let live = self.ordered(&self.placing.data_centre).into_iter();
        let live = live.filter(|(_, known)| known.is_live(now));
        let others = live.map(|((Reverse(processor), name), known)| FirstGateway {
            name: name.to_owned(),
            processor,
            addr: known.addr,
        });
        let first: Vec<FirstGateway> =
            std::iter::once(own).chain(others).take(CANDIDATES).collect();
        (first.len() == CANDIDATES).then_some(FirstGateways { gateways, first })
    }

    /// Records a message of a gateway.
    pub fn on_message(
        &mut self,
        instance: &str,
        placing: &Placing,
        says_relay: bool,
        addr: SocketAddr,
        now: Instant,
    ) {
        if instance == self.instance {
            return;
        }
        let heard = Some(now);
        match self.gateways.get_mut(instance) {
            Some(known) => {
                if known.placing != *placing {
                    known.placing = placing.clone();
                }
                (known.addr, known.heard, known.says_relay) = (addr, heard, says_relay);
            }
            None => {
                let known = KnownGateway { placing: placing.clone(), addr, heard, says_relay };
                self.gateways.insert(instance.to_owned(), known);
            }
        }
    }

    /// Returns whether this gateway is a relay of its data centre: others send to it, and fewer than [`RELAYS`] live gateways go
    /// before it.
    pub fn is_relay(&self, now: Instant) -> bool {
        // A relay has to know those of the other data centres.
        self.only_first_of.is_none() && self.is_due_as_relay(now)
    }

    fn is_due_as_relay(&self, now: Instant) -> bool {
        let before = self.before_own();
        let live = before.iter().filter(|(_, known)| known.is_live(now)).count();
        live < RELAYS && (before.len() < CANDIDATES || self.is_sent_to(now))
    }

    /// Returns whether a gateway that comes after this one sends its state here.
    fn is_sent_to(&self, now: Instant) -> bool {
        let own = self.own_order();
        let ordered = self.ordered(&self.placing.data_centre);
        ordered.range(own..).any(|(_, known)| known.is_live(now) && !known.says_relay)
    }

    /// Returns the addresses that this gateway sends its own state to: the first candidates, and those from the first live relay
    /// on, as all before it may be gone.
    pub fn candidates(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let own = &self.placing.data_centre;
        let first = self.first_of(own, self.window(own, now)).map(|known| known.addr);
        let is_live_relay = |known: &KnownGateway| known.says_relay && known.is_live(now);
        let ordered = self.ordered(own).into_values();
        let from_relay = ordered.skip_while(|known| !is_live_relay(known)).take(CANDIDATES);
        first.chain(from_relay.map(|known| known.addr)).collect()
    }

    /// Returns the gateways of the own data centre that have what a gateway needs at its start, in the order of relays.
    pub fn first_candidates(&self) -> Vec<SocketAddr> {
        self.first_of(&self.placing.data_centre, CANDIDATES).map(|known| known.addr).collect()
    }

    /// Returns the live gateways of the own data centre that a relay sends to: all but the first ones that are relays. One that
    /// takes itself for a relay as it doesn't know these learns of them by it.
    pub fn members(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let own = self.own_order();
        let ordered = self.ordered(&self.placing.data_centre).into_iter();
        let live = ordered.filter(|(_, known)| known.is_live(now));
        let live: Vec<(Order<'_>, &KnownGateway)> = live.collect();
        let before = live.iter().filter(|(order, _)| *order < own).count();
        let others = if before < RELAYS { RELAYS - 1 } else { RELAYS };
        let is_member = |index: usize, known: &KnownGateway| index >= others || !known.says_relay;
        let members = live.into_iter().enumerate();
        let members = members.filter(|(index, (_, known))| is_member(*index, known));
        members.map(|(_, (_, known))| known.addr).collect()
    }

    /// Returns the listed gateways of the own data centre that aren't heard. They may have begun with a list that lacks this one,
    /// and send their state here once they receive its messages.
    pub fn unheard_members(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let own = &self.placing.data_centre;
        let members = self.gateways.values().filter(move |known| known.placing.data_centre == *own);
        members.filter(move |known| !known.is_live(now)).map(|known| known.addr)
    }

    /// Returns the addresses of the relays of all other data centres: those that say so, and the first few candidates while not all
    /// of them are heard.
    pub fn foreign_relays(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let mut found = BTreeSet::new();
        for data_centre in self.foreign_data_centres() {
            let relays = self.live_relays(data_centre, now);
            if relays.len() < RELAYS {
                let count = self.window(data_centre, now);
                found.extend(self.first_of(data_centre, count).map(|known| known.addr));
            }
            found.extend(relays);
        }
        found
    }

    /// Returns the position of this gateway among all of the fleet for duties that one does for all: relays first, in turn by data
    /// centre.
    pub fn rank(&self, now: Instant) -> usize {
        let foreign = self.foreign_data_centres();
        let is_counted = |name: &&&str| !self.live_relays(name, now).is_empty();
        let live: Vec<&str> = foreign.iter().filter(is_counted).copied().collect();
        let own = self.placing.data_centre.as_str();
        let turn = live.iter().filter(|name| **name < own).count();
        let before = self.before_own();
        let live_before = before.iter().filter(|(_, known)| known.is_live(now)).count();
        let position = match self.only_first_of {
            _ if self.is_relay(now) => live_before,
            // The place among the others isn't known: any, so that not all do the same at once.
            Some(gateways) => CANDIDATES + spread(&self.instance, gateways),
            None => before.len().max(RELAYS),
        };
        position * (live.len() + 1) + turn
    }

    /// Returns how many gateways of a data centre are sent to. It grows while none of its relays is heard.
    fn window(&self, data_centre: &str, now: Instant) -> usize {
        let silent = self.silent_for(data_centre, 1, now).as_secs_f64();
        let doublings = (silent / (2.0 * SILENCE_TIMEOUT.as_secs_f64())) as u32;
        CANDIDATES << doublings.min(MAX_DOUBLINGS)
    }

    /// Returns the time since so many relays of a data centre were heard, or since the start.
    fn silent_for(&self, data_centre: &str, relays: usize, now: Instant) -> Duration {
        let is_relay =
            |known: &&KnownGateway| known.says_relay && known.placing.data_centre == data_centre;
        let of_it = self.gateways.values().filter(is_relay);
        let mut heard: Vec<Instant> = of_it.filter_map(|known| known.heard).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let last = heard.get(relays - 1).copied().unwrap_or(self.began);
        now.saturating_duration_since(last)
    }

    fn live_relays(&self, data_centre: &str, now: Instant) -> Vec<SocketAddr> {
        let ordered = self.ordered(data_centre);
        let live = ordered.into_iter().filter(|(_, known)| known.says_relay && known.is_live(now));
        live.take(RELAYS).map(|(_, known)| known.addr).collect()
    }

    fn foreign_data_centres(&self) -> BTreeSet<&str> {
        let all = self.gateways.values().map(|known| known.placing.data_centre.as_str());
        all.filter(|name| *name != self.placing.data_centre).collect()
    }

    fn first_of(&self, data_centre: &str, count: usize) -> impl Iterator<Item = &KnownGateway> {
        self.ordered(data_centre).into_iter().take(count).map(|(_, known)| known)
    }

    /// Returns the gateways of the own data centre that go before this one.
    fn before_own(&self) -> Vec<(Order<'_>, &KnownGateway)> {
        let own = self.own_order();
        let ordered = self.ordered(&self.placing.data_centre).into_iter();
        ordered.take_while(|(order, _)| *order < own).collect()
    }

    fn own_order(&self) -> Order<'_> {
        (Reverse(self.placing.processor), self.instance.as_str())
    }

    fn ordered(&self, data_centre: &str) -> BTreeMap<Order<'_>, &KnownGateway> {
        let of_it =
            self.gateways.iter().filter(|(_, known)| known.placing.data_centre == data_centre);
        of_it
            .map(|(name, known)| ((Reverse(known.placing.processor), name.as_str()), known))
            .collect()
    }
}

/// Returns a number below `count` that differs between gateways.
fn spread(instance: &str, count: usize) -> usize {
    (xxh3_64(instance.as_bytes()) % count.max(1) as u64) as usize
}
