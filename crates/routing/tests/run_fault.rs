//! The evidence of each fault of a stream's run.

use sorrellock_routing::request::{EventError, FaultEvidence, RunFault};

#[test]
fn only_what_came_on_the_runs_own_connection_ends_it() {
    let gap = EventError::Gap { last: 3, found: 5 };
    let faults = [
        (RunFault::ConnectionBroke("reset".to_owned()), FaultEvidence::Connection),
        (RunFault::EndedWithinEvent, FaultEvidence::Connection),
        (RunFault::InvalidEvent(gap), FaultEvidence::Connection),
        (RunFault::PathBroken, FaultEvidence::Suspicion),
        (RunFault::MoveFailed, FaultEvidence::Suspicion),
        (RunFault::Silent, FaultEvidence::Silence),
    ];

    for (fault, expected) in faults {
        assert_eq!(fault.evidence(), expected, "{fault}");
    }
}
