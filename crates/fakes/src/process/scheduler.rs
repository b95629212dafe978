//! Does things later, on one thread of its own.

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Longest sleep with nothing to do.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Hands items over at their time. The requests in progress bound how many wait.
#[derive(Debug)]
pub(crate) struct Scheduler<T> {
    tx: Sender<Message<T>>,
}

#[derive(Debug)]
enum Message<T> {
    At(Instant, T),
    Stop,
}

impl<T: Send + 'static> Scheduler<T> {
    /// A scheduler and the source of its items; [`run_scheduler`] joins them.
    pub(crate) fn new() -> (Scheduler<T>, ScheduledItems<T>) {
        let (tx, rx) = unbounded();
        (Scheduler { tx }, ScheduledItems { rx })
    }

    /// Hands `item` over at `at`, or at once if that is past.
    pub(crate) fn schedule(&self, at: Instant, item: T) {
        // After the stop there is nobody left to care.
        let _ = self.tx.send(Message::At(at, item));
    }

    /// Ends the thread; items still waiting are dropped.
    pub(crate) fn stop(&self) {
        let _ = self.tx.send(Message::Stop);
    }
}

/// The items of a scheduler on their way to its thread.
pub(crate) struct ScheduledItems<T> {
    rx: Receiver<Message<T>>,
}

/// Starts the thread that hands items over to `run`.
pub(crate) fn run_scheduler<T: Send + 'static>(
    name: &str,
    items: ScheduledItems<T>,
    run: impl Fn(T) + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(move || hand_over(&items.rx, run)).map(|_| ())
}

fn hand_over<T>(rx: &Receiver<Message<T>>, run: impl Fn(T)) {
    let mut waiting = BinaryHeap::new();
    let mut number = 0;
    loop {
        let now = Instant::now();
        while waiting.peek().is_some_and(|item: &Waiting<T>| item.at <= now) {
            if let Some(item) = waiting.pop() {
                run(item.item);
            }
        }
        let next = waiting.peek().map_or(now + IDLE_WAIT, |item| item.at);
        match rx.recv_deadline(next) {
            Ok(Message::At(at, item)) => {
                number += 1;
                waiting.push(Waiting { at, number, item });
            }
            Ok(Message::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
    }
}

/// An item that waits; the earliest is the greatest.
struct Waiting<T> {
    at: Instant,
    number: u64,
    item: T,
}

impl<T> Ord for Waiting<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<T> PartialOrd for Waiting<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Waiting<T> {}
