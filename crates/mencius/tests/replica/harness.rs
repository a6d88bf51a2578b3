//! Test harness: a replica in a group of three, whose disk syncs immediately and whose peers are
//! played by the test.

use mencius::{Config, Effect, Frame, Input, Replica, ReplicaId, Write};

/// The size of the group, small enough for the test to play the other replicas.
pub(crate) const REPLICA_COUNT: u16 = 3;

/// Creates a replica with a new disk and no connections.
pub(crate) fn new_replica(replica_id: ReplicaId) -> Replica {
    restore(replica_id, Vec::new())
}

/// Restores a replica from a disk that holds `writes`.
pub(crate) fn restore(replica_id: ReplicaId, writes: Vec<Write>) -> Replica {
    let disk_id = u64::from(replica_id) + 1;
    Replica::restore(
        replica_id,
        REPLICA_COUNT,
        disk_id,
        Config::default(),
        0,
        writes,
    )
}

/// Carries out effects until there are none, completing syncs immediately. Returns the effects.
pub(crate) fn run(replica: &mut Replica) -> Vec<Effect> {
    let mut carried_out = Vec::new();
    loop {
        let effects = replica.take_effects();
        if effects.is_empty() {
            return carried_out;
        }
        for effect in &effects {
            if let Effect::Persist { ticket, .. } = effect {
                replica.step(0, Input::Persisted(*ticket));
            }
        }
        carried_out.extend(effects);
    }
}

/// Carries out all effects and returns the frames sent to `peer`.
pub(crate) fn frames_to(replica: &mut Replica, peer: ReplicaId) -> Vec<Frame> {
    let to_peer = |effect| match effect {
        Effect::Send(to, frame) if to == peer => Some(frame),
        _ => None,
    };
    run(replica).into_iter().filter_map(to_peer).collect()
}

/// Carries out all effects and returns the writes to the disk.
pub(crate) fn persisted(replica: &mut Replica) -> Vec<Write> {
    let written = |effect| match effect {
        Effect::Persist { writes, .. } => writes,
        _ => Vec::new(),
    };
    run(replica).into_iter().flat_map(written).collect()
}

/// Delivers frames from a peer to the replica, in order.
pub(crate) fn deliver(replica: &mut Replica, from: ReplicaId, frames: Vec<Frame>) {
    for frame in frames {
        replica.step(0, Input::Frame(from, frame));
    }
}
