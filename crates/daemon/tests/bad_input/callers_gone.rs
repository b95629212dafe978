//! Callers that go away: their work is cancelled down to the engine.

use crate::entry_fixture::wait_until;
use sorrellock_daemon::process::{LogFormat, set_up_log};
use sorrellock_local::{LocalConfig, LocalFleet, MODEL, WORKSPACES};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;

/// Callers that go away.
const CALLERS: usize = 8;

/// A caller that has had some tokens of a long answer.
fn begin_stream(fleet: &LocalFleet) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.entries[0].callers()).unwrap();
    let body = format!(r#"{{"model":"{MODEL}","prompt":"long","max_tokens":30000,"stream":true}}"#);
    let key = WORKSPACES[0].1;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
    let lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
    let events = lines.filter(|line| line.starts_with("data: ")).take(3).count();
    assert_eq!(events, 3);
    stream
}

fn sessions(fleet: &LocalFleet) -> u32 {
    fleet.engines.iter().map(|local| local.engine.load_now().sessions).sum()
}

fn steps(fleet: &LocalFleet) -> u64 {
    let steps = |local: &sorrellock_local::LocalEngine| {
        local.engine.counters().steps.load(Ordering::Relaxed)
    };
    fleet.engines.iter().map(steps).sum()
}

#[test]
fn a_caller_that_goes_away_frees_its_work_down_to_the_engines() {
    set_up_log(LogFormat::Off);
    let fleet = LocalFleet::start(LocalConfig::new()).unwrap();
    let streams: Vec<_> = (0..CALLERS).map(|_| begin_stream(&fleet)).collect();
    assert!(sessions(&fleet) > 0);

    drop(streams);

    wait_until("nothing is in progress", || fleet.in_progress() == 0);
    wait_until("the engines hold no session", || sessions(&fleet) == 0);
    let after = steps(&fleet);
    std::thread::sleep(std::time::Duration::from_millis(100));
    assert_eq!(steps(&fleet), after, "an engine works on for nobody");
    let text = fleet.caller(0, 0).stream(MODEL, "next", 8, |_| {}).unwrap();
    assert_eq!(text, fleet.expected("next", 8));
}
