//! Whether the head of an endpoint's answer may be passed on to the caller.

use crate::request::Evidence;
use std::fmt;
use std::ops::RangeInclusive;

/// Statuses that promise a caller that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];
/// The endpoint isn't the one that the request was meant for, and has not run it.
const MISDIRECTED: u16 = 421;

/// The statuses of final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerClaims {
    /// Its status.
    pub status: u16,
    /// Whether it names the request, if it names any.
    pub names_request: Option<bool>,
    /// It states that the request was not run.
    pub says_not_run: bool,
    /// It bears the endpoint's signature.
    pub is_signed: bool,
}

/// Why an answer isn't passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// It belongs to another request.
    OtherRequest,
    /// Its status is none of a final answer.
    InvalidStatus(u16),
    /// It states that the request was not run, although its status is a success.
    Contradictory(u16),
    /// It states that the request was not run.
    NotRun(u16),
    /// Its status promises that the request was not run, but it doesn't state that.
    UnprovenRefusal(u16),
    /// It doesn't name its request.
    NoRequestId,
    /// It is a success without a signature.
    Unsigned,
}

impl AnswerFault {
    /// Returns the evidence of the attempt that the answer ends.
    pub fn evidence(self) -> Evidence {
        match self {
            AnswerFault::NotRun(_) => Evidence::NotRun,
            AnswerFault::OtherRequest
            | AnswerFault::InvalidStatus(_)
            | AnswerFault::Contradictory(_)
            | AnswerFault::UnprovenRefusal(_)
            | AnswerFault::NoRequestId
            | AnswerFault::Unsigned => Evidence::MayHaveRun,
        }
    }

    /// Returns whether the endpoint isn't the intended one, or doesn't hold its part of the path.
    pub fn is_misdirected(self) -> bool {
        self == AnswerFault::NotRun(MISDIRECTED)
    }
}

impl fmt::Display for AnswerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerFault::OtherRequest => f.write_str("the answer belongs to another request"),
            AnswerFault::InvalidStatus(status) => {
                write!(f, "the status {status} is none of an answer")
            }
            AnswerFault::Contradictory(status) => {
                write!(f, "answered {status} and stated that it did not run the request")
            }
            AnswerFault::NotRun(status) => write!(f, "refused with {status}"),
            AnswerFault::UnprovenRefusal(status) => {
                write!(f, "answered {status} without stating that it did not run the request")
            }
            AnswerFault::NoRequestId => f.write_str("the answer has no request id"),
            AnswerFault::Unsigned => f.write_str("the answer is not signed by its endpoint"),
        }
    }
}

/// Checks whether an answer may be passed on with its status.
pub fn check_answer(answer: &AnswerClaims) -> Result<(), AnswerFault> {
    let status = answer.status;
    if answer.names_request == Some(false) {
        return Err(AnswerFault::OtherRequest);
    }
    if !FINAL_STATUSES.contains(&status) {
        return Err(AnswerFault::InvalidStatus(status));
    }
    let is_success = (200..300).contains(&status);
    if is_success && answer.says_not_run {
        return Err(AnswerFault::Contradictory(status));
    }
    if answer.says_not_run || status == MISDIRECTED {
        return Err(AnswerFault::NotRun(status));
    }
    if NOT_RUN_STATUSES.contains(&status) {
        return Err(AnswerFault::UnprovenRefusal(status));
    }
    if answer.names_request.is_none() {
        return Err(AnswerFault::NoRequestId);
    }
    match is_success && !answer.is_signed {
        true => Err(AnswerFault::Unsigned),
        false => Ok(()),
    }
}
