//! A fleet of gateways, one of which leads, on simulated time.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_routing::process::lead_view::{
    EngineView, EngineViews, ViewChange, ViewHolder, ViewLog, ViewMark, ViewServing, ViewSnapshot,
    ViewSync, ViewUpdate,
};
use sorrellock_routing::process::{Incarnation, LayerRange, Revision};
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(25);
const SEND_INTERVAL_STEPS: u64 = 10;
/// Steps that a message or an answer takes.
const DELAY_STEPS: std::ops::Range<u64> = 1..4;
/// Bytes of one engine in a message or a view.
const ENGINE_BYTES: usize = 27;

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub engines: usize,
    /// Share of the messages that are lost.
    pub loss: f64,
}

#[derive(Default)]
struct Gateway {
    views: EngineViews,
    sync: ViewSync,
    serving: ViewServing,
    /// The marks that the others announced.
    marks: Vec<ViewMark>,
    /// It sends and receives nothing until this step.
    frozen_until: u64,
    pub outdated: usize,
}

enum Delivery {
    Update { to: usize, update: Box<ViewUpdate> },
    Announcement { from: usize, mark: ViewMark },
    Whole { to: usize, snapshot: ViewSnapshot },
}

pub struct World {
    size: Size,
    pub rng: StdRng,
    began: Instant,
    step: u64,
    gateways: Vec<Gateway>,
    lead: usize,
    term: u64,
    /// The lead's; none until it publishes.
    log: Option<ViewLog>,
    truth: Vec<EngineView>,
    in_flight: Vec<(u64, Delivery)>,
    /// Bytes of updates and whole views that the lead sent.
    pub lead_bytes: usize,
    /// The longest message, in engines.
    pub largest: usize,
    /// Most whole views that one gateway served.
    pub served: Vec<usize>,
}

pub fn engine(index: usize) -> EngineView {
    EngineView {
        incarnation: Incarnation::new(format!("i-{index:010}"), Some(1_790_000_000_000)),
        usable: LayerRange { from: 0, to: 8 },
        slowness: 1.0,
        is_dead: false,
    }
}

impl World {
    pub fn new(size: Size, seed: u64) -> World {
        let gateway =
            || Gateway { marks: vec![ViewMark::default(); size.gateways], ..Gateway::default() };
        World {
            size,
            rng: StdRng::seed_from_u64(seed),
            began: Instant::now(),
            step: 0,
            gateways: (0..size.gateways).map(|_| gateway()).collect(),
            lead: 0,
            term: 1,
            log: None,
            truth: (0..size.engines).map(engine).collect(),
            in_flight: Vec::new(),
            lead_bytes: 0,
            largest: 0,
            served: vec![0; size.gateways],
        }
    }

    fn now(&self) -> Instant {
        self.began + STEP * self.step as u32
    }

