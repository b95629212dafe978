//! Tests that a lead keeps its lease through a short time without answers from the store, whenever that starts.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::orders::{
    LEAD_CALL_LIMIT, LeadAction, LeadElection, LeadRecord, READ_INTERVAL,
};
use std::time::Duration;

const ME: u64 = 7;
const VERSION: u64 = 3;
/// Time by which the clock advances per step.
const STEP: Duration = Duration::from_millis(50);

/// Returns the election of a daemon that has just read that it is lead.
fn lead(clock: &ManualClock) -> LeadElection<ManualClock> {
    let mut election = LeadElection::new(clock.clone(), ME);
    election.set_candidate(true);
    election.on_read(Some(LeadRecord { lead: ME }), VERSION);
    election
}

/// Advances the clock until `end`. Reads that start during the outage get no answer and fail after
/// [`LEAD_CALL_LIMIT`]. Returns whether the daemon was lead the whole time.
fn leads_through(
    election: &mut LeadElection<ManualClock>,
    clock: &ManualClock,
    outage: std::ops::Range<Duration>,
    end: Duration,
) -> bool {
    let started_at = clock.now();
    let mut fails_at = None;
    let mut leads = true;
    while clock.now() - started_at < end {
        let at = clock.now() - started_at;
        match fails_at {
            Some(until) if at >= until => {
                election.on_read_failed();
                fails_at = None;
            }
            Some(_) => {}
            None if election.next() == LeadAction::Read && outage.contains(&at) => {
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
fn a_lead_keeps_its_lease_through_a_short_store_outage() {
    for lasts_ms in [50, 500, 1_500, 3_000] {
        for from in (0..100).map(|step| STEP * step) {
            let clock = ManualClock::new();
            let mut election = lead(&clock);
            let outage = from..from + Duration::from_millis(lasts_ms);

            let leads = leads_through(&mut election, &clock, outage, READ_INTERVAL * 6);

            assert!(leads, "lost in {lasts_ms} ms of silence from {from:?} on");
        }
    }
}
