//! The gateway as a process, on stand-ins of the users' platform.

mod entries;
mod eras;
mod fleet;
mod gateway_process;
mod knowledge;
mod leaving;
mod life;
mod lives;
mod plain_calls;
mod planned_work;
mod silence;
mod soak;
mod streams;
