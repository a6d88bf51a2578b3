//! The last check and the buffers, with the time told to them (design 5.3, 5.7, 7.3).

mod scene;

use legacy_proxy::slot_owner::Registration;
use model::{
    BackendPhase, ErrorKind, ExecutionStatus, endpoint_status::EndpointReport, leases::Lease,
};
use scene::{SECOND, Scene};

#[test]
fn each_reason_against_passing_on_is_found_at_the_last_check() {
    let mut scene = Scene::new(4);
    let at = SECOND;
    let good = scene.dispatch("t", "/plain");
    let stale = control::View {
        fresh_until: at,
        ..scene.view.clone()
    };
    let current = std::mem::replace(&mut scene.view, stale);
    assert_eq!(scene.cause(at, good.clone()), Some(ErrorKind::StaleState));
    scene.view = current;
    assert_eq!(
        scene.cause(
            at,
            transport::AttemptRequest {
                time_left: 0,
                ..good.clone()
            }
        ),
        Some(ErrorKind::ExpiredBeforeRun)
    );
    assert_eq!(
        scene.cause(
            at,
            transport::AttemptRequest {
                service: "other".into(),
                ..good.clone()
            }
        ),
        Some(ErrorKind::WrongIncarnation)
    );
    assert_eq!(
        scene.cause(
            at,
            transport::AttemptRequest {
                incarnation: good.incarnation - 1,
                ..good.clone()
            }
        ),
        Some(ErrorKind::WrongIncarnation)
    );
    assert_eq!(
        scene.cause(
            at,
            transport::AttemptRequest {
                client_service: "stranger".into(),
                ..good.clone()
            }
        ),
        Some(ErrorKind::NoRoute)
    );
    assert_eq!(
        scene.cause(
            at,
            transport::AttemptRequest {
                path: "/plainer".into(),
                ..good.clone()
            }
        ),
        Some(ErrorKind::NoRoute)
    );
    assert_eq!(
        scene.cause(
            at,
            transport::AttemptRequest {
                fencing_token: Some(4),
                ..scene.dispatch("k", "/keyed")
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
        scene.house.heartbeat(at, "secret", true, None).as_deref(),
        Some("seat-0")
    );
    let late = scene.dispatch("late", "/plain");
    assert_eq!(scene.cause(at, late), Some(ErrorKind::Draining));
}

#[test]
fn what_the_log_says_of_a_back_end_holds_though_it_still_beats() {
    let mut scene = Scene::new(4);
    let one = scene.dispatch("one", "/plain");
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
    drop(scene.house.admit_queued(SECOND, &scene.view));
    let reports = scene.house.take_reports();
    assert!(
        reports.iter().any(|report| matches!(report, EndpointReport::BackendRegistered { backend, .. } if backend.incarnation > scene.life)),
        "{reports:?}"
    );
    let two = scene.dispatch("two", "/plain");
    assert_eq!(
        scene.cause(SECOND, two),
        Some(ErrorKind::WrongIncarnation),
        "the old life is over"
    );
}

#[test]
fn a_full_buffer_gives_way_to_the_important_and_late_ones_are_told_at_once() {
    let mut scene = Scene::new(1);
    let enter = |scene: &mut Scene, name: &str, path: &str| {
        let dispatch = scene.dispatch(name, path);
        scene.enter(0, dispatch)
    };
    let first = enter(&mut scene, "runs", "/plain");
    let permit = first
        .into_iter()
        .next()
        .and_then(|(_, entered)| entered.ok())
        .expect("a free slot");
    (0..4)
        .for_each(|number| assert!(enter(&mut scene, &format!("w{number}"), "/plain").is_empty()));
    let refused = enter(&mut scene, "w4", "/plain");
    assert!(
        matches!(&refused[0].1, Err(trouble) if trouble.kind == ErrorKind::Overloaded && trouble.retry_after.is_some())
    );
    let shed = enter(&mut scene, "dear", "/dear");
    assert_eq!(shed.len(), 1, "the last plain one gives way");
    assert_eq!(scene.house.queued(), 4);
    scene.house.finish(&permit, false);
    let granted = scene.house.admit_queued(SECOND, &scene.view);
    assert_eq!(granted.len(), 1);
    assert_eq!(
        granted[0].0, 7,
        "the important one goes first though it came last"
    );
    let late = scene.house.admit_queued(3 * SECOND, &scene.view);
    assert_eq!(late.len(), 3);
    assert!(late.iter().all(
        |(_, entered)| matches!(entered, Err(trouble) if trouble.kind == ErrorKind::ExpiredBeforeRun)
    ));
}

#[test]
fn one_key_cannot_take_all_slots_nor_all_of_the_buffer() {
    let mut scene = Scene::new(8);
    let mut crowded = 0;
    (0..30).for_each(|number| {
        let dispatch = scene.dispatch(&format!("hot{number}"), "/keyed");
        crowded += (scene.cause(0, dispatch) == Some(ErrorKind::KeyOverloaded)) as usize;
    });
    assert_eq!(scene.house.running(), 6);
    assert_eq!(scene.house.queued(), 8);
    assert_eq!(crowded, 30 - 6 - 8);
    let other = transport::AttemptRequest {
        shard_key: Some("cool".into()),
        ..scene.dispatch("cool", "/keyed")
    };
    assert_eq!(scene.cause(0, other), None);
    assert_eq!(scene.house.running(), 7);
}

#[test]
fn a_moved_key_waits_for_the_release_or_for_bound_guard_and_longest_run() {
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
                model::leases::KEY_SLOTS as usize
            ],
        );
    });
    drop(scene.house.admit_queued(SECOND, &scene.view));
    let moved = |scene: &Scene, name: &str| transport::AttemptRequest {
        fencing_token: Some(6),
        ..scene.dispatch(name, "/keyed")
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
            .for_each(|term| term.pending_releases.clear())
    });
    let released = moved(&scene, "released");
    assert_eq!(scene.cause(2 * SECOND, released), None);
}

