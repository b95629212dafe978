//! What all commands of an operator share.

use crate::operate::{OperateError, Output};
use clap::ArgMatches;
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_ports::config::ConfigStore;
use std::net::SocketAddr;
use std::time::Duration;

/// Name of an operator who gives none.
const NOBODY: &str = "operator";

/// The settings that all commands of an operator share.
pub struct OperatorCx {
    platform: Option<SocketAddr>,
    daemons: Vec<SocketAddr>,
    by: String,
    /// How results are printed.
    pub(super) output: Output,
    /// How long `--wait` waits.
    pub(super) timeout: Duration,
}

impl OperatorCx {
    /// The settings of a command's arguments.
    pub fn new(args: &ArgMatches) -> OperatorCx {
        let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
        let by = args.get_one::<String>("by").cloned().or_else(user);
        OperatorCx {
            platform: args.get_one("platform").copied(),
            daemons: args.get_many("daemons").unwrap_or_default().copied().collect(),
            by: by.unwrap_or_else(|| NOBODY.into()),
            output: Output { json: args.get_flag("json") },
            timeout: Duration::from_millis(*args.get_one("timeout-ms").expect("it has a default")),
        }
    }

    /// The configuration in the platform's store.
    pub(super) fn config(&self) -> Result<ConfigStore<HttpObjectStore>, OperateError> {
        let why = "the configuration lies in the platform's object API";
        let platform = self.platform.ok_or(OperateError::Missing { flag: "platform", why })?;
        Ok(ConfigStore::new(HttpObjectStore::new(platform), self.by.clone()))
    }

    /// The daemons to ask; at least one.
    pub(super) fn daemons(&self) -> Result<&[SocketAddr], OperateError> {
        let why = "the state of the fleet is asked of its daemons";
        match self.daemons.is_empty() {
            true => Err(OperateError::Missing { flag: "daemons", why }),
            false => Ok(&self.daemons),
        }
    }
}
