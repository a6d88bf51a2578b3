//! Back ends and nodes: what is over stays over, whoever speaks late (design 11.2).

use crate::making::*;
use model::cluster_state::{ClusterOperation, ClusterReport, shard_map};
use model::{BackendPhase, ClusterState, Outcome};

#[test]
fn late_words_do_not_bring_an_ended_back_end_back() {
    [true, false].into_iter().for_each(|surely| {
        let mut bill = site();
        tell(&mut bill, vec![joined("a"), joined("b")]);
        tell(&mut bill, vec![ended("a", surely)]);
        let late = [
            joined("a"),
            ClusterReport::BackendSilent {
                name: "a".into(),
                silent: false,
            },
            ClusterReport::BackendDraining { name: "a".into() },
            joined("a"),
        ];
        late.into_iter()
            .for_each(|word| assert_eq!(tell(&mut bill, vec![word]), Vec::new()));
        assert!(!bill.backends.contains_key("a") && bill.backends.contains_key("b"));
    });
    let mut bill = site();
    tell(&mut bill, vec![ended("early", false)]);
    assert_eq!(
        tell(&mut bill, vec![joined("early")]),
        Vec::new(),
        "the end came before the word that it is there"
    );
    // Kept in a snapshot too, and over many other changes.
    (0..2_000).for_each(|turn| {
        drop(tell(
            &mut bill,
            vec![
                ClusterReport::BackendSilent {
                    name: "x".into(),
                    silent: turn % 2 == 0,
                },
                joined(&format!("x-{turn}")),
            ],
        ))
    });
    let mut woken = ClusterState::from_bytes(&bill.to_bytes()).expect("a snapshot");
    assert_eq!(woken, bill);
    assert_eq!(tell(&mut woken, vec![joined("early")]), Vec::new());
}

#[test]
fn a_life_only_moves_on() {
    let mut bill = site();
    let phase = |bill: &ClusterState| bill.backends["a"].phase;
    let silent = |silent: bool| ClusterReport::BackendSilent {
        name: "a".into(),
        silent,
    };
    tell(&mut bill, vec![joined("a"), silent(true)]);
    assert_eq!(phase(&bill), BackendPhase::PresumedGone);
    assert_eq!(
        tell(&mut bill, vec![joined("a")]),
        Vec::new(),
        "an earlier word does not make it heard again"
    );
    tell(&mut bill, vec![silent(false)]);
    assert_eq!(phase(&bill), BackendPhase::Registered);
    tell(
        &mut bill,
        vec![ClusterReport::BackendDraining { name: "a".into() }],
    );
    [joined("a"), silent(false), silent(true), joined("a")]
        .into_iter()
        .for_each(|word| drop(tell(&mut bill, vec![word])));
    assert_eq!(
        phase(&bill),
        BackendPhase::Draining,
        "who drains takes no new work any more"
    );
}

#[test]
fn what_an_origin_told_is_taken_once_and_in_order() {
    let mut bill = site();
    let mut report = |life: u64, sequence: u64, name: &str| {
        let act = ClusterOperation::Reports(vec![joined(name)]);
        matches!(
            bill.apply("n0", life, sequence, act).0,
            Outcome::Accepted { .. }
        )
    };
    assert!(report(2, 5, "a"));
    assert!(!report(2, 5, "b"), "a repeat");
    assert!(!report(2, 4, "c"), "earlier words of this life");
    assert!(
        !report(1, 9, "d") && !report(3, 1, "e"),
        "of another life, before it is registered"
    );
    assert!(matches!(
        bill.apply(
            "n0",
            1,
            1,
            ClusterOperation::Reports(vec![node("n0", 1), joined("f")])
        )
        .0,
        Outcome::Accepted { .. }
    ));
    let mut report = |life: u64, sequence: u64, name: &str| {
        bill.apply(
            "n0",
            life,
            sequence,
            ClusterOperation::Reports(vec![joined(name)]),
        )
        .0
    };
    assert!(
        matches!(report(1, 2, "g"), Outcome::Accepted { .. }),
        "a new life counts anew"
    );
    assert!(
        matches!(report(2, 6, "h"), Outcome::Superseded { .. }),
        "the one before it is over"
    );
}

