//! Core machines in one process, over loopback: a folder, a listener and an address each.

use std::path::PathBuf;
use std::time::Duration;

pub(crate) struct Machine {
    pub folder: PathBuf,
    pub address: String,
    pub listener: tokio::net::TcpListener,
}

pub(crate) type Started = (storage::MembershipRecord, control::ReplicaHandle);

/// Only a broken run meets it.
const BOUND: Duration = Duration::from_secs(60);

/// Awaits what comes soon unless something is broken, and says what did not come.
pub(crate) async fn soon<T>(what: &str, work: impl Future<Output = T>) -> T {
    tokio::time::timeout(BOUND, work)
        .await
        .unwrap_or_else(|_| panic!("it never came: {what}"))
}

pub(crate) async fn until(what: &str, holds: impl Fn() -> bool) {
    let turns = async {
        while !holds() {
            tokio::task::yield_now().await;
        }
    };
    soon(what, turns).await;
}

impl Machine {
    pub(crate) async fn new(test: &str, number: usize) -> Machine {
        let folder =
            std::env::temp_dir().join(format!("gradeford-{test}-{number}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&folder));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        Machine {
            folder,
            address,
            listener,
        }
    }

    pub(crate) async fn all(test: &str, count: usize) -> Vec<Machine> {
        let mut machines = Vec::new();
        for number in 0..count {
            machines.push(Machine::new(test, number).await);
        }
        machines
    }

    pub(crate) fn store(&self) -> storage::RecoveredStore {
        storage::ReplicaStore::open(&self.folder).expect("a store")
    }

    pub(crate) fn founding(&self, seeds: &[String], first: bool) -> control::BootstrapConfig {
        control::BootstrapConfig {
            address: self.address.clone(),
            zone: "z0".into(),
            seeds: seeds.to_vec(),
            first_start: first,
            quiet_period: 1_500_000,
            minimum_wait: 0,
            founder_only_period: 3_000_000,
        }
    }

    pub(crate) async fn settle(
        &self,
        seeds: &[String],
        first: bool,
    ) -> (
        storage::MembershipRecord,
        storage::ReplicaStore,
        Vec<mencius::Write>,
    ) {
        let storage::RecoveredStore { mut store, writes } = self.store();
        let env = self.founding(seeds, first);
        let logger = model::logging::discard_logger();
        let settled = control::membership::bootstrap::obtain_membership(
            &env,
            &mut store,
            &self.listener,
            &logger,
        );
        let membership = soon("a replica", settled).await.expect("the disk keeps it");
        (membership, store, writes)
    }

    /// As a core machine's process does it: to its replica, and on as that replica.
    pub(crate) async fn start(
        self,
        seeds: &[String],
        first: bool,
        replace_after: model::Microseconds,
    ) -> Started {
        let (membership, store, writes) = self.settle(seeds, first).await;
        let env = self.core(seeds, Some(membership), replace_after);
        let core =
            control::ReplicaHandle::start_on(env, store, writes, model::logging::discard_logger())
                .expect("a replica");
        tokio::spawn(control::updates::server::listen(
            core.clone(),
            self.listener,
        ));
        (membership, core)
    }

    pub(crate) fn core(
        &self,
        seeds: &[String],
        membership: Option<storage::MembershipRecord>,
        replace_after: model::Microseconds,
    ) -> control::ReplicaConfig {
        control::ReplicaConfig {
            name: self.address.clone(),
            zone: "z0".into(),
            replica_id: membership
                .map(|membership| membership.replica_id)
                .unwrap_or(0),
            replica_count: membership
                .map(|membership| membership.replica_count)
                .unwrap_or(2),
            address: self.address.clone(),
            seeds: seeds.to_vec(),
            folder: self.folder.clone(),
            timing: Default::default(),
            snapshot_every_entries: 100_000,
            replace_after,
            membership,
        }
    }
}

/// A machine without a replica that asks for one.
pub(crate) fn assignment_handshake(address: &str, disk_id: u64) -> transport::Handshake {
    handshake(
        transport::Purpose::RequestAssignment,
        address,
        Some((u16::MAX, 0, disk_id)),
        Vec::new(),
    )
}

pub(crate) fn handshake(
    purpose: transport::Purpose,
    address: &str,
    core: Option<(u16, u16, u64)>,
    known: Vec<transport::KnownReplica>,
) -> transport::Handshake {
    let blank = purpose == transport::Purpose::RequestAssignment;
    transport::Handshake {
        purpose,
        node_name: address.into(),
        zone: "z0".into(),
        address: address.into(),
        incarnation: 1,
        replica: core,
        has_empty_disk: blank,
        expected_disk: None,
        known_replicas: known,
    }
}

/// One asking, and what the machine that has a replica answered.
pub(crate) async fn answer_of(machine: &str, own: transport::Handshake) -> transport::Frame {
    let mut connection = soon("a connection", transport::dial(machine, own))
        .await
        .expect("the machine is there");
    soon("an answer", connection.receiver.recv())
        .await
        .expect("an answer")
}
