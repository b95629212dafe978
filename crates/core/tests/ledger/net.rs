//! Messages and addresses of the simulated processes.

use sorrellock_core::id::{Attempt, Incarnation};
use sorrellock_core::process::ledger::{Claim, ClaimAnswer, RecordStatus, Stamp};
use sorrellock_core::request::{Peer, RequestKey};
use std::net::SocketAddr;

/// The answer of a run: its number among all runs of the simulation.
pub type RunNumber = u64;

#[derive(Clone, Debug)]
pub enum Msg {
    Claim { from: Peer, claim: Claim },
    Answer { owner: RequestKey, after: Attempt, answer: ClaimAnswer },
    Run { id: u64, stamp: Stamp, owner: RequestKey },
    Refused { owner: RequestKey, stamp: Stamp },
    End { owner: RequestKey, stamp: Stamp, run: RunNumber },
    Ask { owner: RequestKey, stamp: Stamp, fence: bool },
    Status { owner: RequestKey, stamp: Stamp, status: RecordStatus<RunNumber> },
    Gone { owner: RequestKey, stamp: Stamp },
}

#[derive(Clone, Debug)]
pub struct Envelope {
    pub to: Peer,
    pub msg: Msg,
}

/// Returns the address of process `number` of a role.
pub fn addr(role: u8, number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, role], 1000 + number as u16))
}

/// Returns the number of the process at an address.
pub fn number(addr: SocketAddr) -> usize {
    usize::from(addr.port() - 1000)
}

pub const HOLDER: u8 = 1;
pub const ENTRY: u8 = 2;
pub const DAEMON: u8 = 3;

/// Returns a process of the simulation at one incarnation.
pub fn peer(role: u8, number: usize, incarnation: Incarnation) -> Peer {
    Peer { addr: addr(role, number), incarnation }
}

/// Returns the role of the process at an address.
pub fn role(addr: SocketAddr) -> u8 {
    match addr {
        SocketAddr::V4(addr) => addr.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}
