//! Parses JSON bodies that are damaged in places: bytes that aren't valid UTF-8, or array elements that
//! aren't valid JSON. The intact parts of such a body are still parsed.

mod array;
mod fields;
mod text;

pub use array::{Element, find_value, split_array};
pub use fields::{Fields, InvalidValue};
pub use text::Text;
