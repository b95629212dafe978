//! The first gateways of a data centre, which one that starts again reads from the store in place of the list of all.
//!
//! A list grows with the fleet, and is read by each gateway at its start: where all start at once, its bytes grow with the square of
//! their number, and keep the store's link busy while the relays wait for the endpoints.

use super::{CANDIDATES, Placing};
use crate::process::StoreEra;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which the first gateways must have been the same before they are written: several may start or end at once.
const STABLE_FOR: Duration = Duration::from_secs(5);
/// Change of the number of gateways from which it is written again, as a divisor: one in eight.
const COUNT_SHARE: usize = 8;

/// A gateway by its place and address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstGateway {
    /// Its name.
    pub name: String,
    /// Its share of a processor, in thousandths of a core.
    pub processor: u32,
    /// Its address for other gateways.
    pub addr: SocketAddr,
}

/// The first gateways of a data centre, in the order of relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstGateways {
    /// Number of gateways of the fleet.
    pub gateways: usize,
    /// The gateways.
    pub first: Vec<FirstGateway>,
}

impl FirstGateways {
    /// Returns whether a gateway of the same data centre may start with these in place of the list: there are enough of them, and all
    /// are others that go before it, so that it is no relay while they live.
    pub fn suffices(&self, instance: &str, placing: &Placing) -> bool {
        let own = (Reverse(placing.processor), instance);
        let goes_before = |first: &FirstGateway| {
            first.name != instance && (Reverse(first.processor), first.name.as_str()) < own
        };
        self.first.len() >= CANDIDATES && self.first.iter().all(goes_before)
    }

    /// Returns whether a gateway that starts does as well with these as with `other`.
    pub fn is_like(&self, other: &FirstGateways) -> bool {
        let change = self.gateways.abs_diff(other.gateways);
        self.first == other.first && change <= self.gateways / COUNT_SHARE
    }
}

/// Decides when the first relay of a data centre writes its first gateways.
#[derive(Debug, Default)]
pub struct FirstGatewaysWriter {
    written: Option<(FirstGateways, StoreEra)>,
    seen: Option<(FirstGateways, Instant)>,
}

impl FirstGatewaysWriter {
    /// Returns whether the first gateways are to be written now. `era` is the one of the store.
    pub fn is_due(&mut self, first: &FirstGateways, era: StoreEra, now: Instant) -> bool {
        let is_written =
            |(known, at): &(FirstGateways, StoreEra)| *at == era && first.is_like(known);
        if self.written.as_ref().is_some_and(is_written) {
            self.seen = None;
            return false;
        }
        match &self.seen {
            Some((seen, since)) if first.is_like(seen) => {
                now.saturating_duration_since(*since) >= STABLE_FOR
            }
            _ => {
                self.seen = Some((first.clone(), now));
                false
            }
        }
    }

    /// Records that the store has them as of an era.
    pub fn on_written(&mut self, first: FirstGateways, era: StoreEra) {
        self.written = Some((first, era));
        self.seen = None;
    }

    /// Drops what was written, as another gateway may write now.
    pub fn reset(&mut self) {
        *self = FirstGatewaysWriter::default();
    }
}
