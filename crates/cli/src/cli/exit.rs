//! Exit codes of `sorrellock`; `docs/OPERATIONS.md` lists them.

use std::process::ExitCode;

/// How `sorrellock` ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All is done.
    Done = 0,
    /// A check failed, or something unforeseen.
    Failed = 1,
    /// The arguments or a value can't be used; nothing was changed.
    Refused = 2,
    /// Somebody else changed the same first; nothing was changed.
    Clash = 3,
    /// The platform or a daemon could not be reached; nothing was changed.
    Unreachable = 4,
    /// Some pages were changed, and others not.
    Partial = 5,
    /// It is changed, and was not in force everywhere in time.
    NotInForce = 6,
    /// It is not known whether it took effect.
    Unknown = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
