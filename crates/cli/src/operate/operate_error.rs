//! Why an operator's command failed.

use crate::cli::Exit;
use sorrellock_ports::config::ConfigError;
use std::fmt;
use std::net::SocketAddr;

/// Why an operator's command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperateError {
    /// A setting that the command needs is missing.
    Missing {
        /// The flag, without the dashes.
        flag: &'static str,
        /// What it is for.
        why: &'static str,
    },
    /// An argument can't be used.
    Argument {
        /// Which.
        name: String,
        /// Its value.
        value: String,
        /// Why, and the mend.
        mend: String,
    },
    /// The configuration could not be read or changed.
    Config(ConfigError),
    /// No daemon that was asked answered.
    Daemon {
        /// The last that was asked.
        addr: SocketAddr,
        /// How it failed.
        detail: String,
    },
    /// The output could not be written, or the input not be read.
    Io {
        /// What was read or written.
        what: String,
        /// How it failed.
        detail: String,
    },
}

impl OperateError {
    /// The exit code.
    pub fn exit(&self) -> Exit {
        match self {
            OperateError::Config(err) => exit_of(err),
            OperateError::Daemon { .. } => Exit::Unreachable,
            OperateError::Missing { .. } | OperateError::Argument { .. } => Exit::Refused,
            OperateError::Io { .. } => Exit::Failed,
        }
    }

    /// An argument that can't be used.
    pub fn argument(name: &str, value: &str, mend: impl Into<String>) -> OperateError {
        OperateError::Argument { name: name.into(), value: value.into(), mend: mend.into() }
    }
}

/// The exit code for a failure of the configuration.
pub(super) fn exit_of(err: &ConfigError) -> Exit {
    match err {
        ConfigError::Clash { .. } | ConfigError::Busy { .. } => Exit::Clash,
        ConfigError::Store { .. } => Exit::Unreachable,
        ConfigError::Unsettled { .. } => Exit::Unknown,
        _ => Exit::Refused,
    }
}

impl fmt::Display for OperateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperateError::Missing { flag, why } => {
                let variable = flag.to_uppercase().replace('-', "_");
                write!(f, "{why}: give --{flag} or SORRELLOCK_{variable}")
            }
            OperateError::Argument { name, value, mend } => {
                write!(f, "{name} is `{value}`: {mend}")
            }
            OperateError::Config(err) => err.fmt(f),
            OperateError::Daemon { addr, detail } => {
                write!(f, "the daemon at {addr} (--daemons) gave no state: {detail}")
            }
            OperateError::Io { what, detail } => write!(f, "{what}: {detail}"),
        }
    }
}

impl std::error::Error for OperateError {}

impl From<ConfigError> for OperateError {
    fn from(err: ConfigError) -> Self {
        OperateError::Config(err)
    }
}
