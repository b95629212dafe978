//! What lives as long as one request.

mod answer;
mod attempt;
mod call;
mod pace;
mod plain;
mod relay;
mod repath;
mod stream;

pub(crate) use answer::*;
pub(crate) use attempt::*;
pub(crate) use call::*;
