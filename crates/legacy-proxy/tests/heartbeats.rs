//! What a heartbeat says, and what becomes of a backend that no grouping holds any more (design
//! 5.3, 7.3).

mod scene;

use model::leases::KEY_SLOTS;
use model::{ErrorKind, endpoint_status::EndpointReport};
use scene::{SECOND, Scene};

fn reported_slots(scene: &mut Scene) -> Vec<u32> {
    drop(scene.slots.admit_queued(SECOND, &scene.view));
    let told = |report| {
        if let EndpointReport::SlotsChanged { slots, .. } = report {
            Some(slots)
        } else {
            None
        }
    };
    scene
        .slots
        .take_reports()
        .into_iter()
        .filter_map(told)
        .collect()
}

#[test]
fn slots_said_in_a_heartbeat_hold_at_once_and_are_reported_once() {
    let mut scene = Scene::new(4);
    let admit = |scene: &mut Scene, name: &str| {
        let request = scene.request(name, "/plain");
        scene.admit(SECOND, request).len()
    };
    assert_eq!((admit(&mut scene, "a"), admit(&mut scene, "b")), (1, 1));
    assert!(
        scene
            .slots
            .heartbeat(SECOND, "secret", false, Some(2))
            .is_some()
    );
    assert_eq!(admit(&mut scene, "c"), 0, "two run, two slots: it waits");
    assert_eq!(reported_slots(&mut scene), [2]);
    assert_eq!(reported_slots(&mut scene), Vec::<u32>::new());
    scene.slots.heartbeat(SECOND, "secret", false, Some(3));
    assert_eq!(
        scene.slots.admit_queued(SECOND, &scene.view).len(),
        1,
        "a slot more, and the one that waits goes in"
    );
    assert_eq!(reported_slots(&mut scene), [3]);
}

#[test]
fn no_slots_means_no_work_and_a_wrong_secret_says_nothing() {
    let mut scene = Scene::new(4);
    assert!(
        scene
            .slots
            .heartbeat(SECOND, "stolen", false, Some(0))
            .is_none()
    );
    assert_eq!(reported_slots(&mut scene), Vec::<u32>::new());
    scene.slots.heartbeat(SECOND, "secret", false, Some(0));
    let request = scene.request("t", "/plain");
    assert_eq!(scene.admit(SECOND, request).len(), 0);
}

#[test]
fn a_backend_whose_grouping_was_taken_away_gets_nothing_new_and_releases_its_keys() {
    let mut scene = Scene::new(4);
    let waits = scene.request("before", "/keyed");
    let permit = scene.admit(SECOND, waits).remove(0).1.expect("a slot");
    let lost = vec![(("seat-0".to_string(), scene.incarnation), 7)];
    scene.edit(|slice| {
        slice.position = 7;
        slice.backends.clear();
        let lease = model::leases::Lease {
            holder: None,
            fencing_token: 7,
            pending_releases: lost,
        };
        slice
            .leases
            .insert("seat".into(), vec![lease; KEY_SLOTS as usize]);
    });
    let request = scene.request("after", "/plain");
    assert_eq!(
        scene.cause(SECOND, request),
        Some(ErrorKind::WrongIncarnation)
    );
    let released = |scene: &mut Scene| {
        drop(scene.slots.admit_queued(SECOND, &scene.view));
        scene
            .slots
            .take_reports()
            .iter()
            .filter(|report| matches!(report, EndpointReport::LeasesReleased { .. }))
            .count()
    };
    assert_eq!(
        released(&mut scene),
        0,
        "what was passed on before runs to its end"
    );
    scene.slots.finish(&permit, false);
    assert_eq!(released(&mut scene), 1);
}
