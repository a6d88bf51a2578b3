//! How a core machine comes to its replica: when the cluster is founded, which happens once, or in
//! place of a machine that is gone (design 12.1, 12.3).

use std::collections::BTreeMap;
use std::time::Duration;

use mencius::ReplicaId;
use model::Microseconds;
use slog::Logger;
use storage::{DiskId, MembershipRecord, ReplicaStore};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use transport::{Connection, Frame, FrameSender, Handshake, Purpose};

use crate::replica::ReplicaHandle;

/// What a machine without a replica names as its replica in a handshake.
const NO_REPLICA: ReplicaId = ReplicaId::MAX;

/// A machine that was asked for a replica sends an answer within so long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Between two requests while only the founder is asked, and later.
const FOUNDER_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

/// The founder keeps its connections open for so long, until its answers are written.
const ANSWER_LINGER: Duration = Duration::from_millis(500);

/// Connections that may wait to be taken in by the founder.
const CANDIDATE_QUEUE_CAPACITY: usize = 64;

/// How this machine may come to a replica. All times are in microseconds.
pub struct BootstrapConfig {
    /// Where peers reach this process.
    pub address: String,
    /// The zone that this machine stands in.
    pub zone: String,
    /// Addresses of the machines that are named at the start; at the first start the first of them
    /// founds the cluster.
    pub seeds: Vec<String>,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// The founder waits for more machines until none has come for so long.
    pub quiet_period: Microseconds,
    /// The founder waits at least so long.
    pub minimum_wait: Microseconds,
    /// At the first start only the founder is asked for so long; then any machine that has a
    /// replica, as the founder may be gone for good. Long enough that no replica is taken for
    /// vacant whose machine only starts slowly.
    pub founder_only_period: Microseconds,
}

/// A machine that takes part in the founding.
struct Candidate {
    disk_id: DiskId,
    sender: FrameSender,
}

/// All machines that take part, by address, and the receivers that keep their connections open.
#[derive(Default)]
struct Candidates {
    by_address: BTreeMap<String, Candidate>,
    receivers: Vec<mpsc::Receiver<Frame>>,
}

impl Candidates {
    /// Whether this is a disk that had not come from this address yet.
    fn add(&mut self, connection: Connection) -> bool {
        let handshake = connection.peer_handshake;
        let disk_id = handshake.replica.map(|(_, _, disk_id)| disk_id);
        let disk_id = disk_id.unwrap_or_default();
        let sender = connection.sender;
        self.receivers.push(connection.receiver);
        let candidate = Candidate { disk_id, sender };
        let earlier = self.by_address.insert(handshake.address, candidate);
        earlier.is_none_or(|earlier| earlier.disk_id != disk_id)
    }
}

/// The replicas of a cluster that is being founded, with the disk of each.
struct FoundingMembers(Vec<(ReplicaId, DiskId)>);

impl FoundingMembers {
    /// Numbers the machines by address.
    fn numbered(config: &BootstrapConfig, own_disk: DiskId, candidates: &Candidates) -> Self {
        let mut disks = vec![(config.address.as_str(), own_disk)];
        for (address, candidate) in &candidates.by_address {
            disks.push((address, candidate.disk_id));
        }
        disks.sort_unstable();
        let disks = disks.into_iter().map(|(_, disk_id)| disk_id);
        FoundingMembers((0..).zip(disks).collect())
    }

    fn replica_of(&self, disk_id: DiskId) -> ReplicaId {
        let member = self.0.iter().find(|(_, held)| *held == disk_id);
        member.map(|(replica_id, _)| *replica_id).unwrap_or(0)
    }

    fn replica_count(&self) -> u16 {
        self.0.len() as u16
    }
}

/// What a machine that asked for a replica was answered.
pub(crate) enum Assignment {
    /// It is to become this replica.
    Replica {
        membership: MembershipRecord,
        /// The disks of all replicas, if the answer names them.
        pinned_disks: Vec<(ReplicaId, DiskId)>,
    },
    /// No replica is vacant.
    NoneVacant,
}

/// An answer, and what the machine that gave it says of itself.
pub(crate) struct AssignmentAnswer {
    pub(crate) peer_handshake: Handshake,
    pub(crate) assignment: Assignment,
}

/// Returns once this disk has a replica, and the record of it is on the disk.
pub async fn obtain_membership(
    config: &BootstrapConfig,
    store: &mut ReplicaStore,
    listener: &TcpListener,
    logger: &Logger,
) -> Result<MembershipRecord, storage::Error> {
    if let Some(membership) = store.membership {
        return Ok(membership);
    }
    // A disk that was retired had its replica before: the first start is over.
    let first_start = config.first_start && !store.retired;
    if first_start && config.seeds.first() == Some(&config.address) {
        return found_cluster(config, store, listener, logger).await;
    }
    request_membership(config, first_start, store, logger).await
}

