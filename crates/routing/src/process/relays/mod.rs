//! Relays: the few gateways of each data centre through which the gateways of a large fleet learn of each other.
//!
//! In a small fleet each gateway sends its state to all others, which costs the square of their number. In a large one it sends it to
//! the first few gateways of its data centre. The first two of these that are live are its relays. They sum up what the gateways of
//! their data centre report, exchange these summaries with the relays of other data centres, and send the sum of all to their own.
//! Who is a relay follows from the order of gateways, which all derive from the same list; nothing is elected or written.

mod directory;
mod first_gateways;
mod sent_summary;
mod summary;

pub use directory::*;
pub use first_gateways::*;
pub use sent_summary::*;
pub use summary::*;
