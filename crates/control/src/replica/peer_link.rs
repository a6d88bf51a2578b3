//! Connections between replicas: the one with the lower number dials, and both put the other's
//! disk on record before anything else (design 4.1, 4.2).

use std::mem;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mencius::ReplicaId;
use storage::DiskId;
use tokio::time::timeout;
use transport::{Connection, Frame, Handshake, KnownReplica, Purpose};

use super::command::ConnectionToken;
use super::handle::{PinError, ReplicaHandle, Stopped};
use crate::membership::discovery;

/// A connection on which nothing came for so long is closed; peers send heartbeats far more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Between two attempts to connect, with up to as much again at random.
const REDIAL_INTERVAL_MS: u64 = 100;

static NEXT_CONNECTION_TOKEN: AtomicU64 = AtomicU64::new(1);

/// Why a connection between replicas is refused. Peers read these texts, and show them as the
/// reason of a refusal: they are part of the protocol.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerRefused {
    #[error("only core seats may open this channel")]
    NotAReplica,
    #[error("seat {peer_id} of {peer_count} does not fit seat {own_id} of {own_count}")]
    DoesNotFit {
        peer_id: ReplicaId,
        peer_count: u16,
        own_id: ReplicaId,
        own_count: u16,
    },
    #[error("seat {peer_id} belongs to another disk; an emptied disk may not vote as its old self")]
    OtherDiskPinned { peer_id: ReplicaId },
    #[error(transparent)]
    NotPinned(#[from] PinError),
    #[error(transparent)]
    Stopped(#[from] Stopped),
}

/// Starts to connect to the peers with higher numbers, and to look for where they are.
pub(super) fn start(handle: &ReplicaHandle) {
    for peer_id in handle.replica_id() + 1..handle.replica_count() {
        tokio::spawn(keep_connected(handle.clone(), peer_id));
    }
    // Until this replica votes it asks often: whichever replica an empty disk asks submits that it
    // replaces the lost one.
    let (described, awaited) = (handle.clone(), handle.clone());
    let wanted = move || match awaited.status.load().voting {
        true => usize::from(awaited.replica_count()),
        false => usize::MAX,
    };
    let handshake = move || described.handshake(Purpose::Discover);
    let known_replicas = handle.known_replicas.clone();
    let seeds = handle.config.seeds.clone();
    tokio::spawn(discovery::run(known_replicas, seeds, handshake, wanted));
}

async fn keep_connected(handle: ReplicaHandle, peer_id: ReplicaId) {
    let mut known_replicas = handle.known_replicas.subscribe();
    let mut turn = 0;
    loop {
        known_replicas.mark_unchanged();
        let pinned_disk = handle.pinned_disks.load().get(&peer_id).copied();
        let location = location_of(&handle, peer_id, pinned_disk, turn);
        turn += 1;
        if let Some(location) = location {
            connect(&handle, peer_id, pinned_disk, &location.address).await;
        }
        let pause = REDIAL_INTERVAL_MS + rand::random::<u64>() % REDIAL_INTERVAL_MS;
        discovery::changed_within(&mut known_replicas, Duration::from_millis(pause)).await;
    }
}

/// Where a peer is reached. While its disk is not on record several disks may say that they hold
/// the replica; each has its turn.
fn location_of(
    handle: &ReplicaHandle,
    peer_id: ReplicaId,
    pinned_disk: Option<DiskId>,
    turn: usize,
) -> Option<KnownReplica> {
    let known_replicas = handle.known_replicas.borrow();
    let fits = |location: &&KnownReplica| {
        let disk_fits = pinned_disk.is_none_or(|disk_id| location.disk_id == disk_id);
        location.replica_id == peer_id && disk_fits
    };
    let locations: Vec<&KnownReplica> = known_replicas.values().filter(fits).collect();
    let location = locations.get(turn % locations.len().max(1));
    location.map(|location| (*location).clone())
}

/// Connects to a peer, and returns when the connection has ended.
async fn connect(
    handle: &ReplicaHandle,
    peer_id: ReplicaId,
    pinned_disk: Option<DiskId>,
    address: &str,
) {
    let own_handshake = Handshake {
        expected_disk: pinned_disk,
        ..handle.handshake(Purpose::Consensus)
    };
    match transport::dial(address, own_handshake).await {
        Ok(connection) => {
            let answered = connection.peer_handshake.replica;
            let answered =
                answered.map(|(replica_id, replica_count, _)| (replica_id, replica_count));
            if answered != Some((peer_id, handle.replica_count())) {
                slog::warn!(handle.logger, "another process answers at the address of a peer";
                    "address" => address,
                    "found" => ?connection.peer_handshake.replica);
            } else if pin_peer(handle, &connection.peer_handshake).await.is_ok()
                && is_expected_disk(handle, &connection.peer_handshake)
            {
                serve_peer(handle, connection).await;
            }
        }
        // When the loop has ended nobody is left to show the reason to.
        Err(transport::Error::Refused(reason)) => drop(handle.refused_by_peer(reason).await),
        Err(error) => slog::debug!(handle.logger, "cannot connect to a peer";
            "peer_id" => peer_id,
            "error" => %error),
    }
}

/// Whether the caller means this disk. One that expects another is answered, so that it learns
/// whom it found, and the connection then ends.
pub(crate) fn is_expected_disk(handle: &ReplicaHandle, handshake: &Handshake) -> bool {
    let expected_disk = handshake.expected_disk;
    expected_disk.is_none_or(|expected| expected == handle.disk_id())
}

/// Passes it on if the caller is an empty disk that asks to become a replica which another disk
/// holds here (design 4.4).
pub(crate) async fn handle_replacement_request(handle: &ReplicaHandle, handshake: &Handshake) {
    let Some((replica_id, replica_count, disk_id)) = handshake.replica else {
        return;
    };
    if !handshake.has_empty_disk
        || replica_count != handle.replica_count()
        || replica_id == handle.replica_id()
    {
        return;
    }
    let pinned_disk = handle.pinned_disks.load().get(&replica_id).copied();
    if pinned_disk.is_none_or(|pinned| pinned == disk_id) {
        return;
    }
    // No two processes share an address: the process that had the other disk there is gone.
    let same_address = {
        let known_replicas = handle.known_replicas.borrow();
        known_replicas.values().any(|known| {
            known.replica_id == replica_id
                && known.disk_id != disk_id
                && known.address == handshake.address
        })
    };
    let requested = handle.replacement_requested(replica_id, disk_id, same_address);
    // When the loop has ended the empty disk asks another replica.
    drop(requested.await);
}

/// Writes down the first disk that is met as this peer, before anything is said to it.
pub(crate) async fn pin_peer(
    handle: &ReplicaHandle,
    handshake: &Handshake,
) -> Result<(), PeerRefused> {
    if !is_expected_disk(handle, handshake) {
        return Ok(());
    }
    handle_replacement_request(handle, handshake).await;
    let (peer_id, peer_count, disk_id) = handshake.replica.ok_or(PeerRefused::NotAReplica)?;
    let (own_id, own_count) = (handle.replica_id(), handle.replica_count());
    if peer_count != own_count || peer_id >= peer_count || peer_id == own_id {
        return Err(PeerRefused::DoesNotFit {
            peer_id,
            peer_count,
            own_id,
            own_count,
        });
    }
    if handle.pin_disk(peer_id, disk_id).await? != disk_id {
        return Err(PeerRefused::OtherDiskPinned { peer_id });
    }
    Ok(handle.peer_pinned(peer_id, disk_id).await?)
}

/// Carries one connection to a peer until it breaks.
pub(crate) async fn serve_peer(handle: &ReplicaHandle, mut connection: Connection) {
    let Some((peer_id, _, disk_id)) = connection.peer_handshake.replica else {
        return;
    };
    let token = ConnectionToken(NEXT_CONNECTION_TOKEN.fetch_add(1, Ordering::Relaxed));
    let known_replicas = mem::take(&mut connection.peer_handshake.known_replicas);
    discovery::merge(&handle.known_replicas, known_replicas);
    let first_frame = first_frame(handle, peer_id, disk_id);
    if connection.sender.send(first_frame).await.is_err() {
        return;
    }
    if pass_on_frames(handle, connection, token, peer_id)
        .await
        .is_ok()
    {
        // When the loop has ended there is no connection to forget.
        drop(handle.peer_disconnected(peer_id, token).await);
    }
}

/// Returns without an error once the connection is closed or silent.
async fn pass_on_frames(
    handle: &ReplicaHandle,
    connection: Connection,
    token: ConnectionToken,
    peer_id: ReplicaId,
) -> Result<(), Stopped> {
    let (sender, mut receiver) = (connection.sender, connection.receiver);
    handle.peer_connected(peer_id, token, sender).await?;
    while let Ok(Some(frame)) = timeout(SILENCE_TIMEOUT, receiver.recv()).await {
        match frame {
            Frame::Consensus(frame) => handle.peer_frame(peer_id, token, frame).await?,
            Frame::VotingRange {
                votes_after,
                pinned_disks,
            } => handle.admitted(votes_after, pinned_disks).await?,
            Frame::FoundingReplica => handle.first_holder_confirmed(peer_id).await?,
            _ => {}
        }
    }
    Ok(())
}

/// What a peer has to know before anything else: from where on its disk votes, if the log says
/// that it replaced another; else that no disk held its replica before.
fn first_frame(handle: &ReplicaHandle, peer_id: ReplicaId, disk_id: DiskId) -> Frame {
    let state_machine = handle.state_machine.load();
    match state_machine.replica_holders.get(&peer_id) {
        Some((holder, votes_after)) if *holder == disk_id => Frame::VotingRange {
            votes_after: *votes_after,
            pinned_disks: handle.members(),
        },
        _ => Frame::FoundingReplica,
    }
}
