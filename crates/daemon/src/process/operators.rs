//! The HTTP listener for operators: `GET /dump` and `GET /healthz`.

use crate::process::Dump;
use sorrellock_http::{Request, Server, ServerConfig};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 16;
/// Number of worker threads; more than one, so that a slow dump does not delay `/healthz`.
const WORKERS: usize = 2;
/// Maximum size of a request body; the requests served here need none.
const MAX_BODY_BYTES: usize = 1 << 10;

/// Starts the listener for operators. It runs until the returned server is dropped.
pub fn listen_for_operators(addr: SocketAddr, state: Arc<dyn Dump>) -> io::Result<Server> {
    let cfg = ServerConfig::new(addr)
        .with_name("operators")
        .with_workers(WORKERS)
        .with_max_connections(MAX_CONNECTIONS)
        .with_max_body_bytes(MAX_BODY_BYTES);
    let server = Server::start(cfg, move |req| answer(req, &*state))?;
    spdlog::info!("listening for operators on {}", server.addr());
    Ok(server)
}

fn answer(req: Request, state: &dyn Dump) {
    if req.method != "GET" {
        return problem(req, 405, "wrong method", "the operators' listener takes GET only");
    }
    match req.path_only() {
        "/dump" => {
            let text = serde_json::to_string_pretty(&state.dump()).unwrap_or_default();
            req.responder.send(200, &[("content-type", "application/json")], text);
        }
        "/healthz" => req.responder.send(200, &[], "live\n"),
        _ => problem(req, 404, "no such page", "take /dump or /healthz"),
    }
}

fn problem(req: Request, status: u16, title: &str, detail: &str) {
    let body = serde_json::json!({ "status": status, "title": title, "detail": detail });
    let headers = [("content-type", "application/problem+json")];
    req.responder.send(status, &headers, body.to_string());
}
