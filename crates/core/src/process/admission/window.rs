//! Concurrency window: limits running requests by how many the endpoints accept.

/// Factor on the window after an endpoint refuses for lack of capacity.
const SHRINK_FACTOR: f64 = 0.9;
/// Growth of the factor over one full window of successful requests; each adds its part.
const GROWTH: f64 = 0.01;
/// Smallest share of the known slots that is used.
const MIN_FACTOR: f64 = 0.125;
/// One slot in this many is reserved for urgent work.
const RESERVE_DIVISOR: usize = 8;
/// One slot in this many goes to waiting routine work, however much urgent work waits.
const ROUTINE_DIVISOR: usize = 16;

/// Limit on running requests: the slots of the endpoints times an adaptive factor.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    slots: usize,
    factor: f64,
}

impl Window {
    /// Creates a window over all `slots` that the endpoints have.
    pub fn new(slots: usize) -> Window {
        Window { slots, factor: 1.0 }
    }

    /// Sets the number of requests that the endpoints take at a time.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Shrinks the window after an endpoint had no free capacity: other entries use it as well.
    pub fn refused(&mut self) {
        self.factor = (self.factor * SHRINK_FACTOR).max(MIN_FACTOR);
    }

    /// Grows the window after a successful request.
    pub fn succeeded(&mut self) {
        self.factor = (self.factor + GROWTH / self.size() as f64).min(1.0);
    }

    /// Returns the limit on running requests; at least one, which probes for capacity.
    pub fn size(&self) -> usize {
        ((self.slots as f64 * self.factor) as usize).max(1)
    }

    /// Returns how many of these routine work can't use.
    pub fn reserve(&self) -> usize {
        match self.size() {
            1 => 0,
            size => (size / RESERVE_DIVISOR).max(1),
        }
    }

    /// Returns how many of these urgent work leaves to waiting routine work.
    pub fn routine_minimum(&self) -> usize {
        self.size() / ROUTINE_DIVISOR
    }
}