    /// Changes some engines.
    pub fn change(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.rng.random_range(0..self.truth.len());
            self.truth[index].is_dead ^= true;
            self.truth[index].slowness += 1.0;
        }
    }

    /// Replaces an engine by another one.
    pub fn replace(&mut self, index: usize) {
        let id = self.rng.random_range(10_000..1_000_000);
        self.truth[index] = engine(id);
    }

    /// Another gateway takes the lead, with what it knows.
    pub fn change_lead(&mut self, to: usize) {
        self.lead = to;
        self.term += 1;
        self.log = None;
    }

    /// Starts a gateway again, without any state.
    pub fn restart(&mut self, index: usize) {
        let marks = vec![ViewMark::default(); self.size.gateways];
        self.gateways[index] = Gateway { marks, ..Gateway::default() };
        if index == self.lead {
            self.change_lead(index);
        }
    }

    pub fn freeze(&mut self, index: usize, lasts: Duration) {
        let steps = lasts.as_millis() / STEP.as_millis();
        self.gateways[index].frozen_until = self.step + steps as u64;
    }

    /// Returns how many gateways don't have the lead's view.
    pub fn differing(&self) -> usize {
        let now = self.now();
        let differs = |gateway: &&Gateway| {
            !self.truth.iter().all(|one| gateway.views.engine(&one.incarnation, now) == Some(one))
                || gateway.views.snapshot().engines.len() != self.truth.len()
        };
        self.gateways.iter().filter(differs).count()
    }

    pub fn run(&mut self, lasts: Duration) {
        let steps = lasts.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.step += 1;
            self.deliver();
            self.publish();
            self.send();
            self.read_whole();
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        let term = Revision::new(0, self.term);
        let views = &mut self.gateways[self.lead].views;
        let log = self.log.get_or_insert_with(|| ViewLog::new(views.snapshot()));
        let update = log.publish(term, self.truth.clone(), now);
        let change = views.on_update(&update, now);
        assert_ne!(change, ViewChange::Behind, "the lead has what it publishes");
    }

    fn is_frozen(&self, index: usize) -> bool {
        self.gateways[index].frozen_until > self.step
    }

    fn push(&mut self, delivery: Delivery) {
        let at = self.step + self.rng.random_range(DELAY_STEPS);
        self.in_flight.push((at, delivery));
    }

    fn send(&mut self) {
        for from in 0..self.size.gateways {
            if !(self.step + from as u64).is_multiple_of(SEND_INTERVAL_STEPS)
                || self.is_frozen(from)
            {
                continue;
            }
            let mark = self.gateways[from].views.mark();
            self.push(Delivery::Announcement { from, mark });
            if from == self.lead {
                self.send_update();
            }
        }
    }

    fn send_update(&mut self) {
        let now = self.now();
        let Some(update) = self.log.as_mut().map(|log| log.update(now)) else { return };
        let engines = update.changed.len() + update.removed.len();
        self.largest = self.largest.max(engines);
        let lead = self.lead;
        for to in (0..self.size.gateways).filter(|to| *to != lead) {
            self.lead_bytes += engines * ENGINE_BYTES;
            if !self.rng.random_bool(self.size.loss) {
                self.push(Delivery::Update { to, update: Box::new(update.clone()) });
            }
        }
    }

    fn read_whole(&mut self) {
        let now = self.now();
        for index in 0..self.size.gateways {
            let Some(missing) = self.gateways[index].views.missing() else { continue };
            if self.is_frozen(index) {
                continue;
            }
            let lead = self.lead;
            let gateway = &mut self.gateways[index];
            let marks = gateway.marks.iter().enumerate().filter(|(peer, _)| *peer != index);
            let holders = marks.map(|(peer, mark)| ViewHolder {
                peer,
                mark: *mark,
                is_lead: peer == lead,
                is_near: peer % 3 == index % 3,
            });
            let Some(from) = gateway.sync.read_from(missing, holders, index as u64, now) else {
                continue;
            };
            if self.is_frozen(from) || !self.gateways[from].serving.admit(now) {
                continue;
            }
            self.served[from] += 1;
            let snapshot = self.gateways[from].views.snapshot();
            if from == self.lead {
                self.lead_bytes += snapshot.engines.len() * ENGINE_BYTES;
            }
            self.push(Delivery::Whole { to: index, snapshot });
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let step = self.step;
        let (due, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= step);
        self.in_flight = rest;
        let due: Vec<(u64, Delivery)> = due;
        for (_, delivery) in due {
            match delivery {
                Delivery::Update { to, update } if !self.is_frozen(to) => {
                    if self.gateways[to].views.on_update(&update, now) == ViewChange::Outdated {
                        self.gateways[to].outdated += 1;
                    }
                }
                Delivery::Whole { to, snapshot } if !self.is_frozen(to) => {
                    self.gateways[to].views.on_snapshot(snapshot, now);
                }
                Delivery::Announcement { from, mark } => {
                    self.gateways.iter_mut().for_each(|gateway| gateway.marks[from] = mark);
                }
                Delivery::Update { .. } | Delivery::Whole { .. } => {}
            }
        }
    }
}
