//! The callers' API: validates a request, admits it and passes it to the admission gate.

use crate::entry::process::{Gate, InProgress, NewCall, NewPipeline, Work};
use crate::entry::request::{CompletionRequest, Problem, RunOnce, Shape};
use crate::process::{ConfigAgent, Count, Counters};
use sorrellock_core::process::ledger::{fingerprint, record_key};
use sorrellock_core::request::RequestKey;
use sorrellock_core::version::{Class, ConfigView, DEFAULT_KIND, Row, Workspace};
use sorrellock_http::{Request, Responder};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::CallRequest;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Path under which plain services are called: `/v1/services/SERVICE/PATH`.
const SERVICES: &str = "/v1/services/";
/// Header that names the kind of a request.
const KIND_HEADER: &str = "sorrellock-kind";
/// Header that gives the time left, in milliseconds.
const DEADLINE_HEADER: &str = "sorrellock-deadline-ms";
/// Header that identifies a request which must run at most once, however often it is sent.
const KEY_HEADER: &str = "idempotency-key";
/// The longest key that a caller may send, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// The longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The callers' API.
pub struct Api<L> {
    pub(super) config: Arc<ConfigAgent>,
    pub(super) in_progress: Arc<InProgress>,
    pub(super) gate: Arc<Gate<L>>,
    pub(super) counters: Arc<Counters>,
}

/// Holds the workspace, limits and deadline that apply to a request, as derived from its headers.
struct RequestContext {
    config: Arc<ConfigView>,
    workspace: Arc<Workspace>,
    row: Arc<Row>,
    deadline: Instant,
}

impl<L: Link> Api<L> {
    /// Handles a request; the answer may be sent after this returns.
    pub fn handle(&self, req: Request) {
        match req.path_only() {
            "/healthz" => req.responder.send(200, &[], "live\n"),
            "/readyz" => self.ready(req.responder),
            "/v1/completions" => self.completion(req, Shape::Completion),
            "/v1/chat/completions" => self.completion(req, Shape::Chat),
            path if path.starts_with(SERVICES) => self.service(req),
            _ => {
                let detail =
                    "take /v1/completions, /v1/chat/completions or /v1/services/SERVICE/PATH";
                self.refuse(req.responder, Problem::bad(404, "no such path", detail));
            }
        }
    }

    fn ready(&self, responder: Responder) {
        if self.in_progress.is_leaving() {
            return responder.send(503, &[], "leaving\n");
        }
        if !self.config.is_ready() {
            return responder.send(503, &[], "no configuration yet\n");
        }
        responder.send(200, &[], "ready\n");
    }

    fn completion(&self, req: Request, shape: Shape) {
        match self.new_pipeline(&req, shape) {
            Ok((new, row)) => self.gate.offer(Work::Pipeline(new), row, req.responder),
            Err(problem) => self.refuse(req.responder, problem),
        }
    }

    fn service(&self, req: Request) {
        match self.new_call(&req) {
            Ok((new, row)) => self.gate.offer(Work::Call(new), row, req.responder),
            Err(problem) => self.refuse(req.responder, problem),
        }
    }

    fn new_pipeline(
        &self,
        req: &Request,
        shape: Shape,
    ) -> Result<(NewPipeline, Arc<Row>), Problem> {
        self.counters.count(Count::Requests);
        if req.method != "POST" {
            return Err(Problem::bad(
                405,
                "wrong method",
                format!("{} takes POST", req.path_only()),
            ));
        }
        let context = self.context(req)?;
        let asked = CompletionRequest::parse(shape, &req.body)?;
        let pipeline = context.config.pipeline(&asked.model).cloned();
        let pipeline =
            pipeline.filter(|pipeline| context.workspace.may_call.contains(&pipeline.id));
        let Some(pipeline) = pipeline else { return Err(not_callable("model", &asked.model)) };
        let once = match context.row.idempotent {
            true => None,
            false => run_once(req, &context.workspace.id)?,
        };
        let new = NewPipeline {
            request: self.admit()?,
            workspace: context.workspace.id.clone(),
            asked,
            pipeline,
            deadline: context.deadline,
            class: context.row.class,
            once,
        };
        Ok((new, context.row))
    }

