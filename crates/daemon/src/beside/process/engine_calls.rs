//! The thread that releases, exports and imports KV caches, concurrently with batches.

use crate::beside::process::EngineRunner;
use crossbeam::channel::Receiver;
use sorrellock_core::request::{Handover, KvExport, RequestKey};
use sorrellock_ports::api::Engine;
use sorrellock_wire::connection::Link;

/// A call to an engine other than a batch.
pub(super) enum EngineCall {
    /// Releases the KV cache of a session.
    Release(String),
    /// Exports a KV cache.
    Export(KvExport),
    /// Imports a KV cache that was handed over.
    Import {
        /// The request.
        request: RequestKey,
        /// Session of the KV cache.
        session: String,
        /// Handover message of the leaving stage, with the KV cache.
        handover: Handover,
    },
}

/// Makes queued calls until the queue is closed.
pub(super) fn run_calls<L: Link, E: Engine>(
    runner: &EngineRunner<L, E>,
    rx: &Receiver<EngineCall>,
) {
    while let Ok(call) = rx.recv() {
        match call {
            EngineCall::Release(session) => release(runner, session, rx),
            other => transfer(runner, other),
        }
    }
}

/// Releases a KV cache, together with the releases that directly follow it in the queue.
fn release<L: Link, E: Engine>(
    runner: &EngineRunner<L, E>,
    first: String,
    rx: &Receiver<EngineCall>,
) {
    let mut sessions = vec![first];
    let mut other = None;
    while let Ok(call) = rx.try_recv() {
        match call {
            EngineCall::Release(session) => sessions.push(session),
            call => {
                other = Some(call);
                break;
            }
        }
    }
    let _ = runner.engine.release(&sessions);
    if let Some(call) = other {
        transfer(runner, call);
    }
}

fn transfer<L: Link, E: Engine>(runner: &EngineRunner<L, E>, call: EngineCall) {
    match call {
        EngineCall::Release(session) => drop(runner.engine.release(&[session])),
        EngineCall::Export(export) => {
            let kv = export_session(&*runner.engine, &export);
            runner.change(|state, out| state.table.on_exported(export.request, kv, out));
        }
        EngineCall::Import { request, session, mut handover } => {
            let kv = std::mem::take(&mut handover.kv);
            let put = runner.engine.import_kv(&session, &kv);
            let result = put.map(|()| handover).map_err(|err| err.to_string());
            runner.change(|state, out| state.table.on_imported(request, &session, result, out));
        }
    }
}

fn export_session<E: Engine>(engine: &E, export: &KvExport) -> Option<Vec<u8>> {
    if let Some(position) = export.truncate {
        engine.truncate(&export.session, position).ok()?;
    }
    engine.export_kv(&export.session).ok()
}
