//! The platform's list of instances over HTTP.

use crate::api::{Instance, InstanceList, ListError};
use crate::client::{Call, CallError, HttpAgent};
use std::net::SocketAddr;
use std::time::Duration;

/// The platform's list of instances over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    agent: HttpAgent,
}

impl HttpInstanceList {
    /// The platform that listens at `base`.
    pub fn new(base: SocketAddr) -> HttpInstanceList {
        HttpInstanceList { agent: HttpAgent::new(base) }
    }

    /// Gives each call this much time.
    pub fn with_timeout(mut self, timeout: Duration) -> HttpInstanceList {
        self.agent.timeout = timeout;
        self
    }
}

impl InstanceList for HttpInstanceList {
    fn instances(&self) -> Result<Vec<Instance>, ListError> {
        let timeout = self.agent.timeout;
        let call = Call { method: "GET", path: "/v1/instances", headers: &[], body: None, timeout };
        let answer = self.agent.call(&call).map_err(|err| match err {
            CallError::NotSent(detail) | CallError::NoAnswer(detail) => ListError { detail },
        })?;
        if answer.status != 200 {
            let what = format!("status {}: {}", answer.status, answer.text());
            return Err(ListError { detail: self.agent.detail(&call, &what) });
        }
        serde_json::from_slice(&answer.body)
            .map_err(|err| ListError { detail: self.agent.detail(&call, &err.to_string()) })
    }
}
