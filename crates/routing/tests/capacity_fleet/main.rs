//! A fleet that gives out the capacity of its engines, in simulated time: what the engines see, and what callers get.

mod engines;
mod focused;
mod gateway;
mod world;
