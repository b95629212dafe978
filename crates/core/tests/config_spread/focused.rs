//! Focused tests of one daemon: one rule each.

use crate::world::World;
use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::{Place, Revision};
use sorrellock_core::request::Peer;
use sorrellock_core::version::{
    Change, ConfigEvent, ConfigMessage, ConfigPeers, Effect, Item, Page, PageCopy, PageId,
    PageListing, Row, Spread, SpreadSettings, StoreCall,
};
use std::time::Duration;

/// Upper bound of every wait, in simulated time.
const SOON: Duration = Duration::from_secs(5);

/// Peers given by a test.
#[derive(Default)]
struct KnownPeers {
    place: Place,
    near: Vec<Peer>,
}

impl ConfigPeers for KnownPeers {
    fn of_place(&self) -> Vec<Peer> {
        self.near.clone()
    }

    fn of_other_places(&self) -> Vec<Peer> {
        Vec::new()
    }

    fn place(&self) -> &Place {
        &self.place
    }
}

fn peer(number: u16) -> Peer {
    let addr = format!("127.0.0.1:{}", 2000 + number).parse().unwrap();
    Peer { addr, incarnation: u64::from(number) }
}

/// Creates a daemon without peers, which therefore watches the store.
fn alone() -> (Spread<ManualClock>, ManualClock) {
    let clock = ManualClock::new();
    let mut spread = Spread::new(SpreadSettings::new(), clock.clone(), peer(1), 1);
    spread.update_peers(&KnownPeers::default());
    spread.tick();
    (spread, clock)
}

fn row(weight: f64) -> Row {
    let mut row = Row::new("treasury", "match");
    row.weight = weight;
    row
}

fn page() -> PageId {
    row(1.0).page()
}

fn value(weight: f64) -> Vec<u8> {
    serde_json::to_vec(&Page::new(Change::default(), vec![row(weight)])).unwrap()
}

fn copy(revision: Revision, weight: f64) -> PageCopy {
    let body = sorrellock_core::version::PageBody::Table(vec![row(weight)]);
    PageCopy { page: page(), revision, body }
}

fn listing(revision: Revision, pages: &[(PageId, Revision)]) -> PageListing {
    PageListing { revision, pages: pages.to_vec() }
}

/// Creates a daemon without peers that has the page at revision 5 in force.
fn with_page() -> (Spread<ManualClock>, ManualClock) {
    let (mut spread, clock) = alone();
    spread.on_list(listing(5, &[(page(), 5)]));
    spread.on_object(page(), Some((5, value(5.0))));
    spread.take_effects();
    (spread, clock)
}

pub fn weight(spread: &Spread<ManualClock>) -> f64 {
    spread.view().row("treasury", "match").weight
}

fn events(spread: &mut Spread<ManualClock>) -> Vec<ConfigEvent> {
    let event_of = |effect| match effect {
        Effect::Report(event) => Some(event),
        Effect::Send { .. } => None,
    };
    spread.take_effects().into_iter().filter_map(event_of).collect()
}

fn sent(spread: &mut Spread<ManualClock>) -> Vec<ConfigMessage> {
    let message = |effect| match effect {
        Effect::Send { message, .. } => Some(message),
        Effect::Report(_) => None,
    };
    spread.take_effects().into_iter().filter_map(message).collect()
}

#[test]
fn a_lower_or_equal_revision_is_never_taken() {
    let (mut spread, _) = with_page();

    spread.on_message(peer(2), ConfigMessage::Pages { copies: vec![copy(4, 4.0)] });
    spread.on_message(peer(2), ConfigMessage::Pages { copies: vec![copy(5, 9.0)] });

    assert_eq!((weight(&spread), spread.applied()), (5.0, 5));
}

#[test]
fn a_list_of_an_old_copy_is_dropped_and_asked_for_again_later() {
    let (mut spread, clock) = with_page();

    spread.on_list(listing(3, &[]));

    assert_eq!(events(&mut spread), [ConfigEvent::OldCopy { shown: 3, known: 5 }]);
    assert!(spread.next_store_call().is_err());
    clock.advance(SOON);
    assert!(spread.next_store_call().is_ok());
    assert!(spread.troubles().deleted.is_empty());
}

