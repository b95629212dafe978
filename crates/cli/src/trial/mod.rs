//! `sorrellock try`: the whole path in one process, on stand-ins, each claim checked.

mod checks;
mod returning_store;

use checks::Trial;
use eyre::Result;
use sorrellock_daemon::process::{LogFormat, set_up_log};
use std::time::Instant;

/// Runs all checks; an error tells the one that failed.
pub fn run() -> Result<()> {
    set_up_log(LogFormat::Off);
    let start = Instant::now();
    let trial = Trial::start()?;
    trial.stream_answer()?;
    trial.crossed_answers()?;
    trial.plain_service()?;
    trial.run_once()?;
    trial.lost_answer()?;
    trial.change_weight()?;
    trial.kill_stage()?;
    trial.shut_down()?;
    returning_store::check()?;
    println!("all of it held, in {:.1} s", start.elapsed().as_secs_f64());
    Ok(())
}
