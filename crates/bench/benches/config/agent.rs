//! What the state machine of one daemon costs while nothing changes, at the target's size.

use crate::figure;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::process::membership::{Member, MembershipView};
use sorrellock_core::process::{DaemonRole, InstanceFact, Liveness};
use sorrellock_core::request::Peer;
use sorrellock_core::version::{Spread, SpreadSettings};
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

const MEMBERS: u16 = 420;
const PLACES: u16 = 7;
const ROUNDS: u32 = 2_000;

pub(crate) fn measure() {
    let peer = |number: u16| Peer {
        addr: ([127, 0, 0, 1], 1000 + number).into(),
        incarnation: u64::from(number) + 1,
    };
    let member = |number: u16| {
        let fact = InstanceFact {
            peer: peer(number),
            place: format!("place-{}", number % PLACES),
            role: DaemonRole::Beside,
            generation: 1,
            counter: 1,
            profile: 1,
            liveness: Liveness::Live,
            applied: 1,
            endpoints: Vec::new(),
            degraded: Vec::new(),
        };
        (u64::from(number) + 1, Arc::new(Member::new(fact)))
    };
    let members: BTreeMap<_, _> = (0..MEMBERS).map(member).collect();
    let view = MembershipView::new(peer(0), "place-0".into(), members, BTreeSet::new());
    let mut spread = Spread::new(SpreadSettings::new(), SystemClock, peer(0), 1);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        spread.update_peers(&view);
    }
    let per = |start: Instant| start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    figure(&format!("learn_peers_us.{MEMBERS}"), per(start), "us");
    let start = Instant::now();
    for _ in 0..ROUNDS {
        spread.tick();
        black_box(spread.take_effects());
    }
    figure(&format!("tick_us.{MEMBERS}"), per(start), "us");
}