#[test]
fn a_page_older_than_the_list_said_is_refused_and_read_again_later() {
    let (mut spread, clock) = alone();
    spread.on_list(listing(9, &[(page(), 9)]));

    spread.on_object(page(), Some((5, value(5.0))));

    assert_eq!((weight(&spread), spread.applied()), (1.0, 0));
    assert!(spread.next_store_call().is_err());
    clock.advance(SOON);
    assert_eq!(spread.next_store_call(), Ok(StoreCall::List));
    spread.on_list(listing(9, &[(page(), 9)]));
    assert_eq!(spread.next_store_call(), Ok(StoreCall::Get(page())));
    spread.on_object(page(), Some((9, value(9.0))));
    assert_eq!((weight(&spread), spread.applied()), (9.0, 9));
}

#[test]
fn a_page_deleted_between_list_and_read_holds_nothing_up() {
    let (mut spread, clock) = alone();
    spread.on_list(listing(9, &[(page(), 9)]));

    spread.on_object(page(), None);
    clock.advance(SOON);
    let next = spread.next_store_call();
    spread.on_list(listing(10, &[]));

    assert_eq!(next, Ok(StoreCall::List));
    assert_eq!(spread.applied(), 10);
}

#[test]
fn a_bad_page_leaves_the_last_good_one_in_force_and_is_told() {
    let (mut spread, _) = with_page();
    spread.on_watch(5, listing(6, &[(page(), 6)]));

    spread.on_object(page(), Some((6, value(0.0))));

    assert_eq!((weight(&spread), spread.applied()), (5.0, 6));
    let reported = events(&mut spread);
    assert!(matches!(reported[0], ConfigEvent::Refused { revision: 6, .. }), "{reported:?}");
    assert_eq!(spread.troubles().refused[&page().key()], 6);
    spread.on_watch(6, listing(7, &[(page(), 7)]));
    spread.on_object(page(), Some((7, value(7.0))));
    assert_eq!(weight(&spread), 7.0);
    assert!(spread.troubles().refused.is_empty());
}

#[test]
fn a_bad_page_of_a_peer_is_refused_too() {
    let (mut spread, _) = with_page();

    spread.on_message(peer(2), ConfigMessage::Pages { copies: vec![copy(8, -1.0)] });

    assert_eq!(weight(&spread), 5.0);
    assert_eq!(spread.troubles().refused[&page().key()], 8);
}

#[test]
fn a_deleted_page_stays_in_force_and_is_told_until_it_is_written_again() {
    let (mut spread, _) = with_page();

    spread.on_watch(5, listing(6, &[(page(), 0)]));

    assert_eq!((weight(&spread), spread.applied()), (5.0, 6));
    assert_eq!(events(&mut spread), [ConfigEvent::Deleted { page: page() }]);
    assert!(spread.troubles().deleted.contains(&page().key()));
    spread.on_watch(6, listing(7, &[(page(), 7)]));
    spread.on_object(page(), Some((7, value(7.0))));
    assert_eq!(weight(&spread), 7.0);
    assert!(spread.troubles().deleted.is_empty());
}

#[test]
fn a_deletion_before_the_revision_in_force_is_not_told() {
    let (mut spread, _) = with_page();
    spread.on_message(peer(2), ConfigMessage::Pages { copies: vec![copy(8, 8.0)] });
    spread.take_effects();

    spread.on_watch(5, listing(6, &[(page(), 0)]));

    assert_eq!(events(&mut spread), []);
    assert_eq!(weight(&spread), 8.0);
}

#[test]
fn messages_that_name_no_page_are_dropped_and_told() {
    let (mut spread, _) = with_page();
    let none = vec![(PageId::Table(u16::MAX), 9)];
    let many = vec![(page(), 9); PageId::COUNT + 1];
    let digest =
        |since, upto, pages| ConfigMessage::Digest { since, upto, pages, refused: Vec::new() };
    let bad = [
        ConfigMessage::Fetch { pages: none.clone() },
        ConfigMessage::Fetch { pages: many.clone() },
        digest(5, 9, none),
        digest(5, 9, many),
        digest(9, 8, Vec::new()),
        ConfigMessage::Pages { copies: vec![copy(0, 2.0)] },
    ];
    for message in bad {
        spread.on_message(peer(2), message);

        assert_eq!(events(&mut spread), [ConfigEvent::BadMessage { peer: peer(2) }]);
        assert_eq!(spread.applied(), 5);
    }
}

