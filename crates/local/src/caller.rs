//! A small client of the callers' API, as a user of the fleet would write it.

use eyre::{Result, WrapErr, bail, eyre};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;
use ureq::http::Response;

/// How long each part of a call may take.
const TIMEOUT: Duration = Duration::from_secs(120);

/// A caller of one entry, with the key of its workspace.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    entry: SocketAddr,
    key: String,
}

/// An answer of the entry.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// `Sorrellock-Outcome`, or empty.
    pub outcome: String,
    /// `Retry-After`, if any.
    pub retry_after: Option<String>,
    /// Whether it is the answer of an earlier request with the same key.
    pub replayed: bool,
    /// The body.
    pub body: String,
}

impl CallerAnswer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

impl Caller {
    /// A caller that sends `key` to `entry`.
    pub fn new(entry: SocketAddr, key: &str) -> Caller {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            // No global timeout: with one, ureq resolves each address on a thread of its own.
            .timeout_connect(Some(TIMEOUT))
            .timeout_send_body(Some(TIMEOUT))
            .timeout_recv_response(Some(TIMEOUT))
            .timeout_recv_body(Some(TIMEOUT))
            .max_idle_connections_per_host(256)
            .proxy(None)
            .build();
        Caller { agent: config.into(), entry, key: key.into() }
    }

    /// A streamed answer of `max_tokens` tokens; `on_text` gets each piece as it comes.
    pub fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        mut on_text: impl FnMut(&str),
    ) -> Result<String> {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let response = self.post("/v1/completions", &[], &body.to_string())?;
        if response.status() != 200 {
            let answer = read(response)?;
            bail!("status {}: {}", answer.status, answer.body);
        }
        // Read to its end, so that the connection serves again.
        let (mut text, mut done) = (String::new(), false);
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = line.wrap_err("reading the stream")?;
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let event: Value = serde_json::from_str(data).wrap_err("reading an event")?;
            let piece = event["choices"][0]["text"].as_str();
            let piece = piece.ok_or_else(|| eyre!("the stream ended with an error: {data}"))?;
            on_text(piece);
            text.push_str(piece);
        }
        if done {
            return Ok(text);
        }
        bail!("the stream was cut after {} bytes of text", text.len())
    }

    /// A whole answer to a completion.
    pub fn complete(&self, model: &str, prompt: &str, max_tokens: u32) -> Result<CallerAnswer> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        read(self.post("/v1/completions", &[], &body.to_string())?)
    }

    /// A POST to a path, with headers.
    pub fn send(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Result<CallerAnswer> {
        read(self.post(path, headers, body)?)
    }

    /// A GET of a path.
    pub fn get(&self, path: &str) -> Result<CallerAnswer> {
        let req =
            self.agent.get(self.url(path)).header("authorization", format!("Bearer {}", self.key));
        read(req.call().wrap_err_with(|| format!("GET {path} at {}", self.entry))?)
    }

    fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response<ureq::Body>> {
        let mut req = self.agent.post(self.url(path)).content_type("application/json");
        req = req.header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        req.send(body).wrap_err_with(|| format!("POST {path} at {}", self.entry))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry)
    }
}

fn read(mut response: Response<ureq::Body>) -> Result<CallerAnswer> {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let replayed = header("sorrellock-replayed").is_some();
    let (outcome, retry_after) = (header("sorrellock-outcome"), header("retry-after"));
    Ok(CallerAnswer {
        status: response.status().as_u16(),
        outcome: outcome.unwrap_or_default(),
        retry_after,
        replayed,
        body: response.body_mut().read_to_string().wrap_err("reading the answer")?,
    })
}
