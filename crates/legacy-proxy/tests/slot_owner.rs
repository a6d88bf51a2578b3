//! The admission check and the queues of the slot owner, with the time passed in (design 5.3, 5.7,
//! 7.3).

mod fixture;

use control::View;
use fixture::{Fixture, SECOND};
use legacy_proxy::slot_owner::Registration;
use model::leases::KEY_SLOTS;
use model::{
    BackendPhase, ErrorKind, ExecutionStatus, endpoint_status::EndpointReport, leases::Lease,
};
use std::mem;
use transport::AttemptRequest;

#[test]
fn admission_check_rejects_each_kind_of_invalid_request() {
    let mut fixture = Fixture::new(4);
    let now = SECOND;
    let valid = fixture.request("t", "/plain");
    let stale = View {
        fresh_until: now,
        ..fixture.view.clone()
    };
    let fresh = mem::replace(&mut fixture.view, stale);
    assert_eq!(
        fixture.rejection_kind(now, valid.clone()),
        Some(ErrorKind::StaleState)
    );
    fixture.view = fresh;
    assert_eq!(
        fixture.rejection_kind(
            now,
            AttemptRequest {
                time_left: 0,
                ..valid.clone()
            }
        ),
        Some(ErrorKind::ExpiredBeforeRun)
    );
    assert_eq!(
        fixture.rejection_kind(
            now,
            AttemptRequest {
                service: "other".into(),
                ..valid.clone()
            }
        ),
        Some(ErrorKind::WrongIncarnation)
    );
    assert_eq!(
        fixture.rejection_kind(
            now,
            AttemptRequest {
                incarnation: valid.incarnation - 1,
                ..valid.clone()
            }
        ),
        Some(ErrorKind::WrongIncarnation)
    );
    assert_eq!(
        fixture.rejection_kind(
            now,
            AttemptRequest {
                client_service: "stranger".into(),
                ..valid.clone()
            }
        ),
        Some(ErrorKind::NoRoute)
    );
    assert_eq!(
        fixture.rejection_kind(
            now,
            AttemptRequest {
                path: "/plainer".into(),
                ..valid.clone()
            }
        ),
        Some(ErrorKind::NoRoute)
    );
    assert_eq!(
        fixture.rejection_kind(
            now,
            AttemptRequest {
                fencing_token: Some(4),
                ..fixture.request("k", "/keyed")
            }
        ),
        Some(ErrorKind::StaleFencingToken)
    );
    assert_eq!(fixture.rejection_kind(now, valid.clone()), None);
    assert_eq!(
        fixture.rejection_kind(now, valid),
        Some(ErrorKind::DuplicateAttempt),
        "the attempt has already been forwarded"
    );
    assert_eq!(
        ErrorKind::DuplicateAttempt.execution_status(),
        ExecutionStatus::MayHaveRun
    );
    assert_eq!(
        fixture
            .slot_owner
            .heartbeat(now, "secret", true, None)
            .as_deref(),
        Some("seat-0")
    );
    let late = fixture.request("late", "/plain");
    assert_eq!(fixture.rejection_kind(now, late), Some(ErrorKind::Draining));
}

#[test]
fn phase_in_the_log_takes_precedence_over_heartbeats() {
    let mut fixture = Fixture::new(4);
    let one = fixture.request("one", "/plain");
    fixture.edit_slice(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|backend| backend.phase = BackendPhase::Draining)
    });
    assert_eq!(
        fixture.rejection_kind(SECOND, one),
        Some(ErrorKind::Draining)
    );
    fixture.edit_slice(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|backend| backend.phase = BackendPhase::PresumedGone)
    });
    drop(fixture.slot_owner.admit_queued(SECOND, &fixture.view));
    let reports = fixture.slot_owner.take_reports();
    assert!(
        reports.iter().any(|report| matches!(report, EndpointReport::BackendRegistered { backend, .. } if backend.incarnation > fixture.incarnation)),
        "{reports:?}"
    );
    let two = fixture.request("two", "/plain");
    assert_eq!(
        fixture.rejection_kind(SECOND, two),
        Some(ErrorKind::WrongIncarnation),
        "the earlier incarnation is no longer valid"
    );
}

