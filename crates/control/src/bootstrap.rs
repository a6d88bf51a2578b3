//! How a core machine comes to its seat: by the founding, once, or in place of one that is gone (design 12.1).

use std::collections::BTreeMap;
use std::time::Duration;

pub struct BootstrapConfig {
    /// Where mates reach this process.
    pub address: String,
    pub zone: String,
    /// Mates' addresses of the machines named at the start; at the first start the first of them founds.
    pub seeds: Vec<String>,
    /// The whole system starts for the first time.
    pub first_start: bool,
    /// The founder waits for more machines until none has come for so long.
    pub quiet_period: model::Microseconds,
    pub minimum_wait: model::Microseconds,
    /// At the first start only the founder is asked for so long; then any machine that has a seat, as the founder may
    /// be gone for good. Long enough that no seat is taken for vacant whose machine only starts slowly.
    pub founder_only_period: model::Microseconds,
}

type Candidates = BTreeMap<String, (u64, transport::FrameSender)>;

fn handshake(env: &BootstrapConfig, identity: u64) -> transport::Handshake {
    transport::Handshake {
        purpose: transport::Purpose::RequestAssignment,
        node_name: env.address.clone(),
        zone: env.zone.clone(),
        address: env.address.clone(),
        incarnation: model::incarnation::draw(),
        // No seat yet: only the disk is named.
        replica: Some((u16::MAX, 0, identity)),
        has_empty_disk: true,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

/// Returns once this disk has a seat, and has it on disk.
pub async fn obtain_membership(
    env: &BootstrapConfig,
    shelf: &mut storage::ReplicaStore,
    listener: &tokio::net::TcpListener,
    logger: &slog::Logger,
) -> Result<storage::MembershipRecord, storage::Error> {
    if let Some(charter) = shelf.membership {
        return Ok(charter);
    }
    let first = env.first_start && !shelf.retired;
    if first && env.seeds.first() == Some(&env.address) {
        return found_cluster(env, shelf, listener, logger).await;
    }
    request_membership(env, first, shelf, logger).await
}

async fn found_cluster(
    env: &BootstrapConfig,
    shelf: &mut storage::ReplicaStore,
    listener: &tokio::net::TcpListener,
    logger: &slog::Logger,
) -> Result<storage::MembershipRecord, storage::Error> {
    let (enlisted, mut enlisting) = tokio::sync::mpsc::channel(64);
    let began = model::now();
    let mut latest = began;
    let mut members: Candidates = Default::default();
    let mut conns = Vec::new();
    loop {
        let until = (latest + env.quiet_period).max(began + env.minimum_wait);
        let wait = Duration::from_micros(until.saturating_sub(model::now()));
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let (own, enlisted) = (handshake(env, shelf.disk_id), enlisted.clone());
                tokio::spawn(async move {
                    let judged = |caller: transport::Handshake| async move {
                        let fits = caller.purpose == transport::Purpose::RequestAssignment && caller.replica.is_some();
                        if fits { Ok(own) } else { Err("the core is not founded yet".into()) }
                    };
                    if let Ok(conn) = transport::accept(stream, judged).await {
                        drop(enlisted.send(conn).await);
                    }
                });
            },
            Some(conn) = enlisting.recv() => {
                let transport::Connection { peer_handshake, sender, receiver } = conn;
                let identity = peer_handshake.replica.map(|(_, _, identity)| identity).unwrap_or_default();
                if members.insert(peer_handshake.address, (identity, sender)).is_none_or(|(held, _)| held != identity) {
                    latest = model::now();
                }
                conns.push(receiver);
            },
            _ = tokio::time::sleep(wait) => break,
        }
    }
    let disks = members
        .iter()
        .map(|(address, (identity, _))| (address.clone(), *identity))
        .chain([(env.address.clone(), shelf.disk_id)]);
    let mut roster: Vec<(String, u64)> = disks.collect();
    roster.sort();
    let seats = roster.len() as u16;
    let pins: Vec<(u16, u64)> = roster
        .iter()
        .zip(0..)
        .map(|((_, identity), seat)| (seat, *identity))
        .collect();
    let seat_of = |identity: u64| {
        pins.iter()
            .find(|(_, held)| *held == identity)
            .map(|(seat, _)| *seat)
            .unwrap_or(0)
    };
    let charter = storage::MembershipRecord {
        replica_id: seat_of(shelf.disk_id),
        replica_count: seats,
        founded: true,
    };
    // On disk before anyone hears of it: a founder that starts again founds nothing else.
    shelf.record_membership(charter, &pins.iter().copied().collect())?;
    slog::info!(logger, "the core is founded"; "seats" => seats, "seat" => charter.replica_id);
    for (identity, sender) in members.into_values() {
        let word = transport::Frame::ReplicaAssignment {
            replica_id: seat_of(identity),
            replica_count: seats,
            founding: true,
            pinned_disks: pins.clone(),
        };
        drop(sender.send(word).await);
    }
    // Their conns end once all has been written.
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(500)).await;
        drop(conns);
    });
    Ok(charter)
}

