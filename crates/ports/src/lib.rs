//! Traits towards the platform, the engines and plain services, and their HTTP clients.
//!
//! Everything foreign stays behind the traits in [`api`]; the clients that speak
//! HTTP are in [`client`]; [`config`] is the operators' side of the configuration.

pub mod api;
pub mod client;
pub mod config;
