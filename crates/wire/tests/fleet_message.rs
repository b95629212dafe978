//! The size that membership reckons with is no less than what the codec makes.

use sorrellock_core::process::membership::{
    Brief, FleetMessage, Gossip, MAX_PLACE_BYTES, Member, Rumor, Standing,
};
use sorrellock_core::process::{
    DaemonRole, DegradedLink, EndpointFact, EngineOffer, InstanceFact, Liveness, Role,
};
use sorrellock_core::request::{LayerRange, Peer};
use std::net::SocketAddr;

fn member(size: u64) -> Member {
    let addr: SocketAddr = if size.is_multiple_of(2) {
        ([255, 255, 255, 255], u16::MAX).into()
    } else {
        ([u16::MAX; 8], u16::MAX).into()
    };
    let endpoint = |number: u64| EndpointFact {
        id: "e".repeat(number as usize * 40),
        role: Role::Engine { model: "lexis".into(), layers: LayerRange::new(0, u16::MAX) },
        load: u32::MAX >> number,
        slots: u32::MAX >> number,
        engine: Some(EngineOffer { capacity: 80, speed: u32::MAX, loads: None }),
    };
    let service = EndpointFact {
        id: "ledger-1".into(),
        role: Role::Service { service: "s".repeat(200) },
        load: 0,
        slots: 16,
        engine: None,
    };
    let fact = InstanceFact {
        peer: Peer { addr, incarnation: u64::MAX >> (size % 64) },
        place: "p".repeat(MAX_PLACE_BYTES),
        role: DaemonRole::Beside,
        generation: u64::MAX,
        counter: u64::MAX >> (size % 60),
        profile: size,
        liveness: Liveness::Leaving,
        applied: u64::MAX,
        endpoints: (0..size % 7).map(endpoint).chain([service]).collect(),
        degraded: vec![DegradedLink { to: "toowoomba-dc".into(), factor: u16::MAX }],
    };
    Member { fact, standing: Standing::Suspected }
}

#[test]
fn no_message_is_longer_than_reckoned() {
    let peer = member(0).fact.peer;
    for size in 0..64 {
        let members: Vec<Member> = (0..size).map(member).collect();
        let rumors = members
            .iter()
            .flat_map(|member| [Rumor::Whole(member.clone()), Rumor::Brief(Brief::new(member))]);
        let pulses = (0..size % 16).map(|n| ("p".repeat(n as usize), u64::MAX >> n)).collect();
        let gossip = Gossip { rumors: rumors.collect(), pulses };
        let digest = vec![u32::MAX >> (size % 32); 32];
        let messages = [
            FleetMessage::Ping { number: size << 32, gossip: gossip.clone() },
            FleetMessage::Ack { number: u64::MAX, of: peer, gossip: gossip.clone() },
            FleetMessage::PingFor { number: 1, target: peer.addr, gossip: gossip.clone() },
            FleetMessage::Digest { digest: digest.clone(), gossip: gossip.clone() },
            FleetMessage::Differences { digest, gossip: gossip.clone() },
            FleetMessage::Want { incarnations: vec![u64::MAX; size as usize] },
            FleetMessage::News { gossip },
        ];

        for message in messages {
            let encoded = postcard::to_stdvec(&message).unwrap().len();

            assert!(encoded <= message.size(), "{encoded} over {}", message.size());
            assert!(
                message.size() <= encoded + 40 + encoded / 4,
                "{} for {encoded}",
                message.size()
            );
        }
    }
}
