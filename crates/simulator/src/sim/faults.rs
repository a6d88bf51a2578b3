//! Faults of the simulated log, and schedules of faults that are decoded from random bytes (design 9.2).

type ReplicaId = mencius::ReplicaId;

/// A fault, an entry or a read that is scheduled at a simulated replica.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Crash(ReplicaId),
    Start(ReplicaId),
    Freeze(ReplicaId),
    Unfreeze(ReplicaId),
    /// Loses the frames from the first replica to the second.
    CutLink(ReplicaId, ReplicaId),
    HealLinks,
    CloseConnection(ReplicaId, ReplicaId),
    /// Delays every sync of the disk by this number of microseconds.
    SlowDisk(ReplicaId, u64),
    /// Destroys the disk. An empty disk replaces it by an entry that a peer submits.
    Replace(ReplicaId),
    /// The second replica submits the replacement of the disk of the first one, which may still be in use.
    Supersede(ReplicaId, ReplicaId),
    /// Puts the new disk of a superseded replica in the place of the old one.
    InstallSuccessor(ReplicaId),
    Submit(ReplicaId, Vec<u8>),
    Read(ReplicaId, u64),
}

impl Fault {
    pub(super) fn apply(self, world: &mut super::World) {
        match self {
            Fault::Crash(replica_id) => world.crash(replica_id),
            Fault::Start(replica_id) => world.start(replica_id),
            Fault::Freeze(replica_id) => world.freeze(replica_id, true),
            Fault::Unfreeze(replica_id) => world.freeze(replica_id, false),
            Fault::CutLink(a, b) => world.cut_links[a as usize][b as usize] = true,
            Fault::HealLinks => world
                .cut_links
                .iter_mut()
                .flatten()
                .for_each(|cut| *cut = false),
            Fault::CloseConnection(a, b) => world.close(a, b),
            Fault::SlowDisk(replica_id, extra) => world.slow_disk(replica_id, extra),
            Fault::Replace(replica_id) => world.replace(replica_id),
            Fault::Supersede(replica_id, helper) => world.supersede(replica_id, helper),
            Fault::InstallSuccessor(replica_id) => world.install_successor(replica_id),
            Fault::Submit(replica_id, value) => world.submit(replica_id, value),
            Fault::Read(replica_id, token) => world.read(replica_id, token),
        }
    }
}

/// Schedules entries, reads and faults for `seconds` seconds. Each fault is decoded from three of the `bytes`. At the end
/// all faults are healed.
pub fn schedule_faults(world: &mut super::World, bytes: &[u8], seconds: u64) {
    let replica_count = world.plan.replica_count;
    let step = seconds * 1_000_000 / (bytes.len() as u64 / 3 + 1).max(1);
    bytes
        .chunks_exact(3)
        .zip(1u64..)
        .for_each(|(chunk, round)| {
            let (replica_id, peer) = (
                chunk[1] as ReplicaId % replica_count,
                chunk[2] as ReplicaId % replica_count,
            );
            let time = round * step;
            let healed_at = time + 50_000 + chunk[2] as u64 * 6_000;
            let faults: Vec<(u64, Fault)> = match chunk[0] % 8 {
                0 => vec![
                    (time, Fault::Crash(replica_id)),
                    (healed_at, Fault::Start(replica_id)),
                ],
                1 => vec![
                    (time, Fault::Freeze(replica_id)),
                    (healed_at, Fault::Unfreeze(replica_id)),
                ],
                2 if replica_id != peer => vec![
                    (time, Fault::CutLink(replica_id, peer)),
                    (healed_at, Fault::HealLinks),
                ],
                3 if replica_id != peer => vec![(time, Fault::CloseConnection(replica_id, peer))],
                4 => (0..replica_count)
                    .filter(|peer| *peer != replica_id)
                    .map(|peer| (time, Fault::CutLink(replica_id, peer)))
                    .chain([(healed_at, Fault::HealLinks)])
                    .collect(),
                5 => vec![
                    (time, Fault::SlowDisk(replica_id, 600_000)),
                    (healed_at, Fault::SlowDisk(replica_id, 0)),
                ],
                _ => Vec::new(),
            };
            faults
                .into_iter()
                .for_each(|(time, fault)| world.schedule_fault(time, fault));
        });
    let entries = seconds * 20;
    (0..entries).for_each(|number| {
        let replica_id = (number * 7 % replica_count as u64) as ReplicaId;
        let time = 100_000 + number * 50_000;
        world.schedule_fault(
            time,
            Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
        );
        world.schedule_fault(
            time + 20_000,
            Fault::Read(((number + 3) % replica_count as u64) as ReplicaId, number),
        );
    });
    let end = seconds * 1_000_000 + 2_000_000;
    world.schedule_fault(end, Fault::HealLinks);
    (0..replica_count).for_each(|replica_id| {
        world.schedule_fault(end, Fault::Unfreeze(replica_id));
        world.schedule_fault(end, Fault::SlowDisk(replica_id, 0));
        world.schedule_fault(end, Fault::Start(replica_id));
    });
    (0..replica_count).for_each(|replica_id| {
        world.schedule_fault(
            end + 2_500_000,
            Fault::Submit(replica_id, format!("last {replica_id}").into_bytes()),
        );
    });
}
