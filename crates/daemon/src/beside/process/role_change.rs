//! How an engine comes to hold other layers: it takes no new requests, finishes or hands over what
//! runs, gets the order, and is asked what it holds until it holds that.

use crate::beside::process::EngineRunner;
use sorrellock_core::process::orders::Holding;
use sorrellock_ports::api::{Engine, EngineInfo, Order};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{OrderRefusal, OrderRequest};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How long what runs may take to end or to be handed over.
const WORK_WAIT: Duration = Duration::from_secs(10);
/// How long the entries of what is left then have to take it elsewhere.
const CUT_WAIT: Duration = Duration::from_millis(500);
/// How often the work that is open is looked at.
const WORK_POLL: Duration = Duration::from_millis(5);
/// How long an engine may take to load what was ordered.
const LOAD_WAIT: Duration = Duration::from_secs(600);
/// How often a loading engine is asked what it holds.
const LOAD_POLL: Duration = Duration::from_millis(200);

impl<L: Link, E: Engine> EngineRunner<L, E> {
    /// Brings the engine to hold what was ordered. `admit` is asked once more when its work has
    /// ended, as another lead may have come meanwhile.
    pub(super) fn change_role(
        &self,
        order: &OrderRequest,
        admit: impl FnOnce() -> Result<(), OrderRefusal>,
    ) -> Result<(), OrderRefusal> {
        let to = Holding { model: order.model.clone(), layers: order.layers };
        if self.holds_layers(&to) {
            return Ok(());
        }
        self.begin_change(to.clone());
        self.end_work();
        let result = admit().and_then(|()| self.load(order, &to));
        self.end_change(self.ask_until_answered());
        result
    }

    /// Waits until no request is open. What is left after a while is told to go elsewhere.
    fn end_work(&self) {
        if self.wait_for_no_work(WORK_WAIT) {
            return;
        }
        self.change(|state, out| {
            state.table.on_stuck("the engine is to hold other layers", out);
        });
        self.wait_for_no_work(CUT_WAIT);
    }

    fn wait_for_no_work(&self, wait: Duration) -> bool {
        let end = Instant::now() + wait;
        while self.open_requests() > 0 && !self.has_ended() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(WORK_POLL);
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

    /// What the engine holds, as nothing else may be told of it. Whether an order without an answer
    /// took effect shows here too.
    fn ask_until_answered(&self) -> Option<EngineInfo> {
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

/// Whether an engine holds layers of a model.
pub(super) fn is_held(info: &EngineInfo, holding: &Holding) -> bool {
    info.model == holding.model && info.layers == holding.layers
}
