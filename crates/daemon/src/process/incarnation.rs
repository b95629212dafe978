//! The number that tells one start of a process from another.

use sorrellock_core::id::Incarnation;

/// Draws an incarnation; never 0, which means any.
pub fn draw_incarnation() -> Incarnation {
    rand::random::<u64>().max(1)
}
