//! Runs the smallest fleet of stand-in nodes and checks its counts, not its times (docs/CAPACITY.md).

use std::process::Command;
use std::sync::Mutex;
use std::sync::PoisonError;

fn plan(name: &str) -> simulator::hollow::Plan {
    simulator::hollow::Plan {
        nodes: 6,
        services: 2,
        zones: 2,
        regions: 2,
        replicas: 3,
        routes: 4,
        seconds: 2,
        changes: 3,
        restarts: 0,
        lost_machines: 0,
        hop_us: 0,
        cut_seconds: 0,
        parts: simulator::hollow::NodeParts::Full,
        folder: std::env::temp_dir().join(format!("gradeford-{name}-{}", std::process::id())),
    }
}

/// Lets one run at a time into the process, since frames are counted per process.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn run(plan: simulator::hollow::Plan) -> simulator::hollow::Report {
    let _guard = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime
        .block_on(simulator::hollow::run(plan, false))
        .expect("the run completes")
}

#[test]
fn each_follower_receives_a_change_once_and_an_idle_fleet_appends_nothing_to_the_log() {
    let report = run(plan("hollow-changes"));
    let (rest, changes) = (
        report.stage("rest").expect("the rest stage"),
        report.stage("changes").expect("the changes stage"),
    );
    assert_eq!(
        (
            rest.log_counts.entries,
            rest.syncs,
            rest.frames("forward"),
            rest.frames("bulletin")
        ),
        (0, 0, 0, 0),
        "{rest:?}"
    );
    // Each of the six nodes sends heartbeats to three others and follows one replica.
    assert!(
        rest.frames("beat") > rest.frames("ask") && rest.frames("proof") + 10 > rest.frames("ask"),
        "{rest:?}"
    );
    let followers = 7;
    assert_eq!(
        (
            changes.log_counts.entries,
            changes.frames("bulletin"),
            changes.frames("forward")
        ),
        (3, 3 * followers, 0),
        "{changes:?}"
    );
    let bytes = changes.traffic["bulletin"].1;
    let counted = simulator::hollow::counted::count(&plan("hollow-counted"));
    // The bytes computed for one change equal the bytes sent over the connections.
    assert_eq!(
        bytes,
        3 * followers * counted.costs["change"].update_bytes,
        "{changes:?}"
    );
}

#[test]
fn a_restart_is_reported_once_and_the_backend_of_a_lost_machine_stays_removed() {
    let plan = simulator::hollow::Plan {
        changes: 0,
        restarts: 2,
        lost_machines: 1,
        ..plan("hollow-restarts")
    };
    let report = run(plan);
    let (restarts, lost, back) = (
        report.stage("restarts"),
        report.stage("lost"),
        report.stage("back"),
    );
    let (restarts, lost, back) = (
        restarts.expect("the restarts stage"),
        lost.expect("the lost stage"),
        back.expect("the back stage"),
    );
    // One restart reports the drain, the reassignment of the ranges, their release and its expiry, the two reports
    // of the backend's end, the registration and the ranges assigned again. Some reports share an entry.
    assert!(
        (2 * 5..=2 * 20).contains(&restarts.frames("forward")),
        "{restarts:?}"
    );
    assert!(
        restarts.log_counts.entries <= restarts.frames("forward"),
        "{restarts:?}"
    );
    // Three monitors report the loss; then come a placement and the expired releases.
    assert!((3..=16).contains(&lost.frames("forward")), "{lost:?}");
    assert!(
        [restarts, lost, back]
            .iter()
            .all(|stage| stage.extra["ghosts"] == 0.0),
        "{back:?}"
    );
}

#[test]
fn a_region_reports_no_outside_node_as_absent_when_its_partition_heals() {
    let cut_plan = simulator::hollow::Plan {
        nodes: 10,
        replicas: 5,
        changes: 0,
        cut_seconds: 7,
        ..plan("hollow-cut")
    };
    // Some nodes outside have two monitors inside, which receive no heartbeats from them during the partition.
    assert!(simulator::hollow::counted::count(&cut_plan).region_false_suspicions > 0);
    let report = run(cut_plan);
    let (cut, joined) = (
        report.stage("cut").expect("the cut stage"),
        report.stage("joined").expect("the joined stage"),
    );
    assert_eq!(
        (cut.extra["absent_outside"], joined.extra["absent_outside"]),
        (0.0, 0.0),
        "{joined:?}"
    );
}

#[test]
fn invalid_flags_are_named_and_nothing_starts() {
    let own = std::env::current_exe().expect("the path of the test binary");
    let program = own
        .ancestors()
        .nth(2)
        .expect("the build folder")
        .join("simulator");
    let run_with = |flags: &[&str]| {
        let output = Command::new(&program)
            .arg("hollow")
            .args(flags)
            .output()
            .expect("the simulator starts");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let valid = [
        "--nodes",
        "4",
        "--services",
        "2",
        "--zones",
        "2",
        "--regions",
        "1",
    ];
    let invalid: [(&[&str], &str); 9] = [
        (&["--nodes", "4"], "--services: is missing"),
        (
            &[
                "--nodes",
                "many",
                "--services",
                "2",
                "--zones",
                "2",
                "--regions",
                "1",
            ],
            "--nodes",
        ),
        (
            &[
                "--nodes",
                "4",
                "--services",
                "5",
                "--zones",
                "2",
                "--regions",
                "1",
            ],
            "--services: 5 is not from 1 to 4",
        ),
        (
            &[
                "--nodes",
                "4",
                "--services",
                "2",
                "--zones",
                "2",
                "--regions",
                "3",
            ],
            "--regions: 3",
        ),
        (
            &[&valid[..], &["--cut", "3"]].concat(),
            "--cut: there is only one region",
        ),
        (
            &[&valid[..], &["--parts", "half"]].concat(),
            "--parts: unknown value",
        ),
        (
            &[&valid[..], &["--parts", "following", "--lost", "1"]].concat(),
            "--parts: restarts",
        ),
        (
            &[&valid[..], &["--speed", "9"]].concat(),
            "--speed: is not a flag",
        ),
        (
            &[
                "--nodes",
                "4000",
                "--services",
                "2",
                "--zones",
                "2",
                "--regions",
                "1",
            ],
            "--nodes: 4000 nodes need",
        ),
    ];
    invalid.iter().for_each(|(flags, message)| {
        let (code, stderr) = run_with(flags);
        assert!(
            code == Some(2) && stderr.contains(message),
            "{flags:?}: {code:?} {stderr}"
        );
    });
}
