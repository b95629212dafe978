//! Why a request is sent again.

/// Why a request is sent to an endpoint after it was sent to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatCause {
    /// The endpoint before refused it as not run.
    Refused,
    /// The attempt before failed, or its run was abandoned before the first event.
    Failed,
    /// The attempt before has no answer yet, and stays open.
    Overdue,
    /// The stream goes on after the events that it has delivered.
    Resumed,
}
