//! Answers the calls to a stand-in engine.

use crate::process::{
    Accelerator, EngineConfig, EngineCounters, EngineFailure, EngineKnobs, EngineState, Latch,
    Refused, count,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sorrellock_http::{Request, Responder};
use sorrellock_ports::api::Order;
use sorrellock_ports::client::format::{BatchCall, ReleaseCall, TruncateCall, decode};
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard};

const JSON: (&str, &str) = ("content-type", "application/json");
const KV_PATH: &str = "/v1/kv/";

/// What the threads of a stand-in engine share.
#[derive(Debug)]
pub(crate) struct EngineCx {
    pub(crate) cfg: EngineConfig,
    pub(crate) counters: EngineCounters,
    pub(crate) knobs: EngineKnobs,
    pub(crate) accelerator: Accelerator,
    pub(crate) latch: Latch,
    state: Mutex<EngineState>,
}

/// The answer to a call: status, and body or reason.
type Answer = Result<Vec<u8>, (u16, String)>;

impl EngineCx {
    pub(crate) fn new(cfg: EngineConfig) -> EngineCx {
        EngineCx {
            state: Mutex::new(EngineState::new(cfg.clone())),
            cfg,
            counters: EngineCounters::default(),
            knobs: EngineKnobs::new(),
            accelerator: Accelerator::default(),
            latch: Latch::default(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        let mut state = self.state.lock().expect("no panic holds this lock");
        state.settle();
        state
    }

    /// Takes a call in, or holds it while the engine is frozen.
    pub(crate) fn arrive(&self, req: Request) {
        count(&self.counters.arrived);
        let Some(req) = self.latch.pass(req, &self.counters.cut) else { return };
        self.answer(req);
    }

    /// Answers a call, or lets its batch wait.
    pub(crate) fn answer(&self, req: Request) {
        if (req.method.as_str(), req.path_only()) == ("POST", "/v1/batch") {
            return self.batch(req);
        }
        let answer = self.reply(&req);
        send(req.responder, answer);
    }

    fn reply(&self, req: &Request) -> Answer {
        match (req.method.as_str(), req.path_only()) {
            ("GET", "/v1/engine") => json(&self.state().info),
            ("GET", "/v1/load") => json(&self.state().shown_load()),
            ("GET", "/v1/cache-events") => self.cache_events(req),
            ("POST", "/v1/release") => self.release(req),
            ("POST", "/v1/truncate") => self.truncate(req),
            ("POST", "/v1/orders") => self.order(req),
            (method, path) => self.kv(method, path, req),
        }
    }

    fn batch(&self, req: Request) {
        if self.knobs.fails(EngineFailure::CutBefore) {
            count(&self.counters.failures);
            return req.responder.abort();
        }
        if self.knobs.fails(EngineFailure::Refuse) {
            count(&self.counters.failures);
            return refuse(req.responder, 503, "the batch was refused as asked");
        }
        let batch = match serde_json::from_slice::<BatchCall<'_>>(&req.body) {
            Ok(call) => call.into_batch(),
            Err(err) => {
                count(&self.counters.batches_refused);
                return refuse(req.responder, 400, &format!("the batch is malformed: {err}"));
            }
        };
        if batch.steps.len() > self.cfg.max_batch as usize {
            count(&self.counters.batches_refused);
            let max = self.cfg.max_batch;
            return refuse(req.responder, 400, &format!("a batch has at most {max} steps"));
        }
        if let Err(responder) = self.accelerator.add(batch, req.responder) {
            count(&self.counters.batches_refused);
            return refuse(responder, 503, "too many batches are waiting");
        }
        self.note_load();
    }

    fn cache_events(&self, req: &Request) -> Answer {
        let after = req.query("after").and_then(|after| after.parse().ok());
        let after = after.ok_or((400, "after is missing or no number".to_owned()))?;
        json(&self.state().cache_events(after))
    }

    fn release(&self, req: &Request) -> Answer {
        let call: ReleaseCall = parse(req)?;
        let freed = self.state().release(&call.sessions);
        self.counters.released.fetch_add(freed, Ordering::Relaxed);
        self.note_load();
        Ok(Vec::new())
    }

    fn truncate(&self, req: &Request) -> Answer {
        let call: TruncateCall = parse(req)?;
        self.state().truncate(&call.session, call.position).map_err(conflict)?;
        self.note_load();
        Ok(Vec::new())
    }

    fn order(&self, req: &Request) -> Answer {
        let order: Order = parse(req)?;
        let res = self.state().order(order);
        let counter = match res {
            Ok(()) => &self.counters.orders,
            Err(_) => &self.counters.orders_refused,
        };
        count(counter);
        res.map_err(conflict)?;
        self.note_load();
        Ok(Vec::new())
    }

    fn kv(&self, method: &str, path: &str, req: &Request) -> Answer {
        let session = path.strip_prefix(KV_PATH).and_then(decode);
        let session = session.ok_or((404, "there is no such path".to_owned()))?;
        match method {
            "GET" => {
                let kv = self.state().export(&session).map_err(conflict)?;
                count(&self.counters.exports);
                Ok(kv)
            }
            "PUT" => {
                self.state().import(&session, &req.body).map_err(conflict)?;
                count(&self.counters.imports);
                self.note_load();
                Ok(Vec::new())
            }
            _ => Err((405, "a KV cache takes GET and PUT".to_owned())),
        }
    }

    fn note_load(&self) {
        let waiting = self.accelerator.waiting_steps();
        self.state().note_load(waiting);
    }
}

fn parse<T: DeserializeOwned>(req: &Request) -> Result<T, (u16, String)> {
    serde_json::from_slice(&req.body).map_err(|err| (400, format!("the call is malformed: {err}")))
}

fn json<T: Serialize>(body: &T) -> Answer {
    Ok(serde_json::to_vec(body).expect("an engine's answers are JSON"))
}

fn conflict(Refused(why): Refused) -> (u16, String) {
    (409, why)
}

fn send(responder: Responder, answer: Answer) {
    match answer {
        Ok(body) => responder.send(200, &[JSON], body),
        Err((status, why)) => refuse(responder, status, &why),
    }
}

fn refuse(responder: Responder, status: u16, why: &str) {
    responder.send(status, &[("content-type", "text/plain")], why.to_owned());
}
