//! Schedule of the calls by which a process watches the platform's store, so that an outage never hides a change for long.
//!
//! A watch without changes can't be told from a watch that is never going to be answered: the store was silent when it was
//! sent, or its connection went silent without a reset. The delay of a change must depend neither on how long a watch may wait
//! nor on how long the silence lasts. Three rules ensure that:
//!
//! - **Short interval.** The first of the processes that are in contact gets an answer in each [`WatchTimes::interval`]; all
//!   others send long watches. After a change all watch again at the same time, and a silence may affect all of these watches
//!   at once.
//! - **Check.** After a call without an answer in time, short calls without a wait follow each other until one is answered.
//! - **Age.** Each process reports the age of its data to the others. A process calls the store itself once all others are
//!   silent or their data is older than [`WatchSchedule::max_age`].

mod schedule;
mod times;

pub use schedule::*;
pub use times::*;
