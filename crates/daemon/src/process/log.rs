//! The log: lines for state changes only, as text or JSON.

use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::str::FromStr;
use std::sync::Arc;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Human,
    /// One JSON object per line.
    Json,
    /// No log lines.
    Off,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<LogFormat, String> {
        match text {
            "human" => Ok(LogFormat::Human),
            "json" => Ok(LogFormat::Json),
            "off" => Ok(LogFormat::Off),
            other => Err(format!("`{other}` is not a log format; use human, json or off")),
        }
    }
}

/// Sets up the log of this process on standard error. A line that can't be written is dropped without
/// an error.
pub fn set_up_log(format: LogFormat) {
    spdlog::set_default_logger(Arc::new(new_logger(format)));
}

fn new_logger(format: LogFormat) -> Logger {
    let level = match format {
        LogFormat::Off => LevelFilter::Off,
        LogFormat::Human | LogFormat::Json => LevelFilter::MoreSevereEqual(Level::Info),
    };
    let sink = StdStreamSink::builder().stderr().error_handler(ignore_log_error);
    let sink = sink.build().expect("the sink's settings are complete");
    sink.set_formatter(new_formatter(format));
    let mut logger = Logger::builder();
    logger.sink(Arc::new(sink)).level_filter(level);
    logger.flush_level_filter(LevelFilter::All).error_handler(ignore_log_error);
    logger.build().expect("the logger's settings are complete")
}

fn new_formatter(format: LogFormat) -> Box<dyn Formatter> {
    match format {
        LogFormat::Json => Box::new(JsonFormatter::new()),
        LogFormat::Human | LogFormat::Off => Box::new(FullFormatter::new()),
    }
}

/// Ignores an error of the log, which must not affect the code that logs.
fn ignore_log_error(_: spdlog::Error) {}
