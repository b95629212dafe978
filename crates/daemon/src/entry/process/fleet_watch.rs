//! Keeps the view of the fleet: asks the instances on the platform's list for their facts.

use crate::entry::version::FleetView;
use arc_swap::ArcSwap;
use sorrellock_core::process::InstanceFact;
use sorrellock_core::request::Peer;
use sorrellock_platform::api::InstanceList;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{FleetMessage, Message};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often the instances on the list are asked.
const INTERVAL: Duration = Duration::from_millis(200);

/// The view of the fleet in force; readers never wait for a writer.
#[derive(Default)]
pub struct FleetCell {
    view: ArcSwap<FleetView>,
    writer: Mutex<()>,
}

impl FleetCell {
    /// The view in force.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Takes what a daemon told of itself.
    pub fn learn(&self, fact: InstanceFact) {
        self.change(|view| view.learn(fact));
    }

    /// Forgets a daemon that can't be reached, and tells whether it was known.
    pub fn forget(&self, addr: SocketAddr) -> bool {
        self.change(|view| view.forget(addr))
    }

    fn change<T>(&self, change: impl FnOnce(&mut FleetView) -> T) -> T {
        let _writer = self.writer.lock().unwrap();
        let mut view = FleetView::clone(&self.view.load());
        let result = change(&mut view);
        self.view.store(Arc::new(view));
        result
    }
}

/// Starts the thread that asks each instance on the list for its facts, again and again.
pub fn watch_fleet<L: Link, I: InstanceList>(link: Arc<L>, list: I, me: SocketAddr) {
    let ask_all = move || {
        let Ok(instances) = list.instances() else { return };
        for instance in instances.iter().filter(|instance| instance.link != me) {
            let to = Peer { addr: instance.link, incarnation: 0 };
            let _ = link.send(to, Message::Fleet(FleetMessage::Hello));
        }
    };
    thread::Builder::new()
        .name("fleet-watch".into())
        .spawn(move || {
            loop {
                ask_all();
                thread::sleep(INTERVAL);
            }
        })
        .expect("a thread can be started");
}
