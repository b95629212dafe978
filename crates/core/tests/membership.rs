//! Membership: single rules, on a paused clock.

mod common;

use common::fleet_sim::{FleetSim, TICKS_PER_S, fact};
use sorrellock_core::clock::ManualClock;
use sorrellock_core::process::membership::FleetMessage;
use sorrellock_core::process::membership::{
    Change, Gossip, Listed, MAX_GOSSIP_BYTES, MAX_HEAD_BYTES, MAX_SYNC_BYTES, Member, Membership,
    MembershipConfig, Rumor, Standing,
};
use sorrellock_core::request::Peer;
use std::net::SocketAddr;
use std::time::Duration;

const SEED: u64 = 7;

fn peer(number: u16) -> Peer {
    Peer { addr: SocketAddr::from(([10, 1, 0, 1], number)), incarnation: u64::from(number) }
}

fn alone(clock: &ManualClock, cfg: MembershipConfig) -> Membership<ManualClock> {
    Membership::new(cfg, clock.clone(), fact(peer(1), 0, 1), SEED)
}

fn send_rumors(membership: &mut Membership<ManualClock>, from: Peer, rumors: Vec<Rumor>) {
    let gossip = Gossip { rumors, pulses: Vec::new() };
    membership.on_message(from, FleetMessage::News { gossip });
}

fn live_everywhere(sim: &FleetSim, index: usize) -> bool {
    let incarnation = sim.nodes[index].peer.incarnation;
    let mut others = sim.nodes.iter().filter(|node| node.running && !node.paused);
    let knows = |node: &common::fleet_sim::Node| {
        node.membership.view().live().any(|fact| fact.peer.incarnation == incarnation)
    };
    others.all(knows)
}

fn live_anywhere(sim: &FleetSim, index: usize) -> bool {
    let incarnation = sim.nodes[index].peer.incarnation;
    let others = sim
        .nodes
        .iter()
        .enumerate()
        .filter(|(other, node)| *other != index && node.running && !node.paused);
    others
        .map(|(_, node)| node.membership.view())
        .any(|view| view.live().any(|fact| fact.peer.incarnation == incarnation))
}

#[test]
fn a_new_instance_is_known_everywhere_in_seconds() {
    let mut sim = FleetSim::started(SEED, 21, 3);

    sim.join(1);
    let agreed = sim.run_until_agreed(10 * TICKS_PER_S);

    assert!(agreed.is_some(), "{:?}", sim.disagreement());
}

#[test]
fn a_killed_instance_is_gone_and_nobody_else() {
    let mut sim = FleetSim::started(SEED, 21, 3);

    sim.kill(4);
    let agreed = sim.run_until_agreed(12 * TICKS_PER_S);

    assert!(agreed.is_some(), "{:?}", sim.disagreement());
}

#[test]
fn a_restart_supersedes_the_incarnation_before_without_a_suspicion() {
    let mut sim = FleetSim::started(SEED, 12, 2);
    let old = sim.nodes[3].peer.incarnation;

    sim.restart(3);
    let agreed = sim.run_until_agreed(8 * TICKS_PER_S);

    assert!(agreed.is_some(), "{:?}", sim.disagreement());
    for node in &sim.nodes {
        let view = node.membership.view();
        assert!(view.get(old).is_none_or(|member| !member.is_present()));
    }
    let suspicions = sim.events.iter().filter(|(_, event)| event.change == Change::Suspected);
    assert_eq!(suspicions.count(), 0);
}

#[test]
fn a_paused_instance_is_gone_and_returns_under_its_incarnation() {
    let mut sim = FleetSim::started(SEED, 12, 2);

    sim.pause(5);
    sim.run(15 * TICKS_PER_S);
    let while_paused = live_anywhere(&sim, 5);
    sim.resume(5);
    let agreed = sim.run_until_agreed(10 * TICKS_PER_S);

    assert!(!while_paused);
    assert!(agreed.is_some(), "{:?}", sim.disagreement());
    assert!(live_everywhere(&sim, 5));
}

#[test]
fn a_process_that_was_paused_holds_nobody_gone_when_it_wakes() {
    let mut sim = FleetSim::started(SEED, 12, 2);

    sim.pause(5);
    sim.run(15 * TICKS_PER_S);
    sim.events.clear();
    sim.resume(5);
    sim.run(10 * TICKS_PER_S);

    let me = sim.nodes[5].peer.incarnation;
    let suspected = sim.events.iter().filter(|(by, event)| {
        *by == me && matches!(event.change, Change::Suspected | Change::Gone | Change::PlaceCutOff)
    });
    assert_eq!(suspected.count(), 0);
}

#[test]
fn a_place_that_is_cut_off_gets_no_work_and_none_of_it_counts_as_gone() {
    let mut sim = FleetSim::started(SEED, 21, 3);

    sim.cut_places.insert(1);
    sim.run(20 * TICKS_PER_S);
    let views: Vec<_> = sim.nodes.iter().map(|node| (node.place, node.membership.view())).collect();
    sim.heal();
    let agreed = sim.run_until_agreed(6 * TICKS_PER_S);

    for (place, view) in views {
        assert!(view.members().all(|member| member.standing == Standing::Trusted));
        let inside = |fact: &sorrellock_core::process::InstanceFact| fact.place == "place-1";
        assert!(view.live().all(|fact| inside(fact) == (place == 1)));
    }
    assert!(agreed.is_some(), "{:?}", sim.disagreement());
}

