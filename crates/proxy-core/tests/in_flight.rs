//! Guarantees of the in-flight counter on which a graceful shutdown relies (design 8.3).

use proxy_core::InFlightRequests;

#[test]
fn after_draining_begins_no_request_is_admitted_and_those_in_flight_are_counted() {
    let requests = InFlightRequests::default();
    let first = requests.begin();
    requests.drain();
    assert!(first.is_some() && requests.begin().is_none());
    assert_eq!(requests.count(), 1);
    drop(first);
    assert_eq!(requests.count(), 0);
}