async fn found_cluster(
    config: &BootstrapConfig,
    store: &mut ReplicaStore,
    listener: &TcpListener,
    logger: &Logger,
) -> Result<MembershipRecord, storage::Error> {
    let candidates = gather_candidates(config, store.disk_id, listener).await;
    let members = FoundingMembers::numbered(config, store.disk_id, &candidates);
    let membership = MembershipRecord {
        replica_id: members.replica_of(store.disk_id),
        replica_count: members.replica_count(),
        founded: true,
    };
    // On disk before anyone is told: a founder that starts again founds nothing else.
    store.record_membership(membership, &members.0.iter().copied().collect())?;
    slog::info!(logger, "the cluster is founded";
        "replica_count" => membership.replica_count,
        "replica_id" => membership.replica_id);
    announce(&members, candidates).await;
    Ok(membership)
}

/// Takes in every machine that asks, until none has come for a while.
async fn gather_candidates(
    config: &BootstrapConfig,
    own_disk: DiskId,
    listener: &TcpListener,
) -> Candidates {
    let (accepted, mut candidate_queue) = mpsc::channel(CANDIDATE_QUEUE_CAPACITY);
    let began_at = model::now();
    let mut latest_at = began_at;
    let mut candidates = Candidates::default();
    loop {
        let quiet_at = latest_at + config.quiet_period;
        let ends_at = quiet_at.max(began_at + config.minimum_wait);
        let remaining = Duration::from_micros(ends_at.saturating_sub(model::now()));
        tokio::select! {
            incoming = listener.accept() => if let Ok((stream, _)) = incoming {
                let own_handshake = handshake(config, own_disk);
                tokio::spawn(accept_candidate(stream, own_handshake, accepted.clone()));
            },
            Some(connection) = candidate_queue.recv() => {
                if candidates.add(connection) {
                    latest_at = model::now();
                }
            },
            _ = sleep(remaining) => return candidates,
        }
    }
}

async fn accept_candidate(
    stream: TcpStream,
    own_handshake: Handshake,
    accepted: mpsc::Sender<Connection>,
) {
    let authorize = |caller: Handshake| async move {
        if caller.purpose == Purpose::RequestAssignment && caller.replica.is_some() {
            Ok(own_handshake)
        } else {
            // Part of the protocol: the caller shows it.
            Err("the core is not founded yet".into())
        }
    };
    if let Ok(connection) = transport::accept(stream, authorize).await {
        // Once the founding is over the candidate asks again.
        drop(accepted.send(connection).await);
    }
}

/// Tells every candidate which replica it is, and who the others are.
async fn announce(members: &FoundingMembers, candidates: Candidates) {
    for candidate in candidates.by_address.into_values() {
        let assignment = Frame::ReplicaAssignment {
            replica_id: members.replica_of(candidate.disk_id),
            replica_count: members.replica_count(),
            founding: true,
            pinned_disks: members.0.clone(),
        };
        // A candidate that is gone asks again.
        drop(candidate.sender.send(assignment).await);
    }
    let receivers = candidates.receivers;
    tokio::spawn(async move {
        sleep(ANSWER_LINGER).await;
        drop(receivers);
    });
}

/// Asks machines in turn until one assigns a replica.
async fn request_membership(
    config: &BootstrapConfig,
    first_start: bool,
    store: &mut ReplicaStore,
    logger: &Logger,
) -> Result<MembershipRecord, storage::Error> {
    let began_at = model::now();
    let mut turn = 0;
    let mut known_addresses: Vec<String> = Vec::new();
    loop {
        let founder_only = first_start && model::now() < began_at + config.founder_only_period;
        let asked = addresses_to_ask(config, &known_addresses, founder_only);
        if let Some(address) = asked.get(turn % asked.len().max(1))
            && let Some(answer) = ask_for_membership(config, store.disk_id, address).await
        {
            known_addresses = addresses_beside_seeds(config, answer.peer_handshake);
            if let Assignment::Replica {
                membership,
                pinned_disks,
            } = answer.assignment
            {
                store.record_membership(membership, &pinned_disks.into_iter().collect())?;
                slog::info!(logger, "a replica is assigned to this disk";
                    "replica_id" => membership.replica_id,
                    "replica_count" => membership.replica_count,
                    "founded" => membership.founded);
                return Ok(membership);
            }
        }
        turn += 1;
        sleep(match founder_only {
            true => FOUNDER_REQUEST_INTERVAL,
            false => REQUEST_INTERVAL,
        })
        .await;
    }
}

