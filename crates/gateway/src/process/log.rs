//! Structured log lines on standard output, through a bounded buffer that never blocks and reserves capacity for
//! failures.

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{SinkPropAccess, WriteSink};
use spdlog::{Level, LevelFilter, Logger};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Size of the buffer for the writer thread: about 2,000 lines, a minute of a busy gateway.
pub const LOG_BUFFER_BYTES: usize = 512 << 10;
/// Bytes of the buffer reserved for failures: some 500 lines, so that the first failures aren't lost after a stalled
/// reader let other lines fill the rest.
const RESERVED_FOR_FAILURES_BYTES: usize = 128 << 10;
/// Interval of writes: at 5 per second the wake-ups cost less than the lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of lines dropped since the start because the buffer was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Number of dropped lines that reported a failure.
static FAILURES_DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Returns the number of dropped lines that reported a failure.
pub(crate) fn dropped_failures() -> u64 {
    FAILURES_DROPPED.load(Ordering::Relaxed)
}

/// Buffer writer for the logger's sink of one kind of lines. Both kinds share the buffer, in the order of their
/// arrival, with the thread that writes it out.
#[derive(Clone)]
struct LineBuffer {
    buf: Arc<Mutex<Vec<u8>>>,
    /// Whether these are lines on failures, which may fill the whole buffer.
    are_failures: bool,
}

impl Write for LineBuffer {
    /// Buffers a whole line or drops it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buf = self.buf.lock().expect("no panic holds this lock");
        if buf.len() + line.len() > self.max_bytes() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            FAILURES_DROPPED.fetch_add(u64::from(self.are_failures), Ordering::Relaxed);
        } else {
            buf.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LineBuffer {
    fn new(buf: &Arc<Mutex<Vec<u8>>>, are_failures: bool) -> LineBuffer {
        LineBuffer { buf: Arc::clone(buf), are_failures }
    }

    fn max_bytes(&self) -> usize {
        if self.are_failures {
            LOG_BUFFER_BYTES
        } else {
            LOG_BUFFER_BYTES - RESERVED_FOR_FAILURES_BYTES
        }
    }

    /// Returns the logger's sink for these lines.
    fn sink(self) -> Arc<WriteSink<LineBuffer>> {
        let levels = if self.are_failures {
            LevelFilter::MoreSevereEqual(Level::Warn)
        } else {
            LevelFilter::MoreVerbose(Level::Warn)
        };
        let sink = WriteSink::builder().target(self).level_filter(levels).build();
        let sink = sink.expect("the sink's settings are complete");
        sink.set_formatter(Box::new(JsonFormatter::new()));
        Arc::new(sink)
    }
}

/// Sets up the logger, which writes JSON lines to standard output from a thread of its own. The returned guard writes
/// the remaining lines when it is dropped.
pub fn set_up_log() -> LogGuard {
    let buf = Arc::default();
    let mut logger = Logger::builder();
    logger.sink(LineBuffer::new(&buf, false).sink()).sink(LineBuffer::new(&buf, true).sink());
    logger.level_filter(LevelFilter::All);
    let logger = logger.build().expect("the logger's settings are complete");
    spdlog::set_default_logger(Arc::new(logger));
    let to_write = Arc::clone(&buf);
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            write_out(&to_write);
        }
    });
    LogGuard { buf }
}

/// Writes the remaining log lines when it is dropped.
pub struct LogGuard {
    buf: Arc<Mutex<Vec<u8>>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        write_out(&self.buf);
    }
}

/// Writes the buffered lines. Only this function may block on standard output; a failed write loses its lines.
fn write_out(buf: &Mutex<Vec<u8>>) {
    let lines = std::mem::take(&mut *buf.lock().expect("no panic holds this lock"));
    if !lines.is_empty() && io::stdout().write_all(&lines).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}
