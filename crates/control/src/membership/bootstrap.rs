//! Assignment of a replica to a core machine, either when the cluster is founded, which happens
//! once, or as the replacement of a lost machine (design 12.1, 12.3).

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

/// The replica number in the handshake of a machine without a replica.
const NO_REPLICA: ReplicaId = ReplicaId::MAX;

/// Timeout for the answer of a machine to a request for a replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for the decision of the log on a replacement, after which the machine asks again.
const DECISION_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two requests while only the founder is asked.
const FOUNDER_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between two requests once other machines are asked, too.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);

/// Time for which the founder keeps its connections open, so that its answers are written.
const ANSWER_LINGER: Duration = Duration::from_millis(500);

/// Capacity of the queue of accepted connections that the founder has not handled yet.
const CANDIDATE_QUEUE_CAPACITY: usize = 64;

/// The settings for the assignment of a replica to this machine. All times are in microseconds.
pub struct BootstrapConfig {
    /// The address, as `host:port`, at which peers connect to this process.
    pub address: String,
    /// The zone of this machine.
    pub zone: String,
    /// The addresses of the machines that the settings name. At the first start, the machine at the
    /// first address founds the cluster.
    pub seeds: Vec<String>,
    /// Whether the cluster starts for the first time.
    pub first_start: bool,
    /// Time without a new connection after which the founder stops waiting for further machines,
    /// in microseconds.
    pub quiet_period: Microseconds,
    /// The minimum time that the founder waits for further machines, in microseconds.
    pub minimum_wait: Microseconds,
    /// Time for which only the founder is asked at the first start, in microseconds. After that any
    /// machine that has a replica is asked, because the founder may be lost. The period must be
    /// long enough that the replica of a machine that only starts slowly does not become vacant.
    pub founder_only_period: Microseconds,
}

/// A machine that takes part in the founding of the cluster.
struct Candidate {
    disk_id: DiskId,
    sender: FrameSender,
}

/// All machines that take part in the founding, by address, and the receivers that keep their
/// connections open.
#[derive(Default)]
struct Candidates {
    by_address: BTreeMap<String, Candidate>,
    receivers: Vec<mpsc::Receiver<Frame>>,
}

impl Candidates {
    /// Adds the machine of a connection. Returns whether its disk is new at its address.
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

/// The replicas of the cluster that is being founded, with the disk of each.
struct FoundingMembers(Vec<(ReplicaId, DiskId)>);

impl FoundingMembers {
    /// Numbers the replicas in the order of the addresses of their machines.
    fn numbered_by_address(
        config: &BootstrapConfig,
        own_disk: DiskId,
        candidates: &Candidates,
    ) -> Self {
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

/// The answer to a request for a replica.
pub(crate) enum Assignment {
    /// The requesting machine is assigned this replica.
    Replica {
        membership: MembershipRecord,
        /// The disks of all replicas; empty if the answer does not name them.
        pinned_disks: Vec<(ReplicaId, DiskId)>,
    },
    /// No replica is vacant.
    NoneVacant,
}

/// An answer to a request for a replica, and the handshake of the machine that sent it.
pub(crate) struct AssignmentAnswer {
    pub(crate) peer_handshake: Handshake,
    pub(crate) assignment: Assignment,
}

/// Waits until this disk is assigned a replica and the record of the assignment is stored on the
/// disk, and returns the record.
pub async fn obtain_membership(
    config: &BootstrapConfig,
    store: &mut ReplicaStore,
    listener: &TcpListener,
    logger: &Logger,
) -> Result<MembershipRecord, storage::Error> {
    if let Some(membership) = store.membership {
        return Ok(membership);
    }
    // A retired disk held a replica before, so this is not the first start of the cluster.
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
    let members = FoundingMembers::numbered_by_address(config, store.disk_id, &candidates);
    let membership = MembershipRecord {
        replica_id: members.replica_of(store.disk_id),
        replica_count: members.replica_count(),
        founded: true,
    };
    // Stored before it is announced, so that a founder that restarts does not found another
    // cluster.
    store.record_membership(membership, &members.0.iter().copied().collect())?;
    slog::info!(logger, "the cluster is founded";
        "replica_count" => membership.replica_count,
        "replica_id" => membership.replica_id);
    announce(&members, candidates).await;
    Ok(membership)
}

/// Accepts every machine that requests a replica, until the quiet period and the minimum wait are
/// over.
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
        let quiet_until = latest_at + config.quiet_period;
        let ends_at = quiet_until.max(began_at + config.minimum_wait);
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
            // The text is sent to the caller and is part of the protocol.
            Err("the core is not founded yet".into())
        }
    };
    if let Ok(connection) = transport::accept(stream, authorize).await {
        // The send fails once the cluster is founded; the candidate then asks again.
        drop(accepted.send(connection).await);
    }
}

/// Sends every candidate its replica and the disks of all replicas.
async fn announce(members: &FoundingMembers, candidates: Candidates) {
    for candidate in candidates.by_address.into_values() {
        let assignment = Frame::ReplicaAssignment {
            replica_id: members.replica_of(candidate.disk_id),
            replica_count: members.replica_count(),
            founding: true,
            pinned_disks: members.0.clone(),
        };
        // If the send fails, the candidate connects and asks again.
        drop(candidate.sender.send(assignment).await);
    }
    let receivers = candidates.receivers;
    tokio::spawn(async move {
        sleep(ANSWER_LINGER).await;
        drop(receivers);
    });
}

