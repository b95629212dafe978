//! Asks daemons for their state, at their operators' listeners.

use crate::operate::OperateError;
use serde::Deserialize;
use serde_json::Value;
use sorrellock_core::process::membership::Member;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::Agent;

/// How long a daemon may take to tell its state.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The whole state of a daemon.
pub(super) fn dump(addr: SocketAddr) -> Result<Value, OperateError> {
    let agent: Agent =
        Agent::config_builder().timeout_global(Some(TIMEOUT)).proxy(None).build().into();
    let failed = |err: ureq::Error| OperateError::Daemon { addr, detail: err.to_string() };
    let mut answer = agent.get(format!("http://{addr}/dump")).call().map_err(failed)?;
    answer.body_mut().read_json().map_err(failed)
}

/// The members of the fleet as the first daemon that answers knows them, and that daemon.
pub(super) fn members(daemons: &[SocketAddr]) -> Result<(SocketAddr, Vec<Member>), OperateError> {
    let mut last = None;
    for addr in daemons {
        match dump(*addr).and_then(|state| members_in(*addr, &state)) {
            Ok(members) => return Ok((*addr, members)),
            Err(err) => last = Some(err),
        }
    }
    Err(last.expect("at least one daemon is asked"))
}

/// The members that a daemon's state tells of.
pub(super) fn members_in(addr: SocketAddr, state: &Value) -> Result<Vec<Member>, OperateError> {
    let members = Vec::<Member>::deserialize(&state["members"]);
    let detail = |err| format!("its list of members can't be read: {err}");
    members.map_err(|err| OperateError::Daemon { addr, detail: detail(err) })
}
