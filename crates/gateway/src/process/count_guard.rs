//! Counts something as long as it lasts.

use crate::process::Gateway;
use std::cell::Cell;
use std::rc::Rc;

/// Adds one to a counter of the gateway until dropped.
pub(crate) struct CountGuard {
    gateway: Rc<Gateway>,
    count: fn(&Gateway) -> &Cell<usize>,
}

impl CountGuard {
    pub(crate) fn new(gateway: Rc<Gateway>, count: fn(&Gateway) -> &Cell<usize>) -> CountGuard {
        let cell = count(&gateway);
        cell.set(cell.get() + 1);
        CountGuard { gateway, count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = (self.count)(&self.gateway);
        cell.set(cell.get() - 1);
    }
}
