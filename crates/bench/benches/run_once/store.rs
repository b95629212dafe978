//! The stand-in store, and holders on it.

use sorrellock_core::id::Incarnation;
use sorrellock_core::process::ledger::{Claim, ClaimReply, HolderConfig, fingerprint, record_key};
use sorrellock_core::request::{Peer, RequestKey};
use sorrellock_daemon::process::ledger::{AnswerSink, LedgerHolders};
use sorrellock_fakes::{FakePlatform, PlatformConfig};
use sorrellock_local::next_addr;
use sorrellock_ports::client::HttpObjectStore;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// Time that each call to the store takes.
const LATENCY: Duration = Duration::from_millis(4);
/// Writes and reads that the store takes in a second.
const RATES: (u32, u32) = (200, 2_000);

/// Hands answers on with the instant at which they came.
pub struct Answers(pub Sender<(Instant, ClaimReply)>);

impl AnswerSink for Answers {
    fn answer(&self, answered: ClaimReply) {
        let _ = self.0.send((Instant::now(), answered));
    }
}

pub type Holders = LedgerHolders<HttpObjectStore, Answers>;

pub fn start_platform() -> FakePlatform {
    let cfg = PlatformConfig::new(next_addr()).with_latency(LATENCY).with_rates(RATES.0, RATES.1);
    FakePlatform::start(cfg).expect("the stand-in starts")
}

pub fn start_holders(
    platform: &FakePlatform,
    me: Incarnation,
    cfg: HolderConfig,
    answers: &Sender<(Instant, ClaimReply)>,
) -> Holders {
    let store = HttpObjectStore::new(platform.addr()).with_timeout(Duration::from_secs(1));
    LedgerHolders::new(me, store, Answers(answers.clone()), cfg)
}

/// A daemon beside a service, by number.
pub fn beside(number: u16) -> Peer {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 40_000 + number));
    Peer { addr, incarnation: u64::from(number) + 1 }
}

pub fn claim(entry: Incarnation, sequence: u64, key: u64, after: u32) -> Claim {
    Claim {
        owner: RequestKey { entry, sequence },
        key: record_key("treasury", &format!("bench-{key}")),
        fingerprint: fingerprint(&[b"POST", b"/confirmations"]),
        after,
        target: beside((key % 40) as u16),
    }
}
