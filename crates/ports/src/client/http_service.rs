//! A plain service over HTTP.

use crate::api::{Service, ServiceAnswer, ServiceCall, ServiceError};
use crate::client::{Call, CallError, HttpAgent};
use std::net::SocketAddr;
use std::time::Duration;

/// A plain service over HTTP. Method, path, body and status pass through as they are.
#[derive(Clone, Debug)]
pub struct HttpService {
    agent: HttpAgent,
}

impl HttpService {
    /// The service that listens at `base`.
    pub fn new(base: SocketAddr) -> HttpService {
        HttpService { agent: HttpAgent::new(base) }
    }

    /// Keeps at most this many idle connections.
    pub fn with_idle_connections(mut self, connections: usize) -> HttpService {
        self.agent.set_idle_connections(connections);
        self
    }
}

impl Service for HttpService {
    fn call(&self, call: &ServiceCall, deadline: Duration) -> Result<ServiceAnswer, ServiceError> {
        let mut headers = Vec::new();
        if let Some(content_type) = &call.content_type {
            headers.push(("content-type", content_type.as_str()));
        }
        if let Some(key) = &call.idempotency_key {
            headers.push(("idempotency-key", key.as_str()));
        }
        let bodiless = call.body.is_empty() && matches!(&*call.method, "GET" | "HEAD" | "OPTIONS");
        let answer = self.agent.call(&Call {
            method: &call.method,
            path: &call.path,
            headers: &headers,
            body: (!bodiless).then_some(&call.body),
            timeout: deadline,
        });
        let answer = answer.map_err(|err| match err {
            CallError::NotSent(detail) => ServiceError::NotSent { detail },
            CallError::NoAnswer(detail) => ServiceError::NoAnswer { detail },
        })?;
        let content_type = answer.header("content-type").map(str::to_owned);
        Ok(ServiceAnswer { status: answer.status, content_type, body: answer.body })
    }
}
