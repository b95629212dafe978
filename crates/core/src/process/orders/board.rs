//! The engines and levels while a plan is made. Each engine's range is looked up once, and levels
//! and holders are kept as moves are made, so that a move costs one pass over the engines.

use crate::id::Place;
use crate::process::orders::{
    Demand, EngineSlot, Holding, Move, RangeIndex, ServiceLevels, contribution, find,
};
use std::collections::HashMap;

/// The engines and levels while a plan is made.
pub(super) struct Board<'a> {
    demands: &'a [Demand],
    min_gain: f64,
    engines: Vec<Piece<'a>>,
    /// What is served or loaded by the engines that are there.
    planned: ServiceLevels,
    /// The same with the lost engines that are expected back.
    expected: ServiceLevels,
    /// Holders of a range in a place.
    holders: HashMap<(&'a Place, RangeIndex), usize>,
}

/// An engine, and the range that it holds or loads.
struct Piece<'a> {
    slot: &'a EngineSlot,
    range: Option<RangeIndex>,
    is_loading: bool,
}

/// An engine that may be moved.
#[derive(Clone, Copy)]
struct Donor {
    index: usize,
    /// The lower of the two levels that the move changes, after it.
    result: f64,
    /// Holders of the range in the engine's place.
    holders: usize,
}

impl<'a> Board<'a> {
    /// A board of the engines that are there, and of lost ones that are expected back.
    pub(super) fn new(
        engines: &'a [EngineSlot],
        lost: impl Iterator<Item = &'a EngineSlot>,
        demands: &'a [Demand],
        min_gain: f64,
    ) -> Board<'a> {
        let none = ServiceLevels::planned(&[], demands);
        let (planned, expected) = (none.clone(), none);
        let holders = HashMap::new();
        let mut board =
            Board { demands, min_gain, engines: Vec::new(), planned, expected, holders };
        for slot in engines {
            let range = slot.holding().and_then(|holding| find(demands, holding));
            board.engines.push(Piece { slot, range, is_loading: slot.is_loading() });
            if let Some(range) = range {
                board.change(slot, range, 1.0);
            }
        }
        for slot in lost {
            let range = slot.holding().and_then(|holding| find(demands, holding));
            if let Some(range) = range {
                board.expected.add(range, contribution(slot, demands, range));
            }
        }
        board
    }

    /// The best move, which it makes on the board.
    pub(super) fn next_move(&mut self) -> Option<Move> {
        let (donor, target) = self.idle_donor().or_else(|| self.serving_donor())?;
        let piece = &mut self.engines[donor];
        let (slot, from) = (piece.slot, piece.range);
        piece.range = Some(target);
        piece.is_loading = true;
        if let Some(from) = from {
            self.change(slot, from, -1.0);
        }
        self.change(slot, target, 1.0);
        let demand = &self.demands[target.0];
        let to = Holding { model: demand.model.clone(), layers: demand.ranges[target.1] };
        Some(Move { endpoint: slot.endpoint.clone(), to })
    }

    /// An engine that serves nothing that is wanted, for the range served worst that it fits.
    fn idle_donor(&self) -> Option<(usize, RangeIndex)> {
        let is_idle = |piece: &Piece| piece.range.is_none() && !piece.is_loading;
        if !self.engines.iter().any(is_idle) {
            return None;
        }
        let targets = self.planned.ascending();
        let found = |(target, level)| {
            let donor = self.best_donor(target, level, &self.planned, is_idle)?;
            Some((donor, target))
        };
        targets.into_iter().find_map(found)
    }

    /// An engine that serves a range, for the one served worst with the lost ones back.
    fn serving_donor(&self) -> Option<(usize, RangeIndex)> {
        let (target, level) = self.expected.lowest()?;
        let serves =
            |piece: &Piece| piece.range.is_some_and(|range| range != target) && !piece.is_loading;
        let enough = level * self.min_gain;
        let donor = self.best_donor(target, enough, &self.expected, serves)?;
        Some((donor, target))
    }

    /// Of the engines that lift the range above `enough`, the one that leaves the lower of the two
    /// ranges highest; among equals one in a place with few holders of the range.
    fn best_donor(
        &self,
        target: RangeIndex,
        enough: f64,
        levels: &ServiceLevels,
        may: impl Fn(&Piece) -> bool,
    ) -> Option<usize> {
        let layers = self.demands[target.0].ranges[target.1];
        let mut best: Option<Donor> = None;
        for (index, piece) in self.engines.iter().enumerate() {
            if !may(piece) || !piece.slot.fits(layers) {
                continue;
            }
            let result = self.result(piece, target, levels);
            let holders = self.holders.get(&(&piece.slot.place, target)).copied().unwrap_or(0);
            let donor = Donor { index, result, holders };
            if result > enough && best.is_none_or(|best| donor.is_better_than(&best)) {
                best = Some(donor);
            }
        }
        best.map(|donor| donor.index)
    }

    /// The lower of the two levels that a move changes, after it. A lost engine that is expected
    /// back makes a range need less, but never makes it a better donor.
    fn result(&self, piece: &Piece, target: RangeIndex, levels: &ServiceLevels) -> f64 {
        let raised = levels.get(target) + contribution(piece.slot, self.demands, target);
        let left = piece.range.map_or(f64::INFINITY, |from| {
            self.planned.get(from) - contribution(piece.slot, self.demands, from)
        });
        raised.min(left)
    }

    /// Adds an engine to a range (`sign` 1), or takes it away (-1).
    fn change(&mut self, slot: &'a EngineSlot, range: RangeIndex, sign: f64) {
        let by = sign * contribution(slot, self.demands, range);
        self.planned.add(range, by);
        self.expected.add(range, by);
        let holders = self.holders.entry((&slot.place, range)).or_default();
        *holders = holders.saturating_add_signed(sign as isize);
    }
}

impl Donor {
    fn is_better_than(&self, other: &Donor) -> bool {
        match self.result.total_cmp(&other.result) {
            std::cmp::Ordering::Equal => self.holders < other.holders,
            order => order.is_gt(),
        }
    }
}
