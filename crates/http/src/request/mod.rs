//! What lives as long as one request.

mod answer;
mod answer_body;
mod body_stream;
mod byte_segments;
mod discard;
mod gone;
mod held_buffer;
mod intake;
#[allow(clippy::module_inception)]
mod request;
mod responder;

pub use answer::*;
pub use answer_body::*;
pub use body_stream::*;
pub use byte_segments::*;
pub use discard::*;
pub(crate) use gone::*;
pub use held_buffer::*;
pub(crate) use intake::*;
pub use request::*;
pub use responder::*;
