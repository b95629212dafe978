//! What a stand-in engine holds: its layers, the sessions and the record.

use crate::process::{CacheLog, EngineConfig, EngineCounters, LoadLog, PrefixCache, Record, count};
use crate::request::{PREFIX_BLOCK, Session, activations_fit, prefix_hashes};
use sorrellock_core::id::{Fence, ModelId, Position};
use sorrellock_core::request::LayerRange;
use sorrellock_ports::api::{
    Batch, CacheEvent, EngineInfo, EngineStep, LoadReport, Order, SessionId, StepOutput,
};
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Orders that are remembered.
const MAX_ORDERS: usize = 1_024;

/// What a stand-in engine holds.
#[derive(Debug)]
pub(crate) struct EngineState {
    cfg: EngineConfig,
    pub(crate) info: EngineInfo,
    fence: Fence,
    /// What an order asked for, and when it is there.
    loading: Option<(Instant, ModelId, LayerRange)>,
    pub(crate) orders: VecDeque<Order>,
    sessions: HashMap<SessionId, Session>,
    prefixes: PrefixCache,
    events: CacheLog,
    /// Load reports, cache events and orders forgotten, as there were too many.
    pub(crate) forgotten: u64,
    loads: LoadLog,
    pub(crate) record: Record,
}

/// The outputs of a batch, and the accelerator's time for it.
pub(crate) struct BatchRun {
    pub(crate) outputs: Vec<StepOutput>,
    pub(crate) time: Duration,
}

/// Why a call about a session or an order was refused.
#[derive(Debug)]
pub(crate) struct Refused(pub(crate) String);

impl EngineState {
    pub(crate) fn new(cfg: EngineConfig) -> EngineState {
        EngineState {
            info: cfg.info(),
            fence: 0,
            loading: None,
            orders: VecDeque::new(),
            sessions: HashMap::new(),
            prefixes: PrefixCache::new(cfg.prefix_blocks),
            events: CacheLog::default(),
            forgotten: 0,
            loads: LoadLog::default(),
            record: Record::default(),
            cfg,
        }
    }

    /// Runs a batch; each step that does not fit is refused by itself.
    pub(crate) fn run(&mut self, batch: &Batch, counters: &EngineCounters) -> BatchRun {
        let mut outputs = Vec::with_capacity(batch.steps.len());
        let mut tokens = 0;
        let mut token_layers = 0;
        for step in &batch.steps {
            let output = match self.check(step) {
                Ok(()) => {
                    let cost = self.cost(step, counters);
                    tokens += cost;
                    token_layers += cost * step.layers.count() as u32;
                    self.run_step(step, counters)
                }
                Err(Refused(why)) => {
                    count(&counters.steps_refused);
                    StepOutput::Refused(why)
                }
            };
            outputs.push(output);
        }
        count(&counters.batches);
        BatchRun { outputs, time: self.cfg.batch_time(tokens, token_layers) }
    }

    /// Frees sessions; unknown ones are passed over.
    pub(crate) fn release(&mut self, sessions: &[SessionId]) -> u64 {
        let freed = sessions.iter().filter(|session| self.sessions.remove(*session).is_some());
        freed.count() as u64
    }

    pub(crate) fn truncate(&mut self, session: &str, position: Position) -> Result<(), Refused> {
        let held = self.sessions.get_mut(session).ok_or_else(|| no_session(session))?;
        if position > held.positions() {
            let at = held.positions();
            return Err(Refused(format!("session {session} is at {at}, below {position}")));
        }
        held.truncate(position);
        if position == 0 {
            self.sessions.remove(session);
        }
        Ok(())
    }

    pub(crate) fn export(&self, session: &str) -> Result<Vec<u8>, Refused> {
        self.sessions.get(session).map(Session::export).ok_or_else(|| no_session(session))
    }

    pub(crate) fn import(&mut self, session: &str, kv: &[u8]) -> Result<(), Refused> {
        let imported = Session::import(kv)
            .ok_or_else(|| Refused("the KV cache is malformed: send what an export gave".into()))?;
        let (held, layers) = (self.info.layers, imported.layers());
        if layers.first < held.first || layers.end > held.end {
            return Err(Refused(format!(
                "the KV cache is of layers {layers:?}, held are {held:?}"
            )));
        }
        if self.sessions.contains_key(session) {
            return Err(exists(session));
        }
        self.check_room()?;
        self.sessions.insert(session.to_owned(), imported);
        Ok(())
    }

    /// Takes an order, unless its fencing number is lower than one seen.
    pub(crate) fn order(&mut self, order: Order) -> Result<(), Refused> {
        if order.fence < self.fence && !self.cfg.ignore_fences {
            let seen = self.fence;
            return Err(Refused(format!(
                "fence {} is lower than {seen}, seen before",
                order.fence
            )));
        }
        self.fence = self.fence.max(order.fence);
        if (&order.model, order.layers) != (&self.info.model, self.info.layers) {
            self.load_layers(&order);
        }
        if self.orders.len() == MAX_ORDERS {
            self.orders.pop_front();
            self.forgotten += 1;
        }
        self.orders.push_back(order);
        Ok(())
    }

