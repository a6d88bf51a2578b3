//! Runs a small site end to end in separate processes: discovery, a change, requests, and the kill of a replica and of a
//! backend (design 9.5).

use std::path::PathBuf;

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Runtime::new().expect("a runtime")
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("gradeford-{name}-{}", std::process::id()))
}

#[test]
fn a_small_site_serves_through_kills_and_violates_no_invariant() {
    let folder = folder("small");
    let plan = simulator::run::Plan {
        site: "small".into(),
        scenario: "midway".into(),
        seconds: 6,
        seed: 1,
        corrupted_per_mille: 50,
        folder: folder.clone(),
        node_flags: vec![],
        changes: 2,
    };
    let report = runtime()
        .block_on(simulator::run::run(plan))
        .expect("the run completes");
    // The time until recovery depends on the machine, so it is not asserted here.
    let violated = report
        .invariants
        .iter()
        .filter(|(name, found)| *name != "service_is_back" && !found.is_empty());
    assert_eq!(violated.count(), 0, "{report:#?}");
    assert!(report.served > 0, "{report:#?}");
    std::fs::remove_dir_all(folder).expect("clean");
}
