//! The object API over HTTP.

use crate::api::{Listing, Object, ObjectStore, Precondition, StoreError};
use crate::client::format::{RETRY_AFTER, encode, objects_path, parse_etag, to_etag};
use crate::client::{Answer, Call, CallError, HttpAgent};
use sorrellock_core::id::Revision;
use std::net::SocketAddr;
use std::time::Duration;

/// When to come back where the store does not say.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

const NO_VERSION: &str = "the answer has no version in its ETag";

/// The object API over HTTP.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    agent: HttpAgent,
}

impl HttpObjectStore {
    /// The store that listens at `base`.
    pub fn new(base: SocketAddr) -> HttpObjectStore {
        HttpObjectStore { agent: HttpAgent::new(base) }
    }

    /// Gives each call this much time; a watch gets it on top of its wait.
    pub fn with_timeout(mut self, timeout: Duration) -> HttpObjectStore {
        self.agent.timeout = timeout;
        self
    }

    /// Keeps at most this many idle connections.
    pub fn with_idle_connections(mut self, connections: usize) -> HttpObjectStore {
        self.agent.set_idle_connections(connections);
        self
    }

    fn call(&self, call: &Call<'_>) -> Result<Answer, StoreError> {
        let answer = self.agent.call(call).map_err(|err| match err {
            CallError::NotSent(detail) => StoreError::Unavailable { detail },
            CallError::NoAnswer(detail) => StoreError::NoAnswer { detail },
        })?;
        let detail = || {
            let what = format!("status {}: {}", answer.status, answer.text());
            self.agent.detail(call, &what)
        };
        match answer.status {
            200..300 | 404 => Ok(answer),
            412 => {
                Err(conflict(&answer).unwrap_or_else(|| StoreError::Invalid { detail: detail() }))
            }
            429 => Err(StoreError::RateLimited { retry_after: retry_after(&answer) }),
            503 => Err(StoreError::Unavailable { detail: detail() }),
            500.. => Err(StoreError::NoAnswer { detail: detail() }),
            _ => Err(StoreError::Invalid { detail: detail() }),
        }
    }

    fn read(&self, path: &str, timeout: Duration) -> Result<Answer, StoreError> {
        self.call(&Call { method: "GET", path, headers: &[], body: None, timeout })
    }

    fn listing(&self, path: &str, timeout: Duration) -> Result<Listing, StoreError> {
        let answer = self.read(path, timeout)?;
        serde_json::from_slice(&answer.body).map_err(|err| {
            let detail = self.detail("GET", path, &err.to_string());
            StoreError::Invalid { detail }
        })
    }

    fn detail(&self, method: &str, path: &str, what: &str) -> String {
        let call = Call { method, path, headers: &[], body: None, timeout: Duration::ZERO };
        self.agent.detail(&call, what)
    }
}

impl ObjectStore for HttpObjectStore {
    fn with_call_limit(&self, limit: Duration) -> HttpObjectStore {
        self.clone().with_timeout(limit)
    }

    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let path = objects_path(key);
        let answer = self.read(&path, self.agent.timeout)?;
        if answer.status == 404 {
            return Ok(None);
        }
        let Some(version) = version(&answer) else {
            let detail = self.detail("GET", &path, NO_VERSION);
            return Err(StoreError::Invalid { detail });
        };
        Ok(Some(Object { key: key.to_owned(), version, value: answer.body }))
    }

    fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let path = format!("/v1/objects?prefix={}", encode(prefix));
        self.listing(&path, self.agent.timeout)
    }

    fn put(&self, key: &str, value: &[u8], when: Precondition) -> Result<Revision, StoreError> {
        let path = objects_path(key);
        let condition = match when {
            Precondition::Absent => ("if-none-match", "*".to_owned()),
            Precondition::Version(version) => ("if-match", to_etag(version)),
        };
        let answer = self.call(&Call {
            method: "PUT",
            path: &path,
            headers: &[(condition.0, &condition.1), ("content-type", "application/octet-stream")],
            body: Some(value),
            timeout: self.agent.timeout,
        })?;
        if answer.status == 404 {
            let detail = self.detail("PUT", &path, "status 404");
            return Err(StoreError::Invalid { detail });
        }
        // The write took effect all the same.
        version(&answer).ok_or_else(|| {
            let detail = self.detail("PUT", &path, NO_VERSION);
            StoreError::NoAnswer { detail }
        })
    }

    fn delete(&self, key: &str, version: Revision) -> Result<(), StoreError> {
        let path = objects_path(key);
        let answer = self.call(&Call {
            method: "DELETE",
            path: &path,
            headers: &[("if-match", &to_etag(version))],
            body: None,
            timeout: self.agent.timeout,
        })?;
        match answer.status {
            404 => Err(StoreError::Conflict { found: 0 }),
            _ => Ok(()),
        }
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Listing, StoreError> {
        let wait_ms = wait.as_millis();
        let prefix = encode(prefix);
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.listing(&path, wait + self.agent.timeout)
    }
}

fn version(answer: &Answer) -> Option<Revision> {
    parse_etag(answer.header("etag")?)
}

fn conflict(answer: &Answer) -> Option<StoreError> {
    Some(StoreError::Conflict { found: version(answer)? })
}

fn retry_after(answer: &Answer) -> Duration {
    answer
        .header(RETRY_AFTER)
        .and_then(|seconds| seconds.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}
