//! Faults of a soak, drawn at random.

use super::world::World;
use crate::fleet::{KEY, config};
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use serde_json::{Value, json};
use sorrellock_stand_ins::{
    EngineMode, FakeProxy, News, ProxyMode, ServiceMode, StoreMode, new_ip,
};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Entries of an ended incarnation that are kept to be written again.
const OLD_ENTRIES: usize = 8;
/// Two signals of one series are at most this far apart: with less than a process takes to end,
/// they overlap.
const SIGNAL_GAP_MS: u64 = 600;

impl World {
    /// One fault, or the end of one. Says what it did.
    pub fn fault(&mut self, rng: &mut StdRng) -> String {
        let node = rng.random_range(0..self.nodes.len());
        let engine = rng.random_range(0..self.engines.len());
        self.keep_copy();
        match rng.random_range(0..23) {
            0 => self.restart_gateway(node, Signal::SIGKILL),
            1 => self.restart_gateway(node, Signal::SIGTERM),
            2 => self.pause(node),
            3 => self.set_store_mode(rng),
            4 => self.set_store_proxy(node, rng),
            5 => self.set_engine_proxy(engine, rng),
            6 => self.crash(engine),
            7 => self.leave(engine),
            8 => self.add_engine(),
            9 => self.set_engine_mode(engine, rng),
            10 => self.set_service_mode(rng),
            11 => self.change_configuration(),
            12 => {
                self.store.compact();
                "the history is forgotten".into()
            }
            13 => self.hang_up(node),
            14 => self.restart_engine(engine),
            15 => self.move_engine(engine),
            16 => self.overwrite_entry(engine, rng),
            17 => self.rewrite_entry(engine),
            18 => self.write_old_entry(rng),
            19 => self.silence_connections(node, engine, rng),
            20 => self.silence(rng),
            21 => self.come_back(rng),
            _ => self.set_news(rng),
        }
    }

    /// SIGTERM to all gateways in any order, the next before the one before has ended, with SIGHUP
    /// to some that run and some that end.
    pub fn signals_in_series(&mut self, rng: &mut StdRng) -> String {
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        order.shuffle(rng);
        let mut course = Vec::new();
        for &node in &order {
            if rng.random() {
                course.push(self.hang_up(rng.random_range(0..order.len())));
            }
            self.nodes[node].process.signal(Signal::SIGTERM);
            let gap = rng.random_range(0..SIGNAL_GAP_MS);
            thread::sleep(Duration::from_millis(gap));
            course.push(format!("{} gets SIGTERM, then {gap} ms pass", self.nodes[node].name));
        }
        for node in order {
            self.nodes[node].replace();
        }
        course.join("; ")
    }

    pub fn restart_gateway(&mut self, node: usize, signal: Signal) -> String {
        let node = &mut self.nodes[node];
        node.resume();
        node.process.signal(signal);
        node.replace();
        format!("{} is restarted by {signal}", node.name)
    }

    pub fn pause(&mut self, node: usize) -> String {
        let node = &mut self.nodes[node];
        node.is_paused = !node.is_paused;
        let signal = if node.is_paused { Signal::SIGSTOP } else { Signal::SIGCONT };
        node.process.signal(signal);
        format!("{} gets {signal}", node.name)
    }

    fn hang_up(&mut self, node: usize) -> String {
        self.nodes[node].process.signal(Signal::SIGHUP);
        format!("{} gets SIGHUP", self.nodes[node].name)
    }

    pub fn set_store_mode(&mut self, rng: &mut StdRng) -> String {
        let modes = [StoreMode::Up, StoreMode::Busy, StoreMode::Silent, StoreMode::LosesAnswers];
        let mode = *modes.choose(rng).expect("there are modes");
        self.store.set_mode(mode);
        format!("store: {mode:?}")
    }

    fn set_news(&mut self, rng: &mut StdRng) -> String {
        let late = News::Late(Duration::from_millis(rng.random_range(50..1_000)));
        let news = *[News::Prompt, late, News::Paused, News::Doubled].choose(rng).expect("some");
        self.store.set_news(news);
        format!("news of the store: {news:?}")
    }

    pub fn set_store_proxy(&mut self, node: usize, rng: &mut StdRng) -> String {
        let mode = proxy_mode(rng);
        self.nodes[node].store.set_mode(mode);
        format!("{} to the store: {mode:?}", self.nodes[node].name)
    }

    fn set_engine_proxy(&mut self, engine: usize, rng: &mut StdRng) -> String {
        let mode = proxy_mode(rng);
        self.engines[engine].1.set_mode(mode);
        format!("all to {}: {mode:?}", self.engines[engine].0.id())
    }

