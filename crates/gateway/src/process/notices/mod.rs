//! What endpoints say of themselves in their answers.

mod answer_notices;
mod send_blocks;

pub(crate) use answer_notices::*;
