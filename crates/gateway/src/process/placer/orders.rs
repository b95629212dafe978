//! Sends orders to engines.

use super::{Engines, Placer};
use crate::process::{Count, Gateway};
use sorrellock_platform::{Client, OrderEnd, order_layers};
use sorrellock_routing::process::Endpoint;
use sorrellock_routing::process::placement::Step;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for an engine to accept an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next order after one that was refused or got no answer.
pub(super) const ORDER_RETRY: Duration = Duration::from_millis(500);
/// How long new requests are kept off layers before these are released: covers the delivery of the
/// lead's message to the gateways, and requests already on their way.
const DRAIN_TIME: Duration = Duration::from_millis(300);

impl Placer {
    /// Lets requests use layers again that no step releases any more.
    pub(super) fn cancel_drains(&self, endpoints: &[Endpoint], steps: &[Step]) {
        let mut engines = self.engines.borrow_mut();
        for endpoint in endpoints {
            let Some(engine) = engines.get_mut(&endpoint.incarnation()) else { continue };
            let is_released = steps
                .iter()
                .any(|step| step.releases_layers && step.incarnation == endpoint.incarnation());
            if engine.pending_order.is_none() && !is_released {
                engine.draining = None;
            }
        }
    }

    /// Returns how many engines have a pending order.
    pub(super) fn pending_orders(&self) -> usize {
        self.engines.borrow().values().filter(|engine| engine.pending_order.is_some()).count()
    }

    /// Sends an order, after requests have been kept off the layers that it releases.
    pub(super) fn order(&self, step: Step, now: Instant) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&step.incarnation) else { return };
        if step.releases_layers {
            let (kept, since) = *engine.draining.get_or_insert((step.layers, now));
            if kept != step.layers {
                engine.draining = Some((step.layers, now));
                return;
            }
            if now - since < DRAIN_TIME {
                return;
            }
        }
        let expected = engine.report.as_ref().map_or(0, |report| report.orders_begun);
        engine.pending_order = Some((step.layers, now));
        let order = send_order(
            Rc::clone(&self.gateway),
            Rc::clone(&self.engines),
            step,
            engine.client.clone(),
            expected,
        );
        tokio::task::spawn_local(order);
    }
}

/// Sends one order and handles its outcome.
pub(super) async fn send_order(
    gateway: Rc<Gateway>,
    engines: Engines,
    step: Step,
    client: Client,
    expected: u64,
) {
    gateway.counters.add(Count::Orders);
    let end = order_layers(&client, step.layers, expected, ORDER_TIMEOUT).await;
    let text = format!("{end:?}");
    let (from, to) = (step.layers.from, step.layers.to);
    info!("order given", kv: {
        endpoint = step.incarnation.id.as_str(), from, to, expected, outcome = text.as_str()
    });
    let mut engines = engines.borrow_mut();
    let Some(engine) = engines.get_mut(&step.incarnation) else { return };
    if !matches!(end, OrderEnd::Begun | OrderEnd::Done) {
        gateway.counters.add(Count::OrderFailures);
        engine.order_after = Instant::now() + ORDER_RETRY;
    }
    if matches!(end, OrderEnd::Refused { .. }) {
        engine.pending_order = None;
        engine.draining = None;
    }
    // Requests a report at once: it shows what the engine does.
    engine.requested_at = None;
}
