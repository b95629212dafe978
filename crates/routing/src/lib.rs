//! The decisions of the gateway, without sockets, threads or clocks of their own.
//!
//! A gateway stands before engines that pass tokens along a path by themselves: it places layers,
//! chooses a path for each request, admits or refuses, and decides what may be sent again. All
//! inputs, the present instant included, come as values. Modules are laid out by life span:
//! [`request`], [`version`] (of the configuration) and [`process`].

pub mod process;
pub mod request;
pub mod version;
