//! Faults and the schedules drawn from a seed (design 9.2).

type Seat = mencius::ReplicaId;

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Crash(Seat),
    Start(Seat),
    Freeze(Seat),
    Unfreeze(Seat),
    /// Frames from the first to the second are lost.
    CutLink(Seat, Seat),
    HealLinks,
    CloseConnection(Seat, Seat),
    SlowDisk(Seat, u64),
    /// The disk is lost; an empty one takes the seat over, by an entry handed to the next seat.
    Replace(Seat),
    Submit(Seat, Vec<u8>),
    Read(Seat, u64),
}

impl Fault {
    pub(super) fn apply(self, world: &mut super::World) {
        match self {
            Fault::Crash(seat) => world.crash(seat),
            Fault::Start(seat) => world.start(seat),
            Fault::Freeze(seat) => world.freeze(seat, true),
            Fault::Unfreeze(seat) => world.freeze(seat, false),
            Fault::CutLink(a, b) => world.cut_links[a as usize][b as usize] = true,
            Fault::HealLinks => world
                .cut_links
                .iter_mut()
                .flatten()
                .for_each(|cut| *cut = false),
            Fault::CloseConnection(a, b) => world.close(a, b),
            Fault::SlowDisk(seat, extra) => world.slow_disk(seat, extra),
            Fault::Replace(seat) => world.replace(seat),
            Fault::Submit(seat, value) => world.submit(seat, value),
            Fault::Read(seat, token) => world.read(seat, token),
        }
    }
}

/// `bytes` decide what fails and when; the last second mends everything.
pub fn schedule_faults(world: &mut super::World, bytes: &[u8], seconds: u64) {
    let seats = world.plan.replica_count;
    let step = seconds * 1_000_000 / (bytes.len() as u64 / 3 + 1).max(1);
    bytes.chunks_exact(3).zip(1u64..).for_each(|(chunk, turn)| {
        let (seat, other) = (chunk[1] as Seat % seats, chunk[2] as Seat % seats);
        let time = turn * step;
        let back = time + 50_000 + chunk[2] as u64 * 6_000;
        let faults: Vec<(u64, Fault)> = match chunk[0] % 8 {
            0 => vec![(time, Fault::Crash(seat)), (back, Fault::Start(seat))],
            1 => vec![(time, Fault::Freeze(seat)), (back, Fault::Unfreeze(seat))],
            2 if seat != other => vec![
                (time, Fault::CutLink(seat, other)),
                (back, Fault::HealLinks),
            ],
            3 if seat != other => vec![(time, Fault::CloseConnection(seat, other))],
            4 => (0..seats)
                .filter(|mate| *mate != seat)
                .map(|mate| (time, Fault::CutLink(seat, mate)))
                .chain([(back, Fault::HealLinks)])
                .collect(),
            5 => vec![
                (time, Fault::SlowDisk(seat, 600_000)),
                (back, Fault::SlowDisk(seat, 0)),
            ],
            _ => Vec::new(),
        };
        faults
            .into_iter()
            .for_each(|(time, fault)| world.schedule_fault(time, fault));
    });
    let entries = seconds * 20;
    (0..entries).for_each(|number| {
        let seat = (number * 7 % seats as u64) as Seat;
        let time = 100_000 + number * 50_000;
        world.schedule_fault(time, Fault::Submit(seat, number.to_be_bytes().to_vec()));
        world.schedule_fault(
            time + 20_000,
            Fault::Read(((number + 3) % seats as u64) as Seat, number),
        );
    });
    let end = seconds * 1_000_000 + 2_000_000;
    world.schedule_fault(end, Fault::HealLinks);
    (0..seats).for_each(|seat| {
        world.schedule_fault(end, Fault::Unfreeze(seat));
        world.schedule_fault(end, Fault::SlowDisk(seat, 0));
        world.schedule_fault(end, Fault::Start(seat));
    });
    (0..seats).for_each(|seat| {
        world.schedule_fault(
            end + 2_500_000,
            Fault::Submit(seat, format!("last {seat}").into_bytes()),
        );
    });
}
