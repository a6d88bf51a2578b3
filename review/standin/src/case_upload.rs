//! Requests whose bodies are as long as the operator allows take a sidecar over its memory limit.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::backend::Life;
use crate::site::{Machine, OUTBOUND, Record, SWANREACH_LIC, Site, wait_for};
use crate::{Verdict, http, is_ready, operator, wait_ready};

const CORES: [usize; 4] = [0, 1, 2, 3];
const NODES: usize = 3;
/// Below `max_body_bytes` of the `limit_set`, 67,108,864.
const UPLOAD: usize = 50_000_000;
/// So many clients of one sidecar send an upload at the same time.
const AT_ONCE: usize = 2;
const SMALL: usize = 4_000;
/// `memory_mb` of a sidecar, read as units of 1,048,576 bytes, the larger reading.
const MEMORY: u64 = 260 * 1_048_576;
const UPLOADS_PER_NODE: usize = 3;
/// So many ends on two machines are a fault.
const ENDS: u32 = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let site = Site::new(&SWANREACH_LIC, 4, &["entitlements"; NODES], record.clone());
    let runs = Arc::new(Mutex::new(Vec::new()));
    site.start_all();
    let lives: Vec<Arc<Life>> = (0..NODES)
        .map(|node| {
            Life::start(
                &site,
                node,
                &format!("i-0000000{}", node + 1),
                false,
                runs.clone(),
            )
        })
        .collect();
    for life in &lives {
        life.work.store(72, Ordering::SeqCst);
    }
    let config = operator::call(&[
        operator::service("entitlements", 1, false),
        operator::route(
            "r-return",
            1,
            "seats.example",
            "/return/",
            "effectful",
            "entitlements",
            1_000,
        ),
        operator::route(
            "r-upload",
            1,
            "seats.example",
            "/upload/",
            "pure",
            "entitlements",
            5_000,
        ),
        operator::limits(1),
    ]);
    if !operator::amend(&site, &CORES, &config, Duration::from_secs(20)).acknowledged
        || !wait_ready(&site, Duration::from_secs(10))
    {
        return Verdict::CouldNotRun("the deployment did not start".into());
    }
    sleep(Duration::from_secs(4));
    let ends: Vec<AtomicU32> = (0..NODES).map(|_| AtomicU32::new(0)).collect();
    let (cut, served) = (AtomicU32::new(0), AtomicU32::new(0));
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| platform(&site, &ends, &stop));
        for client in 0..NODES * 4 {
            let (site, cut, served, stop) = (&site, &cut, &served, &stop);
            scope.spawn(move || returns(site, client, cut, served, stop));
        }
        for upload in 0..UPLOADS_PER_NODE {
            for node in [0, 1] {
                wait_for(Duration::from_secs(8), || is_ready(&site, node));
                let bytes = if trouble { UPLOAD } else { SMALL };
                std::thread::scope(|uploads| {
                    for client in 0..AT_ONCE {
                        let site = &site;
                        uploads.spawn(move || send_upload(site, node, upload, client, bytes));
                    }
                });
                sleep(Duration::from_millis(1_500));
            }
        }
        stop.store(true, Ordering::SeqCst);
    });
    let ended: Vec<u32> = ends
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .collect();
    record.line(format!(
        "seat returns served {}, cut with no answer {}; uploads that reached a backend {}",
        served.load(Ordering::SeqCst),
        cut.load(Ordering::SeqCst),
        runs.lock()
            .unwrap()
            .iter()
            .filter(|run| run.attempt.starts_with("upload"))
            .count(),
    ));
    record.line(format!("ends over the memory limit, by sidecar: {ended:?}"));
    let machines = ended.iter().filter(|count| **count >= ENDS).count();
    if machines >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Kills a process that goes over its memory and starts it again after a short delay.
fn platform(site: &Site, ends: &[AtomicU32], stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        for (node, count) in ends.iter().enumerate() {
            let machine = Machine::Node(node);
            let most = site.most_memory(machine).unwrap_or(0);
            if most <= MEMORY {
                continue;
            }
            site.kill(machine);
            count.fetch_add(1, Ordering::SeqCst);
            site.record.line(format!(
                "{} went over its memory ({most} bytes) and is killed",
                machine.name()
            ));
            sleep(Duration::from_millis(500));
            site.start(machine, false);
        }
        sleep(Duration::from_millis(2));
    }
}

fn send_upload(site: &Site, node: usize, number: usize, client: usize, bytes: usize) {
    let id = format!("upload-{node}-{number}-{client}");
    let headers = [
        ("Host", "seats.example".to_string()),
        ("Gradeford-Attempt-Id", id.clone()),
        ("Gradeford-Time-Left-Ms", "5000".to_string()),
    ];
    site.record.line(format!(
        "{id}: {bytes} bytes are sent to {}",
        Machine::Node(node).name()
    ));
    let to = site.address(Machine::Node(node), OUTBOUND);
    let answer = http::call(
        to,
        "PUT",
        "/upload/plan",
        &headers,
        &vec![b'p'; bytes],
        Duration::from_secs(5),
    );
    site.record.line(match answer {
        Ok(answer) => format!("{id}: answered {}", answer.status()),
        Err(error) => format!("{id}: no answer ({:?})", error.kind()),
    });
}

/// One client that returns seats, one request after the other.
fn returns(site: &Site, client: usize, cut: &AtomicU32, served: &AtomicU32, stop: &AtomicBool) {
    let node = client % NODES;
    let to = site.address(Machine::Node(node), OUTBOUND);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        if !is_ready(site, node) {
            sleep(Duration::from_millis(100));
            continue;
        }
        number += 1;
        let id = format!("return-{client}-{number}");
        let headers = [
            ("Host", "seats.example".to_string()),
            ("Gradeford-Attempt-Id", id.clone()),
            ("Gradeford-Time-Left-Ms", "1000".to_string()),
        ];
        match http::call(
            to,
            "DELETE",
            "/return/seat",
            &headers,
            b"",
            Duration::from_secs(1),
        ) {
            Ok(answer) if answer.status() == 200 => drop(served.fetch_add(1, Ordering::SeqCst)),
            Ok(answer) => site
                .record
                .line(format!("{id}: answered {}", answer.status())),
            Err(error) => {
                cut.fetch_add(1, Ordering::SeqCst);
                site.record
                    .line(format!("{id}: no answer ({:?})", error.kind()));
            }
        }
        sleep(Duration::from_millis(20));
    }
}
