//! A lead's lease against a silence of the store.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::orders::{
    LEAD_CALL_LIMIT, LeadAction, LeadElection, LeadRecord, REREAD,
};
use std::time::Duration;

const ME: u64 = 7;
const VERSION: u64 = 3;
/// One step of the clock.
const STEP: Duration = Duration::from_millis(50);

/// A daemon that leads, and has just read so.
fn lead(clock: &ManualClock) -> LeadElection<ManualClock> {
    let mut election = LeadElection::new(clock.clone(), ME);
    election.on_named(true);
    election.on_read(Some(LeadRecord { lead: ME }), VERSION);
    election
}

/// Steps until `end`; reads that are sent while the store is silent are never answered, and fail after their limit.
/// Tells whether it led all the while.
fn leads_through(
    election: &mut LeadElection<ManualClock>,
    clock: &ManualClock,
    silence: std::ops::Range<Duration>,
    end: Duration,
) -> bool {
    let began = clock.now();
    let mut fails_at = None;
    let mut leads = true;
    while clock.now() - began < end {
        let at = clock.now() - began;
        match fails_at {
            Some(until) if at >= until => {
                election.on_read_failed();
                fails_at = None;
            }
            Some(_) => {}
            None if election.next() == LeadAction::Read && silence.contains(&at) => {
                fails_at = Some(at + LEAD_CALL_LIMIT);
            }
            None if election.next() == LeadAction::Read => {
                election.on_read(Some(LeadRecord { lead: ME }), VERSION);
            }
            None => {}
        }
        leads &= election.fence().is_some();
        clock.advance(STEP);
    }
    leads
}

#[test]
fn a_lead_keeps_its_lease_through_a_short_silence_of_the_store_whenever_it_comes() {
    for lasts_ms in [50, 500, 1_500, 3_000] {
        for from in (0..100).map(|step| STEP * step) {
            let clock = ManualClock::new();
            let mut election = lead(&clock);
            let silence = from..from + Duration::from_millis(lasts_ms);

            let leads = leads_through(&mut election, &clock, silence, REREAD * 6);

            assert!(leads, "lost in {lasts_ms} ms of silence from {from:?} on");
        }
    }
}
