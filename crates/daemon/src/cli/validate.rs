//! Checks that settings make sense together, beyond what each flag checks by itself.

use crate::beside::process::BesideSettings;
use crate::entry::process::EntrySettings;
use std::fmt;
use std::net::SocketAddr;

/// A setting that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The flag.
    pub flag: &'static str,
    /// Its value.
    pub value: String,
    /// Why it can't be used, and the mend.
    pub detail: &'static str,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingError { flag, value, detail } = self;
        let variable = flag.trim_start_matches("--").to_uppercase().replace('-', "_");
        write!(f, "{flag} (SORRELLOCK_{variable}) is `{value}`: {detail}")
    }
}

impl std::error::Error for SettingError {}

/// Checks the settings of an entry.
pub fn check_entry(settings: &EntrySettings) -> Result<(), SettingError> {
    check_place(&settings.place)?;
    check_fixed("--link", settings.link)?;
    check_fixed("--platform", settings.platform)?;
    check_positive("--max-in-progress", settings.max_in_progress)?;
    check_positive("--max-connections", settings.max_connections)?;
    check_positive("--max-body-bytes", settings.max_body_bytes)?;
    check_positive("--workers", settings.workers)?;
    let own = [("--link", Some(settings.link)), ("--callers", Some(settings.callers))];
    check_distinct(&[own[0], own[1], ("--operators", settings.operators)])
}

/// Checks the settings of a daemon beside endpoints.
pub fn check_beside(settings: &BesideSettings) -> Result<(), SettingError> {
    check_place(&settings.place)?;
    check_fixed("--link", settings.link)?;
    if settings.engines.is_empty() && settings.services.is_empty() {
        let detail = "it stands beside nothing; name an engine, or a service by --service";
        return Err(SettingError { flag: "--engine", value: String::new(), detail });
    }
    let mut names: Vec<_> = settings.services.iter().map(|service| &service.id).collect();
    names.sort();
    if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        let detail = "two endpoints have this name; give each its own";
        return Err(SettingError { flag: "--service", value: twice[0].clone(), detail });
    }
    check_positive("--max-sessions", settings.max_sessions)?;
    check_positive("--max-calls", settings.max_calls)?;
    check_positive("--call-queue", settings.call_queue)?;
    check_distinct(&[("--link", Some(settings.link)), ("--operators", settings.operators)])
}

fn check_place(place: &str) -> Result<(), SettingError> {
    let named = !place.is_empty() && !place.contains(char::is_whitespace);
    let detail = "give the name of a place, without blanks";
    let err = || SettingError { flag: "--place", value: place.to_owned(), detail };
    named.then_some(()).ok_or_else(err)
}

/// An address that others are told must be one that they can use.
fn check_fixed(flag: &'static str, addr: SocketAddr) -> Result<(), SettingError> {
    let fixed = addr.port() != 0 && !addr.ip().is_unspecified();
    let detail = "other processes use this address; give one IP number and a port above 0";
    let err = || SettingError { flag, value: addr.to_string(), detail };
    fixed.then_some(()).ok_or_else(err)
}

fn check_positive(flag: &'static str, value: usize) -> Result<(), SettingError> {
    let err = || SettingError { flag, value: value.to_string(), detail: "give 1 or more" };
    (value > 0).then_some(()).ok_or_else(err)
}

/// No two listeners of a process can have the same address; port 0 takes a free one.
fn check_distinct(addrs: &[(&'static str, Option<SocketAddr>)]) -> Result<(), SettingError> {
    let mut seen = Vec::new();
    for (flag, addr) in addrs {
        let Some(addr) = addr.filter(|addr| addr.port() != 0) else { continue };
        if seen.contains(&addr) {
            let detail = "another listener of this process has this address; take another port";
            return Err(SettingError { flag, value: addr.to_string(), detail });
        }
        seen.push(addr);
    }
    Ok(())
}
