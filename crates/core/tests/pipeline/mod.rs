//! A fleet for the fuzz: real stage tables and drivers, a network and engines that fail.

pub mod choices;
pub mod daemon;
pub mod engine;
pub mod entry;
mod lost_token;
pub mod world;
