//! Metrics: the counters, sent by cadence once a second. A failure never stops a request.

use crate::process::{Count, Counters};
use cadence::{Counted, MetricError, NopMetricSink, StatsdClient, UdpMetricSink};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Prefix of all metrics.
const PREFIX: &str = "sorrellock";
/// How often metrics are sent.
const INTERVAL: Duration = Duration::from_secs(1);

/// All metrics as a table in Markdown: name, unit, and what it counts.
pub fn metrics_page() -> String {
    let line =
        |count: &Count| format!("| `{PREFIX}.{}` | count | {} |\n", count.name(), count.meaning());
    let head = "| metric | unit | what it counts |\n|---|---|---|\n";
    head.to_owned() + &Count::ALL.iter().map(line).collect::<String>()
}

/// Sends the growth of each counter to `to`, once a second, from a thread of its own.
pub fn send_metrics(counters: Arc<Counters>, to: Option<SocketAddr>) -> Result<(), MetricError> {
    let client = match to {
        Some(addr) => StatsdClient::from_sink(PREFIX, udp_sink(addr)?),
        None => StatsdClient::from_sink(PREFIX, NopMetricSink),
    };
    thread::Builder::new()
        .name("metrics".into())
        .spawn(move || send_for_ever(&counters, &client))?;
    Ok(())
}

fn udp_sink(addr: SocketAddr) -> Result<UdpMetricSink, MetricError> {
    let local: SocketAddr =
        if addr.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket)
}

fn send_for_ever(counters: &Counters, client: &StatsdClient) {
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
