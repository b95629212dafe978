//! What lives as long as one request.

mod answer;
mod answer_body;
mod body_stream;
mod gone;
mod intake;
#[allow(clippy::module_inception)]
mod request;
mod responder;

pub use answer::*;
pub use answer_body::*;
pub use body_stream::*;
pub(crate) use gone::*;
pub(crate) use intake::*;
pub use request::*;
pub use responder::*;
