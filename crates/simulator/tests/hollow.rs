//! The smallest hollow site, judged by what it counted and not by how long it took (docs/CAPACITY.md).

use std::process::Command;
use std::sync::Mutex;
use std::sync::PoisonError;

fn plan(name: &str) -> simulator::hollow::Plan {
    simulator::hollow::Plan {
        nodes: 6,
        services: 2,
        zones: 2,
        regions: 2,
        seats: 3,
        lanes: 4,
        seconds: 2,
        changes: 3,
        restarts: 0,
        lost: 0,
        hop: 0,
        cut: 0,
        parts: simulator::hollow::Parts::Whole,
        folder: std::env::temp_dir().join(format!("gradeford-{name}-{}", std::process::id())),
    }
}

/// Frames are counted for the whole process: one site at a time.
static ALONE: Mutex<()> = Mutex::new(());

fn played(plan: simulator::hollow::Plan) -> simulator::hollow::Report {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime
        .block_on(simulator::hollow::run(plan, false))
        .expect("it is played")
}

#[test]
fn a_change_is_told_once_to_every_follower_and_rest_puts_nothing_in_the_log() {
    let report = played(plan("hollow-changes"));
    let (rest, changes) = (
        report.stage("rest").expect("a rest"),
        report.stage("changes").expect("changes"),
    );
    assert_eq!(
        (
            rest.tally.entries,
            rest.syncs,
            rest.frames("forward"),
            rest.frames("bulletin")
        ),
        (0, 0, 0, 0),
        "{rest:?}"
    );
    // Six nodes, each beating to three others and following one seat.
    assert!(
        rest.frames("beat") > rest.frames("ask") && rest.frames("proof") + 10 > rest.frames("ask"),
        "{rest:?}"
    );
    let followers = 7;
    assert_eq!(
        (
            changes.tally.entries,
            changes.frames("bulletin"),
            changes.frames("forward")
        ),
        (3, 3 * followers, 0),
        "{changes:?}"
    );
    let bytes = changes.said["bulletin"].1;
    let counted = simulator::hollow::counted::count(&plan("hollow-counted"));
    // What the code says of one change is what went over the conns.
    assert_eq!(
        bytes,
        3 * followers * counted.costs["change"].told_bytes,
        "{changes:?}"
    );
}

#[test]
fn a_restart_is_told_once_and_a_lost_machines_back_end_stays_gone() {
    let plan = simulator::hollow::Plan {
        changes: 0,
        restarts: 2,
        lost: 1,
        ..plan("hollow-restarts")
    };
    let report = played(plan);
    let (restarts, lost, back) = (
        report.stage("restarts"),
        report.stage("lost"),
        report.stage("back"),
    );
    let (restarts, lost, back) = (
        restarts.expect("restarts"),
        lost.expect("a loss"),
        back.expect("a return"),
    );
    // Of one restart: drains, keys go, are let go and waited for, ends twice, comes, keys come; some fall together.
    assert!(
        (2 * 5..=2 * 20).contains(&restarts.frames("forward")),
        "{restarts:?}"
    );
    assert!(
        restarts.tally.entries <= restarts.frames("forward"),
        "{restarts:?}"
    );
    // Three watchers, a placement, what is waited out.
    assert!((3..=16).contains(&lost.frames("forward")), "{lost:?}");
    assert!(
        [restarts, lost, back]
            .iter()
            .all(|stage| stage.extra["ghosts"] == 0.0),
        "{back:?}"
    );
}

#[test]
fn a_region_that_was_cut_off_blames_nobody_when_it_is_joined() {
    let cut = simulator::hollow::Plan {
        nodes: 10,
        seats: 5,
        changes: 0,
        cut: 7,
        ..plan("hollow-cut")
    };
    // So many nodes outside have two watchers inside, who hear nothing of them meanwhile.
    assert!(simulator::hollow::counted::count(&cut).region_wrongly > 0);
    let report = played(cut);
    let (cut, joined) = (
        report.stage("cut").expect("a cut"),
        report.stage("joined").expect("a join"),
    );
    assert_eq!(
        (cut.extra["absent_outside"], joined.extra["absent_outside"]),
        (0.0, 0.0),
        "{joined:?}"
    );
}

#[test]
fn wrong_flags_are_named_and_nothing_starts() {
    let own = std::env::current_exe().expect("a path");
    let program = own
        .ancestors()
        .nth(2)
        .expect("the build's folder")
        .join("simulator");
    let told = |words: &[&str]| {
        let output = Command::new(&program)
            .arg("hollow")
            .args(words)
            .output()
            .expect("it runs");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let fine = [
        "--nodes",
        "4",
        "--services",
        "2",
        "--zones",
        "2",
        "--regions",
        "1",
    ];
    let wrong: [(&[&str], &str); 9] = [
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
            &[&fine[..], &["--cut", "3"]].concat(),
            "--cut: there is only one region",
        ),
        (
            &[&fine[..], &["--parts", "half"]].concat(),
            "--parts: there is no",
        ),
        (
            &[&fine[..], &["--parts", "following", "--lost", "1"]].concat(),
            "--parts: restarts",
        ),
        (
            &[&fine[..], &["--speed", "9"]].concat(),
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
    wrong.iter().for_each(|(words, named)| {
        let (code, told) = told(words);
        assert!(
            code == Some(2) && told.contains(named),
            "{words:?}: {code:?} {told}"
        );
    });
}
