//! A model engine over HTTP.

use crate::api::{
    Batch, CacheEvent, Engine, EngineError, EngineInfo, LoadReport, Order, SessionId, StepOutput,
};
use crate::client::format::{
    BatchAnswer, BatchCall, ReleaseCall, TruncateCall, encode, output_from_format,
};
use crate::client::{Answer, Call, CallError, HttpAgent};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sorrellock_core::id::Position;
use std::net::SocketAddr;
use std::time::Duration;

const JSON: &[(&str, &str)] = &[("content-type", "application/json")];

/// A model engine over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    agent: HttpAgent,
}

impl HttpEngine {
    /// The engine that listens at `base`.
    pub fn new(base: SocketAddr) -> HttpEngine {
        HttpEngine { agent: HttpAgent::new(base) }
    }

    /// Gives each call but [`run`](Engine::run) this much time.
    pub fn with_timeout(mut self, timeout: Duration) -> HttpEngine {
        self.agent.timeout = timeout;
        self
    }

    /// Keeps at most this many idle connections.
    pub fn with_idle_connections(mut self, connections: usize) -> HttpEngine {
        self.agent.set_idle_connections(connections);
        self
    }

    fn call(&self, call: &Call<'_>) -> Result<Answer, EngineError> {
        let answer = self.agent.call(call).map_err(|err| match err {
            CallError::NotSent(detail) => EngineError::NotSent { detail },
            CallError::NoAnswer(detail) => EngineError::NoAnswer { detail },
        })?;
        if (200..300).contains(&answer.status) {
            return Ok(answer);
        }
        let detail =
            self.agent.detail(call, &format!("status {}: {}", answer.status, answer.text()));
        match answer.status {
            400..500 | 503 => Err(EngineError::Refused { detail }),
            _ => Err(EngineError::NoAnswer { detail }),
        }
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let timeout = self.agent.timeout;
        let call = Call { method: "GET", path, headers: &[], body: None, timeout };
        let answer = self.call(&call)?;
        self.parse(&call, &answer)
    }

    fn post<T: Serialize>(&self, path: &str, body: &T) -> Result<(), EngineError> {
        let body = to_json(body)?;
        let timeout = self.agent.timeout;
        let call = Call { method: "POST", path, headers: JSON, body: Some(&body), timeout };
        self.call(&call).map(|_| ())
    }

    fn parse<T: DeserializeOwned>(
        &self,
        call: &Call<'_>,
        answer: &Answer,
    ) -> Result<T, EngineError> {
        serde_json::from_slice(&answer.body).map_err(|err| self.unreadable(call, &err.to_string()))
    }

    fn unreadable(&self, call: &Call<'_>, what: &str) -> EngineError {
        EngineError::NoAnswer { detail: self.agent.detail(call, what) }
    }
}

impl Engine for HttpEngine {
    fn info(&self) -> Result<EngineInfo, EngineError> {
        self.get("/v1/engine")
    }

    fn run(&self, batch: &Batch, deadline: Duration) -> Result<Vec<StepOutput>, EngineError> {
        let body = to_json(&BatchCall::from_batch(batch))?;
        let call = Call {
            method: "POST",
            path: "/v1/batch",
            headers: JSON,
            body: Some(&body),
            timeout: deadline,
        };
        let answer = self.call(&call)?;
        let answer: BatchAnswer = self.parse(&call, &answer)?;
        if answer.outputs.len() != batch.steps.len() {
            return Err(self.unreadable(&call, "not one output a step"));
        }
        Ok(answer.outputs.into_iter().map(output_from_format).collect())
    }

    fn release(&self, sessions: &[SessionId]) -> Result<(), EngineError> {
        self.post("/v1/release", &ReleaseCall { sessions: sessions.to_vec() })
    }

    fn truncate(&self, session: &str, position: Position) -> Result<(), EngineError> {
        self.post("/v1/truncate", &TruncateCall { session: session.to_owned(), position })
    }

    fn export_kv(&self, session: &str) -> Result<Vec<u8>, EngineError> {
        let path = format!("/v1/kv/{}", encode(session));
        let timeout = self.agent.timeout;
        let call = Call { method: "GET", path: &path, headers: &[], body: None, timeout };
        Ok(self.call(&call)?.body)
    }

    fn import_kv(&self, session: &str, kv: &[u8]) -> Result<(), EngineError> {
        let path = format!("/v1/kv/{}", encode(session));
        let headers = &[("content-type", "application/octet-stream")];
        let timeout = self.agent.timeout;
        let call = Call { method: "PUT", path: &path, headers, body: Some(kv), timeout };
        self.call(&call).map(|_| ())
    }

    fn load(&self) -> Result<LoadReport, EngineError> {
        self.get("/v1/load")
    }

    fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        self.get(&format!("/v1/cache-events?after={after}"))
    }

    fn order(&self, order: &Order) -> Result<(), EngineError> {
        self.post("/v1/orders", order)
    }
}

fn to_json<T: Serialize>(body: &T) -> Result<Vec<u8>, EngineError> {
    serde_json::to_vec(body)
        .map_err(|err| EngineError::NotSent { detail: format!("write the call as JSON: {err}") })
}
