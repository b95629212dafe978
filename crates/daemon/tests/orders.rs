//! Orders to engines in whole fleets: a lost engine is replaced, spare ones are put to use, and no
//! engine, though it checks nothing, takes an order of an old lead.

use crossbeam::channel::{Receiver, Sender, unbounded};
use sorrellock_core::id::{Fence, Incarnation};
use sorrellock_core::process::orders::{FenceError, LeadRecord, PlannerConfig};
use sorrellock_core::request::{Hop, LayerRange, Peer, Refusal, RequestKey, Route};
use sorrellock_core::version::Pipeline;
use sorrellock_daemon::beside::process::{Beside, BesideSettings};
use sorrellock_daemon::process::leads::lead_key;
use sorrellock_daemon::process::{Count, Dump, LogFormat, set_up_log};
use sorrellock_fakes::{EngineConfig, FakeEngine, FakePlatform, Outage, PlatformConfig};
use sorrellock_local::{
    LocalConfig, LocalEngine, LocalFleet, MODEL, PLACE, next_addr, write_pipelines,
};
use sorrellock_ports::api::Order;
use sorrellock_wire::connection::{AnyLink, Link, LinkConfig, LinkHandler};
use sorrellock_wire::message::{
    Message, Open, OrderAnswer, OrderMessage, OrderRefusal, OrderRequest, OrderResult,
    PipelineMessage, StageTrouble,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take to happen.
const PATIENCE: Duration = Duration::from_secs(40);
/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(20);
const GRACE: Duration = Duration::from_millis(500);
/// How long a refusal may take to come.
const TROUBLE_WAIT: Duration = Duration::from_secs(5);
/// Incarnation of the lead, or entry, that a test plays.
const ME: Incarnation = 7;
const PROMPT: &str = "break explanation";
const TOKENS: u32 = 12;

fn quiet() {
    set_up_log(LogFormat::Off);
}

fn planner() -> PlannerConfig {
    PlannerConfig::new().with_grace(GRACE)
}

fn wait_for(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < end, "{what} did not come to be in {PATIENCE:?}");
        thread::sleep(POLL);
    }
}

fn layers(engine: &LocalEngine) -> LayerRange {
    engine.engine.info().layers
}

/// Who leads, as the store has it.
fn lead(platform: &FakePlatform) -> Option<Incarnation> {
    let object = platform.get_direct(&lead_key(MODEL))?;
    let record: LeadRecord = serde_json::from_slice(&object.value).unwrap();
    Some(record.lead)
}

fn is_answered(fleet: &LocalFleet) -> bool {
    let answer = fleet.caller(0, 0).complete(MODEL, PROMPT, TOKENS).unwrap();
    if answer.status != 200 {
        return false;
    }
    let text = answer.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
    assert_eq!(text, fleet.expected(PROMPT, TOKENS));
    true
}

fn assert_fences_rise(orders: &[Order]) {
    assert!(orders.is_sorted_by_key(|order| order.fence), "an old order was taken: {orders:?}");
}

#[test]
fn a_spare_engine_that_holds_nothing_is_put_to_use() {
    quiet();
    let cfg = LocalConfig::new().with_pipeline(2, 1).with_orders(planner(), 1);

    let fleet = LocalFleet::start(cfg).unwrap();
    let spare = fleet.engines.last().unwrap();
    wait_for("the spare engine's use", || layers(spare).count() > 0);

    assert!(fleet.engines[..2].iter().any(|engine| layers(engine) == layers(spare)));
    assert_eq!(fleet.engines[0].engine.orders(), []);
    assert!(is_answered(&fleet));
}

#[test]
fn the_only_holder_of_a_stage_is_lost_and_the_pipeline_is_whole_again() {
    quiet();
    let cfg = LocalConfig::new().with_pipeline(2, 2).with_orders(planner(), 0);
    let fleet = LocalFleet::start(cfg).unwrap();
    assert!(is_answered(&fleet));

    fleet.kill_busiest(1);
    let other = fleet.engines.iter().filter(|engine| engine.stage == 1);
    other.for_each(|engine| {
        engine.beside.stop();
        engine.engine.stop();
    });
    wait_for("a whole pipeline", || is_answered(&fleet));

    let left = &fleet.engines[..2];
    let ordered: usize = left.iter().map(|engine| engine.engine.orders().len()).sum();
    assert_eq!(ordered, 1, "one engine moves, the other stays");
}