#[test]
fn a_split_place_heals_though_each_half_held_the_other_gone() {
    let mut sim = FleetSim::started(SEED, 12, 1);
    sim.nodes.iter_mut().enumerate().for_each(|(index, node)| node.half = index % 2 == 0);
    sim.list_works = false;

    sim.split_places.insert(0);
    sim.run(20 * TICKS_PER_S);
    let split = sim.nodes.iter().all(|node| node.membership.view().live().count() == 6);
    sim.split_places.clear();
    let agreed = sim.run_until_agreed(20 * TICKS_PER_S);

    assert!(split);
    assert!(agreed.is_some(), "{:?}", sim.disagreement());
}

#[test]
fn leaving_is_known_within_seconds_without_the_list() {
    let mut sim = FleetSim::started(SEED, 40, 4);
    sim.list_works = false;

    sim.leave(7);
    let agreed = sim.run_until_agreed(4 * TICKS_PER_S);

    assert!(agreed.is_some(), "{:?}", sim.disagreement());
}

#[test]
fn the_list_is_but_a_hint() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock, MembershipConfig::new());
    send_rumors(&mut membership, peer(2), vec![Rumor::Whole(Member::new(fact(peer(2), 0, 1)))]);

    membership.on_list(&[]);
    let unlisted = membership.view().live().count();
    membership.on_list(&[Listed { addr: peer(2).addr, leaving: true }]);

    assert_eq!(unlisted, 2);
    assert_eq!(membership.view().live().count(), 2);
    assert!(membership.view().is_listed_leaving(2));
}

#[test]
fn an_older_fact_changes_nothing() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock, MembershipConfig::new());
    let mut newer = Member::new(fact(peer(2), 0, 1));
    newer.fact.counter = 5;
    newer.fact.applied = 9;

    send_rumors(&mut membership, peer(2), vec![Rumor::Whole(newer.clone())]);
    send_rumors(&mut membership, peer(3), vec![Rumor::Whole(Member::new(fact(peer(2), 0, 1)))]);

    assert_eq!(membership.view().get(2).map(|member| Member::clone(member)), Some(newer));
}

#[test]
fn a_gone_stranger_is_not_remembered() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock, MembershipConfig::new());
    let gone = Member { standing: Standing::Gone, ..Member::new(fact(peer(2), 0, 1)) };

    send_rumors(&mut membership, peer(3), vec![Rumor::Whole(gone)]);

    assert!(membership.view().get(2).is_none());
}

#[test]
fn tombstones_are_forgotten_after_their_time() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock, MembershipConfig::new());
    let member = Member::new(fact(peer(2), 0, 1));
    let gone = Member { standing: Standing::Gone, ..member.clone() };
    send_rumors(&mut membership, peer(3), vec![Rumor::Whole(member), Rumor::Whole(gone)]);

    let kept = membership.view().get(2).is_some();
    clock.advance(MembershipConfig::TOMBSTONE + Duration::from_secs(1));
    membership.tick();

    assert!(kept);
    assert!(membership.view().get(2).is_none());
}

#[test]
fn the_table_has_a_bound_and_drops_tombstones_first() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock, MembershipConfig::new().with_max_members(4));
    let whole = |number| Rumor::Whole(Member::new(fact(peer(number), 0, 1)));
    send_rumors(&mut membership, peer(2), vec![whole(2), whole(3), whole(4)]);
    let gone = Member { standing: Standing::Gone, ..Member::new(fact(peer(3), 0, 1)) };

    send_rumors(&mut membership, peer(2), vec![whole(5)]);
    let while_full = membership.view().get(5).is_some();
    send_rumors(&mut membership, peer(2), vec![Rumor::Whole(gone), whole(5)]);

    assert!(!while_full);
    assert!(membership.view().get(5).is_some());
    assert!(membership.view().get(3).is_none());
    let noted = membership.take_output().events;
    assert!(noted.iter().any(|event| event.change == Change::TableFull));
}

#[test]
fn every_message_keeps_its_bound() {
    let mut sim = FleetSim::started(SEED, 120, 3);

    (0..40).for_each(|index| sim.kill(index));
    (40..80).for_each(|index| sim.restart(index));
    sim.run(40);

    assert!(sim.largest > MAX_GOSSIP_BYTES, "the bound was never reached: {}", sim.largest);
    assert!(sim.largest <= MAX_SYNC_BYTES + MAX_HEAD_BYTES, "{}", sim.largest);
}

#[test]
fn no_member_sends_to_all_others() {
    let mut sim = FleetSim::started(SEED, 120, 6);
    sim.run(20 * TICKS_PER_S);

    sim.messages = 0;
    sim.run(10 * TICKS_PER_S);

    // A probe, its answer and one or two digests per tick; a message to each other member would make 119.
    let each = sim.messages as f64 / 120.0 / (10 * TICKS_PER_S) as f64;
    assert!(each < 5.0, "{each} messages a member and tick");
}
