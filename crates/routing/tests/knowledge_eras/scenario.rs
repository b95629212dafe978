//! Random scenarios: sequences of events in a fleet.

use quickcheck::{Arbitrary, Gen};

/// An event in the fleet. Durations are in ms.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An endpoint joins.
    Join,
    /// An endpoint leaves, and writes that into its entry first.
    Leave(usize),
    /// An endpoint leaves and removes its entry, without marking it as leaving first.
    LeaveUnannounced(usize),
    /// An endpoint crashes.
    Crash(usize),
    /// An endpoint can't reach the store for a while, so that its entry may expire.
    StoreUnreachable { index: usize, duration: u64 },
    /// The store is unavailable for a while, and keeps its state.
    StoreOutage(u64),
    /// The store is unavailable for `outage`, and is then restored from its copy of `copy_age` ago.
    StoreRestore { outage: u64, copy_age: u64 },
    /// A gateway is disconnected from the store for a while.
    GatewayCutOff { gateway: usize, duration: u64 },
    /// A gateway is replaced by one without any knowledge.
    GatewayRestart(usize),
}

/// A sequence of events, each with its delay in ms after the previous one.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub gateways: usize,
    pub seed: u64,
    pub events: Vec<(u64, Event)>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Scenario {
        let below = |g: &mut Gen, most: u64| u64::arbitrary(g) % most;
        let events = (0..1 + below(g, 12)).map(|_| {
            let index = below(g, 8) as usize;
            let event = match below(g, 10) {
                0 => Event::Join,
                1 => Event::Leave(index),
                2 => Event::LeaveUnannounced(index),
                3 => Event::Crash(index),
                9 => Event::GatewayRestart(index),
                8 => Event::StoreUnreachable { index, duration: below(g, 12_000) },
                4 => Event::StoreOutage(below(g, 2_000)),
                5 => Event::GatewayCutOff { gateway: index, duration: below(g, 6_000) },
                _ => Event::StoreRestore { outage: below(g, 2_000), copy_age: below(g, 8_000) },
            };
            (below(g, 4_000), event)
        });
        let events = events.collect();
        Scenario { gateways: 1 + below(g, 4) as usize, seed: u64::arbitrary(g), events }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Scenario>> {
        let scenario = self.clone();
        let shorter = (0..scenario.events.len()).map(move |index| {
            let mut shorter = scenario.clone();
            let (before, _) = shorter.events.remove(index);
            if let Some((wait, _)) = shorter.events.get_mut(index) {
                *wait += before;
            }
            shorter
        });
        Box::new(shorter)
    }
}
