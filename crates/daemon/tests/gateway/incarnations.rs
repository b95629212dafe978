//! Engines that start again under their id: nothing of the incarnation before is taken for theirs.

use crate::fleet::{
    Fleet, KEY, begin, fleet, fleet_of_two_chains, fleet_of_two_first_engines, new_request,
    read_rest, send, whole_stream,
};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{FakeEngine, FakeProxy, FakeService, ProxyMode, StoreMode, new_ip};
use std::io::Read;
use std::net::SocketAddr;

const STARTED_AGAIN: &str = "\"endpoint started again\"";

/// A stream of which the first events came.
struct Stream {
    request: String,
    first: String,
    body: Box<dyn Read + Send>,
}

impl Stream {
    fn begin(gateway: &GatewayProcess) -> Stream {
        let request = new_request();
        let (head, mut body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));
        assert_eq!(head.status, 200);
        let mut first = vec![0; 60];
        body.read_exact(&mut first).expect("the first events");
        Stream { request, first: String::from_utf8(first).expect("text"), body }
    }

    fn assert_whole(mut self) {
        let rest = read_rest(&mut self.body);
        assert_eq!(self.first + &rest, whole_stream());
    }
}

/// The second engine of the path that a request takes.
fn second_engine<'a>(fleet: &'a Fleet, runner: &FakeEngine, request: &str) -> &'a FakeEngine {
    let hops = runner.seen().headers[request]["hop-count"].to_str().expect("text").to_owned();
    let second = hops.split([',', '=']).nth(2).expect("two parts").to_owned();
    let is_second = |one: &&FakeEngine| one.addr().to_string() == second;
    fleet.engines.iter().find(is_second).expect("one of them")
}

/// Waits until an engine has taken the first order of its incarnation and holds layers again.
fn wait_for_first_order(engine: &FakeEngine) {
    wait_for("the first order of the new life", || {
        engine.orders() == 1 && engine.layers() != (0, 0)
    });
}

/// A new address for an engine.
fn other_addr() -> SocketAddr {
    SocketAddr::new(new_ip(), 0)
}

/// Waits until a gateway has taken what was written to the store so far.
fn wait_for_news(fleet: &Fleet, gateway: &GatewayProcess, marker: &str) {
    FakeService::start(marker, "ledger", "north", new_ip(), &fleet.store).expect("a service");
    gateway.wait_for_line(&["\"endpoint joined\"", marker]);
}

#[test]
fn a_stream_whose_first_engine_starts_again_goes_on_elsewhere_at_once() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let stream = Stream::begin(&gateway);
    let runner = fleet.runner(&stream.request).expect("an engine runs it");
    let request = stream.request.clone();

    runner.restart_unseen();
    runner.enter();
    stream.assert_whole();

    gateway.wait_for_line(&[STARTED_AGAIN, runner.id()]);
    gateway.wait_for_line(&["\"failover started\"", &request, "an engine of the path is gone"]);
    assert_eq!(fleet.runs(&request), 2);
}

#[test]
fn a_stream_whose_second_engine_starts_again_goes_on_without_a_second_run() {
    let fleet = fleet_of_two_chains();
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    wait_for("the gateway to be ready", || gateway.is_ready());
    wait_for("two paths", || gateway.lines(&["\"path in use\"", "north"]).len() >= 2);
    let stream = Stream::begin(&gateway);
    let request = stream.request.clone();
    let runner = fleet.runner(&request).expect("an engine runs it");
    let second = second_engine(&fleet, runner, &request);

    runner.set_stalled(true);
    second.restart_unseen();
    second.enter();
    wait_for("the order to go on", || runner.seen().moved.contains(&request));
    runner.set_stalled(false);
    stream.assert_whole();

    assert_eq!(fleet.runs(&request), 1, "no second run was needed");
}

#[test]
fn an_engine_that_starts_again_gets_its_layers_by_the_count_of_its_new_incarnation() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = &fleet.engines[0];

    engine.restart();

    gateway.wait_for_line(&[STARTED_AGAIN, engine.id()]);
    wait_for_first_order(engine);
    let is_of_new_incarnation = |line: &String| line.contains("\"expected\":0");
    wait_for("the order of the new life", || {
        let orders = gateway.lines(&["\"order given\"", engine.id(), "Begun"]);
        orders.iter().filter(|line| is_of_new_incarnation(line)).count() == 2
    });
    assert!(gateway.lines(&["\"order given\"", engine.id(), "Refused"]).is_empty());
}

#[test]
fn beside_an_outage_of_the_store_a_report_tells_of_the_new_incarnation() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let stream = Stream::begin(&gateway);
    let request = stream.request.clone();
    let runner = fleet.runner(&request).expect("an engine runs it");

    fleet.store.set_mode(StoreMode::Silent);
    runner.restart_unseen();
    stream.assert_whole();

    gateway.wait_for_line(&[STARTED_AGAIN, runner.id(), "its report"]);
    gateway.wait_for_line(&["\"failover started\"", &request, "an engine of the path is gone"]);
    wait_for_first_order(runner);
    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

