//! Structured log lines on standard output, through a bounded buffer that never blocks.

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{SinkPropAccess, WriteSink};
use spdlog::{LevelFilter, Logger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Bytes of lines that wait for the writer: about 2,000 lines, a minute of a busy gateway.
pub const LOG_BUFFER_BYTES: usize = 512 << 10;
/// How often lines are written: at 5 a second the wake-ups cost less than the lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Lines that were dropped since the start, as the buffer was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The lines that wait, shared by the logger and the thread that writes them.
#[derive(Clone, Default)]
struct Lines {
    buf: Arc<Mutex<Vec<u8>>>,
}

impl Write for Lines {
    /// Takes a line whole or drops it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buf = self.buf.lock().expect("no panic holds this lock");
        if buf.len() + line.len() > LOG_BUFFER_BYTES {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        } else {
            buf.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.buf.lock().expect("no panic holds this lock"))
    }
}

/// Writes JSON lines to standard output from a thread of its own. The returned guard writes what
/// is left when it is dropped.
pub fn set_up_log() -> LogGuard {
    let lines = Lines::default();
    let sink = WriteSink::builder().target(lines.clone()).build();
    let sink = sink.expect("the sink's settings are complete");
    sink.set_formatter(Box::new(JsonFormatter::new()));
    let mut logger = Logger::builder();
    logger.sink(Arc::new(sink)).level_filter(LevelFilter::All);
    let logger = logger.build().expect("the logger's settings are complete");
    spdlog::set_default_logger(Arc::new(logger));
    let to_write = lines.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            write_out(&to_write);
        }
    });
    LogGuard { lines }
}

/// Writes what is left of the log when it is dropped.
pub struct LogGuard {
    lines: Lines,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        write_out(&self.lines);
    }
}

/// Only this may wait for the reader of standard output; a failed write costs its lines.
fn write_out(lines: &Lines) {
    let buf = lines.take();
    if !buf.is_empty() && io::stdout().write_all(&buf).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}
