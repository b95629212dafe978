//! A small fleet: a store, four engines in two data centres, a plain service.

use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{EngineConfig, FakeEngine, FakeProxy, FakeService, FakeStore, new_ip};
pub use sorrellock_stand_ins::{HOST, KEY, LAYERS, configuration as config};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Events of each stream.
pub const EVENTS: u64 = 40;
/// Time between two events of a stream.
const GAP: Duration = Duration::from_millis(20);
/// The same on paths whose engines are asked for reports again and again, as nothing comes meanwhile.
const SLOW_GAP: Duration = Duration::from_millis(200);

/// The stand-ins.
pub struct Fleet {
    pub store: FakeStore,
    /// Two in `north`, two in `south`.
    pub engines: Vec<FakeEngine>,
    pub service: FakeService,
}

/// Starts the stand-ins.
pub fn fleet() -> Fleet {
    fleet_with_gap(GAP)
}

/// Starts the stand-ins with engines whose events come so slowly that paths are checked all the time.
pub fn fleet_of_slow_engines() -> Fleet {
    fleet_with_gap(SLOW_GAP)
}

fn fleet_with_gap(gap: Duration) -> Fleet {
    let store = FakeStore::start(new_ip()).expect("the store");
    store.put("config", "main", config(1, &[KEY]));
    let data_centre = |index: usize| if index < 2 { "north" } else { "south" };
    let engines = (0..4).map(|index| engine(index, data_centre(index), gap, &store)).collect();
    let service = FakeService::start("ledger-1", "ledger", "north", new_ip(), &store);
    Fleet { engines, service: service.expect("the service"), store }
}

fn engine(index: usize, data_centre: &str, gap: Duration, store: &FakeStore) -> FakeEngine {
    let cfg = EngineConfig {
        id: format!("engine-{index}"),
        service: "lexis".into(),
        data_centre: data_centre.into(),
        card: "card".into(),
        events: EVENTS,
        gap,
    };
    FakeEngine::start(cfg, new_ip(), store).expect("an engine")
}

/// Starts the stand-ins with four engines in one data centre whose requests are so large that they
/// make one chain.
pub fn fleet_of_one_chain() -> Fleet {
    let fleet = fleet_of_two_chains();
    let mut config = config(2, &[KEY]);
    config["services"][1]["engine"]["kv_token_bytes"] = 150_000.0.into();
    fleet.store.put("config", "main", config);
    fleet
}

/// Starts the stand-ins with four engines in one data centre: they make two chains.
pub fn fleet_of_two_chains() -> Fleet {
    let mut fleet = fleet();
    fleet.engines.iter().for_each(FakeEngine::crash);
    for one in &fleet.engines {
        fleet.store.remove("servers", one.id());
    }
    fleet.engines = (4..8).map(|index| engine(index, "north", GAP, &fleet.store)).collect();
    fleet
}

/// Starts the stand-ins with a third engine in `north`: two paths begin there, and share the engine
/// that holds the last layers.
pub fn fleet_of_two_first_engines() -> Fleet {
    let mut fleet = fleet();
    fleet.engines.push(engine(4, "north", GAP, &fleet.store));
    fleet
}

impl Fleet {
    /// One more engine, `engine-{index}`.
    pub fn add_engine(&mut self, index: usize, data_centre: &str) {
        self.engines.push(engine(index, data_centre, GAP, &self.store));
    }

    /// Puts a proxy before each engine. Its index is that of the engine.
    pub fn add_proxies(&self) -> Vec<FakeProxy> {
        let add_proxy = |engine: &FakeEngine| {
            let proxy = FakeProxy::start(new_ip(), engine.addr()).expect("a proxy");
            engine.tell_addr(proxy.addr());
            proxy
        };
        self.engines.iter().map(add_proxy).collect()
    }

    /// Starts a gateway, and waits until it may send requests again.
    pub fn settled_gateway(&self, name: &str) -> GatewayProcess {
        let gateway = self.gateway(name);
        gateway.await_retry_share();
        gateway
    }

    /// Starts a gateway, and waits until both data centres hold the model.
    pub fn gateway(&self, instance: &str) -> GatewayProcess {
        let gateway = GatewayProcess::start(instance, "north", self.store.addr());
        self.wait_whole(&gateway);
        gateway
    }

    /// Waits until both data centres hold the model and the gateway knows a path in each.
    pub fn wait_whole(&self, gateway: &GatewayProcess) {
        wait_for("the gateway to be ready", || gateway.is_ready());
        for data_centre in ["north", "south"] {
            gateway.wait_for_line(&["\"path in use\"", data_centre]);
        }
    }

    /// The engine that runs a request as the first of its path.
    pub fn runner(&self, request: &str) -> Option<&FakeEngine> {
        self.engines.iter().find(|engine| engine.seen().runs.contains_key(request))
    }

