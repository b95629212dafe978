//! What endpoints say of themselves in their answers.

mod answer_notices;
mod send_blocks;
mod unknown_fields;

pub(crate) use answer_notices::*;
pub(crate) use send_blocks::*;
