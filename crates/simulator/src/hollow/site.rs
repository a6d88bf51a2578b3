//! The state of a run: its replicas, its nodes, and whether the log agrees with the nodes that are running.

use super::node::{NodeSetup, StandInNode};
use super::{NodeParts, Plan};
use model::cluster_state::ClusterReport;
use std::collections::HashSet;
use std::sync::Arc;

/// A running fleet of stand-in nodes with its replicas.
pub(super) struct Site {
    pub plan: Arc<Plan>,
    pub replicas: super::seats::Replicas,
    pub nodes: Vec<Option<StandInNode>>,
    pub counting_follower: super::witness::CountingFollower,
    pub node_setup: NodeSetup,
    last_incarnation: u64,
}

impl Site {
    pub(super) async fn start(
        plan: Plan,
        links: Option<super::NetworkLinks>,
    ) -> Result<Site, String> {
        let replicas = super::seats::start(&plan, links.as_ref()).await?;
        let plan = Arc::new(plan);
        let known_replicas = replicas.known_replicas(&plan);
        let counting_follower =
            super::witness::CountingFollower::start(plan.clone(), known_replicas.clone());
        let node_setup = NodeSetup {
            plan: plan.clone(),
            replica_addresses: replicas.addresses.clone(),
            links,
            known_replicas,
        };
        let outcome = replicas.handles[0].change_items(plan.initial_items()).await;
        if !matches!(outcome, Some(model::Outcome::Accepted { .. })) {
            return Err(format!("the initial items were not accepted: {outcome:?}"));
        }
        Ok(Site {
            nodes: (0..plan.nodes).map(|_| None).collect(),
            plan,
            replicas,
            counting_follower,
            node_setup,
            last_incarnation: 1,
        })
    }

    /// Starts the node of this index under a new incarnation.
    pub(super) fn start_node(&mut self, index: usize) -> Result<(), String> {
        self.last_incarnation += 1;
        self.nodes[index] = Some(super::node::start(
            &self.node_setup,
            index,
            self.last_incarnation,
        )?);
        Ok(())
    }

    /// Returns the nodes that run.
    pub(super) fn running_nodes(&self) -> impl Iterator<Item = &StandInNode> {
        self.nodes.iter().flatten()
    }

    /// Writes the records that the parts left out would have reported (nodes, backends and shard ranges), so that
    /// the log holds what it would hold with full nodes.
    pub(super) async fn write_stand_in_records(&self) -> Result<(), String> {
        let (plan, submit) = (
            &self.plan,
            async |sequence: u64, reports: Vec<ClusterReport>| {
                let operation = model::Operation::ClusterState(
                    model::cluster_state::ClusterOperation::Reports(reports),
                );
                let entry = model::Entry {
                    origin: "made-up".into(),
                    incarnation: 1,
                    sequence,
                    operation,
                };
                self.replicas.handles[0]
                    .submit(entry)
                    .await
                    .ok_or("the records of the stand-in nodes were not accepted")
            },
        );
        let address = "127.0.0.1:65535".to_string();
        let node = |index: usize| ClusterReport::NodeRegistered {
            node: format!("n{index}"),
            zone: plan.zone(index),
            address: address.clone(),
            incarnation: 1,
            replaces: 0,
        };
        let backend = |index: usize| {
            let phase = model::BackendPhase::Registered;
            let record = model::cluster_state::BackendRecord {
                service: plan.service(index),
                zone: plan.zone(index),
                node: format!("n{index}"),
                slots: 8,
                phase,
                changed_at: 0,
            };
            ClusterReport::BackendJoined {
                name: super::node::backend_name(index, 1),
                backend: record,
            }
        };
        if plan.parts == NodeParts::Follower {
            submit(
                1,
                (0..plan.nodes)
                    .flat_map(|index| [node(index), backend(index)])
                    .collect(),
            )
            .await?;
        } else {
            self.wait_for_nodes().await?;
        }
        let snapshot = self.counting_follower.snapshot();
        let assignments = (0..plan.services)
            .filter(|service| plan.keyed(*service))
            .map(|service| {
                let available = snapshot.available_backends(&format!("s{service}"));
                let names = available.iter().map(|backend| backend.name.clone());
                let capacities: Vec<endpoints::BackendCapacity> = match plan.parts {
                    NodeParts::Follower => (service..plan.nodes)
                        .step_by(plan.services)
                        .map(|index| (super::node::backend_name(index, 1), 8.0))
                        .collect(),
                    _ => names.map(|name| (name, 8.0)).collect(),
                };
                ClusterReport::ShardsReassigned {
                    service: format!("s{service}"),
                    base_placement: 0,
                    ranges: endpoints::rebalance(
                        &model::cluster_state::shard_map::unassigned(),
                        &[],
                        &capacities,
                        0.0,
                    ),
                }
            });
        submit(2, assignments.collect()).await?;
        Ok(())
    }

