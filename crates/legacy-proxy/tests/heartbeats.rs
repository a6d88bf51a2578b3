//! Effects of heartbeats, and of removing a backend from its grouping (design 5.3, 7.3).

mod fixture;

use fixture::{Fixture, SECOND};
use model::leases::KEY_SLOTS;
use model::{ErrorKind, endpoint_status::EndpointReport};

fn reported_slots(fixture: &mut Fixture) -> Vec<u32> {
    drop(fixture.slot_owner.admit_queued(SECOND, &fixture.view));
    let reported_slot_count = |report| {
        if let EndpointReport::SlotsChanged { slots, .. } = report {
            Some(slots)
        } else {
            None
        }
    };
    fixture
        .slot_owner
        .take_reports()
        .into_iter()
        .filter_map(reported_slot_count)
        .collect()
}

#[test]
fn slots_stated_in_a_heartbeat_take_effect_at_once_and_are_reported_once() {
    let mut fixture = Fixture::new(4);
    let admit = |fixture: &mut Fixture, name: &str| {
        let request = fixture.request(name, "/plain");
        fixture.admit(SECOND, request).len()
    };
    assert_eq!((admit(&mut fixture, "a"), admit(&mut fixture, "b")), (1, 1));
    assert!(
        fixture
            .slot_owner
            .heartbeat(SECOND, "secret", false, Some(2))
            .is_some()
    );
    assert_eq!(
        admit(&mut fixture, "c"),
        0,
        "both slots are occupied, so the request is queued"
    );
    assert_eq!(reported_slots(&mut fixture), [2]);
    assert_eq!(reported_slots(&mut fixture), Vec::<u32>::new());
    fixture
        .slot_owner
        .heartbeat(SECOND, "secret", false, Some(3));
    assert_eq!(
        fixture.slot_owner.admit_queued(SECOND, &fixture.view).len(),
        1,
        "the queued request gets the additional slot"
    );
    assert_eq!(reported_slots(&mut fixture), [3]);
}

#[test]
fn backend_without_slots_gets_no_requests_and_a_wrong_secret_is_ignored() {
    let mut fixture = Fixture::new(4);
    assert!(
        fixture
            .slot_owner
            .heartbeat(SECOND, "stolen", false, Some(0))
            .is_none()
    );
    assert_eq!(reported_slots(&mut fixture), Vec::<u32>::new());
    fixture
        .slot_owner
        .heartbeat(SECOND, "secret", false, Some(0));
    let request = fixture.request("t", "/plain");
    assert_eq!(fixture.admit(SECOND, request).len(), 0);
}

#[test]
fn backend_without_a_grouping_gets_no_new_requests_and_releases_its_keys() {
    let mut fixture = Fixture::new(4);
    let keyed = fixture.request("before", "/keyed");
    let permit = fixture.admit(SECOND, keyed).remove(0).1.expect("a slot");
    let pending_releases = vec![(("seat-0".to_string(), fixture.incarnation), 7)];
    fixture.edit_slice(|slice| {
        slice.position = 7;
        slice.backends.clear();
        let lease = model::leases::Lease {
            holder: None,
            fencing_token: 7,
            pending_releases,
        };
        slice
            .leases
            .insert("seat".into(), vec![lease; KEY_SLOTS as usize]);
    });
    let request = fixture.request("after", "/plain");
    assert_eq!(
        fixture.rejection_kind(SECOND, request),
        Some(ErrorKind::WrongIncarnation)
    );
    let count_releases = |fixture: &mut Fixture| {
        drop(fixture.slot_owner.admit_queued(SECOND, &fixture.view));
        fixture
            .slot_owner
            .take_reports()
            .iter()
            .filter(|report| matches!(report, EndpointReport::LeasesReleased { .. }))
            .count()
    };
    assert_eq!(
        count_releases(&mut fixture),
        0,
        "a request that was forwarded before still runs"
    );
    fixture.slot_owner.finish(&permit, false);
    assert_eq!(count_releases(&mut fixture), 1);
}
