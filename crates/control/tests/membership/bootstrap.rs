//! Core machines come to their replicas: when the cluster is founded, which happens once, or in place
//! of one that is gone (design 12.1).

use crate::machines::{Machine, enlists, greets, soon, told, until};
use std::collections::BTreeSet;
use std::path::PathBuf;

const NEVER: u64 = 3_600_000_000;

fn addresses(machines: &[Machine]) -> Vec<String> {
    machines
        .iter()
        .map(|machine| machine.address.clone())
        .collect()
}

fn service(name: &str) -> model::cluster_state::ItemCall {
    let body = model::cluster_state::ItemBody::Service(model::cluster_state::Service {
        health_path: String::new(),
        max_connections: 0,
        keyed: false,
        slow_start_us: 0,
    });
    model::cluster_state::ItemCall {
        puts: vec![model::cluster_state::items::ItemPut {
            name: name.into(),
            version: 1,
            body,
            text: String::new(),
        }],
        drops: Vec::new(),
    }
}

/// All change the log, and each reads what all changed.
async fn one_core(cores: &[control::ReplicaHandle]) {
    for (core, number) in cores.iter().zip(0..) {
        until("a vote", || {
            core.status.load().voting && core.status.load().connected_replicas == cores.len()
        })
        .await;
        let outcome = core
            .change_items(service(&format!("service-{number}")))
            .await;
        assert!(
            matches!(outcome, Some(model::Outcome::Accepted { .. })),
            "{outcome:?}"
        );
    }
    for core in cores {
        assert_eq!(core.items().await.expect("a read").len(), cores.len());
    }
}

/// Takes part in the founding, and is gone before it hears whom the core begins with.
async fn enlists_and_dies(founder: &str, machine: &Machine) -> u64 {
    let identity = machine.shelf().store.disk_id;
    drop(
        soon(
            "a connection",
            transport::dial(founder, enlists(&machine.address, identity)),
        )
        .await
        .expect("the founder listens"),
    );
    identity
}

