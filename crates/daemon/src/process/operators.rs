//! The operators' listener: `GET /dump`, `GET /healthz`. Astra serves it; it takes no bodies.

use crate::process::Dump;
use astra::{Body, Request, Response, ResponseBuilder, Server};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::{io, thread};

/// The most connections of operators at a time.
const MAX_CONNECTIONS: usize = 8;

/// Starts the operators' listener, and returns where it listens.
pub fn listen_for_operators(addr: SocketAddr, state: Arc<dyn Dump>) -> io::Result<SocketAddr> {
    // astra binds late, in its own thread: bind here to tell the address and to fail early.
    let probe = TcpListener::bind(addr)?;
    let addr = probe.local_addr()?;
    drop(probe);
    let serve = move |req: Request, _| answer(&req, &*state);
    thread::Builder::new().name("operators".into()).spawn(move || {
        let server = Server::bind(addr).max_workers(MAX_CONNECTIONS);
        if let Err(err) = server.serve(serve) {
            spdlog::error!("operators' listener on {addr} ended: {err}");
        }
    })?;
    Ok(addr)
}

fn answer(req: &Request, state: &dyn Dump) -> Response {
    match req.uri().path() {
        "/dump" => json(200, serde_json::to_string_pretty(&state.dump()).unwrap_or_default()),
        "/healthz" => json(200, "{}".into()),
        _ => json(404, r#"{"title":"no such page","detail":"take /dump or /healthz"}"#.into()),
    }
}

fn json(status: u16, text: String) -> Response {
    ResponseBuilder::new()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::new(text))
        .expect("the answer is well formed")
}
