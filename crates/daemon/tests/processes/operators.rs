//! The operators' listener.

use crate::process_fleet::ProcessFleet;
use sorrellock_local::Caller;

/// Connections, one after the other.
const CONNECTIONS: usize = 500;

#[test]
fn each_of_many_fresh_connections_gets_a_dump_without_keys() {
    let fleet = ProcessFleet::start();

    let dumps: Vec<_> =
        (0..CONNECTIONS).map(|_| Caller::new(fleet.operators, "").get("/dump")).collect();

    for dump in dumps {
        let dump = dump.unwrap();
        assert_eq!(dump.status, 200);
        assert_eq!(dump.json()["role"], "entry");
        assert!(!dump.body.contains("key-treasury"), "a key stands in the dump");
    }
}

#[test]
fn other_pages_and_methods_are_refused_with_the_mend() {
    let fleet = ProcessFleet::start();
    let operator = Caller::new(fleet.operators, "");

    let page = operator.get("/nothing").unwrap();
    let method = operator.send("/dump", &[], "{}").unwrap();

    assert_eq!((page.status, method.status), (404, 405));
    assert!(page.body.contains("/dump"), "{}", page.body);
    assert!(method.body.contains("GET"), "{}", method.body);
}
