//! A timer that runs a callback for each request whose deadline passed.

use sorrellock_core::id::Sequence;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;

/// Holds requests ordered by deadline. Each added deadline stays queued until it passes.
#[derive(Default)]
pub struct Timer {
    queue: Mutex<BinaryHeap<Reverse<(Instant, Sequence)>>>,
    first_changed: Condvar,
}

impl Timer {
    /// Adds a request.
    pub fn add(&self, deadline: Instant, sequence: Sequence) {
        let mut queue = self.queue.lock().unwrap();
        let first = queue.peek().is_none_or(|Reverse((first, _))| deadline < *first);
        queue.push(Reverse((deadline, sequence)));
        if first {
            self.first_changed.notify_one();
        }
    }

    /// Starts the thread that calls `expired` for each request whose deadline passed.
    pub fn start(self: &Arc<Self>, expired: impl Fn(Sequence) + Send + 'static) {
        let timer = self.clone();
        thread::Builder::new()
            .name("deadlines".into())
            .spawn(move || {
                loop {
                    expired(timer.next());
                }
            })
            .expect("a thread can be started");
    }

    /// Waits for the next deadline to pass.
    fn next(&self) -> Sequence {
        let mut queue = self.queue.lock().unwrap();
        loop {
            let now = Instant::now();
            match queue.peek() {
                Some(Reverse((deadline, sequence))) if *deadline <= now => {
                    let sequence = *sequence;
                    queue.pop();
                    return sequence;
                }
                Some(Reverse((deadline, _))) => {
                    let wait = *deadline - now;
                    queue = self.first_changed.wait_timeout(queue, wait).unwrap().0;
                }
                None => queue = self.first_changed.wait(queue).unwrap(),
            }
        }
    }
}
