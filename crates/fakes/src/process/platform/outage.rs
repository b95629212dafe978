//! Outages of the stand-in platform.

use std::time::Duration;

/// How the platform is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// It is not.
    #[default]
    None,
    /// It answers 503 at once.
    Refuse,
    /// It gives no answer; calls are cut off when the outage ends.
    Hang,
}

/// An outage that comes by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageWindow {
    /// Time from the stand-in's start to the outage.
    pub after: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// How the platform is out.
    pub outage: Outage,
}