    fn new_call(&self, req: &Request) -> Result<(NewCall, Arc<Row>), Problem> {
        self.counters.count(Count::Requests);
        let context = self.context(req)?;
        let rest = &req.path[SERVICES.len()..];
        let (service, path) = match rest.find(['/', '?']) {
            Some(at) => rest.split_at(at),
            None => (rest, ""),
        };
        if !context.workspace.may_call.iter().any(|id| id == service) {
            return Err(not_callable("service", service));
        }
        let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        let safe = matches!(req.method.as_str(), "GET" | "HEAD");
        let idempotent = safe || context.row.idempotent;
        let once = if idempotent { None } else { run_once(req, &context.workspace.id)? };
        let request = self.admit()?;
        let new = NewCall {
            request,
            workspace: context.workspace.id.clone(),
            service: service.to_owned(),
            call: call_request(req, request, path, context.row.class),
            idempotent,
            once,
            deadline: context.deadline,
        };
        Ok((new, context.row))
    }

    fn admit(&self) -> Result<RequestKey, Problem> {
        self.in_progress.admit().map_err(Problem::from)
    }

    fn context(&self, req: &Request) -> Result<RequestContext, Problem> {
        let config = self.config.view();
        let key = req.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let Some(key) = key else {
            let detail = "send `Authorization: Bearer KEY` with the key of your workspace";
            return Err(Problem::bad(401, "no key", detail));
        };
        let Some(workspace) = config.workspace(key).cloned() else {
            return Err(Problem::bad(401, "unknown key", "no workspace has this key"));
        };
        let kind = text_header(req, KIND_HEADER)?.unwrap_or(DEFAULT_KIND);
        let row = config.row(&workspace.id, kind);
        let deadline = Instant::now() + deadline(req, &row)?;
        Ok(RequestContext { config, workspace, row, deadline })
    }

    fn refuse(&self, responder: Responder, problem: Problem) {
        let refused = problem.retry_after.is_some();
        self.counters.count(if refused { Count::NotRun } else { Count::BadRequests });
        problem.send(responder);
    }
}

/// Returns a header's value if it is present. A value that isn't text is an error: ignoring the header
/// would change the meaning of the request.
fn text_header<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = req.headers.get(name) else { return Ok(None) };
    let bad = |_| {
        let detail = format!("{name} has characters outside ASCII; send printable ASCII");
        Problem::bad(400, "bad header", detail)
    };
    value.to_str().map(Some).map_err(bad)
}

fn deadline(req: &Request, row: &Row) -> Result<Duration, Problem> {
    let Some(text) = text_header(req, DEADLINE_HEADER)? else {
        return Ok(Duration::from_millis(row.deadline_ms));
    };
    match text.parse() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let detail = format!("Sorrellock-Deadline-Ms is `{text}`; send 1 to {MAX_DEADLINE_MS}");
            Err(Problem::bad(400, "bad deadline", detail))
        }
    }
}

/// Returns the ledger key and fingerprint of a request that has an idempotency key.
fn run_once(req: &Request, workspace: &str) -> Result<Option<RunOnce>, Problem> {
    let Some(key) = text_header(req, KEY_HEADER)? else { return Ok(None) };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("Idempotency-Key has {} bytes; send 1 to {MAX_KEY_BYTES}", key.len());
        return Err(Problem::bad(400, "bad key", detail));
    }
    // The model, if any, is part of the body and so of the fingerprint.
    let fingerprint =
        fingerprint(&[req.method.as_str().as_bytes(), req.path.as_bytes(), &req.body]);
    Ok(Some(RunOnce { key: record_key(workspace, key), fingerprint }))
}

fn not_callable(what: &str, name: &str) -> Problem {
    let detail = format!("{what} `{name}` is not one that this workspace may call");
    Problem::bad(404, &format!("no such {what}"), detail)
}

fn call_request(req: &Request, request: RequestKey, path: String, class: Class) -> CallRequest {
    CallRequest {
        request,
        attempt: 0,
        endpoint: String::new(),
        method: req.method.to_string(),
        path,
        content_type: req.header("content-type").map(str::to_owned),
        idempotency_key: req.header(KEY_HEADER).map(str::to_owned),
        body: req.body.to_vec(),
        deadline_ms: 0,
        priority: class.priority(),
    }
}
