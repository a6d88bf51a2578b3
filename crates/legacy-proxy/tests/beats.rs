//! What a beat says, and what becomes of a back end that no grouping holds any more (design 5.3, 7.3).

mod scene;

use model::{ErrorKind, endpoint_status::EndpointReport};
use scene::{SECOND, Scene};

fn slots_told(scene: &mut Scene) -> Vec<u32> {
    drop(scene.house.admit_queued(SECOND, &scene.view));
    let told = |report| {
        if let EndpointReport::SlotsChanged { slots, .. } = report {
            Some(slots)
        } else {
            None
        }
    };
    scene
        .house
        .take_reports()
        .into_iter()
        .filter_map(told)
        .collect()
}

#[test]
fn slots_said_in_a_beat_hold_at_once_and_the_log_is_told_once() {
    let mut scene = Scene::new(4);
    let enter = |scene: &mut Scene, name: &str| {
        let dispatch = scene.dispatch(name, "/plain");
        scene.enter(SECOND, dispatch).len()
    };
    assert_eq!((enter(&mut scene, "a"), enter(&mut scene, "b")), (1, 1));
    assert!(
        scene
            .house
            .heartbeat(SECOND, "secret", false, Some(2))
            .is_some()
    );
    assert_eq!(enter(&mut scene, "c"), 0, "two run, two slots: it waits");
    assert_eq!(slots_told(&mut scene), [2]);
    assert_eq!(slots_told(&mut scene), Vec::<u32>::new());
    scene.house.heartbeat(SECOND, "secret", false, Some(3));
    assert_eq!(
        scene.house.admit_queued(SECOND, &scene.view).len(),
        1,
        "a slot more, and the one that waits goes in"
    );
    assert_eq!(slots_told(&mut scene), [3]);
}

#[test]
fn no_slots_means_no_work_and_a_wrong_secret_says_nothing() {
    let mut scene = Scene::new(4);
    assert!(
        scene
            .house
            .heartbeat(SECOND, "stolen", false, Some(0))
            .is_none()
    );
    assert_eq!(slots_told(&mut scene), Vec::<u32>::new());
    scene.house.heartbeat(SECOND, "secret", false, Some(0));
    let dispatch = scene.dispatch("t", "/plain");
    assert_eq!(scene.enter(SECOND, dispatch).len(), 0);
}

#[test]
fn a_back_end_whose_grouping_was_taken_away_gets_nothing_new_and_releases_its_keys() {
    let mut scene = Scene::new(4);
    let waits = scene.dispatch("before", "/keyed");
    let permit = scene.enter(SECOND, waits).remove(0).1.expect("a slot");
    let lost = vec![(("seat-0".to_string(), scene.life), 7)];
    scene.edit(|slice| {
        slice.position = 7;
        slice.backends.clear();
        let term = model::leases::Lease {
            holder: None,
            fencing_token: 7,
            pending_releases: lost,
        };
        slice
            .leases
            .insert("seat".into(), vec![term; model::leases::KEY_SLOTS as usize]);
    });
    let dispatch = scene.dispatch("after", "/plain");
    assert_eq!(
        scene.cause(SECOND, dispatch),
        Some(ErrorKind::WrongIncarnation)
    );
    let released = |scene: &mut Scene| {
        drop(scene.house.admit_queued(SECOND, &scene.view));
        scene
            .house
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
    scene.house.finish(&permit, false);
    assert_eq!(released(&mut scene), 1);
}
