//! Short soak test for CI: a small site of real processes under the faults of fixed seeds. Longer runs
//! are started manually with the `soak` program; see `soak --help`.

use std::{env, fs, process};

use soak::clock::SECOND;
use soak::operator::OperatorPace;
use soak::plan::Profile;
use soak::run::{self, Outcome, RunConfig};

const RUN_TIME: u64 = 30 * SECOND;
/// A run with fewer checked requests or acknowledged calls is not conclusive.
const MIN_PROBES: usize = 1_000;
const MIN_ACKNOWLEDGED: usize = 50;

fn config(seed: u64, profile: Profile) -> RunConfig {
    let folder = format!("gradeford-short-soak-{}-{seed}", process::id());
    RunConfig {
        seed,
        cores: 5,
        nodes: 8,
        zones: 3,
        machine_losses: 2,
        duration: RUN_TIME,
        profile,
        clients_per_node: 2,
        client_pause_ms: 120,
        pace: OperatorPace {
            max_pause_ms: 400,
            largest_addition: 40,
        },
        network: (64 + process::id() % 128) as u8,
        folder: env::temp_dir().join(folder),
    }
}

fn assert_no_violations(outcome: &Outcome) {
    let verdict = &outcome.verdict;
    let shown: Vec<String> = verdict
        .violations
        .iter()
        .take(10)
        .map(|violation| format!("{violation:?}"))
        .collect();
    assert!(
        shown.is_empty(),
        "{} violations, logs in {}:\n{}\nevents: {:?}",
        verdict.violations.len(),
        outcome.site.folder.display(),
        shown.join("\n"),
        outcome.records.events
    );
    assert!(verdict.probes >= MIN_PROBES, "{} probes", verdict.probes);
    let acknowledged = outcome.records.acknowledgement_times().len();
    assert!(
        acknowledged >= MIN_ACKNOWLEDGED,
        "{acknowledged} acknowledged"
    );
    // The logs are kept only after a failure.
    drop(fs::remove_dir_all(&outcome.site.folder));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_changes_are_in_force_in_time_despite_process_failures() {
    for (seed, profile) in [(1, Profile::Mixed), (2, Profile::ZoneFreeze)] {
        let outcome = run::run(config(seed, profile)).await;
        assert_no_violations(&outcome.expect("the run completes"));
    }
}
