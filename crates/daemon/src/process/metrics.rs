//! Metrics: the counters, sent to a StatsD server once a second. A failure to send never affects a request.

use crate::process::{Count, Counters};
use cadence::{Counted, MetricError, NopMetricSink, StatsdClient, UdpMetricSink};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Prefix of all metric names.
const PREFIX: &str = "sorrellock";
/// Interval between two sends.
const INTERVAL: Duration = Duration::from_secs(1);

/// Returns a Markdown table of all metrics: name, unit and description.
pub fn metrics_page() -> String {
    let line = |count: &Count| {
        format!("| `{PREFIX}.{}` | count | {} |\n", count.name(), count.description())
    };
    let head = "| metric | unit | what it counts |\n|---|---|---|\n";
    head.to_owned() + &Count::ALL.iter().map(line).collect::<String>()
}

/// Starts a thread that sends the increase of each counter to `to` once a second.
pub fn send_metrics(counters: Arc<Counters>, to: Option<SocketAddr>) -> Result<(), MetricError> {
    let client = match to {
        Some(addr) => StatsdClient::from_sink(PREFIX, udp_sink(addr)?),
        None => StatsdClient::from_sink(PREFIX, NopMetricSink),
    };
    thread::Builder::new().name("metrics".into()).spawn(move || send_loop(&counters, &client))?;
    Ok(())
}

fn udp_sink(addr: SocketAddr) -> Result<UdpMetricSink, MetricError> {
    let local: SocketAddr =
        if addr.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket)
}

fn send_loop(counters: &Counters, client: &StatsdClient) {
    let mut sent = vec![0; Count::ALL.len()];
    loop {
        thread::sleep(INTERVAL);
        for (count, sent) in Count::ALL.iter().zip(&mut sent) {
            let value = counters.get(*count);
            if value > *sent && client.count(count.name(), (value - *sent) as i64).is_ok() {
                *sent = value;
            }
        }
    }
}
