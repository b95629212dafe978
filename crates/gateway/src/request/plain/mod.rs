//! Serves requests to plain services, where one endpoint runs the whole request.

mod call_attempts;
mod serve;
mod stream_relay;
mod stream_search;

pub(crate) use serve::*;
pub(crate) use stream_relay::serve_plain_stream;
