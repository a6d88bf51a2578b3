//! The last check and the queues, with the time passed in (design 5.3, 5.7, 7.3).

mod scene;

use control::View;
use legacy_proxy::slot_owner::Registration;
use model::leases::KEY_SLOTS;
use model::{
    BackendPhase, ErrorKind, ExecutionStatus, endpoint_status::EndpointReport, leases::Lease,
};
use scene::{SECOND, Scene};
use std::mem;
use transport::AttemptRequest;

#[test]
fn each_reason_against_forwarding_is_found_at_the_last_check() {
    let mut scene = Scene::new(4);
    let at = SECOND;
    let good = scene.request("t", "/plain");
    let stale = View {
        fresh_until: at,
        ..scene.view.clone()
    };
    let current = mem::replace(&mut scene.view, stale);
    assert_eq!(scene.cause(at, good.clone()), Some(ErrorKind::StaleState));
    scene.view = current;
    assert_eq!(
        scene.cause(
            at,
            AttemptRequest {
                time_left: 0,
                ..good.clone()
            }
        ),
        Some(ErrorKind::ExpiredBeforeRun)
    );
    assert_eq!(
        scene.cause(
            at,
            AttemptRequest {
                service: "other".into(),
                ..good.clone()
            }
        ),
        Some(ErrorKind::WrongIncarnation)
    );
    assert_eq!(
        scene.cause(
            at,
            AttemptRequest {
                incarnation: good.incarnation - 1,
                ..good.clone()
            }
        ),
        Some(ErrorKind::WrongIncarnation)
    );
    assert_eq!(
        scene.cause(
            at,
            AttemptRequest {
                client_service: "stranger".into(),
                ..good.clone()
            }
        ),
        Some(ErrorKind::NoRoute)
    );
    assert_eq!(
        scene.cause(
            at,
            AttemptRequest {
                path: "/plainer".into(),
                ..good.clone()
            }
        ),
        Some(ErrorKind::NoRoute)
    );
    assert_eq!(
        scene.cause(
            at,
            AttemptRequest {
                fencing_token: Some(4),
                ..scene.request("k", "/keyed")
            }
        ),
        Some(ErrorKind::StaleFencingToken)
    );
    assert_eq!(scene.cause(at, good.clone()), None);
    assert_eq!(
        scene.cause(at, good),
        Some(ErrorKind::DuplicateAttempt),
        "passed on once already"
    );
    assert_eq!(
        ErrorKind::DuplicateAttempt.execution_status(),
        ExecutionStatus::MayHaveRun
    );
    assert_eq!(
        scene.slots.heartbeat(at, "secret", true, None).as_deref(),
        Some("seat-0")
    );
    let late = scene.request("late", "/plain");
    assert_eq!(scene.cause(at, late), Some(ErrorKind::Draining));
}

#[test]
fn what_the_log_says_of_a_backend_holds_though_its_heartbeats_go_on() {
    let mut scene = Scene::new(4);
    let one = scene.request("one", "/plain");
    scene.edit(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|held| held.phase = BackendPhase::Draining)
    });
    assert_eq!(scene.cause(SECOND, one), Some(ErrorKind::Draining));
    scene.edit(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|held| held.phase = BackendPhase::PresumedGone)
    });
    drop(scene.slots.admit_queued(SECOND, &scene.view));
    let reports = scene.slots.take_reports();
    assert!(
        reports.iter().any(|report| matches!(report, EndpointReport::BackendRegistered { backend, .. } if backend.incarnation > scene.incarnation)),
        "{reports:?}"
    );
    let two = scene.request("two", "/plain");
    assert_eq!(
        scene.cause(SECOND, two),
        Some(ErrorKind::WrongIncarnation),
        "the old incarnation is over"
    );
}

#[test]
fn a_full_queue_gives_way_to_the_important_and_late_ones_are_refused_at_once() {
    let mut scene = Scene::new(1);
    let admit = |scene: &mut Scene, name: &str, path: &str| {
        let request = scene.request(name, path);
        scene.admit(0, request)
    };
    let first = admit(&mut scene, "runs", "/plain");
    let permit = first
        .into_iter()
        .next()
        .and_then(|(_, admission)| admission.ok())
        .expect("a free slot");
    (0..4)
        .for_each(|number| assert!(admit(&mut scene, &format!("w{number}"), "/plain").is_empty()));
    let refused = admit(&mut scene, "w4", "/plain");
    assert!(
        matches!(&refused[0].1, Err(error) if error.kind == ErrorKind::Overloaded && error.retry_after.is_some())
    );
    let shed = admit(&mut scene, "dear", "/dear");
    assert_eq!(shed.len(), 1, "the last plain one gives way");
    assert_eq!(scene.slots.queued(), 4);
    scene.slots.finish(&permit, false);
    let admissions = scene.slots.admit_queued(SECOND, &scene.view);
    assert_eq!(admissions.len(), 1);
    assert_eq!(
        admissions[0].0, 7,
        "the important one goes first though it came last"
    );
    let late = scene.slots.admit_queued(3 * SECOND, &scene.view);
    assert_eq!(late.len(), 3);
    assert!(late.iter().all(
        |(_, admission)| matches!(admission, Err(error) if error.kind == ErrorKind::ExpiredBeforeRun)
    ));
}

