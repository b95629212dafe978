//! An endpoint that is full rejects the question for its health like any other request.
//!
//! What callers saw: refusals for want of engines for ten seconds after a short overload, while the engines were well and took work again.
//!
//! The order of events: an engine is full and refuses a request as not run. The gateway asks for its health; the engine rejects that question, too,
//! and says that it has not run it. The gateway takes any answer but 200 for the word that the engine leaves. It reports that to all gateways,
//! and the engine gets nothing new and no layers for ten seconds.
//!
//! The evidence: an endpoint that leaves answers its health question with 503 without saying that it was not run; one that is full says so.

use crate::fleet::{KEY, fleet, new_request, send};
use crate::gateway_process::wait_for;
use sorrellock_stand_ins::{EngineMode, StoreMode};
use std::thread;
use std::time::Duration;

/// Longer than a path is avoided after a refusal, far shorter than an endpoint counts as leaving.
const AFTER_REFUSAL: Duration = Duration::from_millis(1_500);

#[test]
fn engines_that_were_full_for_a_moment_are_used_again() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::Refuses));
    let refused = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!(refused.status, 503);
    let asked = || fleet.engines.iter().map(|engine| engine.seen().health_checks).sum::<u32>();
    wait_for("two engines to be asked for their health", || asked() >= 2);

    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::Serves));
    thread::sleep(AFTER_REFUSAL);
    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(gateway.lines(&["\"endpoint reported that it is leaving\""]), Vec::<String>::new());
}

/// An endpoint whose entry may only have lapsed in an outage of the store is removed once it says that it leaves.
#[test]
fn a_full_engine_whose_entry_lapsed_in_an_outage_is_not_taken_for_one_that_leaves() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.store.set_mode(StoreMode::Busy);
    gateway.wait_for_line(&["\"store lost\""]);
    let engine = &fleet.engines[0];
    engine.set_mode(EngineMode::Refuses);
    engine.lose_store();

    fleet.store.set_mode(StoreMode::Up);
    gateway.wait_for_line(&["missing after an outage", engine.id()]);
    wait_for("the engine to be asked for its health", || engine.seen().health_checks >= 1);
    engine.regain_store();

    gateway.wait_for_line(&["\"entry of an endpoint is back\"", engine.id()]);
    assert_eq!(gateway.lines(&["\"endpoint gone\""]), Vec::<String>::new());
}

#[test]
fn an_engine_that_refuses_and_says_that_it_leaves_is_believed_while_the_store_is_down() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.store.set_mode(StoreMode::Busy);
    gateway.wait_for_line(&["\"store lost\""]);
    for engine in &fleet.engines {
        engine.leave();
        engine.set_mode(EngineMode::RefusesOver(engine.addr()));
    }

    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));

    assert_eq!(answer.status, 503, "{answer:?}");
    gateway.wait_for_line(&["\"endpoint reported that it is leaving\""]);
}

/// What callers saw: refusals for another second, and streams of other gateways that left their runs on the engine, as a suspicion was reported of
/// an engine that had just answered with a refusal. Its health waited for a slot, and brought no answer in time.
#[test]
fn an_engine_whose_health_waits_for_a_slot_is_not_suspected() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::RefusesSlotless));

    let refused = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    let asked = || fleet.engines.iter().map(|engine| engine.seen().health_checks).sum::<u32>();
    wait_for("two engines to be asked for their health", || asked() >= 2);
    thread::sleep(AFTER_REFUSAL);

    assert_eq!(refused.status, 503);
    assert_eq!(gateway.lines(&["\"endpoint suspected\""]), Vec::<String>::new());
}
