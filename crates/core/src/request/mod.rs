//! State and messages scoped to a single request.

mod drive;
mod outcome;
mod pipeline_message;
mod request_key;
mod route;
mod routing;
mod stage;
mod step;

pub use drive::*;
pub use outcome::*;
pub use pipeline_message::*;
pub use request_key::*;
pub use route::*;
pub use routing::*;
pub use stage::*;
pub use step::*;
