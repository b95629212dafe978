//! Reads JSON bodies of which single elements can't be read: bytes that are no UTF-8, elements of an
//! array that are no JSON. What is whole in such a body is read as ever.

mod array;
mod fields;
mod text;

pub use array::{Element, find_value, split_array};
pub use fields::{Fields, Found};
pub use text::Text;
