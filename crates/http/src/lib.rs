//! The HTTP/1.1 listener shared by the entry and the stand-ins, and the gateway's client for calls
//! besides requests.
//!
//! The listener: a small runtime on a thread of its own holds nothing but the listener and its
//! connections. It reads whole requests and hands them over a bounded channel to
//! plain threads, which answer through a [`Responder`] at once or later, from any
//! thread, whole or as a stream of chunks.

mod client;
mod connection;
mod drained_timeout;
mod process;
mod request;

pub use bytes::Bytes;
pub use client::{Answer, CallError, Client, Limits};
pub use connection::{
    Activity, BudgetedStream, CallerCounters, CallerSlot, Callers, Charge, HeadBudget,
    WatchedStream, connect,
};
pub use drained_timeout::drain_event_loop;
pub use process::{Counters, Server, ServerConfig, listen, listen_for_callers, machine_limits};
pub use process::{
    DEFAULT_BODY_TIMEOUT, DEFAULT_CHUNK_QUEUE, DEFAULT_DRAIN_TIMEOUT, DEFAULT_HEADER_TIMEOUT,
    DEFAULT_IDLE_TIMEOUT, DEFAULT_MAX_BODY_BYTES, DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_HEADER_BYTES, DEFAULT_QUEUE, DEFAULT_WORKERS,
};
pub use request::{
    AnswerBody, BodyStream, ByteSegments, Cut, Part, PushError, ReadError, Request, Responder,
    discard, read_answer, read_body,
};
