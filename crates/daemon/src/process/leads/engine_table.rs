//! The engines as input for the planner, and the daemons beside them.

use sorrellock_core::id::EndpointId;
use sorrellock_core::process::membership::MembershipView;
use sorrellock_core::process::orders::{Demand, EngineSlot, Holding, SlotState};
use sorrellock_core::process::{DaemonRole, EndpointFact, InstanceFact, Role};
use sorrellock_core::request::Peer;
use std::collections::HashMap;

/// The engines as input for the planner, and the daemons beside them.
pub(super) struct EngineTable {
    pub(super) slots: Vec<EngineSlot>,
    daemons: HashMap<EndpointId, Peer>,
}

impl EngineTable {
    /// Collects the engines of the live members, except those that hold a model without a demand.
    pub(super) fn new(members: &MembershipView, demands: &[Demand]) -> EngineTable {
        let mut live: Vec<_> = members.live_as(DaemonRole::Beside).collect();
        // After a restart, two instances may report the same engine; the later generation overwrites the earlier.
        live.sort_by_key(|instance| instance.generation);
        let mut slots = HashMap::new();
        let mut daemons = HashMap::new();
        for instance in live {
            for (fact, slot) in instance.endpoints.iter().filter_map(|fact| slot(instance, fact)) {
                daemons.insert(fact.id.clone(), instance.peer);
                slots.insert(fact.id.clone(), slot);
            }
        }
        let is_planned = |slot: &EngineSlot| {
            let held = slot.holding().map(|holding| &holding.model);
            held.is_none_or(|held| demands.iter().any(|demand| demand.model == *held))
        };
        let mut slots: Vec<_> = slots.into_values().filter(is_planned).collect();
        // Sorted, so that daemons with the same view of the members make the same plan.
        slots.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        EngineTable { slots, daemons }
    }

    /// Returns the daemon beside an engine.
    pub(super) fn daemon(&self, endpoint: &EndpointId) -> Option<Peer> {
        self.daemons.get(endpoint).copied()
    }
}

fn slot<'a>(
    instance: &InstanceFact,
    fact: &'a EndpointFact,
) -> Option<(&'a EndpointFact, EngineSlot)> {
    let offer = fact.engine.as_ref()?;
    let Role::Engine { model, layers } = &fact.role else { return None };
    let state = match &offer.loads {
        Some(next) => SlotState::Loads(next.clone()),
        None if layers.count() == 0 => SlotState::Empty,
        None => SlotState::Serves(Holding { model: model.clone(), layers: *layers }),
    };
    let (place, speed) = (instance.place.clone(), f64::from(offer.speed));
    let slot = EngineSlot::new(fact.id.clone(), place, offer.capacity, speed).with_state(state);
    Some((fact, slot))
}
