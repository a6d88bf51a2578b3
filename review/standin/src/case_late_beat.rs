//! A beat of an earlier life of a backend comes some seconds late, after its node was restarted.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::backend::{Life, Row};
use crate::site::{CONTROL, Machine, Record, SWANREACH_LIC, Site, wait_for};
use crate::{Verdict, http, is_ready, operator, wait_ready};

const KEYS: u32 = 65_536;
/// Two backends that hold the same keys for longer than this break the rule (OWNER).
const ALLOWED: f64 = 0.5;

fn key_count(rows: &[Row]) -> u32 {
    rows.iter()
        .map(|(from, to, _)| u32::from(*to) - u32::from(*from) + 1)
        .sum()
}

fn shared(one: &[Row], other: &[Row]) -> u32 {
    let overlap = |a: &Row, b: &Row| {
        let (from, to) = (a.0.max(b.0), a.1.min(b.1));
        if from <= to {
            u32::from(to) - u32::from(from) + 1
        } else {
            0
        }
    };
    one.iter()
        .flat_map(|a| other.iter().map(move |b| overlap(a, b)))
        .sum()
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::new(
        &SWANREACH_LIC,
        4,
        &["seatdesk", "seatdesk", "seatdesk"],
        record.clone(),
    );
    site.start_all();
    let mut first = Life::start(&site, 0, "i-0a000001", true);
    let second = Life::start(&site, 1, "i-0b000001", true);
    let third = Life::start(&site, 2, "i-0c000001", true);
    let cores = [0, 1, 2, 3];
    let config = operator::call(&[
        operator::service("seatdesk", 1, true),
        operator::route(
            "r-check",
            1,
            "seats.example",
            "/check/",
            "pure",
            "seatdesk",
            1_200,
        ),
        operator::route(
            "r-out",
            1,
            "seats.example",
            "/out/",
            "effectful",
            "seatdesk",
            1_500,
        ),
        operator::limits(1),
    ]);
    if !operator::amend(&site, &cores, &config, Duration::from_secs(20)).acknowledged
        || !wait_ready(&site, Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the deployment did not start".into());
    }
    let all_held = |lives: &[&Arc<Life>]| {
        let held: u32 = lives.iter().map(|life| key_count(&life.held())).sum();
        held == KEYS && lives.iter().all(|life| !life.held().is_empty())
    };
    if !wait_for(Duration::from_secs(20), || {
        all_held(&[&first, &second, &third])
    }) {
        return Verdict::CouldNotRun("the keys were not given out".into());
    }
    record.line("all keys are held; the deployment is calm");
    sleep(Duration::from_secs(4));

    // The last beat of the first life: sent now, but it comes late.
    first.silent.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(100));
    let late_beat = first.next_beat();
    let sent_at = record.now();
    record.line(format!(
        "{} sends its last beat, which is held up on its way",
        first.id
    ));
    first.crash();
    sleep(Duration::from_millis(500));
    first = Life::start(&site, 0, "i-0a000002", true);
    sleep(Duration::from_millis(600));
    record.line("sidecar-0 is killed; it starts again after half a second");
    site.kill(Machine::Node(0));
    sleep(Duration::from_millis(500));
    site.start(Machine::Node(0), false);
    wait_for(Duration::from_secs(3), || is_ready(&site, 0));
    wait_for(Duration::from_secs(4), || !first.held().is_empty());
    if first.held().is_empty() {
        return Verdict::CouldNotRun("the new life got no keys".into());
    }
    record.line(format!(
        "{} holds {} keys",
        first.id,
        key_count(&first.held())
    ));
    // Some time between two beats of the new life.
    wait_for(Duration::from_secs(4), || {
        let since = first.since_beat();
        record.now() > sent_at + 2.5
            && since > Duration::from_millis(600)
            && since < Duration::from_millis(900)
    });
    let late = record.now() - sent_at;
    if trouble {
        let to = site.address(Machine::Node(0), CONTROL);
        let (path, body) = &late_beat;
        record.line(format!(
            "the held-up beat of i-0a000001 arrives, {late:.1} s late: {body}"
        ));
        let headers = [("Content-Type", "application/json".to_string())];
        let answer = http::call(
            to,
            "POST",
            path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        record.line(match answer {
            Ok(answer) => format!("its answer: {} {}", answer.status(), answer.text()),
            Err(error) => format!("no answer: {error}"),
        });
    }

    // Watch who holds what, as the backends themselves know it.
    let lives = [&first, &second, &third];
    let began = record.now();
    let mut since: Option<f64> = None;
    let mut longest: f64 = 0.0;
    let mut last_line = String::new();
    while record.now() < began + 14.0 {
        let held: Vec<Vec<Row>> = lives.iter().map(|life| life.held()).collect();
        let twice =
            shared(&held[0], &held[1]) + shared(&held[0], &held[2]) + shared(&held[1], &held[2]);
        let line = format!(
            "holds: {} {}, {} {}, {} {}; held by two: {twice}",
            lives[0].id,
            key_count(&held[0]),
            lives[1].id,
            key_count(&held[1]),
            lives[2].id,
            key_count(&held[2])
        );
        if line != last_line {
            record.line(&line);
            last_line = line;
        }
        since = match (twice > 0, since) {
            (true, None) => Some(record.now()),
            (true, since) => since,
            (false, _) => None,
        };
        if let Some(since) = since {
            longest = longest.max(record.now() - since);
        }
        sleep(Duration::from_millis(20));
    }
    record.line(format!(
        "longest time in which two backends that are up held the same keys: {longest:.2} s"
    ));
    record.line(format!(
        "{} has {:.1} s of its hold left",
        first.id,
        first.hold_left().as_secs_f64()
    ));
    if longest > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
