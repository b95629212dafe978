//! Gives orders to engines.

use super::{Engines, Placer};
use crate::process::{Count, Gateway};
use sorrellock_platform::{Client, OrderEnd, order_layers};
use sorrellock_routing::process::Endpoint;
use sorrellock_routing::process::placement::Step;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for an order to be accepted.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// The wait after an order that was refused or brought no answer.
pub(super) const ORDER_RETRY: Duration = Duration::from_millis(500);
/// How long requests are kept off layers before they are given up: the lead's message, and
/// requests on their way.
const CLOSE_FIRST: Duration = Duration::from_millis(300);

impl Placer {
    /// Requests may use layers again that are not to be given up any more.
    pub(super) fn reopen(&self, endpoints: &[Endpoint], steps: &[Step]) {
        let mut engines = self.engines.borrow_mut();
        for endpoint in endpoints {
            let Some(engine) = engines.get_mut(&endpoint.incarnation()) else { continue };
            let releases_layers = steps
                .iter()
                .any(|step| step.releases_layers && step.incarnation == endpoint.incarnation());
            if engine.ordered.is_none() && !releases_layers {
                engine.closing = None;
            }
        }
    }

    /// Engines with an order under way.
    pub(super) fn moving(&self) -> usize {
        self.engines.borrow().values().filter(|engine| engine.ordered.is_some()).count()
    }

    /// Gives an order, or first keeps requests off the layers that it gives up.
    pub(super) fn order(&self, step: Step, now: Instant) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&step.incarnation) else { return };
        if step.releases_layers {
            let (stay, since) = *engine.closing.get_or_insert((step.layers, now));
            if stay != step.layers {
                engine.closing = Some((step.layers, now));
                return;
            }
            if now - since < CLOSE_FIRST {
                return;
            }
        }
        let expected = engine.report.as_ref().map_or(0, |report| report.orders_begun);
        engine.ordered = Some((step.layers, now));
        let order = give_order(
            Rc::clone(&self.gateway),
            Rc::clone(&self.engines),
            step,
            engine.client.clone(),
            expected,
        );
        tokio::task::spawn_local(order);
    }
}

/// Gives one order and takes how it was received.
pub(super) async fn give_order(
    gateway: Rc<Gateway>,
    engines: Engines,
    step: Step,
    client: Client,
    expected: u64,
) {
    gateway.counters.add(Count::Orders);
    let end = order_layers(&client, step.layers, expected, ORDER_LIMIT).await;
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
        engine.ordered = None;
        engine.closing = None;
    }
    // What the engine does shows in its next report.
    engine.asked = None;
}