    /// How many engines ran a request as the first of its path.
    pub fn runs(&self, request: &str) -> u32 {
        let runs = |engine: &FakeEngine| engine.seen().runs.get(request).copied().unwrap_or(0);
        self.engines.iter().map(runs).sum()
    }
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A request id that no other request has.
pub fn new_request() -> String {
    format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// An answer as its caller sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub signature: Option<String>,
    pub retry_after: Option<String>,
    pub body: String,
    /// The body came to its end in order.
    pub is_whole: bool,
}

/// Sends a request and reads the whole answer.
pub fn send(gateway: SocketAddr, path: &str, request: &str, key: Option<&str>) -> Answer {
    let (answer, mut body) = begin(gateway, path, request, key);
    let mut text = String::new();
    let is_whole = body.read_to_string(&mut text).is_ok();
    Answer { body: text, is_whole, ..answer }
}

/// Sends a request and reads the whole answer, if one comes.
pub fn try_send(gateway: SocketAddr, path: &str, request: &str) -> Option<Answer> {
    let (answer, mut body) = try_begin(gateway, path, request, Some(KEY), "body", &[]).ok()?;
    let mut text = String::new();
    let is_whole = body.read_to_string(&mut text).is_ok();
    Some(Answer { body: text, is_whole, ..answer })
}

/// Sends a request with a body and reads the whole answer, if one comes.
pub fn send_body(gateway: SocketAddr, path: &str, body: &str) -> Option<Answer> {
    send_parts(gateway, path, body, None)
}

/// Sends a request with a body whose prompt has these parts, and reads the whole answer, if one comes.
pub fn send_parts(
    gateway: SocketAddr,
    path: &str,
    body: &str,
    parts: Option<&str>,
) -> Option<Answer> {
    let headers = parts.map(|parts| ("prefix-hash", parts.to_owned()));
    let (answer, mut rest) =
        try_begin(gateway, path, &new_request(), Some(KEY), body, headers.as_slice()).ok()?;
    let mut text = String::new();
    let is_whole = rest.read_to_string(&mut text).is_ok();
    Some(Answer { body: text, is_whole, ..answer })
}

/// Time between two requests of all callers of a [`load`] together.
const LOAD_INTERVAL: Duration = Duration::from_millis(25);

/// The number of requests that were sent and served.
#[derive(Debug, Default)]
pub struct Outcome {
    pub sent: usize,
    pub served: usize,
    /// Refused as not run, with the time to come back.
    pub refused: usize,
    /// The longest of these times, in seconds.
    pub longest_retry_after: f64,
}

/// Has callers send requests to all gateways in turn.
pub fn load(gateways: &[GatewayProcess], path: &str, lasts: Duration) -> Outcome {
    let outcome = Mutex::new(Outcome::default());
    let mut sent = 0;
    let began = Instant::now();
    thread::scope(|scope| {
        for gateway in gateways.iter().cycle() {
            if began.elapsed() >= lasts {
                return;
            }
            let (outcome, body) = (&outcome, format!("body {sent}"));
            scope.spawn(move || {
                let Some(answer) = send_body(gateway.callers(), path, &body) else { return };
                outcome.lock().expect("no panic holds this lock").add(&answer);
            });
            sent += 1;
            thread::sleep(LOAD_INTERVAL);
        }
    });
    Outcome { sent, ..outcome.into_inner().expect("no panic holds this lock") }
}

impl Outcome {
    fn add(&mut self, answer: &Answer) {
        self.served += usize::from(answer.status == 200 && answer.is_whole);
        let retry_after = answer.retry_after.as_ref().filter(|_| answer.status == 503);
        if let Some(retry_after) = retry_after.and_then(|text| text.parse().ok()) {
            self.refused += 1;
            self.longest_retry_after = self.longest_retry_after.max(retry_after);
        }
    }
}

/// Sends a request and returns once its head came.
pub fn begin(
    gateway: SocketAddr,
    path: &str,
    request: &str,
    key: Option<&str>,
) -> (Answer, Box<dyn Read + Send>) {
    try_begin(gateway, path, request, key, "body", &[]).expect("a head of an answer")
}

/// Resumes a stream after an event, and returns once its head came.
pub fn begin_after(
    gateway: SocketAddr,
    path: &str,
    request: &str,
    event: u64,
) -> (Answer, Box<dyn Read + Send>) {
    let last_event = [("last-event-id", event.to_string())];
    try_begin(gateway, path, request, Some(KEY), "body", &last_event).expect("a head of an answer")
}

fn try_begin(
    gateway: SocketAddr,
    path: &str,
    request: &str,
    key: Option<&str>,
    body: &str,
    headers: &[(&str, String)],
) -> Result<(Answer, Box<dyn Read + Send>), ureq::Error> {
    let agent = ureq::Agent::config_builder().http_status_as_error(false).max_idle_connections(0);
    let agent = ureq::Agent::new_with_config(agent.build());
    let mut req = agent
        .post(format!("http://{gateway}{path}"))
        .header("host", HOST)
        .header("request-id", request)
        .header("deadline-ms", "30000")
        .header("token-count", "10,40")
        .header("model", "m");
    if let Some(key) = key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in headers {
        req = req.header(*name, value);
    }
    let answer = req.send(body)?;
    let text = |name: &str| {
        answer.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let head = Answer {
        status: answer.status().as_u16(),
        signature: text("response-seal"),
        retry_after: text("retry-after"),
        body: String::new(),
        is_whole: false,
    };
    Ok((head, Box::new(answer.into_body().into_reader())))
}

/// Reads what is left of a stream, to its end.
pub fn read_rest(body: &mut impl Read) -> String {
    let mut rest = String::new();
    body.read_to_string(&mut rest).expect("the stream, to its end");
    rest
}

/// What a whole stream holds.
pub fn whole_stream() -> String {
    stream_after(0)
}

/// What is left of a stream after an event.
pub fn stream_after(event: u64) -> String {
    (event + 1..=EVENTS).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect()
}