#[test]
fn an_order_that_the_life_before_left_unanswered_is_not_waited_for() {
    let fleet = fleet();
    let engine = &fleet.engines[0];
    engine.hold_orders(true);
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    gateway.wait_for_line(&["\"order given\"", engine.id(), "Unclear"]);

    engine.restart_unseen();
    engine.hold_orders(false);
    engine.enter();

    wait_for_first_order(engine);
    gateway.wait_for_line(&["\"order ended\"", engine.id(), "done"]);
    assert!(gateway.lines(&["\"order ended\"", engine.id(), "not seen"]).is_empty());
}

#[test]
fn an_engine_that_starts_again_at_another_address_is_used_there() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = &fleet.engines[0];

    engine.restart_silently(Some(other_addr()));
    engine.enter();

    gateway.wait_for_line(&[STARTED_AGAIN, engine.id()]);
    wait_for_first_order(engine);
    gateway.wait_for_line(&["\"path in use\"", "north", &engine.addr().to_string()]);
}

#[test]
fn an_entry_that_the_life_before_writes_late_changes_nothing() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = &fleet.engines[0];
    let (born, addr) = (engine.born(), engine.addr());
    engine.restart_silently(Some(other_addr()));
    engine.enter();
    wait_for_first_order(engine);
    gateway.wait_for_line(&["\"path in use\"", "north", &engine.addr().to_string()]);

    engine.enter_late(born, addr);
    wait_for_news(&fleet, &gateway, "ledger-2");

    let answers =
        (0..5).map(|_| send(gateway.callers(), "/match/a", &new_request(), Some(KEY)).status);
    assert!(answers.into_iter().all(|status| status == 200));
    assert_eq!(gateway.lines(&[STARTED_AGAIN, engine.id()]).len(), 1);
    assert_eq!(engine.orders(), 1);
}

#[test]
fn a_life_that_a_late_entry_seems_to_end_is_back_once_it_writes_again() {
    let fleet = fleet();
    let engine = &fleet.engines[0];
    let (born, addr) = (engine.born(), engine.addr());
    engine.restart_silently(Some(other_addr()));
    engine.enter();
    let gateway = fleet.settled_gateway("one");

    engine.enter_late(born, addr);
    gateway.wait_for_line(&[STARTED_AGAIN, engine.id(), &format!("\"started\":{born}")]);
    engine.enter();

    let back = format!("\"started\":{}", engine.born());
    gateway.wait_for_line(&[STARTED_AGAIN, engine.id(), &back]);
    wait_for("a path over the engine", || {
        let addr = engine.addr().to_string();
        gateway.lines(&["\"path in use\"", "north", &addr]).len() >= 2
    });
    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

#[test]
fn a_gateway_that_only_another_one_tells_knows_of_the_new_incarnation() {
    let fleet = fleet();
    let first = fleet.settled_gateway("one");
    first.wait_for_line(&["\"lead taken\""]);
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    let second = GatewayProcess::start("two", "north", proxy.addr());
    fleet.wait_whole(&second);
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    let engine = &fleet.engines[0];

    proxy.set_mode(ProxyMode::Silent);
    fleet.store.set_mode(StoreMode::Silent);
    engine.restart_unseen();

    first.wait_for_line(&[STARTED_AGAIN, engine.id(), "its report"]);
    second.wait_for_line(&[STARTED_AGAIN, engine.id(), "\"source\":\"one\""]);
    wait_for_first_order(engine);
}

#[test]
fn a_gateway_that_asks_no_engine_hears_which_ends_are_sure() {
    let fleet = fleet();
    let first = fleet.settled_gateway("one");
    first.wait_for_line(&["\"lead taken\""]);
    let second = fleet.settled_gateway("two");
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    let engine = &fleet.engines[0];
    let (born, addr) = (engine.born(), engine.addr());
    engine.restart();
    second.wait_for_line(&[STARTED_AGAIN, engine.id()]);
    wait_for_first_order(engine);

    engine.enter_late(born, addr);

    second.wait_for_line(&["\"late entry of an endpoint\"", engine.id()]);
    assert!(second.lines(&["\"entries of an endpoint contradict", engine.id()]).is_empty());
}

#[test]
fn an_engine_whose_report_tells_no_start_gets_no_orders_and_others_serve() {
    let fleet = fleet_of_two_first_engines();
    let engine = &fleet.engines[4];
    engine.hide_start();

    let gateway = fleet.settled_gateway("one");
    gateway.wait_for_line(&["\"report without a start\"", engine.id()]);

    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(engine.orders(), 0);
}

#[test]
fn an_engine_that_started_again_does_not_live_on_without_its_entry_with_its_layers() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = &fleet.engines[0];

    engine.restart_unseen();
    engine.lose_store();

    gateway.wait_for_line(&[STARTED_AGAIN, engine.id(), "its report"]);
    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert!(gateway.lines(&["\"endpoint lives without its entry\"", engine.id()]).is_empty());
}
