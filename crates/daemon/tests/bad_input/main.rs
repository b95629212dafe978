//! Bad input at the entry: each gets a clear answer or a counter, and the process goes on.

mod callers_gone;
mod entry_fixture;
mod link_port;
mod raw_http;
mod requests;
