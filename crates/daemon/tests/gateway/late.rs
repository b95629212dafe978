//! A gateway that is late itself.

use crate::fleet::fleet;
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use std::thread::sleep;
use std::time::Duration;

/// A pause that is logged.
const PAUSE: Duration = Duration::from_millis(400);

/// Stops a gateway for some time.
fn pause(gateway: &GatewayProcess, lasts: Duration) {
    gateway.signal(Signal::SIGSTOP);
    sleep(lasts);
    gateway.signal(Signal::SIGCONT);
}

#[test]
fn a_pause_of_the_event_loop_is_logged_and_measured() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    pause(&gateway, PAUSE);

    gateway.wait_for_line(&["\"event loop paused\"", "\"pause_ms\""]);
    wait_for("the pause on the metrics page", || {
        gateway.metric("sorrellock_loop_lag_longest_ms") >= PAUSE.as_secs_f64() * 1e3 / 2.0
    });
    assert!(gateway.metric("sorrellock_loop_lag_us_count") > 0.0);
}

#[test]
fn the_time_of_a_new_configuration_is_logged() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    let line = gateway.wait_for_line(&["\"configuration in force\"", "\"version\":1"]);

    assert!(line.contains("\"parse_us\""), "{line}");
    assert!(line.contains("\"install_us\""), "{line}");
}
