//! What lives as long as one request.

mod driver;
mod outcome;
mod request_key;
mod route;
mod route_choice;
mod stage;
mod step;

pub use driver::*;
pub use outcome::*;
pub use request_key::*;
pub use route::*;
pub use route_choice::*;
pub use stage::*;
pub use step::*;
