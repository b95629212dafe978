//! A server of a plain service.

use crate::http::{answer, Message, Server};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub body: String,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    /// Part of the requests that fail, in hundredths, and the status with which they do.
    failing: Option<(u32, u16)>,
    served: u32,
}

#[derive(Clone)]
pub struct Service {
    pub id: String,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Service {
    pub fn start(
        id: &str,
        name: &str,
        zone: &str,
        ip: IpAddr,
        store: &Store,
        record: &Record,
    ) -> Service {
        let state: Arc<Mutex<State>> = Arc::default();
        let (shared, own, record) = (Arc::clone(&state), id.to_owned(), record.clone());
        let handler =
            move |req: Message, out: &mut TcpStream| handle(&shared, &own, &record, &req, out);
        let server = Server::start(SocketAddr::new(ip, 0), Arc::new(handler)).expect("it listens");
        let service = Service { id: id.to_owned(), addr: server.addr, state };
        store.put("servers", id, &service.entry(name, zone));
        service
    }

    fn entry(&self, name: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{name}","address":"{}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1}}"#,
            self.addr
        )
    }

    /// Fails part of the requests from now on, after it has run them; its health stays good.
    pub fn fail(&self, hundredths: u32, status: u16) {
        self.state.lock().unwrap().failing = Some((hundredths, status));
    }

    pub fn recover(&self) {
        self.state.lock().unwrap().failing = None;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }
}

fn handle(
    state: &Mutex<State>,
    own: &str,
    record: &Record,
    req: &Message,
    out: &mut TcpStream,
) -> Option<()> {
    if req.path() == "/health" {
        return answer(out, 200, &[("Instance-Id", own), ("Server-Load", "0,0,6")], "");
    }
    let id = req.header("request-id").unwrap_or_default().to_owned();
    if id.is_empty() {
        return answer(out, 400, &[("Not-Executed", "1")], "");
    }
    if req.header("expect-instance").is_some_and(|wanted| wanted != own) {
        return answer(out, 421, &[("Request-Id", &id), ("Not-Executed", "1")], "");
    }
    thread::sleep(Duration::from_millis(15));
    let status = {
        let mut state = state.lock().unwrap();
        state.runs.push(Run { request: id.clone(), body: req.text() });
        state.served += 1;
        let turn = state.served * 37 % 100;
        match state.failing {
            Some((hundredths, status)) if turn < hundredths => status,
            _ => 200,
        }
    };
    record.line(&format!("server {own} runs {id} ({}), answers {status}", req.text()));
    let seal = format!("{own}.{id}");
    let headers = [("Request-Id", id.as_str()), ("Response-Seal", &seal), ("Server-Load", "1,0,6")];
    answer(out, status, &headers, if status == 200 { "done" } else { "failed" })
}

/// How often each operation was run, by the body of its request.
pub fn runs_by_body(services: &[Service]) -> HashMap<String, u32> {
    let mut runs = HashMap::new();
    for run in services.iter().flat_map(Service::runs) {
        *runs.entry(run.body).or_default() += 1;
    }
    runs
}
