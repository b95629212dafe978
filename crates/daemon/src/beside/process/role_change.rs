//! Changes the layers that an engine holds: stops new requests, waits until open requests end or are handed over, sends
//! the order, and polls the engine until it reports the new layers.

use crate::beside::process::EngineRunner;
use sorrellock_core::process::orders::Holding;
use sorrellock_ports::api::{Engine, EngineInfo, Order};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{OrderRefusal, OrderRequest};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Max time for open requests to end or to be handed over.
const DRAIN_WAIT: Duration = Duration::from_secs(10);
/// Time for the entries of the remaining requests to move them to other engines.
const REROUTE_WAIT: Duration = Duration::from_millis(500);
/// Poll interval for open requests.
const DRAIN_POLL: Duration = Duration::from_millis(5);
/// Max time for an engine to load the ordered layers.
const LOAD_WAIT: Duration = Duration::from_secs(600);
/// Poll interval for the layers of a loading engine.
const LOAD_POLL: Duration = Duration::from_millis(200);

impl<L: Link, E: Engine> EngineRunner<L, E> {
    /// Makes the engine load the ordered layers. Calls `admit` again once the engine is drained, as another lead may
    /// have taken over meanwhile.
    pub(super) fn change_role(
        &self,
        order: &OrderRequest,
        admit: impl FnOnce() -> Result<(), OrderRefusal>,
    ) -> Result<(), OrderRefusal> {
        let to = Holding { model: order.model.clone(), layers: order.layers };
        if self.holds_layers(&to) {
            return Ok(());
        }
        self.begin_role_change(to.clone());
        self.drain_requests();
        let result = admit().and_then(|()| self.load(order, &to));
        self.end_role_change(self.poll_engine_info());
        result
    }

    /// Waits until no request is open. After [`DRAIN_WAIT`], reports failure to the entries of the remaining requests,
    /// so that they move them to other engines.
    fn drain_requests(&self) {
        if self.wait_until_drained(DRAIN_WAIT) {
            return;
        }
        self.change(|state, out| {
            state.table.on_stuck("the engine is to hold other layers", out);
        });
        self.wait_until_drained(REROUTE_WAIT);
    }

    fn wait_until_drained(&self, wait: Duration) -> bool {
        let end = Instant::now() + wait;
        while self.open_requests() > 0 && !self.has_ended() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(DRAIN_POLL);
        }
        true
    }

    fn load(&self, order: &OrderRequest, to: &Holding) -> Result<(), OrderRefusal> {
        let order = Order {
            fence: order.fence,
            model: order.model.clone(),
            layers: order.layers,
            adapter: order.adapter.clone(),
            version: order.version.clone(),
        };
        self.engine.order(&order).map_err(|err| OrderRefusal::Engine(err.to_string()))?;
        let end = Instant::now() + LOAD_WAIT;
        while Instant::now() < end && !self.has_ended() {
            if self.engine.info().is_ok_and(|info| is_held(&info, to)) {
                return Ok(());
            }
            thread::sleep(LOAD_POLL);
        }
        let detail = format!("it does not hold {to} after {LOAD_WAIT:?}");
        Err(OrderRefusal::Engine(detail))
    }

    /// Polls the engine until it reports what it holds. The daemon announces only what the engine reports. This also
    /// shows whether an order that got no answer took effect.
    fn poll_engine_info(&self) -> Option<EngineInfo> {
        let end = Instant::now() + LOAD_WAIT;
        while Instant::now() < end && !self.has_ended() {
            match self.engine.info() {
                Ok(info) => return Some(info),
                Err(_) => thread::sleep(LOAD_POLL),
            }
        }
        None
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }
}

/// Returns whether an engine holds exactly these layers of the model.
pub(super) fn is_held(info: &EngineInfo, holding: &Holding) -> bool {
    info.model == holding.model && info.layers == holding.layers
}
