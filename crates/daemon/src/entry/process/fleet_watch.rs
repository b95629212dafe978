//! Holds the view of the fleet that an entry uses to choose daemons.

use crate::entry::version::FleetView;
use arc_swap::ArcSwap;
use sorrellock_core::process::membership::MembershipView;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a daemon is avoided if no message comes from it; checked when the members change.
const MAX_AVOID_TIME: Duration = Duration::from_secs(10);
/// The maximum number of daemons avoided at a time.
const MAX_AVOIDED: usize = 4096;

/// Holds the current view of the fleet; readers never wait for a writer.
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
    /// Returns the current view.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Rebuilds the view from the current members and drops expired avoidances.
    pub fn set_members(&self, members: &Arc<MembershipView>) {
        let mut writer = self.writer.lock().unwrap();
        writer.members = Some(members.clone());
        writer.avoided.retain(|_, since| since.elapsed() < MAX_AVOID_TIME);
        self.renew(&writer);
    }

    /// Avoids a daemon whose link closed until it sends a message or `MAX_AVOID_TIME` has passed: it counts
    /// only where no other daemon has the same role. Returns whether it was not avoided before.
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

    /// Ends the avoidance of a daemon that sent a message to this entry.
    pub fn on_contact(&self, addr: SocketAddr) {
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
