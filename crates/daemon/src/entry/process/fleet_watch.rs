//! Keeps the view of the fleet by which an entry sends work.

use crate::entry::version::FleetView;
use arc_swap::ArcSwap;
use sorrellock_core::process::membership::MembershipView;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest time that a daemon is avoided without a word from it or on it.
const AVOID_MOST: Duration = Duration::from_secs(10);
/// The most daemons avoided.
const MAX_AVOIDED: usize = 4096;

/// The view of the fleet in force; readers never wait for a writer.
#[derive(Default)]
pub struct FleetCell {
    view: ArcSwap<FleetView>,
    avoided_count: AtomicUsize,
    writer: Mutex<Writer>,
}

#[derive(Default)]
struct Writer {
    members: Option<Arc<MembershipView>>,
    avoided: HashMap<SocketAddr, Instant>,
}

impl FleetCell {
    /// The view in force.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Takes what membership knows.
    pub fn set_members(&self, members: &Arc<MembershipView>) {
        let mut writer = self.writer.lock().unwrap();
        writer.members = Some(members.clone());
        writer.avoided.retain(|_, since| since.elapsed() < AVOID_MOST);
        self.renew(&writer);
    }

    /// A link closed: gives its daemon no work until it is heard of. Tells whether that is new.
    pub fn avoid(&self, addr: SocketAddr) -> bool {
        let known = self.view().serves(addr);
        let mut writer = self.writer.lock().unwrap();
        if !known || writer.avoided.len() >= MAX_AVOIDED {
            return false;
        }
        if writer.avoided.insert(addr, Instant::now()).is_some() {
            return false;
        }
        self.renew(&writer);
        true
    }

    /// Something came straight from a daemon.
    pub fn heard(&self, addr: SocketAddr) {
        if self.avoided_count.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut writer = self.writer.lock().unwrap();
        if writer.avoided.remove(&addr).is_some() {
            self.renew(&writer);
        }
    }

    fn renew(&self, writer: &Writer) {
        let Some(members) = &writer.members else { return };
        let avoided = writer.avoided.keys().copied().collect();
        let view = FleetView::new(&self.view.load(), members, &avoided);
        self.avoided_count.store(writer.avoided.len(), Ordering::Relaxed);
        self.view.store(Arc::new(view));
    }
}
