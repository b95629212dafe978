//! The orders that a lead has given and that don't show in what it knows of the engines yet.

use crate::clock::Clock;
use crate::id::EndpointId;
use crate::process::orders::{EngineSlot, Holding, Move, SlotState};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long an order given is held for begun before the engine's daemon tells of it.
pub const ORDER_WAIT: Duration = Duration::from_secs(5);
/// The wait before an engine that refused gets an order again; it doubles with each refusal.
pub const REFUSED_WAIT: Duration = Duration::from_secs(2);
/// The longest such wait.
pub const REFUSED_WAIT_MOST: Duration = Duration::from_secs(300);

/// The orders that a lead has given. The planner's bound on loads bounds them too.
#[derive(Debug)]
pub struct OrderBook<C> {
    clock: C,
    given: HashMap<EndpointId, (Instant, Holding)>,
    refused: HashMap<EndpointId, Refused>,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    times: u32,
    until: Instant,
}

impl<C: Clock> OrderBook<C> {
    /// No orders.
    pub fn new(clock: C) -> OrderBook<C> {
        OrderBook { clock, given: HashMap::new(), refused: HashMap::new() }
    }

    /// Shows the engines with orders as loading, and those that refused one lately as too small for
    /// anything. Forgets what has shown, has taken too long, or concerns engines that are gone.
    pub fn apply(&mut self, engines: &mut [EngineSlot]) {
        let now = self.clock.now();
        self.given.retain(|_, (until, _)| *until > now);
        let mut refused = std::mem::take(&mut self.refused);
        for engine in engines {
            if engine.is_loading() || self.has_shown(engine) {
                self.given.remove(&engine.endpoint);
            }
            if let Some((_, to)) = self.given.get(&engine.endpoint) {
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

    /// An order was given.
    pub fn on_given(&mut self, order: &Move) {
        let until = self.clock.now() + ORDER_WAIT;
        self.given.insert(order.endpoint.clone(), (until, order.to.clone()));
    }

    /// An engine's daemon took an order.
    pub fn on_taken(&mut self, endpoint: &EndpointId) {
        self.refused.remove(endpoint);
    }

    /// An engine, or the daemon beside it, refused an order.
    pub fn on_refused(&mut self, endpoint: &EndpointId) {
        self.given.remove(endpoint);
        let times = self.refused.get(endpoint).map_or(0, |refused| refused.times);
        let wait = REFUSED_WAIT.saturating_mul(1 << times.min(16)).min(REFUSED_WAIT_MOST);
        let refused = Refused { times: times + 1, until: self.clock.now() + wait };
        self.refused.insert(endpoint.clone(), refused);
    }

    fn has_shown(&self, engine: &EngineSlot) -> bool {
        let given = self.given.get(&engine.endpoint);
        given.is_some_and(|(_, to)| engine.holding() == Some(to))
    }
}
