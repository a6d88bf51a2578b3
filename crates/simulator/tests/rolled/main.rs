//! Runs nodes and replicas of the product with simulated backends and clients over loopback. Nodes are restarted one after
//! the other, killed together and stopped together while routes are added. Every check is per attempt, and none depends on
//! timing (design 11.6).

use std::collections::BTreeSet;

mod backend;
mod clients;
mod node;
mod site;

use clients::{Attempt, Outcome};
use site::{NODE_COUNT, Site};

/// Checks that effectful attempts run at most once, that answers are correct and complete, and that no answer to an
/// attempt that ran is lost while no node is killed.
fn check_attempts(site: &Site) {
    let (attempts, runs) = (site.attempts(), site.runs.lock().expect("runs").clone());
    let run_count = |attempt: &Attempt| runs.get(&attempt.id).copied().unwrap_or(0);
    let fail = |label: &str, attempt: &Attempt| {
        panic!("{label}: {attempt:?}, ran {} times", run_count(attempt))
    };
    attempts.iter().for_each(|attempt| match &attempt.outcome {
        _ if attempt.effectful && run_count(attempt) > 1 => fail("an attempt ran twice", attempt),
        Outcome::Complete if run_count(attempt) == 0 => fail("a success without a run", attempt),
        Outcome::Invalid => fail(
            "an answer of another attempt, or an incomplete one",
            attempt,
        ),
        Outcome::Status(503) if attempt.effectful && run_count(attempt) > 0 => {
            fail("an attempt that ran was answered as not run", attempt)
        }
        Outcome::Status(404) if attempt.route <= attempt.newest_served => fail(
            "the node no longer knows a route that it had served",
            attempt,
        ),
        Outcome::Complete | Outcome::Status(503 | 404) => {}
        _ if attempt.undisturbed && run_count(attempt) > 0 => fail(
            "an attempt ran and its answer was lost although no node was killed",
            attempt,
        ),
        _ => {}
    });
    let known_ids: BTreeSet<&String> = attempts.iter().map(|attempt| &attempt.id).collect();
    let unknown_ids: Vec<&String> = runs.keys().filter(|id| !known_ids.contains(id)).collect();
    assert!(
        unknown_ids.is_empty(),
        "runs without a client's attempt: {unknown_ids:?}"
    );
    let count = |label: &str, matches: &dyn Fn(&Attempt) -> bool| {
        format!(
            "{label} {}",
            attempts.iter().filter(|attempt| matches(attempt)).count()
        )
    };
    let statuses = [404, 502, 503, 504].map(|status| {
        count(&status.to_string(), &|attempt| {
            attempt.outcome == Outcome::Status(status)
        })
    });
    let counts = [
        count("attempts", &|_| true),
        count("complete", &|attempt| attempt.outcome == Outcome::Complete),
        count("no answer", &|attempt| attempt.outcome == Outcome::NoAnswer),
    ];
    eprintln!("{}, {}", counts.join(", "), statuses.join(", "));
    let complete_count = |undisturbed: bool| {
        attempts
            .iter()
            .filter(|attempt| {
                attempt.undisturbed == undisturbed && attempt.outcome == Outcome::Complete
            })
            .count()
    };
    // The test waited after each start of a node until the node had served.
    assert!(
        complete_count(true) >= 4 * NODE_COUNT && complete_count(false) > 0,
        "{} and {} served",
        complete_count(true),
        complete_count(false)
    );
}

#[test]
fn restarted_nodes_run_no_attempt_twice_and_lose_no_answer() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut site = Site::start().await;
        site.wait_until_all_serving().await;
        for index in 0..NODE_COUNT {
            site.stop_node(index).await;
            site.start_node(index);
            site.wait_until_serving(index).await;
        }
        // All nodes are killed at the same time.
        site.allow_kills(true);
        (0..NODE_COUNT).for_each(|index| site.kill_node(index));
        for index in 0..NODE_COUNT {
            site.wait_until_ended(index).await;
        }
        (0..NODE_COUNT).for_each(|index| site.start_node(index));
        site.wait_until_all_serving().await;
        site.allow_kills(false);
        // All nodes shut down gracefully at the same time.
        (0..NODE_COUNT).for_each(|index| site.shut_down(index));
        for index in 0..NODE_COUNT {
            site.wait_until_ended(index).await;
        }
        (0..NODE_COUNT).for_each(|index| site.start_node(index));
        site.wait_until_all_serving().await;
        site.stop_all().await;
        check_attempts(&site);
    });
    // Ends the tasks of the replicas and the clients.
    runtime.shutdown_background();
}
