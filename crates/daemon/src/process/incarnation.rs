//! The random number that distinguishes one start of a process from another.

use sorrellock_core::id::Incarnation;

/// Returns a random incarnation. Never 0, which stands for any incarnation.
pub fn draw_incarnation() -> Incarnation {
    rand::random::<u64>().max(1)
}
