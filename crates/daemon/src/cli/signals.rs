//! Signals: `SIGTERM` and `SIGINT` drain, a second one ends at once, `SIGUSR1` logs the state.

use crate::process::Dump;
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::{io, thread};

/// Exit code of a process that was ended before its work was.
const CUT_OFF: u8 = 3;

/// Waits for a signal to end, then drains; returns when the drain is over or a second signal comes.
pub fn wait_for_end(
    state: Arc<dyn Dump>,
    drain: impl FnOnce() -> bool + Send + 'static,
) -> io::Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1])?;
    let (tx, rx) = channel();
    let second = tx.clone();
    wait_for_signal(&mut signals, &*state);
    spdlog::info!("leaving: what runs is finished, new work soon refused");
    thread::spawn(move || tx.send(drain()));
    thread::spawn(move || {
        wait_for_signal(&mut signals, &*state);
        second.send(false)
    });
    let drained = rx.recv().unwrap_or(false);
    spdlog::info!("ending, {}", if drained { "all work done" } else { "with work in progress" });
    Ok(if drained { ExitCode::SUCCESS } else { ExitCode::from(CUT_OFF) })
}

fn wait_for_signal(signals: &mut Signals, state: &dyn Dump) {
    for signal in signals.forever() {
        if signal != SIGUSR1 {
            return;
        }
        spdlog::info!("state: {}", state.dump());
    }
}
