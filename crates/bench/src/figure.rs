//! How a figure is printed.

use std::fmt::Display;

/// Prints one figure on a line of its own.
pub fn figure(name: &str, value: impl Display, unit: &str) {
    println!("figure {name} {value} {unit}");
}

/// Prints a figure with two decimals.
pub fn figure_f64(name: &str, value: f64, unit: &str) {
    figure(name, format_args!("{value:.2}"), unit);
}
