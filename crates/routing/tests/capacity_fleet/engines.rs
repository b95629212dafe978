//! The engines' capacity, and the choice among them by their loads.

/// Number of engines.
pub const ENGINES: usize = 4;
/// Capacity of an engine.
pub const TOKENS: f64 = 150_000.0;
pub const SLOTS: u32 = 192;

/// Share of an engine's capacity that a load takes.
pub fn share_of(load: &(f64, u32)) -> f64 {
    (load.0 / TOKENS).max(f64::from(load.1) / f64::from(SLOTS))
}

/// The emptiest engine whose share stays within its limit with a request.
pub fn fitting(loads: &[(f64, u32)], tokens: f64, limits: &[f64]) -> Option<usize> {
    let share = |load: &(f64, u32)| share_of(&(load.0 + tokens, load.1 + 1));
    let shares = loads.iter().map(share).enumerate();
    let fitting = shares.filter(|(engine, share)| *share <= limits[*engine]);
    fitting.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(engine, _)| engine)
}

/// The emptiest engine, and its share with a request.
pub fn best(loads: &[(f64, u32)], tokens: f64) -> (usize, f64) {
    let share = |load: &(f64, u32)| share_of(&(load.0 + tokens, load.1 + 1));
    let shares = loads.iter().map(share).enumerate();
    shares.min_by(|a, b| a.1.total_cmp(&b.1)).expect("an engine")
}
