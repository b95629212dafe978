//! Logs: lines for changes of state only, for people or as JSON.

use spdlog::formatter::{FullFormatter, JsonFormatter};
use std::str::FromStr;

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

/// Sets up the log of this process. Lines go to standard error; a line that can't be written is lost.
pub fn set_up_log(format: LogFormat) {
    let logger = spdlog::default_logger();
    logger.set_flush_level_filter(spdlog::LevelFilter::All);
    logger.set_error_handler(|_| {});
    match format {
        LogFormat::Off => logger.set_level_filter(spdlog::LevelFilter::Off),
        LogFormat::Human => set_formatter(&logger, format),
        LogFormat::Json => set_formatter(&logger, format),
    }
}

fn set_formatter(logger: &spdlog::Logger, format: LogFormat) {
    for sink in logger.sinks() {
        match format {
            LogFormat::Json => sink.set_formatter(Box::new(JsonFormatter::new())),
            _ => sink.set_formatter(Box::new(FullFormatter::new())),
        }
    }
}