#[test]
fn a_holder_says_it_released_only_after_its_last_run_on_the_key() {
    let mut scene = Scene::new(4);
    let dispatch = scene.dispatch("runs", "/keyed");
    let permit = scene.enter(0, dispatch).remove(0).1.expect("a slot");
    let lost = vec![(("seat-0".to_string(), scene.life), 7)];
    scene.edit(|slice| {
        slice.position = 7;
        let term = Lease {
            holder: Some(("seat-9".into(), 1)),
            fencing_token: 7,
            pending_releases: lost,
        };
        slice
            .leases
            .insert("seat".into(), vec![term; model::leases::KEY_SLOTS as usize]);
    });
    let releases = |scene: &mut Scene| {
        drop(scene.house.admit_queued(SECOND, &scene.view));
        scene
            .house
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
    scene.house.finish(&permit, false);
    assert_eq!(releases(&mut scene), 1);
    assert_eq!(releases(&mut scene), 0, "said once");
}

#[test]
fn an_address_taken_over_reaches_its_old_back_end_no_more() {
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
        .house
        .reserve(SECOND, 0, next, "another".into())
        .expect("a new name");
    let old = scene.dispatch("old", "/plain");
    assert_eq!(scene.cause(SECOND, old), Some(ErrorKind::WrongIncarnation));
    let taken = Registration {
        name: "other-0".into(),
        service: "other".into(),
        zone: "z0".into(),
        labels: Default::default(),
        slots: 1,
        address: "127.0.0.1:8".into(),
    };
    scene.house.confirm(SECOND, "other-0", life, true);
    assert!(
        scene
            .house
            .reserve(SECOND, life, taken, "thief".into())
            .is_err(),
        "a live registration is not taken over"
    );
}

#[test]
fn a_try_that_certainly_did_not_leave_may_come_again() {
    let mut scene = Scene::new(1);
    let dispatch = scene.dispatch("again", "/plain");
    let permit = scene
        .enter(0, dispatch.clone())
        .remove(0)
        .1
        .expect("a slot");
    scene.house.finish(&permit, true);
    assert!(scene.enter(1, dispatch).remove(0).1.is_ok());
}

#[test]
fn a_drain_said_while_a_new_life_is_not_yet_in_the_log_is_not_forgotten() {
    let mut scene = Scene::new(4);
    // The log took it for gone: a new life is on its way there when the back end says it drains.
    scene.edit(|slice| {
        slice
            .backends
            .values_mut()
            .for_each(|held| held.phase = BackendPhase::PresumedGone)
    });
    drop(scene.house.admit_queued(SECOND, &scene.view));
    drop(scene.house.take_reports());
    assert!(
        scene
            .house
            .heartbeat(SECOND, "secret", true, None)
            .is_some()
    );
    scene.life += 1;
    scene.house.confirm(SECOND, "seat-0", scene.life, true);
    scene.house.heartbeat(SECOND, "secret", false, None);
    let back_end = scene.house.backend("seat-0").expect("registered again");
    scene.edit(|slice| drop(slice.backends.insert("seat-0".into(), back_end)));
    let late = scene.dispatch("late", "/plain");
    assert_eq!(scene.cause(SECOND, late), Some(ErrorKind::Draining));
    let reports = scene.house.take_reports();
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
