//! Random scenarios over several eras: knowledge never goes back, endpoints that left stay so, and all
//! gateways agree in the end.

use crate::fleet::Fleet;
use crate::scenario::Scenario;
use quickcheck::QuickCheck;

/// Number of scenarios in a normal test run.
const SCENARIOS: u64 = 1_500;
/// Number of scenarios in a long run.
const LONG_SCENARIOS: u64 = 100_000;

#[test]
fn random_scenarios_keep_gateways_advancing_and_in_agreement() {
    let is_long = std::env::var_os("SORRELLOCK_FUZZ_LONG").is_some();
    let scenarios = if is_long { LONG_SCENARIOS } else { SCENARIOS };
    fn holds(scenario: Scenario) -> Result<(), String> {
        Fleet::run_scenario(&scenario)
    }

    let mut check = QuickCheck::new().tests(scenarios).max_tests(scenarios);
    check.quickcheck(holds as fn(Scenario) -> Result<(), String>);
}
