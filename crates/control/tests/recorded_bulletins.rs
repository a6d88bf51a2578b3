//! The bytes of changes told to followers, made by a replica's desk and taken by a follower's book,
//! as an earlier build wrote them.

use control::bulletin::Desk;
use control::promptbook::Promptbook;
use model::bill::items::Put;
use model::bill::{Act, Body, Call, Limits, Programme, Service};
use recorded::RecordedBytes;
use tokio::sync::mpsc;
use transport::Frame;

#[path = "../../test-support/tests/recorded/mod.rs"]
mod recorded;

fn put(desk: &mut Desk, version: u64, name: &str, body: Body) {
    let put = Put { name: name.to_string(), version, body, text: String::new() };
    let call = Call { puts: vec![put], drops: Vec::new() };
    desk.apply(&("operator".to_string(), 1, version), Act::Items(call));
    desk.publish();
}

fn service(path: &str) -> Body {
    let health_path = path.to_string();
    Body::Service(Service { health_path, conns: 8, keyed: false, warm_us: 0 })
}

fn frames_for(desk: &mut Desk, held: u64) -> Vec<Frame> {
    let (sender, mut frames) = mpsc::channel(64);
    desk.follow(held, sender);
    std::iter::from_fn(|| frames.try_recv().ok()).collect()
}

/// Compares the changes in these frames with what was recorded, and gives a follower the recorded.
fn tell(recorded: &mut RecordedBytes, name: &str, follower: &mut Promptbook, frames: Vec<Frame>) {
    for (number, frame) in frames.into_iter().enumerate() {
        let Frame::Bulletin { afresh, from, to, deltas } = frame else { panic!("a follower is told changes, not {frame:?}") };
        let deltas = recorded.check(&format!("{name}-{number}"), &deltas);
        follower.take(Frame::Bulletin { afresh, from, to, deltas });
    }
}

#[test]
fn changes_told_to_followers_have_the_recorded_bytes() {
    let mut recorded = RecordedBytes::of("bulletins");
    let mut desk = Desk::default();
    let mut follower = Promptbook::default();
    let held = follower.begin();
    for version in 1..=3 {
        put(&mut desk, version, &format!("s{version}"), service("/healthz"));
    }
    let limits = Limits { header_bytes: 512, body_bytes: 9, header_wait_us: 10, idle_us: 11 };
    put(&mut desk, 4, "", Body::Limits(limits));
    tell(&mut recorded, "history", &mut follower, frames_for(&mut desk, held));
    assert_eq!(**follower.told(), whole(&desk));

    let bill = desk.bill.clone();
    desk.install(bill);
    let mut follower = Promptbook::default();
    let held = follower.begin();
    tell(&mut recorded, "afresh", &mut follower, frames_for(&mut desk, held));
    assert_eq!(**follower.told(), whole(&desk));

    put(&mut desk, 5, "s2", service(&"/healthz".repeat(200)));
    let held = follower.told().position;
    tell(&mut recorded, "squeezed", &mut follower, frames_for(&mut desk, held));
    assert_eq!(**follower.told(), whole(&desk));
    recorded.finish();
}

fn whole(desk: &Desk) -> Programme {
    Programme::default().told(true, desk.bill.position, desk.bill.whole())
}