#[test]
fn a_node_is_gone_when_two_watchers_miss_it() {
    let mut bill = site();
    let node = |name: &str, life: u64| ClusterReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: format!("{name}:1"),
        incarnation: life,
        replaces: life - 1,
    };
    let missed = |by: &str, life: u64, missed: bool| ClusterReport::NodeObserved {
        observer: by.into(),
        node: "n0".into(),
        incarnation: life,
        missed,
    };
    tell(
        &mut bill,
        (0..4)
            .map(|number| node(&format!("n{number}"), 1))
            .collect(),
    );
    let there = |bill: &ClusterState| bill.nodes["n0"].present;
    tell(
        &mut bill,
        vec![missed("n1", 1, true), missed("n1", 1, true)],
    );
    assert!(
        there(&bill),
        "one watcher is one watcher, however often it says so"
    );
    tell(&mut bill, vec![missed("n2", 1, true)]);
    assert!(!there(&bill));
    tell(
        &mut bill,
        vec![node("n0", 2), missed("n3", 1, true), missed("n1", 1, true)],
    );
    assert!(there(&bill), "who was missed is an earlier life");
    assert_eq!(tell(&mut bill, vec![node("n0", 1)]), Vec::new());
}

#[test]
fn keys_go_only_to_who_is_there_and_only_on_top_of_what_was_seen() {
    let mut bill = site();
    tell(&mut bill, vec![joined("a"), joined("b")]);
    let all = |name: &'static str| [(0, u16::MAX, name)];
    tell(&mut bill, vec![recast(0, &all("a"))]);
    let base = bill.placements["seat"].0;
    assert_eq!(
        tell(&mut bill, vec![recast(0, &all("b"))]),
        Vec::new(),
        "on top of what stands no more"
    );
    assert_eq!(
        tell(&mut bill, vec![recast(base, &all("nobody"))]),
        Vec::new()
    );
    assert_eq!(
        tell(
            &mut bill,
            vec![recast(base, &[(0, 9, "b"), (10, 20, "nobody")])]
        ),
        Vec::new(),
        "whole or not at all"
    );
    assert_eq!(
        tell(&mut bill, vec![recast(base, &[(9, 8, "b")])]),
        Vec::new(),
        "a row ends where it begins, or later"
    );
    tell(&mut bill, vec![recast(base, &all("b"))]);
    let row = |bill: &ClusterState| {
        shard_map::range_of(&bill.placements["seat"].1, 77)
            .cloned()
            .expect("a row")
    };
    let fence = row(&bill).fencing_token;
    assert_eq!(row(&bill).pending_releases, [("a".to_string(), fence)]);
    tell(&mut bill, vec![ended("a", false)]);
    assert_eq!(row(&bill).pending_releases.len(), 1, "its process may live");
    tell(&mut bill, vec![ended("a", true)]);
    assert_eq!(
        (row(&bill).pending_releases.len(), row(&bill).holder),
        (0, Some("b".to_string())),
        "its process is gone"
    );
    tell(&mut bill, vec![ended("b", false)]);
    assert_eq!(
        row(&bill).holder,
        Some("b".to_string()),
        "whoever comes next has to wait for it"
    );
    let base = bill.placements["seat"].0;
    tell(&mut bill, vec![joined("c"), recast(base, &all("c"))]);
    assert_eq!(row(&bill).pending_releases.len(), 1);
}

fn node(name: &str, life: u64) -> ClusterReport {
    ClusterReport::NodeRegistered {
        node: name.into(),
        zone: "z0".into(),
        address: format!("{name}:1"),
        incarnation: life,
        replaces: life - 1,
    }
}

fn missed(node: &str) -> [ClusterReport; 2] {
    ["keeper-0", "keeper-1"].map(|watcher| ClusterReport::NodeObserved {
        observer: watcher.into(),
        node: node.into(),
        incarnation: 1,
        missed: true,
    })
}

/// So many entries that speak of nobody here.
fn pass(bill: &mut ClusterState, count: u64) {
    (0..count).for_each(|turn| {
        drop(tell(
            bill,
            vec![ClusterReport::BackendSilent {
                name: "keeper".into(),
                silent: turn % 2 == 0,
            }],
        ))
    });
}

