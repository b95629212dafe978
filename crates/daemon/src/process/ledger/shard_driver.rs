//! Drives the holder of one shard: a thread makes the holder's calls to the store, one at a time.

use super::StoreCaller;
use sorrellock_core::clock::{Clock, SystemClock};
use sorrellock_core::process::ledger::{Claim, ClaimReply, Holder, HolderStep, UnixMs};
use sorrellock_core::request::Peer;
use sorrellock_ports::api::ObjectStore;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum wait of an idle driver thread, after which it checks whether the driver was dropped.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);

/// Delivers a holder's answers to the claimants.
pub trait AnswerSink: Send + Sync + 'static {
    /// Delivers an answer.
    fn answer(&self, reply: ClaimReply);
}

/// The holder of one shard with the thread that makes its calls to the store.
pub struct ShardDriver<S, A> {
    holder: Mutex<Holder<SystemClock>>,
    claimed: Condvar,
    store: StoreCaller<S>,
    sink: Arc<A>,
}

impl<S: ObjectStore, A: AnswerSink> ShardDriver<S, A> {
    /// Starts the thread of a holder. The thread ends soon after the driver is dropped.
    pub fn start(
        holder: Holder<SystemClock>,
        store: StoreCaller<S>,
        sink: Arc<A>,
    ) -> Arc<ShardDriver<S, A>> {
        let holder = Mutex::new(holder);
        let driver = Arc::new(ShardDriver { holder, claimed: Condvar::new(), store, sink });
        let weak = Arc::downgrade(&driver);
        thread::Builder::new()
            .name("ledger-shard".into())
            .spawn(move || run(&weak))
            .expect("a thread can be started");
        driver
    }

    /// Passes a claim to the holder, and delivers the answers that are ready.
    pub fn claim(&self, from: Peer, claim: Claim) {
        let mut holder = self.holder();
        holder.claim(from, claim);
        let answers = holder.take_answers();
        drop(holder);
        self.claimed.notify_one();
        self.send(answers);
    }

    /// Calls `read` with the holder, under its lock, and returns the result.
    pub fn with<T>(&self, read: impl FnOnce(&Holder<SystemClock>) -> T) -> T {
        read(&self.holder())
    }

    /// Makes the holder's next call to the store, or waits for a claim or the holder's deadline.
    fn step(&self) {
        let mut holder = self.holder();
        let next = holder.next(now_ms());
        let answers = holder.take_answers();
        match next {
            HolderStep::Call(call) => {
                drop(holder);
                self.send(answers);
                let reply = self.store.call(&call);
                let mut holder = self.holder();
                holder.on_reply(reply);
                let answers = holder.take_answers();
                drop(holder);
                self.send(answers);
            }
            HolderStep::WaitUntil(at) => {
                let wait = at.saturating_duration_since(SystemClock.now()).min(MAX_IDLE_WAIT);
                self.wait(holder, answers, wait);
            }
            HolderStep::Idle => self.wait(holder, answers, MAX_IDLE_WAIT),
        }
    }

    fn wait(
        &self,
        holder: MutexGuard<'_, Holder<SystemClock>>,
        answers: Vec<ClaimReply>,
        wait: Duration,
    ) {
        if answers.is_empty() {
            let _ = self.claimed.wait_timeout(holder, wait);
            return;
        }
        drop(holder);
        self.send(answers);
    }

    fn send(&self, answers: Vec<ClaimReply>) {
        answers.into_iter().for_each(|reply| self.sink.answer(reply));
    }

    fn holder(&self) -> MutexGuard<'_, Holder<SystemClock>> {
        self.holder.lock().unwrap()
    }
}

fn run<S: ObjectStore, A: AnswerSink>(driver: &Weak<ShardDriver<S, A>>) {
    while let Some(driver) = driver.upgrade() {
        driver.step();
    }
}

fn now_ms() -> UnixMs {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_millis() as UnixMs
}
