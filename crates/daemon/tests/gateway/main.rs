//! The gateway as a process, on stand-ins of the users' platform.

mod crashing_requests;
mod dropped_services;
mod endpoint_backoff;
mod endpoint_limits;
mod endpoint_notices;
mod entries;
mod eras;
mod first_event;
mod fleet;
mod full_endpoints;
mod gateway_process;
mod incarnations;
mod kept_connections;
mod knowledge;
mod late;
mod late_turns;
mod leaving;
mod life;
mod limits;
mod pauses;
mod plain_attempts;
mod plain_calls;
mod planned_work;
mod silence;
mod soak;
mod streams;
