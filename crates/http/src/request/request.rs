//! A whole request.

use crate::request::Responder;
use bytes::Bytes;
use http::{HeaderMap, Method};
use std::net::SocketAddr;

/// A whole request. The handler answers through `responder`, now or later.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query, as sent.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Takes the answer.
    pub responder: Responder,
    /// The caller.
    pub peer: SocketAddr,
}

impl Request {
    /// The path without the query.
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// The value of the query's parameter `name`, as sent (not decoded).
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query
            .split('&')
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The value of a header, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
