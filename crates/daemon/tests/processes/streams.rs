//! Answers through separate processes.

use crate::process_fleet::ProcessFleet;
use sorrellock_local::SERVICE;

#[test]
fn a_plain_service_is_called_once_through_separate_processes() {
    let fleet = ProcessFleet::start();

    let path = format!("/v1/services/{SERVICE}/confirmations?trade=4711");
    let answer = fleet.caller(0).send(&path, &[], r#"{"match":true}"#).unwrap();

    assert_eq!((answer.status, answer.outcome.as_str()), (200, "done"), "{}", answer.body);
    assert_eq!(fleet.service.record().calls.len(), 1);
}
