//! Signal handling: `SIGTERM` or `SIGINT` drains the process, a second one ends it at once, and `SIGUSR1` logs its state.

use crate::process::Dump;
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::{io, thread};

/// Exit code of a process that ended with work in progress.
const EXIT_INCOMPLETE: u8 = 3;

/// Waits for `SIGTERM` or `SIGINT`, then drains. Returns when the drain ends or a second signal arrives.
pub fn wait_for_end(
    state: Arc<dyn Dump>,
    drain: impl FnOnce() -> bool + Send + 'static,
) -> io::Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1])?;
    let (tx, rx) = channel();
    let second = tx.clone();
    wait_for_signal(&mut signals, &*state);
    spdlog::info!("leaving: finishing requests in progress, new ones will soon be refused");
    thread::spawn(move || tx.send(drain()));
    thread::spawn(move || {
        wait_for_signal(&mut signals, &*state);
        second.send(false)
    });
    let drained = rx.recv().unwrap_or(false);
    spdlog::info!(
        "ending, {}",
        if drained { "all work done" } else { "with work still in progress" }
    );
    Ok(if drained { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

fn wait_for_signal(signals: &mut Signals, state: &dyn Dump) {
    for signal in signals.forever() {
        if signal != SIGUSR1 {
            return;
        }
        spdlog::info!("state: {}", state.dump());
    }
}
