//! Callers that don't keep to the limits make a gateway hold no more memory and descriptors than its machine has.
//!
//! Each test starts a gateway of its own on a small machine, opens a crowd of callers, and checks what doesn't depend on
//! the machine's speed: the process lives, its memory and descriptors stay within the limits of its settings, and an
//! ordinary request is answered. The tests run one at a time.

mod answers;
mod bodies;
mod connections;
mod crowd;
mod entry_bodies;
#[path = "../gateway/fleet.rs"]
#[allow(dead_code, unused_imports, reason = "shared with the tests of the gateway")]
mod fleet;
#[path = "../gateway/gateway_process.rs"]
#[allow(dead_code, unused_imports, reason = "shared with the tests of the gateway")]
mod gateway_process;
mod request;
mod small_machine;
mod usage;
