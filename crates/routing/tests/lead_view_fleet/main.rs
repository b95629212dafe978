//! The lead's view at many gateways, over lossy, late and reordered messages.

mod focused;
mod fuzz;
mod world;
