//! How many requests may run at a time: follows what the endpoints take.

/// Share of the window after a refusal for want of room.
const SHRINK: f64 = 0.9;
/// Growth for each request that ends well, as a share of the window.
const GROW: f64 = 0.01;
/// The least share of the known slots that is used.
const LEAST_FACTOR: f64 = 0.125;
/// One part in this many is kept for urgent work, and one in this many for routine work.
const RESERVE_PART: usize = 8;
/// One part in this many is left to routine work that waits, whatever urgent work there is.
const ROUTINE_PART: usize = 16;

/// How many requests may run at a time.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    slots: usize,
    factor: f64,
}

impl Window {
    /// The endpoints take `slots` requests at a time.
    pub fn new(slots: usize) -> Window {
        Window { slots, factor: 1.0 }
    }

    /// The endpoints now take `slots` requests at a time.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// An endpoint had no room: others send there too.
    pub fn refused(&mut self) {
        self.factor = (self.factor * SHRINK).max(LEAST_FACTOR);
    }

    /// A request ended well.
    pub fn succeeded(&mut self) {
        self.factor = (self.factor + GROW / self.size() as f64).min(1.0);
    }

    /// The most that run at a time; at least one, which then finds out what there is.
    pub fn size(&self) -> usize {
        ((self.slots as f64 * self.factor) as usize).max(1)
    }

    /// Of these, what routine work can't take.
    pub fn reserve(&self) -> usize {
        match self.size() {
            1 => 0,
            size => (size / RESERVE_PART).max(1),
        }
    }

    /// Of these, what urgent work leaves to routine work that waits.
    pub fn routine_part(&self) -> usize {
        self.size() / ROUTINE_PART
    }
}