    /// Shows the layers ordered once the time for loading them is over.
    pub(crate) fn settle(&mut self) {
        if let Some((_, model, layers)) = self.loading.take_if(|(at, ..)| *at <= Instant::now()) {
            self.info.model = model;
            self.info.layers = layers;
        }
    }

    /// Holds nothing until the layers ordered are there.
    fn load_layers(&mut self, order: &Order) {
        self.sessions.clear();
        self.clear_prefixes();
        self.info.model.clear();
        self.info.layers = LayerRange::new(0, 0);
        let until = Instant::now() + self.cfg.load_time;
        self.loading = Some((until, order.model.clone(), order.layers));
        self.settle();
    }

    /// The cache events after number `after`, as far as they are shown yet.
    pub(crate) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.events.shown(after, self.cfg.event_lag)
    }

    /// The load as it is shown now, late.
    pub(crate) fn shown_load(&mut self) -> LoadReport {
        self.loads.shown(self.cfg.load_lag)
    }

    /// Notes the load as it is now, with `waiting` steps waiting.
    pub(crate) fn note_load(&mut self, waiting: u32) {
        let report = self.load(waiting);
        let full = self.loads.add(report, self.cfg.load_lag);
        self.forgotten += u64::from(full);
    }

    /// The load as it is now, with `waiting` steps waiting.
    pub(crate) fn load(&self, waiting: u32) -> LoadReport {
        LoadReport {
            waiting,
            sessions: self.sessions.len() as u32,
            kv_bytes: self.sessions.values().map(Session::bytes).sum(),
        }
    }

    fn check(&self, step: &EngineStep) -> Result<(), Refused> {
        let (layers, held) = (step.layers, self.info.layers);
        if layers.count() == 0 || layers.first < held.first || layers.end > held.end {
            return Err(Refused(format!("the step is for layers {layers:?}, held are {held:?}")));
        }
        if step.tokens.is_empty() {
            return Err(Refused("the step has no tokens".into()));
        }
        if !activations_fit(step, self.cfg.activation_bytes) {
            let width = self.cfg.activation_bytes;
            return Err(Refused(format!("the activations are not one block of {width} a token")));
        }
        self.check_session(step)
    }

    fn check_session(&self, step: &EngineStep) -> Result<(), Refused> {
        let Some(session) = self.sessions.get(&step.session) else {
            if step.first > 0 {
                return Err(no_session(&step.session));
            }
            return self.check_room();
        };
        if step.first == 0 {
            return Err(exists(&step.session));
        }
        if step.first != session.positions() {
            let (at, first) = (session.positions(), step.first);
            return Err(Refused(format!("the session is at {at}, the step begins at {first}")));
        }
        if step.layers != session.layers() {
            let (had, layers) = (session.layers(), step.layers);
            return Err(Refused(format!("the session ran layers {had:?}, the step {layers:?}")));
        }
        Ok(())
    }

    fn check_room(&self) -> Result<(), Refused> {
        if self.sessions.len() < self.cfg.max_sessions {
            return Ok(());
        }
        Err(Refused(format!("there is memory for {} sessions only", self.cfg.max_sessions)))
    }

    fn run_step(&mut self, step: &EngineStep, counters: &EngineCounters) -> StepOutput {
        count(&counters.steps);
        counters.tokens.fetch_add(step.tokens.len() as u64, Ordering::Relaxed);
        self.record.add(step);
        let session = self.sessions.entry(step.session.clone());
        let session = session.or_insert_with(|| Session::new(step.layers));
        session.run(step, self.cfg.activation_bytes, self.cfg.end_of_text_every)
    }

    /// How many of the step's tokens take the accelerator's time: not those of a cached prefix.
    fn cost(&mut self, step: &EngineStep, counters: &EngineCounters) -> u32 {
        let tokens = step.tokens.len();
        if step.first > 0 {
            return tokens as u32;
        }
        let used = self.prefixes.touch(&prefix_hashes(&step.tokens));
        used.stored.into_iter().for_each(|hash| self.note_event(hash, true));
        used.dropped.into_iter().for_each(|hash| self.note_event(hash, false));
        // The last token is always run: its output is what the step is for.
        let cached = (used.hits * PREFIX_BLOCK).min(tokens - 1);
        counters.tokens_cached.fetch_add(cached as u64, Ordering::Relaxed);
        (tokens - cached) as u32
    }

    fn clear_prefixes(&mut self) {
        let dropped = self.prefixes.clear();
        dropped.into_iter().for_each(|hash| self.note_event(hash, false));
    }

    fn note_event(&mut self, prefix: u64, stored: bool) {
        let full = self.events.add(prefix, stored, self.cfg.event_gap);
        self.forgotten += u64::from(full);
    }
}

fn no_session(session: &str) -> Refused {
    Refused(format!("there is no session {session}"))
}

fn exists(session: &str) -> Refused {
    Refused(format!("session exists: {session}"))
}