fn addresses_to_ask(
    config: &BootstrapConfig,
    known_addresses: &[String],
    founder_only: bool,
) -> Vec<String> {
    let seeds = config.seeds.iter();
    if founder_only {
        return seeds.take(1).cloned().collect();
    }
    let others = seeds.chain(known_addresses);
    let others = others.filter(|address| **address != config.address);
    others.cloned().collect()
}

fn addresses_beside_seeds(config: &BootstrapConfig, peer_handshake: Handshake) -> Vec<String> {
    let known = peer_handshake.known_replicas.into_iter();
    let addresses = known.map(|location| location.address);
    addresses
        .filter(|address| !config.seeds.contains(address))
        .collect()
}

async fn ask_for_membership(
    config: &BootstrapConfig,
    disk_id: DiskId,
    address: &str,
) -> Option<AssignmentAnswer> {
    let own_handshake = handshake(config, disk_id);
    request_assignment(address, own_handshake, |_| true).await
}

fn handshake(config: &BootstrapConfig, disk_id: DiskId) -> Handshake {
    Handshake {
        purpose: Purpose::RequestAssignment,
        node_name: config.address.clone(),
        zone: config.zone.clone(),
        address: config.address.clone(),
        incarnation: model::incarnation::draw(),
        replica: Some((NO_REPLICA, 0, disk_id)),
        has_empty_disk: true,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

/// The handshake of a running replica that asks what others would assign to its disk.
pub(crate) fn handshake_of_replica(handle: &ReplicaHandle) -> Handshake {
    Handshake {
        replica: Some((NO_REPLICA, 0, handle.disk_id())),
        ..handle.handshake(Purpose::RequestAssignment)
    }
}

/// Asks one machine which replica this disk is to be. `None` if it cannot be reached, does not
/// answer in time, or `is_asked` turns its handshake down.
pub(crate) async fn request_assignment(
    address: &str,
    own_handshake: Handshake,
    is_asked: impl Fn(&Handshake) -> bool,
) -> Option<AssignmentAnswer> {
    let mut connection = transport::dial(address, own_handshake).await.ok()?;
    if !is_asked(&connection.peer_handshake) {
        return None;
    }
    loop {
        let frame = timeout(ANSWER_TIMEOUT, connection.receiver.recv()).await;
        let assignment = match frame.ok()?? {
            Frame::ReplicaAssignment {
                replica_id,
                replica_count,
                founding,
                pinned_disks,
            } => Assignment::Replica {
                membership: MembershipRecord {
                    replica_id,
                    replica_count,
                    founded: founding,
                },
                pinned_disks,
            },
            Frame::NoReplicaAvailable => Assignment::NoneVacant,
            _ => continue,
        };
        return Some(AssignmentAnswer {
            peer_handshake: connection.peer_handshake,
            assignment,
        });
    }
}

/// What a replica answers to a machine that asks for one.
pub(crate) fn membership_answer(handle: &ReplicaHandle, handshake: &Handshake) -> Frame {
    let Some((_, _, disk_id)) = handshake.replica else {
        return Frame::NoReplicaAvailable;
    };
    let members = handle.members();
    let named = members.iter().find(|(_, held)| *held == disk_id);
    // It was named in the founding and missed the answer, or it starts again.
    if let Some((replica_id, _)) = named {
        return Frame::ReplicaAssignment {
            replica_id: *replica_id,
            replica_count: handle.replica_count(),
            founding: has_only_founder(handle, *replica_id),
            pinned_disks: members,
        };
    }
    let vacant = handle.status.load().vacant_replicas.first().copied();
    match replica_at(handle, &members, &handshake.address).or(vacant) {
        Some(replica_id) => Frame::ReplicaAssignment {
            replica_id,
            replica_count: handle.replica_count(),
            founding: false,
            pinned_disks: Vec::new(),
        },
        None => Frame::NoReplicaAvailable,
    }
}

/// Whether no other disk has held this replica since the cluster was founded.
fn has_only_founder(handle: &ReplicaHandle, replica_id: ReplicaId) -> bool {
    let membership = handle.config.membership;
    let founded = membership.is_some_and(|membership| membership.founded);
    let state_machine = handle.state_machine.load();
    founded && !state_machine.replica_holders.contains_key(&replica_id)
}

/// The replica whose disk was last known at this address: that machine lost its disk.
fn replica_at(
    handle: &ReplicaHandle,
    members: &[(ReplicaId, DiskId)],
    address: &str,
) -> Option<ReplicaId> {
    let known_replicas = handle.known_replicas.borrow();
    let at_address = |member: &&(ReplicaId, DiskId)| {
        let location = known_replicas.get(*member);
        location.is_some_and(|location| location.address == address)
    };
    let member = members.iter().find(at_address);
    member.map(|(replica_id, _)| *replica_id)
}
