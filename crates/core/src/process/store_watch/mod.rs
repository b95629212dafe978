//! When a process asks the platform's store what changed, so that no silence hides a change for long.
//!
//! A watch that has no news looks the same as one that is never going to be answered: the store was silent as it was sent, or
//! its connection went silent without a reset. How long that may last must not depend on how long a watch may wait, nor on how
//! long the silence lasts. Three rules see to it:
//!
//! - **One asks often.** The first of the processes that hear each other has an answer in each
//!   [`WatchTimes::interval`]; all others watch for long. After news all watch again at the same moment, and a silence may take all
//!   of these watches at once.
//! - **Check.** After a call that brought no answer in time, short calls that don't wait follow each other until one is answered.
//! - **Age.** Each process tells the others how old its knowledge is. One that can't rely on any of them any more, as all are
//!   silent or older than [`WatchSchedule::oldest`], asks by itself.

mod schedule;
mod times;

pub use schedule::*;
pub use times::*;