#[test]
fn full_queue_sheds_the_least_important_and_rejects_expired_requests() {
    let mut fixture = Fixture::new(1);
    let admit = |fixture: &mut Fixture, name: &str, path: &str| {
        let request = fixture.request(name, path);
        fixture.admit(0, request)
    };
    let first = admit(&mut fixture, "runs", "/plain");
    let permit = first
        .into_iter()
        .next()
        .and_then(|(_, admission)| admission.ok())
        .expect("a free slot");
    (0..4).for_each(|number| {
        assert!(admit(&mut fixture, &format!("w{number}"), "/plain").is_empty())
    });
    let rejected = admit(&mut fixture, "w4", "/plain");
    assert!(
        matches!(&rejected[0].1, Err(error) if error.kind == ErrorKind::Overloaded && error.retry_after.is_some())
    );
    let shed = admit(&mut fixture, "important", "/important");
    assert_eq!(shed.len(), 1, "the latest plain request is shed");
    assert_eq!(fixture.slot_owner.queued(), 4);
    fixture.slot_owner.finish(&permit, false);
    let admissions = fixture.slot_owner.admit_queued(SECOND, &fixture.view);
    assert_eq!(admissions.len(), 1);
    assert_eq!(
        admissions[0].0, 7,
        "the important request is admitted first although it arrived last"
    );
    let expired = fixture.slot_owner.admit_queued(3 * SECOND, &fixture.view);
    assert_eq!(expired.len(), 3);
    assert!(expired.iter().all(
        |(_, admission)| matches!(admission, Err(error) if error.kind == ErrorKind::ExpiredBeforeRun)
    ));
}

#[test]
fn one_key_cannot_fill_all_slots_or_the_whole_queue() {
    let mut fixture = Fixture::new(8);
    let mut rejected = 0;
    (0..30).for_each(|number| {
        let request = fixture.request(&format!("hot{number}"), "/keyed");
        rejected += (fixture.rejection_kind(0, request) == Some(ErrorKind::KeyOverloaded)) as usize;
    });
    assert_eq!(fixture.slot_owner.running(), 6);
    assert_eq!(fixture.slot_owner.queued(), 8);
    assert_eq!(rejected, 30 - 6 - 8);
    let other = AttemptRequest {
        shard_key: Some("cool".into()),
        ..fixture.request("cool", "/keyed")
    };
    assert_eq!(fixture.rejection_kind(0, other), None);
    assert_eq!(fixture.slot_owner.running(), 7);
}

#[test]
fn moved_key_waits_for_its_release_or_until_no_earlier_holder_can_serve_it() {
    let mut fixture = Fixture::new(4);
    let pending_releases = vec![(("seat-9".to_string(), 1), 6)];
    fixture.edit_slice(|slice| {
        slice.position = 6;
        let holder = slice.leases["seat"][0].holder.clone();
        slice.leases.insert(
            "seat".into(),
            vec![
                Lease {
                    holder,
                    fencing_token: 6,
                    pending_releases
                };
                KEY_SLOTS as usize
            ],
        );
    });
    drop(fixture.slot_owner.admit_queued(SECOND, &fixture.view));
    let moved = |fixture: &Fixture, name: &str| AttemptRequest {
        fencing_token: Some(6),
        ..fixture.request(name, "/keyed")
    };
    let free_at = SECOND + 1_500_000 + 250_000 + 3 * SECOND;
    let (early, timely) = (moved(&fixture, "early"), moved(&fixture, "timely"));
    assert_eq!(
        fixture.rejection_kind(free_at - 1, early),
        Some(ErrorKind::KeyWithoutHolder)
    );
    assert_eq!(fixture.rejection_kind(free_at, timely), None);
    // Once the log has the release, the key is served at once.
    fixture.edit_slice(|slice| {
        slice
            .leases
            .values_mut()
            .flatten()
            .for_each(|lease| lease.pending_releases.clear())
    });
    let released = moved(&fixture, "released");
    assert_eq!(fixture.rejection_kind(2 * SECOND, released), None);
}

