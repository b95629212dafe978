//! Logs: lines for changes of state only, for people or as JSON.

use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use std::str::FromStr;
use std::sync::Arc;

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
    /// No lines at all.
    Off,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<LogFormat, String> {
        match text {
            "human" => Ok(LogFormat::Human),
            "json" => Ok(LogFormat::Json),
            "off" => Ok(LogFormat::Off),
            other => Err(format!("`{other}` is no log format; take human, json or off")),
        }
    }
}

/// Sets up the log of this process. Lines go to standard error; a line that can't be written is
/// lost, and stops nothing.
pub fn set_up_log(format: LogFormat) {
    spdlog::set_default_logger(Arc::new(new_logger(format)));
}

fn new_logger(format: LogFormat) -> Logger {
    let level = match format {
        LogFormat::Off => LevelFilter::Off,
        LogFormat::Human | LogFormat::Json => LevelFilter::MoreSevereEqual(Level::Info),
    };
    let sink = StdStreamSink::builder().stderr().error_handler(lose_line);
    let sink = sink.build().expect("the sink's settings are complete");
    sink.set_formatter(new_formatter(format));
    let mut logger = Logger::builder();
    logger.sink(Arc::new(sink)).level_filter(level);
    logger.flush_level_filter(LevelFilter::All).error_handler(lose_line);
    logger.build().expect("the logger's settings are complete")
}

fn new_formatter(format: LogFormat) -> Box<dyn Formatter> {
    match format {
        LogFormat::Json => Box::new(JsonFormatter::new()),
        LogFormat::Human | LogFormat::Off => Box::new(FullFormatter::new()),
    }
}

/// A failure of the log must not stop what is logged.
fn lose_line(_: spdlog::Error) {}
