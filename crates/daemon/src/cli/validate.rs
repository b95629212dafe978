//! Validates settings beyond the format of each flag, such as conflicts between settings.

use crate::beside::process::BesideSettings;
use crate::entry::process::EntrySettings;
use std::fmt;
use std::net::SocketAddr;

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The flag.
    pub flag: &'static str,
    /// The value.
    pub value: String,
    /// Why the value is invalid, and how to fix it.
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
    check_reachable("--link", settings.link)?;
    check_reachable("--platform", settings.platform)?;
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
    check_reachable("--link", settings.link)?;
    if settings.engines.is_empty() && settings.services.is_empty() {
        let detail = "there is no endpoint to serve; give an engine, or a service with --service";
        return Err(SettingError { flag: "--engine", value: String::new(), detail });
    }
    let mut names: Vec<_> = settings.services.iter().map(|service| &service.id).collect();
    names.sort();
    if let Some(twice) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        let detail = "two endpoints have this name; give each a unique one";
        return Err(SettingError { flag: "--service", value: twice[0].clone(), detail });
    }
    check_positive("--max-sessions", settings.max_sessions)?;
    check_positive("--max-calls", settings.max_calls)?;
    check_positive("--call-queue", settings.call_queue)?;
    check_distinct(&[("--link", Some(settings.link)), ("--operators", settings.operators)])
}

fn check_place(place: &str) -> Result<(), SettingError> {
    let named = !place.is_empty() && !place.contains(char::is_whitespace);
    let detail = "give the name of a place, without whitespace";
    let err = || SettingError { flag: "--place", value: place.to_owned(), detail };
    named.then_some(()).ok_or_else(err)
}

/// Checks that an address that is announced to other processes is one to which they can connect.
fn check_reachable(flag: &'static str, addr: SocketAddr) -> Result<(), SettingError> {
    let fixed = addr.port() != 0 && !addr.ip().is_unspecified();
    let detail =
        "other processes connect to this address; give a specific IP address and a port above 0";
    let err = || SettingError { flag, value: addr.to_string(), detail };
    fixed.then_some(()).ok_or_else(err)
}

fn check_positive(flag: &'static str, value: usize) -> Result<(), SettingError> {
    let err = || SettingError { flag, value: value.to_string(), detail: "give 1 or more" };
    (value > 0).then_some(()).ok_or_else(err)
}

/// Checks that no two listeners of a process have the same address. Port 0 is left out: it takes a free port.
fn check_distinct(addrs: &[(&'static str, Option<SocketAddr>)]) -> Result<(), SettingError> {
    let mut seen = Vec::new();
    for (flag, addr) in addrs {
        let Some(addr) = addr.filter(|addr| addr.port() != 0) else { continue };
        if seen.contains(&addr) {
            let detail = "another listener of this process has this address; use another port";
            return Err(SettingError { flag, value: addr.to_string(), detail });
        }
        seen.push(addr);
    }
    Ok(())
}