#[test]
fn no_more_engines_load_at_a_time_than_the_weight_store_bears() {
    quiet();
    let load_time = Duration::from_millis(400);
    let cfg = LocalConfig::new().with_pipeline(1, 1).with_load_time(load_time);
    let cfg = cfg.with_orders(planner().with_max_loads(2), 6);

    let fleet = LocalFleet::start(cfg).unwrap();
    let spares = &fleet.engines[1..];
    let is_loading = |engine: &&LocalEngine| {
        engine.engine.info().layers.count() == 0 && !engine.engine.orders().is_empty()
    };
    let mut most = 0;
    wait_for("all spare engines' use", || {
        most = most.max(spares.iter().filter(is_loading).count());
        spares.iter().all(|engine| layers(engine).count() > 0)
    });

    assert!((1..=2).contains(&most), "{most} engines loaded at a time");
    assert!(spares.iter().all(|engine| engine.engine.orders().len() == 1));
    let taken: u64 = spares.iter().map(|engine| engine.beside.counter(Count::OrdersTaken)).sum();
    assert_eq!(taken, 6);
}

#[test]
fn in_an_outage_of_the_store_service_goes_on_and_orders_resume_after_it() {
    quiet();
    let cfg = LocalConfig::new().with_pipeline(2, 2).with_orders(planner(), 0);
    let fleet = LocalFleet::start(cfg).unwrap();
    wait_for("a lead", || lead(&fleet.platform).is_some());
    let is_lead =
        |engine: &LocalEngine| Some(engine.beside.peer().incarnation) == lead(&fleet.platform);
    let (lost, left) = fleet.engines.split_at(2);
    let (lost, left) = if lost.iter().any(is_lead) { (left, lost) } else { (lost, left) };
    let refused = || left.iter().map(|one| one.beside.counter(Count::OrdersRefused)).sum::<u64>();
    let orders = || left.iter().map(|one| one.engine.orders().len()).sum::<usize>();

    fleet.platform.set_outage(Outage::Refuse);
    let served = is_answered(&fleet);
    lost.iter().for_each(|engine| {
        engine.beside.stop();
        engine.engine.stop();
    });
    wait_for("a refused order", || refused() > 0);
    let in_outage = orders();
    fleet.platform.set_outage(Outage::None);
    wait_for("a whole pipeline", || is_answered(&fleet));

    assert!(served);
    assert_eq!((in_outage, orders()), (0, 1));
}

#[test]
fn two_daemons_that_both_believe_they_lead_do_no_harm() {
    quiet();
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    write_pipelines(&platform, vec![Pipeline::new(MODEL, MODEL, 8).with_stages(2)]);

    // The list of instances is empty, so each knows but itself.
    let pair = [spare(&platform, "one"), spare(&platform, "two")];
    let leads = |(_, beside): &(FakeEngine, Beside)| beside.counter(Count::LeadsTaken);
    wait_for("a change of leads", || pair.iter().map(leads).sum::<u64>() > 2);
    wait_for("an order each", || pair.iter().all(|(engine, _)| engine.info().layers.count() > 0));

    for (engine, beside) in &pair {
        assert!(beside.counter(Count::LeadsTaken) > 0);
        assert_fences_rise(&engine.orders());
    }
}

/// A lead as it may be after a pause: it sends what it had in mind.
struct SleepyLead {
    link: Arc<AnyLink>,
    me: Peer,
    answers: Receiver<OrderAnswer>,
    troubles: Receiver<StageTrouble>,
}

struct Answers(Sender<OrderAnswer>, Sender<StageTrouble>);

impl LinkHandler for Answers {
    fn on_message(&self, _: Peer, _: Incarnation, message: Message) {
        match message {
            Message::Order(OrderMessage::Answer(answer)) => {
                let _ = self.0.send(answer);
            }
            Message::Pipeline(PipelineMessage::Trouble { trouble, .. }) => {
                let _ = self.1.send(trouble);
            }
            _ => {}
        }
    }