    /// The connections that are open go silent for good, to the store or to an engine.
    fn silence_connections(&mut self, node: usize, engine: usize, rng: &mut StdRng) -> String {
        if rng.random() {
            self.nodes[node].store.silence_open();
            return format!("the connections of {} to the store go silent", self.nodes[node].name);
        }
        self.engines[engine].1.silence_open();
        format!("the connections to {} go silent", self.engines[engine].0.id())
    }

    fn crash(&mut self, engine: usize) -> String {
        let (engine, _) = &self.engines[engine];
        engine.crash();
        self.store.remove("servers", engine.id());
        format!("{} crashes", engine.id())
    }

    fn leave(&mut self, engine: usize) -> String {
        self.engines[engine].0.leave();
        format!("{} leaves", self.engines[engine].0.id())
    }

    /// The engine starts again under its id and address.
    fn restart_engine(&mut self, engine: usize) -> String {
        self.keep_entry(engine);
        let (engine, _) = &self.engines[engine];
        engine.restart();
        format!("{} starts again", engine.id())
    }

    /// The engine starts again under its id, at another address.
    fn move_engine(&mut self, index: usize) -> String {
        self.keep_entry(index);
        let (engine, proxy) = &mut self.engines[index];
        engine.restart_silently(Some(SocketAddr::new(new_ip(), 0)));
        *proxy = FakeProxy::start(new_ip(), engine.addr()).expect("a proxy");
        engine.tell_addr(proxy.addr());
        format!("{} starts again at another address", engine.id())
    }

    fn keep_entry(&mut self, engine: usize) {
        let (engine, _) = &self.engines[engine];
        self.old_entries.push((engine.id().to_owned(), engine.entry()));
        let beyond = self.old_entries.len().saturating_sub(OLD_ENTRIES);
        self.old_entries.drain(..beyond);
    }

    /// Another writer's entry comes in place of the engine's.
    fn overwrite_entry(&mut self, engine: usize, rng: &mut StdRng) -> String {
        let (engine, _) = &self.engines[engine];
        let entry = unusable_entry(engine.entry(), rng);
        let says = format!("another writer's entry for {}: {entry}", engine.id());
        self.store.put("servers", engine.id(), entry);
        says
    }

    /// The engine writes its entry, as it does from time to time.
    fn rewrite_entry(&mut self, engine: usize) -> String {
        let (engine, _) = &self.engines[engine];
        engine.enter();
        format!("{} writes its entry", engine.id())
    }

    /// What an engine wrote in an incarnation that has ended reaches the store late.
    fn write_old_entry(&mut self, rng: &mut StdRng) -> String {
        let Some((id, entry)) = self.old_entries.choose(rng) else {
            return "no entry of an ended life".into();
        };
        self.store.put("servers", id, entry.clone());
        format!("the entry of an ended life of {id}")
    }

    fn set_engine_mode(&mut self, engine: usize, rng: &mut StdRng) -> String {
        let other = self.engines.choose(rng).expect("there are engines").1.addr();
        let modes = [
            EngineMode::Serves,
            EngineMode::Refuses,
            EngineMode::RefusesOver(other),
            EngineMode::Crosses,
        ];
        let mode = *modes.choose(rng).expect("there are modes");
        self.engines[engine].0.set_mode(mode);
        format!("{}: {mode:?}", self.engines[engine].0.id())
    }

    fn set_service_mode(&mut self, rng: &mut StdRng) -> String {
        let service = rng.random_range(0..self.services.len());
        let modes = [
            ServiceMode::Serves,
            ServiceMode::Refuses,
            ServiceMode::LosesAnswers,
            ServiceMode::Fails,
        ];
        let mode = *modes.choose(rng).expect("there are modes");
        self.services[service].set_mode(mode);
        format!("service {service}: {mode:?}")
    }

    fn change_configuration(&mut self) -> String {
        self.version += 1;
        self.store.put("config", "main", config(self.version, &[KEY, "another"]));
        format!("configuration {}", self.version)
    }
}

fn proxy_mode(rng: &mut StdRng) -> ProxyMode {
    match rng.random_range(0..7) {
        0 => ProxyMode::Delays(Duration::from_millis(40)),
        1 => ProxyMode::Resets,
        2 => ProxyMode::CutsThere,
        3 => ProxyMode::CutsBack,
        4 => ProxyMode::Silent,
        _ => ProxyMode::Passes,
    }
}

/// An entry that names no engine: a field is missing, of another type or of a value that nobody
/// knows, or all of it is something else.
fn unusable_entry(mut entry: Value, rng: &mut StdRng) -> Value {
    let field =
        *["born", "service", "address", "state", "slots", "layers"].choose(rng).expect("some");
    match rng.random_range(0..5) {
        0 => drop(entry.as_object_mut().expect("an object").remove(field)),
        1 => entry[field] = json!([{"of": "another type"}]),
        2 => entry["state"] = json!("hibernating"),
        3 => entry["service"] = json!("nobody's"),
        _ => entry = json!("no entry at all"),
    }
    entry
}
