//! Connections between replicas. The replica with the lower number dials, and both sides record the
//! disk of the other before they send any frame (design 4.1, 4.2).

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

/// Time without a frame after which a connection is closed; peers send heartbeats far more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum pause between two attempts to connect, in milliseconds. A random pause of up to the same
/// length is added.
const REDIAL_INTERVAL_MS: u64 = 100;

static NEXT_CONNECTION_TOKEN: AtomicU64 = AtomicU64::new(1);

/// The reason for which a connection between replicas is refused. The texts are sent to the peer,
/// which reports them as the reason of the refusal, and are part of the protocol.
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

/// Starts the tasks that connect to the peers with higher numbers and that discover their
/// locations.
pub(super) fn start(handle: &ReplicaHandle) {
    for peer_id in handle.replica_id() + 1..handle.replica_count() {
        tokio::spawn(keep_connected(handle.clone(), peer_id));
    }
    // Until this replica votes it keeps searching at the short interval: an empty disk requests its
    // replica through these discovery connections, and each replica it contacts may submit the
    // replacement of the lost disk.
    let (handshake_handle, status_handle) = (handle.clone(), handle.clone());
    let target_count = move || match status_handle.status.load().voting {
        true => usize::from(status_handle.replica_count()),
        false => usize::MAX,
    };
    let handshake = move || handshake_handle.handshake(Purpose::Discover);
    let known_replicas = handle.known_replicas.clone();
    let seeds = handle.config.seeds.clone();
    tokio::spawn(discovery::run(
        known_replicas,
        seeds,
        handshake,
        target_count,
    ));
}

async fn keep_connected(handle: ReplicaHandle, peer_id: ReplicaId) {
    let mut known_replicas = handle.known_replicas.subscribe();
    let mut attempt = 0;
    loop {
        known_replicas.mark_unchanged();
        let pinned_disk = handle.pinned_disks.load().get(&peer_id).copied();
        let location = location_of(&handle, peer_id, pinned_disk, attempt);
        attempt += 1;
        if let Some(location) = location {
            connect(&handle, peer_id, pinned_disk, &location.address).await;
        }
        let pause = REDIAL_INTERVAL_MS + rand::random::<u64>() % REDIAL_INTERVAL_MS;
        discovery::changed_within(&mut known_replicas, Duration::from_millis(pause)).await;
    }
}

/// Returns the location of a peer. Until the disk of the peer is on record, several disks may claim
/// to hold the replica; successive attempts go through them in turn.
fn location_of(
    handle: &ReplicaHandle,
    peer_id: ReplicaId,
    pinned_disk: Option<DiskId>,
    attempt: usize,
) -> Option<KnownReplica> {
    let known_replicas = handle.known_replicas.borrow();
    let matches_peer = |location: &&KnownReplica| {
        let disk_matches = pinned_disk.is_none_or(|disk_id| location.disk_id == disk_id);
        location.replica_id == peer_id && disk_matches
    };
    let locations: Vec<&KnownReplica> = known_replicas.values().filter(matches_peer).collect();
    let location = locations.get(attempt % locations.len().max(1));
    location.map(|location| (*location).clone())
}

/// Connects to a peer and serves the connection until it ends.
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
            let peer_replica = connection.peer_handshake.replica;
            let peer_replica =
                peer_replica.map(|(replica_id, replica_count, _)| (replica_id, replica_count));
            if peer_replica != Some((peer_id, handle.replica_count())) {
                slog::warn!(handle.logger,
                    "a different process answered at the address of a peer; disconnecting";
                    "address" => address,
                    "found" => ?connection.peer_handshake.replica);
            } else if pin_peer(handle, &connection.peer_handshake).await.is_ok()
                && is_expected_disk(handle, &connection.peer_handshake)
            {
                serve_peer(handle, connection).await;
            }
        }
        // The command is lost if the event loop has ended; the status is no longer read then.
        Err(transport::Error::Refused(reason)) => drop(handle.refused_by_peer(reason).await),
        Err(error) => slog::debug!(handle.logger, "could not connect to a peer; will retry";
            "peer_id" => peer_id,
            "error" => %error),
    }
}

/// Returns whether the caller expects this disk or no particular one. A caller that expects another
/// disk is sent the handshake, so that it learns which disk it reached, and the connection is then
/// closed.
pub(crate) fn is_expected_disk(handle: &ReplicaHandle, handshake: &Handshake) -> bool {
    let expected_disk = handshake.expected_disk;
    expected_disk.is_none_or(|expected| expected == handle.disk_id())
}

/// Reports to the event loop if the caller is an empty disk that requests a replica for which
/// another disk is on record here (design 4.4).
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
    // Two processes cannot share an address, so the process that had the other disk at this address
    // is gone.
    let same_address = {
        let known_replicas = handle.known_replicas.borrow();
        known_replicas.values().any(|known| {
            known.replica_id == replica_id
                && known.disk_id != disk_id
                && known.address == handshake.address
        })
    };
    let requested = handle.replacement_requested(replica_id, disk_id, same_address);
    // The send fails if the event loop has ended; the empty disk then asks another replica.
    drop(requested.await);
}

/// Records the first disk that connects as this peer, before any frame is sent to the peer.
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

/// Serves a connection to a peer until it ends.
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
    if forward_frames(handle, connection, token, peer_id)
        .await
        .is_ok()
    {
        // The send fails if the event loop has ended, which then has no connection to drop.
        drop(handle.peer_disconnected(peer_id, token).await);
    }
}

/// Forwards the frames of a peer to the event loop until the connection is closed or times out. An
/// error means that the event loop has ended.
async fn forward_frames(
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

/// Returns the first frame on a connection to a peer: the voting range of its disk, if the log says
/// that the disk replaced another one; otherwise the confirmation that no disk held the replica
/// before.
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
