//! State and tasks of one request.

mod attempt;
mod call;
mod endpoint_choice;
mod engine_call;
mod estimate;
mod final_answer;
mod plain;
mod relay;
mod request_handler;
mod return_delay;
mod run;
mod run_search;
mod running_attempts;
mod sends;
mod shared_capacity;
mod stream;

pub(crate) use attempt::*;
pub(crate) use call::*;
pub(crate) use final_answer::*;
pub(crate) use request_handler::*;
pub(crate) use running_attempts::*;
pub(crate) use sends::*;
