//! A fleet that gives out the capacity of its engines, in simulated time: what the engines see, and what callers get.

mod focused;
mod gateway;
mod world;