    fn on_closed(&self, _: SocketAddr) {}
}

impl SleepyLead {
    fn new() -> SleepyLead {
        let me = Peer { addr: next_addr(), incarnation: ME };
        let (link, closed) = AnyLink::listen(LinkConfig::new(me)).unwrap();
        let (answers_tx, answers) = unbounded();
        let (troubles_tx, troubles) = unbounded();
        link.serve(closed, Arc::new(Answers(answers_tx, troubles_tx)));
        SleepyLead { link, me, answers, troubles }
    }

    /// Opens a request at an engine, as an entry does, and returns the trouble that it meets.
    fn open(&self, at: &Beside, endpoint: &str, layers: LayerRange, number: u64) -> StageTrouble {
        let hop = Hop { daemon: at.peer(), endpoint: endpoint.into(), layers };
        let open = Open {
            request: RequestKey { entry: ME, sequence: number },
            attempt: 1,
            entry: self.me,
            route: Route { hops: vec![hop] },
            stage: 0,
            since: vec![1],
            handover: vec![None],
            cuts: Vec::new(),
            have: 1,
            prompt_len: 1,
            max_tokens: 1,
            priority: 0,
        };
        let message = Message::Pipeline(PipelineMessage::Open(open));
        self.link.send(at.peer(), message).unwrap();
        self.troubles.recv_timeout(TROUBLE_WAIT).expect("the request is refused")
    }

    /// Sends an order, and returns the first answer to it.
    fn order(&self, to: &Beside, endpoint: &str, fence: Fence, layers: LayerRange) -> OrderResult {
        let order = OrderRequest {
            fence,
            model: MODEL.into(),
            layers,
            adapter: None,
            version: String::new(),
            endpoint: endpoint.into(),
        };
        let message = Message::Order(OrderMessage::Order(order));
        self.link.send(to.peer(), message).unwrap();
        self.answers.recv_timeout(PATIENCE).expect("an order is answered").result
    }
}

/// An engine that holds nothing and checks no fences, with the daemon beside it.
fn spare(platform: &FakePlatform, name: &str) -> (FakeEngine, Beside) {
    let cfg = EngineConfig::new(next_addr(), "", LayerRange::new(0, 0));
    let cfg = cfg.with_endpoint(name).with_loading(8, Duration::ZERO).with_fences_ignored();
    let engine = FakeEngine::start(cfg).unwrap();
    let beside = beside(platform, &engine);
    (engine, beside)
}

fn beside(platform: &FakePlatform, engine: &FakeEngine) -> Beside {
    let settings = BesideSettings::new(PLACE, next_addr());
    Beside::start(settings.with_platform(platform.addr()).with_engine(engine.addr())).unwrap()
}

fn old(fence: Fence, highest: Fence) -> OrderResult {
    OrderResult::Refused(OrderRefusal::Fence(FenceError::Old { fence, highest }))
}

