//! Channels between core seats: the lower seat dials, both bind the other's disk (design 4.1, 4.2).

use crate::replica::{Command, ReplicaHandle};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

static NEXT_CONNECTION_TOKEN: AtomicU64 = AtomicU64::new(1);

pub(crate) fn start(core: &ReplicaHandle) {
    (core.config.replica_id + 1..core.config.replica_count).for_each(|seat| {
        tokio::spawn(keep_dialing(core.clone(), seat));
    });
    // Until this seat votes it asks often, as an empty disk is let in by whoever it asks.
    let (greeter, asker) = (core.clone(), core.clone());
    let seats = move || {
        if asker.status.load().voting {
            asker.config.replica_count as usize
        } else {
            usize::MAX
        }
    };
    let greeting = move || greeter.handshake(transport::Purpose::Discover);
    tokio::spawn(crate::discovery::run(
        core.known_replicas.clone(),
        core.config.seeds.clone(),
        greeting,
        seats,
    ));
}

async fn keep_dialing(core: ReplicaHandle, seat: u16) {
    let mut heard = core.known_replicas.subscribe();
    let mut turn = 0;
    loop {
        heard.mark_unchanged();
        let holder = core.pinned_disks.load().get(&seat).copied();
        let place = {
            let known = core.known_replicas.borrow();
            let told = known.values().filter(|place| {
                place.replica_id == seat && holder.is_none_or(|holder| place.disk_id == holder)
            });
            // Before all have met, of several disks that say so each in turn.
            let told: Vec<&transport::KnownReplica> = told.collect();
            told.get(turn % told.len().max(1))
                .map(|place| (*place).clone())
        };
        turn += 1;
        if let Some(place) = place {
            let own = transport::Handshake {
                expected_disk: holder,
                ..core.handshake(transport::Purpose::Consensus)
            };
            match transport::dial(&place.address, own).await {
                Ok(conn)
                    if conn
                        .peer_handshake
                        .replica
                        .map(|(told, seats, _)| (told, seats))
                        == Some((seat, core.config.replica_count)) =>
                {
                    if pin_peer(&core, &conn.peer_handshake).await.is_ok()
                        && is_expected_disk(&core, &conn.peer_handshake)
                    {
                        serve_peer(&core, conn).await;
                    }
                }
                Ok(conn) => {
                    slog::warn!(core.logger, "not the seat expected"; "address" => place.address, "found" => ?conn.peer_handshake.replica)
                }
                Err(transport::Error::Refused(reason)) => {
                    drop(core.commands.send(Command::RefusedByPeer(reason)).await)
                }
                Err(trouble) => {
                    slog::debug!(core.logger, "dial"; "seat" => seat, "trouble" => %trouble)
                }
            }
        }
        let pause = 100 + rand::random::<u64>() % 100;
        crate::discovery::changed_within(&mut heard, Duration::from_millis(pause)).await;
    }
}

/// Whoever calls another disk than this one is answered, so that it learns whom it found, and no more is said.
pub(crate) fn is_expected_disk(core: &ReplicaHandle, greeting: &transport::Handshake) -> bool {
    greeting
        .expected_disk
        .is_none_or(|wanted| wanted == core.disk_id)
}

/// An empty disk asks for a seat that is another's here (design 4.4).
pub(crate) async fn handle_replacement_request(
    core: &ReplicaHandle,
    greeting: &transport::Handshake,
) {
    let asks = greeting.replica.filter(|(seat, seats, _)| {
        greeting.has_empty_disk
            && *seats == core.config.replica_count
            && *seat != core.config.replica_id
    });
    if let Some((seat, _, identity)) = asks
        && core
            .pinned_disks
            .load()
            .get(&seat)
            .is_some_and(|held| *held != identity)
    {
        // No two processes share an address: whoever held the seat there is gone.
        let place = core
            .known_replicas
            .borrow()
            .iter()
            .any(|((told, held), place)| {
                *told == seat && *held != identity && place.address == greeting.address
            });
        drop(
            core.commands
                .send(Command::ReplacementRequested(seat, identity, place))
                .await,
        );
    }
}

/// The first disk met in a seat is written down before anything is said to it.
pub(crate) async fn pin_peer(
    core: &ReplicaHandle,
    greeting: &transport::Handshake,
) -> Result<(), String> {
    if !is_expected_disk(core, greeting) {
        return Ok(());
    }
    handle_replacement_request(core, greeting).await;
    let (seat, seats, identity) = greeting
        .replica
        .ok_or("only core seats may open this channel")?;
    if seats != core.config.replica_count || seat >= seats || seat == core.config.replica_id {
        return Err(format!(
            "seat {seat} of {seats} does not fit seat {} of {}",
            core.config.replica_id, core.config.replica_count
        ));
    }
    let pinned = core.store_writer.pin_disk(seat, identity).await;
    let held =
        pinned.map_err(|error| format!("the disk cannot keep who holds the seat: {error}"))?;
    if held != identity {
        return Err(format!(
            "seat {seat} belongs to another disk; an emptied disk may not vote as its old self"
        ));
    }
    core.commands
        .send(Command::PeerPinned(seat, identity))
        .await
        .map_err(|_| "stopping".to_string())
}

/// Carries one channel until it breaks.
pub(crate) async fn serve_peer(core: &ReplicaHandle, mut conn: transport::Connection) {
    let Some((seat, _, identity)) = conn.peer_handshake.replica else {
        return;
    };
    let token = NEXT_CONNECTION_TOKEN.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    crate::discovery::merge(&core.known_replicas, conn.peer_handshake.known_replicas);
    let begins = core
        .state_machine
        .load()
        .replica_holders
        .get(&seat)
        .filter(|(holder, _)| *holder == identity)
        .map(|(_, upto)| *upto);
    let own = (core.config.replica_id, core.disk_id);
    let pins = core
        .pinned_disks
        .load()
        .iter()
        .map(|(seat, identity)| (*seat, *identity))
        .chain([own])
        .collect();
    let word = begins
        .map(|upto| transport::Frame::VotingRange {
            votes_after: upto,
            pinned_disks: pins,
        })
        .unwrap_or(transport::Frame::FoundingReplica);
    if conn.sender.send(word).await.is_err() {
        return;
    }
    if core
        .commands
        .send(Command::PeerConnected(seat, token, conn.sender.clone()))
        .await
        .is_err()
    {
        return;
    }
    drop(conn.sender);
    // Mates beat far more often than this: silence so long is a dead channel.
    let patience = Duration::from_secs(3);
    while let Ok(Some(frame)) = tokio::time::timeout(patience, conn.receiver.recv()).await {
        let command = match frame {
            transport::Frame::Consensus(frame) => Command::PeerFrame(seat, token, frame),
            transport::Frame::VotingRange {
                votes_after: upto,
                pinned_disks: pins,
            } => Command::Admitted(upto, pins),
            transport::Frame::FoundingReplica => Command::FirstHolderConfirmed(seat),
            _ => continue,
        };
        if core.commands.send(command).await.is_err() {
            return;
        }
    }
    drop(
        core.commands
            .send(Command::PeerDisconnected(seat, token))
            .await,
    );
}
