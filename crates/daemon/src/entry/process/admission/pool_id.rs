//! Identifies what requests queue for: the engines of a model, or the instances of a plain service.

use serde::Serialize;
use sorrellock_core::id::{ModelId, ServiceId};
use sorrellock_core::process::Role;

/// Group of endpoints that requests queue for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum PoolId {
    /// The engines of a model; its work is counted in tokens.
    Model(ModelId),
    /// The instances of a plain service; its work is counted in milliseconds.
    Service(ServiceId),
}

impl PoolId {
    /// Returns whether an endpoint with this role serves the pool.
    pub fn is_served_by(&self, role: &Role) -> bool {
        match (self, role) {
            (PoolId::Model(model), Role::Engine { model: held, .. }) => model == held,
            (PoolId::Service(service), Role::Service { service: held }) => service == held,
            _ => false,
        }
    }

    /// Returns the pool's name in dumps.
    pub fn name(&self) -> String {
        match self {
            PoolId::Model(model) => format!("model {model}"),
            PoolId::Service(service) => format!("service {service}"),
        }
    }
}
