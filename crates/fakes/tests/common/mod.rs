//! Fixtures of the stand-ins' tests.
#![allow(dead_code)]

use sorrellock_core::id::{Layer, Position, TokenId};
use sorrellock_core::request::{Activations, LayerRange};
use sorrellock_fakes::{
    EngineConfig, FakeEngine, FakePlatform, FakeService, PlatformConfig, ServiceConfig,
};
use sorrellock_ports::api::{
    Batch, Engine, EngineError, EngineStep, Instance, InstanceState, ServiceCall, StepOutput,
};
use sorrellock_ports::client::{HttpEngine, HttpInstanceList, HttpObjectStore, HttpService};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a test gives up on something that should come.
pub const PATIENCE: Duration = Duration::from_secs(10);
/// Time after which a test takes it that something does not come.
pub const SHORT: Duration = Duration::from_millis(150);

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn platform() -> FakePlatform {
    platform_with(PlatformConfig::new(loopback()).with_rates(0, 0))
}

pub fn platform_with(cfg: PlatformConfig) -> FakePlatform {
    FakePlatform::start(cfg).expect("a free port")
}

pub fn store(platform: &FakePlatform) -> HttpObjectStore {
    HttpObjectStore::new(platform.addr()).with_timeout(PATIENCE)
}

pub fn instance_list(platform: &FakePlatform) -> HttpInstanceList {
    HttpInstanceList::new(platform.addr()).with_timeout(PATIENCE)
}

pub fn instance(id: &str) -> Instance {
    let link = SocketAddr::from(([127, 0, 0, 1], 1));
    Instance { id: id.into(), place: "pasila".into(), link, state: InstanceState::Live }
}

pub fn engine_config(first: Layer, end: Layer) -> EngineConfig {
    EngineConfig::new(loopback(), "lexis", LayerRange::new(first, end))
}

pub fn engine(first: Layer, end: Layer) -> FakeEngine {
    engine_with(engine_config(first, end))
}

pub fn engine_with(cfg: EngineConfig) -> FakeEngine {
    FakeEngine::start(cfg).expect("a free port")
}

pub fn client(engine: &FakeEngine) -> HttpEngine {
    HttpEngine::new(engine.addr()).with_timeout(PATIENCE)
}

/// A step for an engine that holds the layers from 0 on and chooses tokens.
pub fn step(session: &str, first: Position, tokens: &[TokenId], end: Layer) -> EngineStep {
    EngineStep {
        session: session.into(),
        first,
        tokens: tokens.to_vec(),
        activations: Activations::default(),
        layers: LayerRange::new(0, end),
        sample: true,
        priority: 0,
    }
}

pub fn run(client: &HttpEngine, steps: Vec<EngineStep>) -> Result<Vec<StepOutput>, EngineError> {
    client.run(&Batch { steps }, PATIENCE)
}

/// Runs one step and gives its output.
pub fn run_one(client: &HttpEngine, step: EngineStep) -> StepOutput {
    let mut outputs = run(client, vec![step]).expect("the engine answers");
    outputs.remove(0)
}

pub fn sampled(output: StepOutput) -> TokenId {
    match output {
        StepOutput::Sampled(sampled) => sampled.token,
        other => panic!("no token: {other:?}"),
    }
}

pub fn refusal(output: StepOutput) -> String {
    match output {
        StepOutput::Refused(why) => why,
        other => panic!("not refused: {other:?}"),
    }
}

/// Engines that hold consecutive ranges, and runs a request through them.
pub struct Chain {
    pub engines: Vec<(HttpEngine, LayerRange)>,
}

impl Chain {
    pub fn new(engines: &[&FakeEngine]) -> Chain {
        let engines = engines.iter().map(|engine| (client(engine), engine.info().layers));
        Chain { engines: engines.collect() }
    }

    /// Runs positions from `first` on through all engines, and gives the token chosen.
    pub fn pass(&self, session: &str, first: Position, tokens: &[TokenId]) -> TokenId {
        let mut activations = Activations::default();
        for (index, (client, layers)) in self.engines.iter().enumerate() {
            let sample = index + 1 == self.engines.len();
            let step = EngineStep {
                session: session.into(),
                first,
                tokens: tokens.to_vec(),
                activations,
                layers: *layers,
                sample,
                priority: 0,
            };
            match run_one(client, step) {
                StepOutput::Activations(out) => activations = out,
                StepOutput::Sampled(sampled) => return sampled.token,
                StepOutput::Refused(why) => panic!("refused: {why}"),
            }
        }
        unreachable!("the last engine chooses a token")
    }

    /// Prefills the prompt in pieces of `chunk` tokens and decodes token by token.
    pub fn answer(
        &self,
        session: &str,
        prompt: &[TokenId],
        chunk: usize,
        max: u32,
    ) -> Vec<TokenId> {
        let mut first = 0;
        let mut token = 0;
        for piece in prompt.chunks(chunk) {
            token = self.pass(session, first, piece);
            first += piece.len() as Position;
        }
        let mut answer = vec![token];
        while answer.len() < max as usize {
            token = self.pass(session, first, &[token]);
            first += 1;
            answer.push(token);
        }
        answer
    }
}

pub fn service() -> FakeService {
    FakeService::start(ServiceConfig::new(loopback()).with_name("ledger")).expect("a free port")
}

pub fn service_client(service: &FakeService) -> HttpService {
    HttpService::new(service.addr())
}

pub fn service_call(path: &str, key: Option<&str>, body: &str) -> ServiceCall {
    ServiceCall {
        method: "POST".into(),
        path: path.into(),
        content_type: Some("application/json".into()),
        idempotency_key: key.map(str::to_owned),
        body: body.as_bytes().to_vec(),
    }
}

/// Waits until `done`; panics if that takes too long.
pub fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}