#[test]
fn a_digest_after_a_gap_is_answered_by_asking_for_the_whole() {
    let (mut spread, _) = with_page();
    let digest =
        ConfigMessage::Digest { since: 8, upto: 9, pages: Vec::new(), refused: Vec::new() };

    spread.on_message(peer(2), digest);

    assert_eq!(sent(&mut spread), [ConfigMessage::Summary { applied: 5, wants_reply: true }]);
    assert_eq!(spread.applied(), 5);
}

#[test]
fn a_large_answer_is_cut_after_some_pages_and_the_rest_is_asked_for_at_once() {
    let (mut giver, _) = alone();
    let many = |page: PageId| {
        let rows = (0..9_000)
            .map(|n| format!("w{n}"))
            .filter(|name| Row::new(name.as_str(), "a").page() == page);
        let kinds =
            |name: String| (0..80).map(move |kind| Row::new(name.as_str(), format!("{kind}")));
        sorrellock_core::version::PageBody::Table(rows.flat_map(kinds).collect())
    };
    let pages: Vec<PageId> = (0..4).map(PageId::Table).collect();
    let copies = pages.iter().map(|page| PageCopy { page: *page, revision: 3, body: many(*page) });
    giver.on_message(peer(3), ConfigMessage::Pages { copies: copies.collect() });
    let (mut taker, _) = alone();
    let at: Vec<_> = pages.iter().map(|page| (*page, 3)).collect();
    let digest = ConfigMessage::Digest { since: 0, upto: 3, pages: at, refused: Vec::new() };
    taker.take_effects();

    taker.on_message(peer(2), digest);
    let mut answers = 0;
    while let Some(fetch) = sent(&mut taker).pop() {
        giver.take_effects();
        giver.on_message(peer(1), fetch);
        let answer = sent(&mut giver).pop().unwrap();
        answers += 1;
        taker.on_message(peer(2), answer);
    }

    assert!((2..=4).contains(&answers), "{answers} answers");
    assert_eq!(taker.applied(), 3);
}

#[test]
fn a_daemon_without_peers_is_ready_from_the_store_after_a_grace() {
    let (mut spread, clock) = with_page();

    let at_once = spread.is_ready();
    clock.advance(SpreadSettings::new().join_grace);
    spread.update_peers(&KnownPeers::default());
    spread.tick();

    assert!(!at_once && spread.is_ready());
}

#[test]
fn a_daemon_on_an_old_copy_is_not_ready_before_it_has_what_its_peers_have() {
    let clock = ManualClock::new();
    let mut spread = Spread::new(SpreadSettings::new(), clock.clone(), peer(1), 1);
    let known = KnownPeers { place: "pasila".into(), near: vec![peer(2)] };
    spread.on_list(listing(5, &[(page(), 5)]));
    spread.on_object(page(), Some((5, value(5.0))));
    spread.on_message(peer(2), ConfigMessage::Summary { applied: 9, wants_reply: false });

    clock.advance(SOON);
    spread.update_peers(&known);
    spread.tick();
    let behind = spread.is_ready();
    let digest =
        ConfigMessage::Digest { since: 5, upto: 9, pages: vec![(page(), 8)], refused: Vec::new() };
    spread.on_message(peer(2), digest);
    spread.on_message(peer(2), ConfigMessage::Pages { copies: vec![copy(8, 8.0)] });

    assert!(!behind);
    assert!(spread.is_ready() && weight(&spread) == 8.0);
}

#[test]
fn without_store_and_peers_a_daemon_is_never_ready() {
    let mut world = World::new(&["pasila"], 1, 1);
    world.store.set_down(true);

    world.steps(1_000);

    assert!(!world.spread(0).is_ready());
}