fn kept() -> ClusterState {
    let mut bill = site();
    let keeper = ClusterReport::BackendJoined {
        name: "keeper".into(),
        backend: player("seat", "keeper-0"),
    };
    tell(
        &mut bill,
        vec![
            node("keeper-0", 1),
            node("keeper-1", 1),
            node("keeper-2", 1),
            keeper,
        ],
    );
    bill
}

#[test]
fn machines_replaced_under_new_names_do_not_fill_the_bill() {
    let mut bill = kept();
    let mut follower = model::cluster_state::StateSnapshot::default().updated(
        true,
        bill.position,
        bill.full_deltas(),
    );
    let most = (0..3_000).map(|turn| {
        let (name, before) = (format!("{turn}"), turn - 1);
        let joined = ClusterReport::BackendJoined {
            name: name.clone(),
            backend: player("seat", &name),
        };
        let told = [
            vec![node(&name, 1), joined],
            missed(&format!("{before}")).to_vec(),
        ]
        .map(|reports| tell(&mut bill, reports));
        follower = follower.updated(false, bill.position, told.concat());
        bill.nodes.len().max(bill.backends.len())
    });
    // Each took two entries, and one is away for at most some 4,096 of them.
    let most = most.max();
    assert!(most.is_some_and(|most| most < 2_200), "{most:?} names");
    assert_eq!(
        follower,
        model::cluster_state::StateSnapshot::default().updated(
            true,
            bill.position,
            bill.full_deltas()
        ),
        "followers forget the same names"
    );
    assert!(bill.to_bytes().len() < 1_000_000);
}

#[test]
fn who_holds_or_owes_keys_is_not_forgotten_and_what_it_owes_stays_until_it_is_waited_out() {
    let mut bill = kept();
    tell(
        &mut bill,
        vec![
            node("node-a", 1),
            node("node-b", 1),
            joined("a"),
            joined("b"),
            recast(0, &[(0, u16::MAX, "a")]),
        ],
    );
    tell(&mut bill, missed("node-a").to_vec());
    pass(&mut bill, 10_000);
    assert!(
        bill.backends.contains_key("a") && bill.nodes.contains_key("node-a"),
        "it holds keys"
    );
    let base = bill.placements["seat"].0;
    tell(&mut bill, vec![recast(base, &[(0, u16::MAX, "b")])]);
    pass(&mut bill, 10_000);
    let row = bill.placements["seat"].1[0].clone();
    assert_eq!(
        row.pending_releases
            .iter()
            .map(|(name, _)| name.as_str())
            .collect::<Vec<_>>(),
        ["a"]
    );
    assert!(
        bill.backends.contains_key("a") && bill.nodes.contains_key("node-a"),
        "it may still hold what it owes"
    );
    tell(
        &mut bill,
        vec![ClusterReport::ReleasesExpired {
            service: "seat".into(),
            ranges: vec![(0, u16::MAX, row.fencing_token)],
        }],
    );
    pass(&mut bill, 600);
    assert!(
        !bill.backends.contains_key("a") && !bill.nodes.contains_key("node-a"),
        "nothing is left to wait for"
    );
}

#[test]
fn who_was_only_cut_off_says_so_and_stands_there_again() {
    let mut bill = kept();
    tell(&mut bill, vec![node("node-a", 1), joined("a")]);
    tell(&mut bill, missed("node-a").to_vec());
    pass(&mut bill, 4_000);
    assert!(bill.nodes.contains_key("node-a"), "not for so short a time");
    pass(&mut bill, 1_000);
    assert!(!bill.nodes.contains_key("node-a") && !bill.backends.contains_key("a"));
    tell(&mut bill, vec![node("node-a", 1), joined("a")]);
    assert!(bill.nodes["node-a"].present && bill.backends["a"].phase == BackendPhase::Registered);
    assert!(bill.nodes["node-a"].missed_by.is_empty());
    // Nodes that are there stay, however long nothing is said of them.
    pass(&mut bill, 10_000);
    assert!(bill.nodes.contains_key("node-a") && bill.backends.contains_key("a"));
}
