//! Gateways that learn of each other through relays, in simulated time.

mod focused;
mod world;
