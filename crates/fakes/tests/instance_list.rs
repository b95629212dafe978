//! The list of instances of the stand-in platform, through the client.

mod common;

use common::{SHORT, instance, instance_list, platform, wait_for};
use sorrellock_fakes::Outage;
use sorrellock_ports::api::InstanceList;
use std::time::Duration;

#[test]
fn list_that_was_set_is_shown() {
    let platform = platform();
    let list = instance_list(&platform);

    platform.set_instances(vec![instance("one"), instance("two")]);

    assert_eq!(list.instances(), Ok(vec![instance("one"), instance("two")]));
}

#[test]
fn list_lags() {
    let platform = platform();
    let list = instance_list(&platform);
    platform.set_instances(vec![instance("old")]);
    assert_eq!(list.instances(), Ok(vec![instance("old")]));

    platform.set_instance_lag(Duration::from_secs(3_600));
    platform.set_instances(vec![instance("new")]);
    let late = list.instances();
    platform.set_instance_lag(SHORT);

    assert_eq!(late, Ok(vec![instance("old")]));
    wait_for("the lag is over", || list.instances() == Ok(vec![instance("new")]));
}

#[test]
fn list_can_not_be_had_in_an_outage() {
    let platform = platform();
    platform.set_outage(Outage::Refuse);

    let res = instance_list(&platform).instances();

    let detail = res.expect_err("an outage").detail;
    assert!(detail.contains("GET /v1/instances at 127.0.0.1:"), "{detail}");
}