async fn request_membership(
    env: &BootstrapConfig,
    first: bool,
    shelf: &mut storage::ReplicaStore,
    logger: &slog::Logger,
) -> Result<storage::MembershipRecord, storage::Error> {
    let mut turn = 0;
    let mut known: Vec<String> = Vec::new();
    let began = model::now();
    loop {
        let founder_alone = first && model::now() < began + env.founder_only_period;
        let asked: Vec<&String> = if founder_alone {
            env.seeds.iter().take(1).collect()
        } else {
            env.seeds
                .iter()
                .chain(&known)
                .filter(|address| **address != env.address)
                .collect()
        };
        if let Some(address) = asked.get(turn % asked.len().max(1)) {
            let heard = ask_for_membership(address, handshake(env, shelf.disk_id)).await;
            if let Some((word, told)) = heard {
                known = told
                    .into_iter()
                    .map(|seat| seat.address)
                    .filter(|address| !env.seeds.contains(address))
                    .collect();
                if let transport::Frame::ReplicaAssignment {
                    replica_id: seat,
                    replica_count: seats,
                    founding: founded,
                    pinned_disks: pins,
                } = word
                {
                    let charter = storage::MembershipRecord {
                        replica_id: seat,
                        replica_count: seats,
                        founded,
                    };
                    shelf.record_membership(charter, &pins.into_iter().collect())?;
                    slog::info!(logger, "has a seat"; "seat" => seat, "seats" => seats, "founded" => founded);
                    return Ok(charter);
                }
            }
        }
        turn += 1;
        tokio::time::sleep(Duration::from_millis(if founder_alone { 60 } else { 120 })).await;
    }
}

async fn ask_for_membership(
    address: &str,
    own: transport::Handshake,
) -> Option<(transport::Frame, Vec<transport::KnownReplica>)> {
    let mut conn = transport::dial(address, own).await.ok()?;
    let patience = Duration::from_secs(5);
    loop {
        if let word @ (transport::Frame::ReplicaAssignment { .. }
        | transport::Frame::NoReplicaAvailable) =
            tokio::time::timeout(patience, conn.receiver.recv())
                .await
                .ok()??
        {
            return Some((word, conn.peer_handshake.known_replicas));
        }
    }
}

/// What a seated process says to a machine that asks for a seat.
pub(crate) fn membership_answer(
    core: &crate::ReplicaHandle,
    greeting: &transport::Handshake,
) -> transport::Frame {
    let seats = core.config.replica_count;
    let Some((_, _, identity)) = greeting.replica else {
        return transport::Frame::NoReplicaAvailable;
    };
    let pins: Vec<(u16, u64)> = core
        .pinned_disks
        .load()
        .iter()
        .map(|(seat, held)| (*seat, *held))
        .chain([core.identity()])
        .collect();
    // It missed the founder's word; its disk is named and has no past.
    if let Some((seat, _)) = pins.iter().find(|(_, held)| *held == identity) {
        let founded = core
            .config
            .membership
            .is_some_and(|charter| charter.founded)
            && !core.state_machine.load().replica_holders.contains_key(seat);
        return transport::Frame::ReplicaAssignment {
            replica_id: *seat,
            replica_count: seats,
            founding: founded,
            pinned_disks: pins,
        };
    }
    let known = core.known_replicas.borrow();
    let at_home = pins.iter().find(|(seat, held)| {
        known
            .get(&(*seat, *held))
            .is_some_and(|place| place.address == greeting.address)
    });
    let vacant = core.status.load().vacant_replicas.first().copied();
    match at_home.map(|(seat, _)| *seat).or(vacant) {
        Some(seat) => transport::Frame::ReplicaAssignment {
            replica_id: seat,
            replica_count: seats,
            founding: false,
            pinned_disks: Vec::new(),
        },
        None => transport::Frame::NoReplicaAvailable,
    }
}
