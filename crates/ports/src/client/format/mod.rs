//! The shapes of the calls and answers on HTTP, shared by the clients and the stand-ins.
//!
//! - `GET`, `PUT` and `DELETE /v1/objects/KEY`: the version stands in `ETag`. A put carries
//!   `If-None-Match: *` or `If-Match: "VERSION"`, a delete `If-Match`. 412 tells the version found
//!   in its `ETag`, 0 for none; 429 tells `Retry-After`; 503 tells that the store is down.
//! - `GET /v1/objects?prefix=P` and `GET /v1/watch?prefix=P&after=R&wait_ms=N` give a
//!   [`Listing`](crate::api::Listing).
//! - `GET /v1/instances` gives a list of [`Instance`](crate::api::Instance).
//! - `GET /v1/engine`, `POST /v1/batch`, `POST /v1/release`, `POST /v1/truncate`,
//!   `GET` and `PUT /v1/kv/SESSION`, `GET /v1/load`, `GET /v1/cache-events?after=N`,
//!   `POST /v1/orders`: JSON, but for the KV cache, which is bytes.

mod batch;
mod encoding;
mod session;

pub use batch::*;
pub use encoding::*;
pub use session::*;