#[test]
fn holder_reports_the_release_only_after_its_last_request_for_the_key() {
    let mut fixture = Fixture::new(4);
    let request = fixture.request("runs", "/keyed");
    let permit = fixture.admit(0, request).remove(0).1.expect("a slot");
    let pending_releases = vec![(("seat-0".to_string(), fixture.incarnation), 7)];
    fixture.edit_slice(|slice| {
        slice.position = 7;
        let lease = Lease {
            holder: Some(("seat-9".into(), 1)),
            fencing_token: 7,
            pending_releases,
        };
        slice
            .leases
            .insert("seat".into(), vec![lease; KEY_SLOTS as usize]);
    });
    let count_releases = |fixture: &mut Fixture| {
        drop(fixture.slot_owner.admit_queued(SECOND, &fixture.view));
        fixture
            .slot_owner
            .take_reports()
            .into_iter()
            .filter(|report| {
                matches!(
                    report,
                    EndpointReport::LeasesReleased {
                        known_through: 7,
                        ..
                    }
                )
            })
            .count()
    };
    assert_eq!(
        count_releases(&mut fixture),
        0,
        "a request for the key is still running"
    );
    fixture.slot_owner.finish(&permit, false);
    assert_eq!(count_releases(&mut fixture), 1);
    assert_eq!(
        count_releases(&mut fixture),
        0,
        "the release is reported once"
    );
}

#[test]
fn registration_at_an_address_ends_the_previous_one_there() {
    let mut fixture = Fixture::new(4);
    let successor = Registration {
        name: "other-0".into(),
        service: "other".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 4,
        address: "127.0.0.1:9".into(),
    };
    let incarnation = fixture
        .slot_owner
        .reserve(SECOND, 0, successor, "another".into())
        .expect("a new name");
    let old = fixture.request("old", "/plain");
    assert_eq!(
        fixture.rejection_kind(SECOND, old),
        Some(ErrorKind::WrongIncarnation)
    );
    let rival = Registration {
        name: "other-0".into(),
        service: "other".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 1,
        address: "127.0.0.1:8".into(),
    };
    fixture
        .slot_owner
        .confirm(SECOND, "other-0", incarnation, true);
    assert!(
        fixture
            .slot_owner
            .reserve(SECOND, incarnation, rival, "rival".into())
            .is_err(),
        "a live registration is not replaced"
    );
}

#[test]
fn attempt_that_was_not_sent_may_be_sent_again() {
    let mut fixture = Fixture::new(1);
    let request = fixture.request("again", "/plain");
    let permit = fixture
        .admit(0, request.clone())
        .remove(0)
        .1
        .expect("a slot");
    fixture.slot_owner.finish(&permit, true);
    assert!(fixture.admit(1, request).remove(0).1.is_ok());
}

#[test]
fn drain_requested_while_a_new_incarnation_is_pending_takes_effect() {
    let mut fixture = Fixture::new(4);
    // The log presumed the backend gone. The backend asks to drain while its new incarnation is not
    // yet accepted by the log; the drain must still take effect once it is.
    fixture.edit_slice(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|backend| backend.phase = BackendPhase::PresumedGone)
    });
    drop(fixture.slot_owner.admit_queued(SECOND, &fixture.view));
    drop(fixture.slot_owner.take_reports());
    assert!(
        fixture
            .slot_owner
            .heartbeat(SECOND, "secret", true, None)
            .is_some()
    );
    fixture.incarnation += 1;
    fixture
        .slot_owner
        .confirm(SECOND, "seat-0", fixture.incarnation, true);
    fixture.slot_owner.heartbeat(SECOND, "secret", false, None);
    let backend = fixture
        .slot_owner
        .backend("seat-0")
        .expect("registered again");
    fixture.edit_slice(|slice| drop(slice.backends.insert("seat-0".into(), backend)));
    let late = fixture.request("late", "/plain");
    assert_eq!(
        fixture.rejection_kind(SECOND, late),
        Some(ErrorKind::Draining)
    );
    let reports = fixture.slot_owner.take_reports();
    assert!(
        reports.iter().any(|report| matches!(
            report,
            EndpointReport::PhaseChanged {
                phase: BackendPhase::Draining,
                ..
            }
        )),
        "{reports:?}"
    );
}