/// Asks the machines in turn until one assigns a replica.
async fn request_membership(
    config: &BootstrapConfig,
    first_start: bool,
    store: &mut ReplicaStore,
    logger: &Logger,
) -> Result<MembershipRecord, storage::Error> {
    let began_at = model::now();
    let mut attempt = 0;
    let mut known_addresses: Vec<String> = Vec::new();
    loop {
        let founder_only = first_start && model::now() < began_at + config.founder_only_period;
        let addresses = addresses_to_ask(config, &known_addresses, founder_only);
        if let Some(address) = addresses.get(attempt % addresses.len().max(1))
            && let Some(answer) = ask_for_membership(config, store.disk_id, address).await
        {
            known_addresses = addresses_other_than_seeds(config, answer.peer_handshake);
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
        attempt += 1;
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

fn addresses_other_than_seeds(config: &BootstrapConfig, peer_handshake: Handshake) -> Vec<String> {
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

/// Returns the handshake with which a running replica asks which replica its disk holds. The disk is
/// not declared as empty, so that the request does not assign it another replica.
pub(crate) fn handshake_of_replica(handle: &ReplicaHandle) -> Handshake {
    Handshake {
        replica: Some((NO_REPLICA, 0, handle.disk_id())),
        has_empty_disk: false,
        ..handle.handshake(Purpose::RequestAssignment)
    }
}

/// Asks a machine which replica this disk is assigned. Returns `None` if the machine cannot be
/// reached, if it does not answer in time, or if `accepts_peer` rejects its handshake.
pub(crate) async fn request_assignment(
    address: &str,
    own_handshake: Handshake,
    accepts_peer: impl Fn(&Handshake) -> bool,
) -> Option<AssignmentAnswer> {
    let mut connection = transport::dial(address, own_handshake).await.ok()?;
    if !accepts_peer(&connection.peer_handshake) {
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

/// Returns the answer of a replica to a machine that requests a replica.
///
/// A disk without a replica is told only what the log has decided: if a replica is vacant, its
/// replacement by the empty disk is submitted, and the answer names the replica once the log does.
pub(crate) async fn assignment_answer(handle: &ReplicaHandle, handshake: &Handshake) -> Frame {
    let Some((_, _, disk_id)) = handshake.replica else {
        return Frame::NoReplicaAvailable;
    };
    if let Some(assignment) = decided_assignment(handle, disk_id) {
        return assignment;
    }
    let decided = match handshake.has_empty_disk {
        true => request_vacant_replica(handle, handshake, disk_id).await,
        false => None,
    };
    decided.unwrap_or(Frame::NoReplicaAvailable)
}

/// Returns the replica of a disk that is a member or that the log names as the next holder.
fn decided_assignment(handle: &ReplicaHandle, disk_id: DiskId) -> Option<Frame> {
    let members = handle.members();
    let member = members.iter().find(|(_, held)| *held == disk_id);
    // The disk is a member already: it missed the answer of the founder, or its machine restarted.
    if let Some((replica_id, _)) = member {
        return Some(Frame::ReplicaAssignment {
            replica_id: *replica_id,
            replica_count: handle.replica_count(),
            founding: is_held_by_founding_member(handle, *replica_id),
            pinned_disks: members,
        });
    }
    let state_machine = handle.state_machine.load();
    let mut holders = state_machine.replica_holders.iter();
    let (replica_id, _) = holders.find(|(_, (holder, _))| *holder == disk_id)?;
    Some(Frame::ReplicaAssignment {
        replica_id: *replica_id,
        replica_count: handle.replica_count(),
        founding: false,
        pinned_disks: Vec::new(),
    })
}

/// Submits the replacement of a vacant replica's disk by the empty disk of the caller, and waits
/// until the log has decided. Returns `None` if no replica is vacant or the log does not name the
/// disk in time.
async fn request_vacant_replica(
    handle: &ReplicaHandle,
    handshake: &Handshake,
    disk_id: DiskId,
) -> Option<Frame> {
    let mut position = handle.position.clone();
    let at_address = replica_at(handle, &handle.members(), &handshake.address);
    let vacant = handle.status.load().vacant_replicas.first().copied();
    let replica_id = at_address.or(vacant)?;
    let same_address = at_address.is_some();
    let requested = handle.replacement_requested(replica_id, disk_id, same_address);
    if !requested.await.unwrap_or(false) {
        return None;
    }
    let decision = async {
        loop {
            // The channel is closed only when the process stops.
            position.changed().await.ok()?;
            let assignment = decided_assignment(handle, disk_id);
            if assignment.is_some() {
                return assignment;
            }
        }
    };
    timeout(DECISION_TIMEOUT, decision).await.ok()?
}

/// Returns whether the disk of this replica has not been replaced since the cluster was founded.
fn is_held_by_founding_member(handle: &ReplicaHandle, replica_id: ReplicaId) -> bool {
    let membership = handle.config.membership;
    let founded = membership.is_some_and(|membership| membership.founded);
    let state_machine = handle.state_machine.load();
    founded && !state_machine.replica_holders.contains_key(&replica_id)
}

/// Returns the replica whose disk was last known at this address. A machine with an empty disk at
/// this address has lost that disk.
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
