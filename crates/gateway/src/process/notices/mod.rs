//! What endpoints say of themselves in their answers.

mod answer_notices;

pub(crate) use answer_notices::*;