#[test]
fn a_lead_that_slept_orders_nothing_when_it_wakes() {
    quiet();
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let before = platform.put_direct(&lead_key(MODEL), br#"{"lead":1}"#);
    let (engine, beside) = spare(&platform, "one");
    let lead = SleepyLead::new();
    let (first, second) = (LayerRange::new(0, 4), LayerRange::new(4, 8));

    let awake = lead.order(&beside, "one", before, first);
    wait_for("the order", || engine.info().layers == first);
    let after = platform.put_direct(&lead_key(MODEL), br#"{"lead":2}"#);
    let new = retried(&lead, &beside, after, second);
    wait_for("the new lead's order", || engine.info().layers == second);
    let woken = retried(&lead, &beside, before, first);

    assert_eq!((awake, new, woken), (OrderResult::Taken, OrderResult::Taken, old(before, after)));
    assert_eq!(engine.info().layers, second);
    assert_fences_rise(&engine.orders());
}

#[test]
fn an_engine_that_loads_takes_no_request_and_then_none_for_what_it_held() {
    quiet();
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let (held, next) = (LayerRange::new(0, 4), LayerRange::new(4, 8));
    let cfg = EngineConfig::new(next_addr(), MODEL, held).with_endpoint("one");
    let engine = FakeEngine::start(cfg.with_loading(8, Duration::from_secs(1))).unwrap();
    let beside = beside(&platform, &engine);
    let lead = SleepyLead::new();

    let taken = lead.order(&beside, "one", Fence::MAX, next);
    wait_for("the change's begin", || {
        !beside.state().dump()["endpoints"][0]["engine"]["loads"].is_null()
    });
    let for_held = lead.open(&beside, "one", held, 1);
    let for_next = lead.open(&beside, "one", next, 2);
    wait_for("the order's end", || retried(&lead, &beside, Fence::MAX, next) == OrderResult::Taken);
    let late = lead.open(&beside, "one", held, 3);

    let refused = StageTrouble::Refused(Refusal::Leaving);
    assert_eq!(taken, OrderResult::Taken);
    assert_eq!([for_held, for_next, late], [refused, refused, refused]);
}

/// An order to an engine that may still end the one before.
fn retried(lead: &SleepyLead, beside: &Beside, fence: Fence, layers: LayerRange) -> OrderResult {
    loop {
        match lead.order(beside, "one", fence, layers) {
            OrderResult::Refused(OrderRefusal::Busy) => thread::sleep(POLL),
            result => return result,
        }
    }
}

#[test]
fn a_daemon_that_restarts_is_not_deceived_by_an_old_copy_of_the_store() {
    quiet();
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let before = platform.put_direct(&lead_key(MODEL), br#"{"lead":1}"#);
    platform.set_stale_reads(true);
    let after = platform.put_direct(&lead_key(MODEL), br#"{"lead":2}"#);
    let (engine, beside) = spare(&platform, "one");
    let lead = SleepyLead::new();

    let woken = lead.order(&beside, "one", before, LayerRange::new(0, 4));
    let new = retried(&lead, &beside, after, LayerRange::new(4, 8));

    assert_eq!((woken, new), (old(before, after), OrderResult::Taken));
    assert!(engine.orders().iter().all(|order| order.fence == after));
}

#[test]
fn a_guard_that_can_not_read_refuses_and_takes_orders_after_the_outage() {
    quiet();
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let (engine, beside) = spare(&platform, "one");
    let lead = SleepyLead::new();
    let layers = LayerRange::new(0, 4);

    platform.set_outage(Outage::Refuse);
    let out = lead.order(&beside, "one", Fence::MAX, layers);
    let orders = engine.orders().len();
    platform.set_outage(Outage::None);
    let back = retried(&lead, &beside, Fence::MAX, layers);

    assert!(matches!(out, OrderResult::Refused(OrderRefusal::StoreDown(_))), "{out:?}");
    assert_eq!((orders, back), (0, OrderResult::Taken));
    wait_for("the order", || engine.info().layers == layers);
}

#[test]
fn an_engine_under_load_changes_its_layers_and_no_answer_is_cut() {
    quiet();
    let cfg = LocalConfig::new().with_pipeline(2, 2);
    let fleet =
        LocalFleet::start(cfg.with_times(Duration::from_millis(3), Duration::ZERO)).unwrap();
    let moved = &fleet.engines[3];
    let to = layers(&fleet.engines[0]);
    let lead = SleepyLead::new();

    let (result, texts) = thread::scope(|scope| {
        let stream = || fleet.caller(0, 0).stream(MODEL, PROMPT, 120, |_| {});
        let streams: Vec<_> = (0..8).map(|_| scope.spawn(stream)).collect();
        wait_for("work at the engine", || moved.engine.load_now().sessions > 0);
        let result = lead.order(&moved.beside, &moved.engine.info().endpoint, Fence::MAX, to);
        let texts: Vec<_> = streams.into_iter().map(|one| one.join().unwrap()).collect();
        (result, texts)
    });
    wait_for("the change", || layers(moved) == to);

    assert_eq!(result, OrderResult::Taken);
    let expected = fleet.expected(PROMPT, 120);
    let refused = moved.engine.counters().steps_refused.load(Ordering::Relaxed);
    assert_eq!(refused, 0, "the order came before the work had ended");
    assert!(texts.iter().all(|text| text.as_ref().is_ok_and(|text| *text == expected)));
    assert!(is_answered(&fleet));
}
