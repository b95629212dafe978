//! The threads that run the handler.

use crate::process::{Counters, ServerConfig, count};
use crate::request::Request;
use crossbeam::channel::{Receiver, Sender, bounded};
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;

/// Starts the workers. They end once the sender is dropped.
pub(crate) fn start_workers<H>(
    cfg: &ServerConfig,
    counters: &Arc<Counters>,
    handler: H,
) -> io::Result<Sender<Request>>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let (tx, rx) = bounded(cfg.queue);
    let handler = Arc::new(handler);
    for index in 0..cfg.workers.max(1) {
        let rx = rx.clone();
        let handler = Arc::clone(&handler);
        let counters = Arc::clone(counters);
        thread::Builder::new()
            .name(format!("{}-worker-{index}", cfg.name))
            .spawn(move || work(&rx, &*handler, &counters))?;
    }
    Ok(tx)
}

fn work<H: Fn(Request)>(rx: &Receiver<Request>, handler: &H, counters: &Counters) {
    for req in rx {
        // A panic costs its own request only: the dropped responder answers 500.
        if catch_unwind(AssertUnwindSafe(|| handler(req))).is_err() {
            count(&counters.handler_panics);
        }
    }
}
