//! Real nodes beside made-up back ends, a real core and live senders over loopback: nodes are stopped in turn, killed
//! together and stopped together while routes are added. Judged by try, never by time (design 11.6).

use std::collections::BTreeSet;

mod back_end;
mod node;
mod senders;
mod site;

use senders::{Outcome, Try};
use site::{NODES, Site};

/// Every try that ran was answered whole: nothing that was taken is dropped while nothing is killed.
fn judge(site: &Site) {
    let (tries, runs) = (site.tries(), site.runs.lock().expect("runs").clone());
    let ran = |one: &Try| runs.get(&one.id).copied().unwrap_or(0);
    let told = |what: &str, one: &Try| panic!("{what}: {one:?}, ran {} times", ran(one));
    tries.iter().for_each(|one| match &one.outcome {
        _ if one.effectful && ran(one) > 1 => told("a try ran twice", one),
        Outcome::Whole if ran(one) == 0 => told("a success that nobody ran", one),
        Outcome::Other => told("an answer to another try, or half of one", one),
        Outcome::Status(503) if one.effectful && ran(one) > 0 => {
            told("it was told not to have run", one)
        }
        Outcome::Status(404) if one.lane <= one.shown => {
            told("a route it had served before is not known", one)
        }
        Outcome::Whole | Outcome::Status(503 | 404) => {}
        _ if one.clean && ran(one) > 0 => told(
            "it ran, and its answer was dropped though nothing was killed",
            one,
        ),
        _ => {}
    });
    let known: BTreeSet<&String> = tries.iter().map(|one| &one.id).collect();
    let strange: Vec<&String> = runs.keys().filter(|id| !known.contains(id)).collect();
    assert!(strange.is_empty(), "nobody sent these: {strange:?}");
    let count = |what: &str, fits: &dyn Fn(&Try) -> bool| {
        format!("{what} {}", tries.iter().filter(|one| fits(one)).count())
    };
    let statuses = [404, 502, 503, 504].map(|status| {
        count(&status.to_string(), &|one| {
            one.outcome == Outcome::Status(status)
        })
    });
    let others = [
        count("tries", &|_| true),
        count("whole", &|one| one.outcome == Outcome::Whole),
        count("broken", &|one| one.outcome == Outcome::Broken),
    ];
    eprintln!("{}, {}", others.join(", "), statuses.join(", "));
    let whole = |clean: bool| {
        tries
            .iter()
            .filter(|one| one.clean == clean && one.outcome == Outcome::Whole)
            .count()
    };
    // Each node served in each of its lives, or the site would not have come so far.
    assert!(
        whole(true) >= 4 * NODES && whole(false) > 0,
        "{} and {} served",
        whole(true),
        whole(false)
    );
}

#[test]
fn nodes_restarted_in_turn_and_together_run_nothing_twice_and_drop_nothing() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut site = Site::start().await;
        site.all_serve().await;
        for at in 0..NODES {
            site.stop(at).await;
            site.begin(at);
            site.serves(at).await;
        }
        // Together, and without a word.
        site.killing(true);
        (0..NODES).for_each(|at| site.kill(at));
        for at in 0..NODES {
            site.gone(at).await;
        }
        (0..NODES).for_each(|at| site.begin(at));
        site.all_serve().await;
        site.killing(false);
        // Together, in good order.
        (0..NODES).for_each(|at| site.leave(at));
        for at in 0..NODES {
            site.gone(at).await;
        }
        (0..NODES).for_each(|at| site.begin(at));
        site.all_serve().await;
        site.end().await;
        judge(&site);
    });
    // Threads of seats and senders end with it.
    runtime.shutdown_background();
}
