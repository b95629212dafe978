//! Membership: rules of one state machine, with handcrafted messages.

mod common;

use common::fleet_sim::{FleetSim, TICKS_PER_S, fact};
use sorrellock_core::clock::ManualClock;
use sorrellock_core::process::membership::{
    Change, Event, FleetMessage, Gossip, Member, Membership, MembershipConfig, Output, Rumor,
    Standing,
};
use sorrellock_core::request::Peer;
use std::net::SocketAddr;
use std::time::Duration;

const SEED: u64 = 11;

fn peer(number: u16) -> Peer {
    Peer { addr: SocketAddr::from(([10, 1, 0, 1], number)), incarnation: u64::from(number) }
}

fn whole(peer: Peer, place: usize, generation: u64) -> Rumor {
    Rumor::Whole(Member::new(fact(peer, place, generation)))
}

fn alone(clock: &ManualClock) -> Membership<ManualClock> {
    Membership::new(MembershipConfig::new(), clock.clone(), fact(peer(1), 0, 1), SEED)
}

fn send_rumors(membership: &mut Membership<ManualClock>, from: Peer, rumors: Vec<Rumor>) {
    let gossip = Gossip { rumors, pulses: vec![("place-1".into(), 1)] };
    membership.on_message(from, FleetMessage::News { gossip });
}

fn suspected(peer: Peer) -> Rumor {
    let member = Member::new(fact(peer, 0, 1));
    Rumor::Whole(Member { standing: Standing::Suspected, ..member })
}

fn tick(membership: &mut Membership<ManualClock>, clock: &ManualClock) -> Output {
    clock.advance(MembershipConfig::INTERVAL);
    membership.tick();
    membership.take_output()
}

fn standing(membership: &Membership<ManualClock>, incarnation: u64) -> Option<Standing> {
    membership.get(incarnation).map(|member| member.standing)
}

#[test]
fn deadlines_that_pass_during_a_pause_change_no_standing() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    send_rumors(&mut membership, peer(3), vec![whole(peer(3), 1, 1), whole(peer(2), 0, 1)]);
    send_rumors(&mut membership, peer(3), vec![suspected(peer(2))]);
    tick(&mut membership, &clock);

    clock.advance(Duration::from_secs(60));
    let output = tick(&mut membership, &clock);

    assert_eq!(standing(&membership, 2), Some(Standing::Suspected));
    assert!(membership.view().cut_off().is_empty());
    assert!(output.events.iter().any(|event| event.change == Change::Paused));
}

#[test]
fn a_suspected_member_has_time_to_refute() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    send_rumors(&mut membership, peer(2), vec![whole(peer(2), 0, 1)]);

    let mut suspected_at = None;
    let mut gone_at = None;
    for number in 0..40 {
        let is = |change| move |event: &Event| event.change == change;
        let output = tick(&mut membership, &clock);
        let at = MembershipConfig::INTERVAL * number;
        suspected_at =
            suspected_at.or(output.events.iter().find(|e| is(Change::Suspected)(e)).map(|_| at));
        gone_at = gone_at.or(output.events.iter().find(|e| is(Change::Gone)(e)).map(|_| at));
    }

    let waited = gone_at.unwrap() - suspected_at.unwrap();
    assert!(waited >= MembershipConfig::SUSPICION, "{waited:?}");
}

#[test]
fn a_refutation_within_that_time_holds() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    send_rumors(&mut membership, peer(2), vec![whole(peer(2), 0, 1), suspected(peer(2))]);
    let mut refuted = fact(peer(2), 0, 1);
    refuted.counter = 2;

    tick(&mut membership, &clock);
    send_rumors(&mut membership, peer(2), vec![Rumor::Whole(Member::new(refuted))]);

    assert_eq!(standing(&membership, 2), Some(Standing::Trusted));
}

#[test]
fn one_broken_link_makes_nobody_suspected() {
    let mut sim = FleetSim::started(SEED, 5, 1);

    sim.broken.insert((0, 1));
    sim.run(20 * TICKS_PER_S);

    let suspicions = sim.events.iter().filter(|(_, event)| event.change == Change::Suspected);
    assert_eq!(suspicions.count(), 0);
}

#[test]
fn leaving_is_announced_at_once() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    let others = (2..6).map(|number| whole(peer(number), 0, 1));
    send_rumors(&mut membership, peer(2), others.chain([whole(peer(7), 1, 1)]).collect());
    membership.take_output();

    membership.leave();

    let notified = membership.take_output().sends.into_iter().map(|(to, _)| to.addr.port());
    let mut notified: Vec<u16> = notified.collect();
    notified.sort();
    assert_eq!(notified, [2, 3, 4, 5, 7]);
}

#[test]
fn a_later_generation_at_an_address_supersedes_the_earlier() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    let restarted = Peer { incarnation: 99, ..peer(2) };

    send_rumors(&mut membership, peer(3), vec![whole(peer(2), 0, 1), whole(restarted, 0, 2)]);
    send_rumors(&mut membership, peer(3), vec![whole(Peer { incarnation: 98, ..peer(2) }, 0, 1)]);

    assert_eq!(standing(&membership, 2), Some(Standing::Gone));
    assert_eq!(standing(&membership, 98), Some(Standing::Gone));
    assert_eq!(standing(&membership, 99), Some(Standing::Trusted));
}

#[test]
fn a_process_supersedes_any_other_incarnation_at_its_own_address() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);

    send_rumors(&mut membership, peer(3), vec![whole(Peer { incarnation: 99, ..peer(1) }, 0, 50)]);

    assert_eq!(standing(&membership, 99), Some(Standing::Gone));
    assert!(membership.fact().generation > 50);
}

#[test]
fn an_answer_by_another_incarnation_ends_the_probed_one() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    send_rumors(&mut membership, peer(2), vec![whole(peer(2), 0, 1)]);
    membership.take_output();
    let ping = tick(&mut membership, &clock).sends.into_iter().find_map(|(_, message)| {
        let FleetMessage::Ping { number, .. } = message else { return None };
        Some(number)
    });

    let of = Peer { incarnation: 99, ..peer(2) };
    let gossip = Gossip::default();
    membership.on_message(of, FleetMessage::Ack { number: ping.unwrap(), of, gossip });

    assert_eq!(standing(&membership, 2), Some(Standing::Gone));
}

#[test]
fn digests_heal_in_both_directions() {
    let clock = ManualClock::new();
    let mut membership = alone(&clock);
    send_rumors(&mut membership, peer(2), vec![whole(peer(2), 0, 1)]);
    // Sends all rumors as often as they are repeated, so that only a digest can still report them.
    (0..40).for_each(|_| drop(tick(&mut membership, &clock)));
    let empty = vec![0; 32];

    let digest = FleetMessage::Digest { digest: empty.clone(), gossip: Gossip::default() };
    membership.on_message(peer(2), digest);
    let asked = membership.take_output().sends;
    let answer = FleetMessage::Differences { digest: empty, gossip: Gossip::default() };
    membership.on_message(peer(2), answer);
    let answered = membership.take_output().sends;

    let reports_self = |message: &FleetMessage| match message {
        FleetMessage::Differences { gossip, .. } | FleetMessage::News { gossip } => {
            gossip.rumors.iter().any(|rumor| rumor.incarnation() == 1)
        }
        _ => false,
    };
    assert!(asked.iter().any(|(_, message)| reports_self(message)));
    assert!(answered.iter().any(|(_, message)| reports_self(message)));
}
