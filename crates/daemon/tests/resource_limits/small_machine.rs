//! A gateway on a machine with little memory and few descriptors, before one plain service.

use crate::crowd::Crowd;
use crate::fleet::{Fleet, KEY, config, fleet};
use crate::gateway_process::{GatewayProcess, settings, wait_for};
use crate::request::{self, Answer};
use crate::usage::{Usage, UsageWatch};
use sorrellock_stand_ins::new_ip;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Memory of the machine, in MB.
const MEMORY_MB: usize = 96;
/// Descriptors that a process on the machine may have.
const MAX_FDS: usize = 600;
/// Maximum size of a body that the configuration allows.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum size of a head that the configuration allows.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// How long a crowd stays once it is there, so that clients that are cut off come back.
const STAY: Duration = Duration::from_secs(3);
/// Body of an ordinary call.
const ORDINARY_BODY: &[u8] = b"an ordinary body";

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of these runs, and keeps others from it.
pub fn alone() -> MutexGuard<'static, ()> {
    // A test that failed before has ended all the same.
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The machine, with its gateway and stand-ins. No other test has one meanwhile.
pub struct SmallMachine {
    pub fleet: Fleet,
    pub gateway: GatewayProcess,
    watch: UsageWatch,
    _alone: MutexGuard<'static, ()>,
}

impl SmallMachine {
    /// Starts a gateway and waits until it is ready.
    pub fn start() -> SmallMachine {
        let alone = alone();
        let fleet = fleet();
        let mut cfg = config(2, &[KEY]);
        cfg["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
        cfg["limits"]["max_header_bytes"] = MAX_HEAD_BYTES.into();
        fleet.store.put("config", "main", cfg);
        let ip = new_ip();
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n");
        let settings = settings("one", "north", ip, fleet.store.addr()) + &limits;
        let gateway = GatewayProcess::spawn_with(ip, &settings, true);
        wait_for("the gateway to be ready", || gateway.is_ready());
        gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
        let watch = UsageWatch::start(gateway.pid().as_raw(), ip);
        let machine = SmallMachine { fleet, gateway, watch, _alone: alone };
        machine.serves(ORDINARY_BODY);
        machine
    }

    /// Waits until the crowd is there, keeps it for a while, and checks that an ordinary caller is served beside it and
    /// after it.
    pub fn bear(&mut self, crowd: Crowd) {
        crowd.wait_placed();
        thread::sleep(STAY);
        self.check();
        self.serves(ORDINARY_BODY);
        drop(crowd);
        self.serves(ORDINARY_BODY);
        self.serves(&vec![b'x'; MAX_BODY_BYTES]);
        self.check();
    }

    /// Checks that the process lives, and that it held no more than the machine has.
    fn check(&mut self) {
        assert!(!self.gateway.has_ended(), "the gateway has ended");
        let Usage { memory, descriptors } = self.watch.peaks();
        let max_memory = MEMORY_MB * 1_000_000;
        assert!(memory <= max_memory, "the gateway held {memory} bytes of {max_memory}");
        assert!(descriptors <= MAX_FDS, "the gateway had {descriptors} descriptors of {MAX_FDS}");
    }

    /// Waits until a call with this body is answered; it may be refused before.
    fn serves(&self, body: &[u8]) {
        wait_for("an answer to an ordinary call", || {
            let answer = request::call(self.gateway.callers(), body);
            matches!(answer, Ok((_, Answer { status: 200, body: echo })) if echo == body)
        });
    }
}