#[tokio::test(flavor = "multi_thread")]
async fn all_machines_that_come_get_one_replica_each_in_one_cluster() {
    let machines = Machine::all("founding", 4).await;
    let (seeds, folders): (Vec<String>, Vec<_>) = machines
        .iter()
        .map(|machine| (machine.address.clone(), machine.folder.clone()))
        .unzip();
    let starts = machines.into_iter().map(|machine| {
        let seeds = seeds.clone();
        tokio::spawn(async move { machine.start(&seeds, true, NEVER).await })
    });
    let mut seated = Vec::new();
    for start in starts.collect::<Vec<_>>() {
        seated.push(start.await.expect("a replica"));
    }
    let seats: BTreeSet<u16> = seated
        .iter()
        .map(|(charter, _)| charter.replica_id)
        .collect();
    assert_eq!(seats, (0..4).collect());
    assert!(
        seated
            .iter()
            .all(|(charter, _)| charter.replica_count == 4 && charter.founded)
    );
    one_core(&seated.into_iter().map(|(_, core)| core).collect::<Vec<_>>()).await;
    folders
        .into_iter()
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_founder_that_died_before_it_answered_founds_nothing_new_and_members_get_their_replicas_again()
 {
    let machines = Machine::all("missed", 3).await;
    let seeds = addresses(&machines);
    let folders: Vec<_> = machines
        .iter()
        .map(|machine| machine.folder.clone())
        .collect();
    let (first, _) = tokio::join!(machines[0].settle(&seeds, true), async {
        enlists_and_dies(&seeds[0], &machines[1]).await;
        enlists_and_dies(&seeds[0], &machines[2]).await;
    });
    let (charter, pins) = (first.0, first.1.pinned_disks.clone());
    drop(first);
    // Nobody else comes and it would wait for ever, if it founded once more.
    let again = machines[0].settle(&seeds, true).await;
    assert_eq!(
        (again.0, &again.1.pinned_disks),
        (charter, &pins),
        "what was founded stands"
    );
    drop(again);
    let mut seated = Vec::new();
    for machine in machines {
        let identity = machine.shelf().store.disk_id;
        let (given, core) = machine.start(&seeds, true, NEVER).await;
        assert!(given.founded && given.replica_count == 3, "{given:?}");
        assert!(
            given.replica_id == charter.replica_id
                || pins.get(&given.replica_id) == Some(&identity),
            "the very seat it was given at the founding"
        );
        seated.push(core);
    }
    one_core(&seated).await;
    folders
        .into_iter()
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

/// A core of four, of which one machine took part in the founding and never ran as a seat; who and where it is.
async fn three_of_four(
    test: &str,
    replace_after: u64,
) -> (
    Vec<control::ReplicaHandle>,
    Vec<String>,
    (u16, u64),
    Vec<PathBuf>,
) {
    let machines = Machine::all(test, 4).await;
    let (seeds, folders) = (
        addresses(&machines),
        machines
            .iter()
            .map(|machine| machine.folder.clone())
            .collect(),
    );
    let lost = machines[3].shelf().store.disk_id;
    let mut machines = machines.into_iter();
    let (founder, others) = (machines.next().expect("a founder"), machines);
    let starts: Vec<_> = others
        .take(2)
        .map(|machine| {
            let seeds = seeds.clone();
            tokio::spawn(async move { machine.start(&seeds, true, replace_after).await.1 })
        })
        .collect();
    let (at, own) = (seeds[0].clone(), seeds.clone());
    let fourth = tokio::spawn(async move {
        drop(
            transport::dial(&at, enlists(&own[3], lost))
                .await
                .expect("the founder listens"),
        )
    });
    let mut cores = vec![founder.start(&seeds, true, replace_after).await.1];
    fourth.await.expect("enlisted");
    for start in starts {
        cores.push(start.await.expect("a replica"));
    }
    for core in &cores {
        until("a vote", || {
            core.status.load().voting && core.status.load().connected_replicas == 3
        })
        .await;
    }
    let seat = cores[0]
        .pinned_disks
        .load()
        .iter()
        .find(|(_, held)| **held == lost)
        .map(|(seat, _)| *seat)
        .expect("it was named");
    (cores, seeds, (seat, lost), folders)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_disk_at_a_known_address_is_offered_that_replica_and_one_elsewhere_none_that_is_held()
 {
    let (_cores, seeds, (seat, lost), folders) = three_of_four("home", NEVER).await;
    // The lost machine had run once, and all know where.
    let place = transport::KnownReplica {
        replica_id: seat,
        disk_id: lost,
        address: seeds[3].clone(),
        zone: "z0".into(),
        start_count: 1,
    };
    for at in &seeds[..3] {
        drop(
            soon(
                "a connection",
                transport::dial(
                    at,
                    greets(
                        transport::Purpose::Discover,
                        &seeds[3],
                        None,
                        vec![place.clone()],
                    ),
                ),
            )
            .await
            .expect("acquainted"),
        );
        let here = told(at, enlists(&seeds[3], 4_711)).await;
        assert_eq!(
            here,
            transport::Frame::ReplicaAssignment {
                replica_id: seat,
                replica_count: 4,
                founding: false,
                pinned_disks: Vec::new()
            }
        );
        assert_eq!(
            told(at, enlists("127.0.0.1:9", 4_712)).await,
            transport::Frame::NoReplicaAvailable,
            "nobody is away for long"
        );
        let again = told(at, enlists("127.0.0.1:9", lost)).await;
        assert!(
            matches!(again, transport::Frame::ReplicaAssignment { replica_id: told, founding: true, .. } if told == seat),
            "the disk that was named keeps its seat: {again:?}"
        );
    }
    folders
        .into_iter()
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_disk_elsewhere_is_offered_only_the_vacant_replica_and_takes_it() {
    let (cores, seeds, (seat, lost), folders) = three_of_four("vacant", 2_000_000).await;
    until("a vacancy", || {
        cores
            .iter()
            .all(|core| core.status.load().vacant_replicas == [seat])
    })
    .await;
    let spare = Machine::new("vacant", 4).await;
    let folder = spare.folder.clone();
    let (charter, core) = spare.start(&seeds[..3], false, 2_000_000).await;
    assert_eq!(
        (charter.replica_id, charter.replica_count, charter.founded),
        (seat, 4, false)
    );
    until("a vote of the new disk", || core.status.load().voting).await;
    assert!(
        core.status.load().next_own_instance > mencius::VOTING_WINDOW,
        "it votes only after the change of hands"
    );
    until("the new holder", || {
        cores.iter().all(|core| {
            core.pinned_disks
                .load()
                .get(&seat)
                .is_some_and(|held| *held != lost)
        })
    })
    .await;
    // Without it the log could not be finished again below the change once one more disk is lost (design 4.4).
    until("a snapshot past the change at every seat", || {
        cores
            .iter()
            .all(|core| core.status.load().compacted_below > mencius::VOTING_WINDOW)
    })
    .await;
    until("no vacancy", || {
        cores
            .iter()
            .all(|core| core.status.load().vacant_replicas.is_empty())
    })
    .await;
    assert_eq!(
        told(&seeds[0], enlists("127.0.0.1:9", 4_712)).await,
        transport::Frame::NoReplicaAvailable,
        "all seats are held again"
    );
    one_core(&[cores, vec![core]].concat()).await;
    folders
        .into_iter()
        .chain([folder])
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_machine_that_comes_late_to_the_first_start_asks_others_when_the_founder_is_gone() {
    let (cores, seeds, (seat, _), folders) = three_of_four("late", 2_000_000).await;
    until("a vacancy", || {
        cores
            .iter()
            .all(|core| core.status.load().vacant_replicas == [seat])
    })
    .await;
    // Nobody listens where the founder was; it is one of those that the late machine was told of.
    let gone = "127.0.0.1:9".to_string();
    let spare = Machine::new("late", 4).await;
    let folder = spare.folder.clone();
    let (charter, _core) = spare
        .start(
            &[vec![gone], seeds[1..3].to_vec()].concat(),
            true,
            2_000_000,
        )
        .await;
    assert_eq!(
        (charter.replica_id, charter.replica_count, charter.founded),
        (seat, 4, false)
    );
    folders
        .into_iter()
        .chain([folder])
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_returns_after_it_was_replaced_empties_its_disk_and_asks_as_an_empty_machine()
{
    let (cores, seeds, (seat, lost), folders) = three_of_four("returns", 2_000_000).await;
    until("a vacancy", || {
        cores
            .iter()
            .all(|core| core.status.load().vacant_replicas == [seat])
    })
    .await;
    let spare = Machine::new("returns", 4).await;
    let spare_folder = spare.folder.clone();
    let (_, newcomer) = spare.start(&seeds[..3], false, 2_000_000).await;
    until("the new holder", || {
        cores.iter().all(|core| {
            core.pinned_disks
                .load()
                .get(&seat)
                .is_some_and(|held| *held != lost)
        })
    })
    .await;
    until("a vote of the new holder", || newcomer.status.load().voting).await;
    // The old holder was founded with the core, and wakes with its disk as it left it.
    let old = Machine {
        folder: folders[3].clone(),
        ..Machine::new("returns", 5).await
    };
    let pins: Vec<(u16, u64)> = cores[0].members();
    let mut shelf = old.shelf().store;
    let others: storage::PinnedDisks = pins.into_iter().filter(|(held, _)| *held != seat).collect();
    shelf
        .record_membership(
            storage::MembershipRecord {
                replica_id: seat,
                replica_count: 4,
                founded: true,
            },
            &others,
        )
        .expect("a charter");
    shelf
        .append(&[mencius::Write::ProposalCounter(1)], false)
        .expect("it had voted");
    drop(shelf);
    let folder = old.folder.clone();
    let (charter, core) = old.start(&seeds[..3], false, 2_000_000).await;
    assert_eq!(charter.replica_id, seat, "it does not know yet");
    soon(
        "that it empties its disk",
        control::membership::retirement::wait_until_retired(&core),
    )
    .await;
    // No seat is vacant now: it is told none, and votes nowhere.
    let asked = told(&seeds[0], enlists("127.0.0.1:9", lost)).await;
    assert_eq!(asked, transport::Frame::NoReplicaAvailable);
    let storage::RecoveredStore {
        store: left,
        writes,
    } = soon("the disk", reopened(folder)).await;
    assert!(
        left.membership.is_none()
            && left.pinned_disks.is_empty()
            && left.retired
            && left.disk_id != lost
            && writes.is_empty()
    );
    drop(left);
    folders
        .into_iter()
        .chain([spare_folder])
        .for_each(|folder| drop(std::fs::remove_dir_all(folder)));
}

/// Once the process that had the disk has let it go.
async fn reopened(folder: PathBuf) -> storage::RecoveredStore {
    loop {
        if let Ok(opened) = storage::ReplicaStore::open(&folder) {
            return opened;
        }
        tokio::task::yield_now().await;
    }
}
