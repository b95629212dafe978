//! State that lives as long as one version of the configuration.

mod configuration;
mod configuration_change;
mod model_shape;
mod route_table;

pub use configuration::*;
pub use configuration_change::*;
pub use model_shape::*;
pub use route_table::*;
