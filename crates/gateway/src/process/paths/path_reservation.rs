//! Reservations of streams on paths.

use crate::process::{LivePath, NoPlace, PathTable};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A stream's reservation on a path. Dropping it frees the capacity.
pub(crate) struct PathReservation {
    pub(crate) live: Rc<LivePath>,
    tokens: f64,
    freed: Rc<Notify>,
}

impl PathReservation {
    /// Reserves `tokens` on a path.
    pub(crate) fn new(
        table: &Rc<RefCell<PathTable>>,
        live: &Rc<LivePath>,
        tokens: f64,
        now: Instant,
    ) -> PathReservation {
        live.add_stream(tokens, now);
        let freed = table.borrow().freed();
        PathReservation { live: Rc::clone(live), tokens, freed }
    }

    /// Moves the reservation to another path with the same first engine.
    pub(crate) fn move_to(&mut self, live: Rc<LivePath>, now: Instant) {
        self.live.remove_stream(self.tokens);
        live.add_stream(self.tokens, now);
        self.live = live;
    }
}

impl Drop for PathReservation {
    fn drop(&mut self) {
        self.live.remove_stream(self.tokens);
        self.freed.notify_waiters();
    }
}

/// Reserves `tokens` on the path with the highest share of free capacity.
pub(crate) fn reserve_path(
    table: &Rc<RefCell<PathTable>>,
    service: &str,
    tokens: f64,
    own_data_centre: &str,
    may_take: impl Fn(&Rc<LivePath>) -> bool,
    now: Instant,
) -> Result<PathReservation, NoPlace> {
    let live = table.borrow().choose(service, tokens, own_data_centre, may_take, now)?;
    Ok(PathReservation::new(table, &live, tokens, now))
}
