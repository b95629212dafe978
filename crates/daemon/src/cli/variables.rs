//! `SORRELLOCK_…` environment variables. One with an unknown name is an error, so that a misspelled setting isn't ignored.

use clap::Command;
use std::fmt;
use strsim::damerau_levenshtein;

/// Prefix of the names of all variables.
pub const PREFIX: &str = "SORRELLOCK_";
/// Variables that the operators' command line reads; the daemon ignores them.
pub const OPERATOR_VARIABLES: &[&str] = &[
    "SORRELLOCK_BY",
    "SORRELLOCK_CSV",
    "SORRELLOCK_DAEMONS",
    "SORRELLOCK_FIRST_EVENT_MS",
    "SORRELLOCK_GROUP",
    "SORRELLOCK_JSON",
    "SORRELLOCK_KEY",
    "SORRELLOCK_PAUSE_MS",
    "SORRELLOCK_PERIOD_MS",
    "SORRELLOCK_TIMEOUT_MS",
];
/// Variables of the project's own tests.
const TEST_VARIABLES: &[&str] = &["SORRELLOCK_FUZZ_LONG"];

/// A variable with the prefix that neither program reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownVariable {
    /// The name.
    pub name: String,
    /// The most similar known name.
    pub nearest: String,
}

impl fmt::Display for UnknownVariable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnknownVariable { name, nearest } = self;
        write!(f, "variable {name} is unknown; did you mean {nearest}? Unset or rename it")
    }
}

impl std::error::Error for UnknownVariable {}

/// Returns an error if a variable in `found` has [`PREFIX`], but is read by neither `command`, the operators' command
/// line nor the tests.
pub fn check_variables(
    command: &Command,
    found: impl Iterator<Item = String>,
) -> Result<(), UnknownVariable> {
    let others = OPERATOR_VARIABLES.iter().chain(TEST_VARIABLES).map(|name| (*name).to_owned());
    let known: Vec<String> = variables(command).into_iter().chain(others).collect();
    let unknown = found.filter(|name| name.starts_with(PREFIX) && !known.contains(name)).min();
    match unknown {
        Some(name) => Err(UnknownVariable { nearest: nearest(&name, &known), name }),
        None => Ok(()),
    }
}

/// Returns the names of the environment variables of this process.
pub fn variable_names() -> impl Iterator<Item = String> {
    std::env::vars_os().filter_map(|(name, _)| name.into_string().ok())
}

/// Returns the names of all variables that a command and its subcommands read.
pub fn variables(command: &Command) -> Vec<String> {
    let own = command.get_arguments().filter_map(|arg| arg.get_env());
    let own = own.filter_map(|name| name.to_str().map(str::to_owned));
    let nested = command.get_subcommands().flat_map(variables);
    let mut names: Vec<String> = own.chain(nested).collect();
    names.sort();
    names.dedup();
    names
}

fn nearest(name: &str, known: &[String]) -> String {
    let best = known.iter().min_by_key(|other| damerau_levenshtein(name, other));
    best.cloned().unwrap_or_default()
}