    /// Waits until the log holds every running node with its backend.
    async fn wait_for_nodes(&self) -> Result<model::Microseconds, String> {
        super::wait_until("the log holds every running node", || {
            self.missing_node().is_none()
        })
        .await
    }

    /// Describes the first running node that the log does not hold, or whose backend it does not hold.
    fn missing_node(&self) -> Option<String> {
        let snapshot = self.counting_follower.snapshot();
        let is_registered = |node: &&StandInNode| {
            let node_present = snapshot
                .nodes
                .get(&format!("n{}", node.index))
                .is_some_and(|record| record.present && record.incarnation == node.incarnation);
            node_present
                && snapshot
                    .backends
                    .get(&node.backend_name)
                    .is_some_and(|backend| backend.phase == model::BackendPhase::Registered)
        };
        let synthetic = self.plan.parts == NodeParts::Follower;
        self.running_nodes()
            .find(|node| !synthetic && !is_registered(node))
            .map(|node| format!("the log does not hold n{} with its backend", node.index))
    }

    /// Describes the first thing that is not settled yet: a node missing in the log, a shard range without a holder
    /// or with a pending release, or a follower behind the log. None once all is settled.
    pub(super) fn first_unsettled(&self) -> Option<String> {
        let snapshot = self.counting_follower.snapshot();
        let unsettled_service = || {
            let keyed = (0..self.plan.services)
                .filter(|service| self.plan.keyed(*service))
                .map(|service| format!("s{service}"));
            keyed.into_iter().find_map(|service| {
                let available = snapshot.available_backends(&service);
                let is_held = |row: &model::cluster_state::ShardRange| {
                    row.holder.as_ref().is_some_and(|holder| {
                        available.iter().any(|backend| backend.name == *holder)
                    })
                };
                let rows = snapshot
                    .placements
                    .get(&service)
                    .map(|placement| &placement.1);
                let is_settled = available.is_empty()
                    || rows.is_some_and(|rows| {
                        rows.iter()
                            .all(|row| is_held(row) && row.pending_releases.is_empty())
                    });
                (!is_settled).then(|| {
                    format!("{service} has shard ranges without a holder or with a pending release")
                })
            })
        };
        let is_behind = |node: &&StandInNode| {
            let verified = node.follower.verified_state.load();
            verified.verified_at == 0 || verified.snapshot.position < snapshot.position
        };
        self.missing_node().or_else(unsettled_service).or_else(|| {
            self.running_nodes()
                .find(is_behind)
                .map(|node| format!("n{} has not verified the latest log position", node.index))
        })
    }

    /// Waits until all is settled and returns the time waited, in microseconds.
    pub(super) async fn wait_until_settled(
        &self,
        description: &str,
    ) -> Result<model::Microseconds, String> {
        let waited = super::wait_until(description, || self.first_unsettled().is_none()).await;
        waited.map_err(|error| format!("{error}: {}", self.first_unsettled().unwrap_or_default()))
    }

    /// Counts the backends that the log gives work to although they no longer run.
    pub(super) fn stale_backends(&self) -> usize {
        let snapshot = self.counting_follower.snapshot();
        let running: HashSet<&String> = self
            .running_nodes()
            .map(|node| &node.backend_name)
            .collect();
        let working = snapshot
            .backends
            .iter()
            .filter(|(_, backend)| snapshot.accepts_work(backend));
        if self.plan.parts == NodeParts::Follower {
            0
        } else {
            working.filter(|(name, _)| !running.contains(name)).count()
        }
    }
}
