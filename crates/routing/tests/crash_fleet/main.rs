//! Many gateways, over lossy messages, before engines that a request crashes: how often it is sent, and how many
//! innocent requests are held back with it.

mod focused;
mod fuzz;
mod gateway;
mod store;
mod world;