#[test]
fn one_key_cannot_take_all_slots_nor_all_of_the_queue() {
    let mut scene = Scene::new(8);
    let mut crowded = 0;
    (0..30).for_each(|number| {
        let request = scene.request(&format!("hot{number}"), "/keyed");
        crowded += (scene.cause(0, request) == Some(ErrorKind::KeyOverloaded)) as usize;
    });
    assert_eq!(scene.slots.running(), 6);
    assert_eq!(scene.slots.queued(), 8);
    assert_eq!(crowded, 30 - 6 - 8);
    let other = AttemptRequest {
        shard_key: Some("cool".into()),
        ..scene.request("cool", "/keyed")
    };
    assert_eq!(scene.cause(0, other), None);
    assert_eq!(scene.slots.running(), 7);
}

#[test]
fn a_moved_key_waits_for_the_release_or_for_proof_lifetime_clock_margin_and_longest_run() {
    let mut scene = Scene::new(4);
    let owed = vec![(("seat-9".to_string(), 1), 6)];
    scene.edit(|slice| {
        slice.position = 6;
        let holder = slice.leases["seat"][0].holder.clone();
        slice.leases.insert(
            "seat".into(),
            vec![
                Lease {
                    holder,
                    fencing_token: 6,
                    pending_releases: owed
                };
                KEY_SLOTS as usize
            ],
        );
    });
    drop(scene.slots.admit_queued(SECOND, &scene.view));
    let moved = |scene: &Scene, name: &str| AttemptRequest {
        fencing_token: Some(6),
        ..scene.request(name, "/keyed")
    };
    let free = SECOND + 1_500_000 + 250_000 + 3 * SECOND;
    let (early, timely) = (moved(&scene, "early"), moved(&scene, "timely"));
    assert_eq!(
        scene.cause(free - 1, early),
        Some(ErrorKind::KeyWithoutHolder)
    );
    assert_eq!(scene.cause(free, timely), None);
    // With the release in the log nothing is left to wait for.
    scene.edit(|slice| {
        slice
            .leases
            .values_mut()
            .flatten()
            .for_each(|lease| lease.pending_releases.clear())
    });
    let released = moved(&scene, "released");
    assert_eq!(scene.cause(2 * SECOND, released), None);
}

#[test]
fn a_holder_says_it_released_only_after_its_last_run_on_the_key() {
    let mut scene = Scene::new(4);
    let request = scene.request("runs", "/keyed");
    let permit = scene.admit(0, request).remove(0).1.expect("a slot");
    let lost = vec![(("seat-0".to_string(), scene.incarnation), 7)];
    scene.edit(|slice| {
        slice.position = 7;
        let lease = Lease {
            holder: Some(("seat-9".into(), 1)),
            fencing_token: 7,
            pending_releases: lost,
        };
        slice
            .leases
            .insert("seat".into(), vec![lease; KEY_SLOTS as usize]);
    });
    let releases = |scene: &mut Scene| {
        drop(scene.slots.admit_queued(SECOND, &scene.view));
        scene
            .slots
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
        releases(&mut scene),
        0,
        "a run on the key is still under way"
    );
    scene.slots.finish(&permit, false);
    assert_eq!(releases(&mut scene), 1);
    assert_eq!(releases(&mut scene), 0, "said once");
}

#[test]
fn an_address_taken_over_reaches_its_old_backend_no_more() {
    let mut scene = Scene::new(4);
    let next = Registration {
        name: "other-0".into(),
        service: "other".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 4,
        address: "127.0.0.1:9".into(),
    };
    let life = scene
        .slots
        .reserve(SECOND, 0, next, "another".into())
        .expect("a new name");
    let old = scene.request("old", "/plain");
    assert_eq!(scene.cause(SECOND, old), Some(ErrorKind::WrongIncarnation));
    let taken = Registration {
        name: "other-0".into(),
        service: "other".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 1,
        address: "127.0.0.1:8".into(),
    };
    scene.slots.confirm(SECOND, "other-0", life, true);
    assert!(
        scene
            .slots
            .reserve(SECOND, life, taken, "thief".into())
            .is_err(),
        "a live registration is not taken over"
    );
}

#[test]
fn an_attempt_that_certainly_did_not_leave_may_come_again() {
    let mut scene = Scene::new(1);
    let request = scene.request("again", "/plain");
    let permit = scene.admit(0, request.clone()).remove(0).1.expect("a slot");
    scene.slots.finish(&permit, true);
    assert!(scene.admit(1, request).remove(0).1.is_ok());
}

#[test]
fn a_drain_said_while_a_new_incarnation_is_not_yet_in_the_log_is_not_forgotten() {
    let mut scene = Scene::new(4);
    // The log took it for gone: a new life is on its way there when the backend says it drains.
    scene.edit(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|held| held.phase = BackendPhase::PresumedGone)
    });
    drop(scene.slots.admit_queued(SECOND, &scene.view));
    drop(scene.slots.take_reports());
    assert!(
        scene
            .slots
            .heartbeat(SECOND, "secret", true, None)
            .is_some()
    );
    scene.incarnation += 1;
    scene
        .slots
        .confirm(SECOND, "seat-0", scene.incarnation, true);
    scene.slots.heartbeat(SECOND, "secret", false, None);
    let backend = scene.slots.backend("seat-0").expect("registered again");
    scene.edit(|slice| drop(slice.backends.insert("seat-0".into(), backend)));
    let late = scene.request("late", "/plain");
    assert_eq!(scene.cause(SECOND, late), Some(ErrorKind::Draining));
    let reports = scene.slots.take_reports();
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
