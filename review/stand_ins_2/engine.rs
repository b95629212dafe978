//! A model engine: holds layers, reports, takes orders, and runs streams as the first engine of their path.

use crate::http::{answer, Message, Server};
use crate::json;
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub struct EngineConfig {
    pub id: &'static str,
    pub service: &'static str,
    pub model: &'static str,
    pub kind: &'static str,
    pub size_mb: u64,
    pub layer_mb: u64,
    pub zone: &'static str,
    pub addr: SocketAddr,
    /// From the start to the first check-in.
    pub registers_after: Duration,
}

#[derive(Default)]
struct State {
    layers: (u64, u64),
    sequence: u64,
    is_crashed: bool,
    /// It spoils one in so many streams; 0 for none.
    spoils_one_in: u32,
    streams: u32,
    runs: Vec<StreamRun>,
}

/// A stream that it ran.
#[derive(Clone, Debug)]
pub struct StreamRun {
    pub request: String,
    /// Its first event.
    pub from: u64,
    /// The event whose id was spoiled.
    pub spoiled: Option<u64>,
}

/// Events of a stream.
pub const EVENTS: u64 = 40;
/// Events that are written together.
const EVENTS_TOGETHER: u64 = 2;
const GAP: Duration = Duration::from_millis(25);

pub struct Engine {
    pub id: &'static str,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Arc<Server>,
    store: Store,
}

const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Engine {
    pub fn start(cfg: EngineConfig, store: &Store, record: &Record) -> Engine {
        let state: Arc<Mutex<State>> = Arc::default();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let (id, addr) = (cfg.id, cfg.addr);
        let cfg = Arc::new(cfg);
        let (shared, own, log) = (Arc::clone(&state), Arc::clone(&cfg), record.clone());
        let handler =
            move |req: Message, out: &mut TcpStream| handle(&shared, &own, born, &log, &req, out);
        let server = Server::start(addr, Arc::new(handler)).expect("it listens");
        let server = Arc::new(server);
        let addr = server.addr;
        record.line(&format!(
            "engine {id} ({}, {}, {} MB) starts at {addr}",
            cfg.service, cfg.kind, cfg.size_mb
        ));
        let engine = Engine {
            id,
            addr,
            state: Arc::clone(&state),
            server: Arc::clone(&server),
            store: store.clone(),
        };
        let (store, log) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(cfg.registers_after);
            let mut sequence = 0;
            loop {
                let (layers, is_crashed) = {
                    let state = state.lock().unwrap();
                    (state.layers, state.is_crashed)
                };
                if is_crashed {
                    server.shut_off();
                    // Three check-in intervals of silence.
                    thread::sleep(HEARTBEAT * 3);
                    log.line(&format!("the entry of engine {id} lapses"));
                    store.remove("servers", id);
                    return;
                }
                if sequence == 0 {
                    log.line(&format!("engine {id} writes its entry"));
                }
                sequence += 1;
                store.put("servers", id, &entry(&cfg, addr, born, layers, sequence));
                for _ in 0..120 {
                    thread::sleep(HEARTBEAT / 120);
                    if state.lock().unwrap().is_crashed {
                        break;
                    }
                }
            }
        });
        engine
    }

    pub fn layers(&self) -> (u64, u64) {
        self.state.lock().unwrap().layers
    }

    /// From now on, spoils one in so many answers.
    pub fn spoil_one_in(&self, streams: u32) {
        self.state.lock().unwrap().spoils_one_in = streams;
    }

    pub fn runs(&self) -> Vec<StreamRun> {
        self.state.lock().unwrap().runs.clone()
    }
}

fn entry(
    cfg: &EngineConfig,
    addr: SocketAddr,
    born: u64,
    layers: (u64, u64),
    sequence: u64,
) -> String {
    format!(
        r#"{{"service":"{}","address":"{addr}","zone":"{}","version":"v1","slots":192,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born},"stage":"both","models":[{{"name":"{}","version":1,"adapters":[]}}],"kind":"{}","layers":{{"from":{},"target":{},"version":1}}}}"#,
        cfg.service, cfg.zone, cfg.model, cfg.kind, layers.0, layers.1
    )
}

