//! Many gateways, over lossy messages, before engines that name, change and withdraw a limit: how many requests an engine
//! gets.

mod focused;
mod fuzz;
mod gateway;
mod world;
