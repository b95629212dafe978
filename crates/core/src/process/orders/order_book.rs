//! Orders that a lead has sent and that the state reported by the engines doesn't reflect yet.

use crate::clock::Clock;
use crate::id::EndpointId;
use crate::process::orders::{EngineSlot, Holding, Move, SlotState};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long an order that was sent counts as started before the engine's daemon reports it.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Initial backoff before an engine that refused gets another order. It doubles with each refusal.
pub const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);
/// Upper limit of the backoff after refusals.
pub const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(300);

/// Pending orders of a lead, and backoffs of engines that refused. The planner's limit on concurrent
/// loads also limits the pending orders.
#[derive(Debug)]
pub struct OrderBook<C> {
    clock: C,
    pending: HashMap<EndpointId, (Instant, Holding)>,
    refused: HashMap<EndpointId, Refusal>,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    count: u32,
    until: Instant,
}

impl<C: Clock> OrderBook<C> {
    /// Creates an empty book.
    pub fn new(clock: C) -> OrderBook<C> {
        OrderBook { clock, pending: HashMap::new(), refused: HashMap::new() }
    }

    /// Marks engines with a pending order as loading, and sets the capacity of those in backoff to 0,
    /// so that nothing fits them. Drops orders that are confirmed or timed out, and backoffs of
    /// engines that are gone.
    pub fn apply(&mut self, engines: &mut [EngineSlot]) {
        let now = self.clock.now();
        self.pending.retain(|_, (until, _)| *until > now);
        let mut refused = std::mem::take(&mut self.refused);
        for engine in engines {
            if engine.is_loading() || self.is_confirmed(engine) {
                self.pending.remove(&engine.endpoint);
            }
            if let Some((_, to)) = self.pending.get(&engine.endpoint) {
                engine.state = SlotState::Loads(to.clone());
            }
            if let Some(refusal) = refused.remove(&engine.endpoint) {
                if refusal.until > now {
                    engine.capacity = 0;
                }
                self.refused.insert(engine.endpoint.clone(), refusal);
            }
        }
    }

    /// Records an order that was sent.
    pub fn on_given(&mut self, order: &Move) {
        let until = self.clock.now() + ORDER_TIMEOUT;
        self.pending.insert(order.endpoint.clone(), (until, order.to.clone()));
    }

    /// Ends the backoff of an engine whose daemon accepted an order.
    pub fn on_taken(&mut self, endpoint: &EndpointId) {
        self.refused.remove(endpoint);
    }

    /// Drops the order that an engine or the daemon beside it refused, and starts or doubles the backoff.
    pub fn on_refused(&mut self, endpoint: &EndpointId) {
        self.pending.remove(endpoint);
        let count = self.refused.get(endpoint).map_or(0, |refused| refused.count);
        let wait = REFUSAL_BACKOFF.saturating_mul(1 << count.min(16)).min(MAX_REFUSAL_BACKOFF);
        let refused = Refusal { count: count + 1, until: self.clock.now() + wait };
        self.refused.insert(endpoint.clone(), refused);
    }

    fn is_confirmed(&self, engine: &EngineSlot) -> bool {
        let pending = self.pending.get(&engine.endpoint);
        pending.is_some_and(|(_, to)| engine.holding() == Some(to))
    }
}
