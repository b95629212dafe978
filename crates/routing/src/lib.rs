//! Decisions of the gateway, without sockets, threads or clocks of their own.
//!
//! A gateway stands in front of engines that pass tokens along a path by themselves: it places layers, chooses a
//! path for each request, admits or refuses requests, and decides what may be sent again. All inputs, including
//! the current time, are passed as values. Modules are grouped by lifetime: [`request`], [`version`] (of the
//! configuration) and [`process`].

pub mod process;
pub mod request;
pub mod version;