fn handle(
    state: &Mutex<State>,
    cfg: &EngineConfig,
    born: u64,
    record: &Record,
    req: &Message,
    out: &mut TcpStream,
) -> Option<()> {
    if state.lock().unwrap().is_crashed {
        return None;
    }
    // Any other engine than the expected one answers 421 and does nothing.
    if req.header("expect-instance").is_some_and(|wanted| wanted != cfg.id) {
        record.line(&format!(
            "engine {} answers 421: {} is for {:?}",
            cfg.id,
            req.first,
            req.header("expect-instance")
        ));
        return answer(out, 421, &[("Not-Executed", "1")], "");
    }
    match (req.method(), req.path()) {
        ("GET", "/health") => {
            let body = format!(r#"{{"born":{born}}}"#);
            answer(
                out,
                200,
                &[("Instance-Id", cfg.id), ("Content-Type", "application/json")],
                &body,
            )
        }
        ("GET", "/v1/report") => {
            let state = state.lock().unwrap();
            let (from, target) = state.layers;
            let body = format!(
                r#"{{"born":{born},"stage":"both","models":[{{"name":"{}","version":1,"adapters":[]}}],"layers":{{"from":{from},"target":{target},"version":1}},"kind":"{}","busy":false,"sequence":{},"queued":0,"active":0,"kv_used":0,"kv_total":100000,"handles":0,"pace":1.0,"stalled":[]}}"#,
                cfg.model, cfg.kind, state.sequence
            );
            answer(out, 200, &[("Content-Type", "application/json")], &body)
        }
        ("POST", "/v1/order") => order(state, cfg, record, &req.text(), out),
        _ if req.header("request-id").is_none() => answer(out, 400, &[("Not-Executed", "1")], ""),
        _ => stream(state, cfg, record, req, out),
    }
}

/// Runs a stream, from the event after the last one that the client has.
fn stream(
    state: &Mutex<State>,
    cfg: &EngineConfig,
    record: &Record,
    req: &Message,
    out: &mut TcpStream,
) -> Option<()> {
    let id = req.header("request-id").unwrap_or_default().to_owned();
    let part = req.header("hop-count").and_then(|path| path.split(',').next()?.split_once('='));
    let part = part.and_then(|(_, layers)| layers.split_once('-'));
    let part =
        part.and_then(|(from, to)| Some((from.parse::<u64>().ok()?, to.parse::<u64>().ok()?)));
    let last = req.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
    let from = last.map_or(1, |last| last + 1);
    let spoiled = {
        let mut state = state.lock().unwrap();
        let holds = part.is_some_and(|(from, to)| state.layers.0 <= from && to <= state.layers.1);
        if !holds {
            drop(state);
            let addr = cfg.addr.to_string();
            return answer(
                out,
                421,
                &[("Request-Id", &id), ("Not-Executed", "1"), ("At-Server", &addr)],
                "",
            );
        }
        state.streams += 1;
        let is_spoiled = state.spoils_one_in > 0 && state.streams % state.spoils_one_in == 0;
        // The second of the events that are written together, in the middle of the stream.
        let spoiled = (is_spoiled && from == 1).then_some(EVENTS / 2);
        state.runs.push(StreamRun { request: id.clone(), from, spoiled });
        spoiled
    };
    record.line(&format!(
        "engine {} runs {id} from event {from}{}",
        cfg.id,
        spoiled.map_or(String::new(), |event| format!(", and spoils event {event}"))
    ));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nResponse-Seal: {}.{id}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        cfg.id
    );
    out.write_all(head.as_bytes()).ok()?;
    let mut next = from;
    while next <= EVENTS {
        thread::sleep(GAP * EVENTS_TOGETHER as u32);
        let mut text = String::new();
        // Events come in pairs: 1 and 2, 3 and 4.
        let until = (next.div_ceil(EVENTS_TOGETHER) * EVENTS_TOGETHER).min(EVENTS);
        for event in next..=until {
            let told = if spoiled == Some(event) { event + 4_000 } else { event };
            text.push_str(&format!("id: {told}\ndata: token {event}\n\n"));
        }
        next = until + 1;
        if state.lock().unwrap().is_crashed {
            return None;
        }
        out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
    }
    out.write_all(b"0\r\n\r\n").ok()
}

fn order(
    state: &Mutex<State>,
    cfg: &EngineConfig,
    record: &Record,
    body: &str,
    out: &mut TcpStream,
) -> Option<()> {
    let mut state = state.lock().unwrap();
    if json::text(body, "operation").as_deref() != Some("place") {
        return answer(out, 400, &[], "");
    }
    if json::number(body, "expect").is_some_and(|expected| expected != state.sequence) {
        return answer(out, 409, &[], "");
    }
    let (from, target) = (json::number(body, "from")?, json::number(body, "target")?);
    let fits = cfg.size_mb / cfg.layer_mb;
    record.line(&format!(
        "engine {} ({}) is ordered to hold layers {from} to {target}; it holds {fits} at most",
        cfg.id, cfg.service
    ));
    if target.saturating_sub(from) > fits {
        state.is_crashed = true;
        record.line(&format!("engine {} crashes", cfg.id));
        return None;
    }
    state.layers = (from, target);
    state.sequence += 1;
    answer(out, 202, &[], "")
}
