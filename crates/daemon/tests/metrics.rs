//! Metrics: the page that lists them, and a target that takes none.

use sorrellock_daemon::process::{Count, Counters, metrics_page, send_metrics};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// How long metrics may take to come.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn the_page_lists_every_metric() {
    let page = include_str!("../../../docs/METRICS.md");

    let table = page.find("| metric |").map(|at| &page[at..]).unwrap_or_default();

    let mend = "run `cargo run -q --bin sorrellockd -- metrics` and put it into docs/METRICS.md";
    assert_eq!(table, metrics_page(), "{mend}");
}

#[test]
fn metrics_tell_the_growth_of_each_counter() {
    let target = UdpSocket::bind("127.0.0.1:0").unwrap();
    target.set_read_timeout(Some(PATIENCE)).unwrap();
    let counters = Arc::new(Counters::new());
    send_metrics(counters.clone(), Some(target.local_addr().unwrap())).unwrap();

    counters.add(Count::Tokens, 7);

    let mut buf = [0; 512];
    let len = target.recv(&mut buf).unwrap();
    assert_eq!(&buf[..len], b"sorrellock.tokens:7|c");
}

#[test]
fn a_target_that_refuses_loses_nothing_and_stops_nothing() {
    let refusing: SocketAddr = "127.255.255.255:9".parse().unwrap();
    let counters = Arc::new(Counters::new());

    let started = send_metrics(counters.clone(), Some(refusing));
    counters.count(Count::Requests);
    std::thread::sleep(Duration::from_millis(1_500));
    counters.count(Count::Requests);

    assert!(started.is_ok());
    assert_eq!(counters.get(Count::Requests), 2);
}
