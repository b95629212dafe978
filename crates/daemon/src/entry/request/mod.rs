//! State that an entry keeps for the lifetime of a request.

mod answer;
mod call_run;
mod keyed;
mod openai;
mod pipeline_run;
mod problem;
mod run_table;

pub use answer::*;
pub use call_run::*;
pub use keyed::*;
pub use openai::*;
pub use pipeline_run::*;
pub use problem::*;
pub use run_table::*;
