//! A hollow site while it is played: its seats, its nodes, and whether all that is there stands in the log.

use super::node::{Hollow, Making};
use super::{Parts, Plan};
use model::cluster_state::ClusterReport;
use std::collections::HashSet;
use std::sync::Arc;

pub(super) struct Site {
    pub plan: Arc<Plan>,
    pub seats: super::seats::Seats,
    pub nodes: Vec<Option<Hollow>>,
    pub witness: super::witness::Witness,
    pub making: Making,
    lives: u64,
}

impl Site {
    pub(super) async fn start(plan: Plan, links: Option<super::Linked>) -> Result<Site, String> {
        let seats = super::seats::start(&plan, links.as_ref()).await?;
        let plan = Arc::new(plan);
        let known = seats.known(&plan);
        let witness = super::witness::Witness::start(plan.clone(), known.clone());
        let making = Making {
            plan: plan.clone(),
            places: seats.places.clone(),
            links,
            known,
        };
        let written = seats.cores[0].change_items(plan.first_call()).await;
        if !matches!(written, Some(model::Outcome::Accepted { .. })) {
            return Err(format!("the first items were not taken: {written:?}"));
        }
        Ok(Site {
            nodes: (0..plan.nodes).map(|_| None).collect(),
            plan,
            seats,
            witness,
            making,
            lives: 1,
        })
    }

    pub(super) fn start_node(&mut self, at: usize) -> Result<(), String> {
        self.lives += 1;
        self.nodes[at] = Some(super::node::start(&self.making, at, self.lives)?);
        Ok(())
    }

    pub(super) fn live(&self) -> impl Iterator<Item = &Hollow> {
        self.nodes.iter().flatten()
    }

    /// Nodes, back ends and keys that no node tells of: made up, so that the log says what it otherwise would.
    pub(super) async fn make_up(&self) -> Result<(), String> {
        let (plan, put) = (
            &self.plan,
            async |sequence: u64, reports: Vec<ClusterReport>| {
                let act = model::Operation::ClusterState(
                    model::cluster_state::ClusterOperation::Reports(reports),
                );
                let entry = model::Entry {
                    origin: "made-up".into(),
                    incarnation: 1,
                    sequence,
                    operation: act,
                };
                self.seats.cores[0]
                    .submit(entry)
                    .await
                    .ok_or("the made-up cast was not taken")
            },
        );
        let address = "127.0.0.1:65535".to_string();
        let node = |at: usize| ClusterReport::NodeRegistered {
            node: format!("n{at}"),
            zone: plan.zone(at),
            address: address.clone(),
            incarnation: 1,
            replaces: 0,
        };
        let player = |at: usize| {
            let phase = model::BackendPhase::Registered;
            let player = model::cluster_state::BackendRecord {
                service: plan.service(at),
                zone: plan.zone(at),
                node: format!("n{at}"),
                slots: 8,
                phase,
                changed_at: 0,
            };
            ClusterReport::BackendJoined {
                name: super::node::back_end(at, 1),
                backend: player,
            }
        };
        if plan.parts == Parts::Following {
            put(
                1,
                (0..plan.nodes)
                    .flat_map(|at| [node(at), player(at)])
                    .collect(),
            )
            .await?;
        } else {
            self.nodes_stand().await?;
        }
        let programme = self.witness.programme();
        let recasts = (0..plan.services)
            .filter(|service| plan.keyed(*service))
            .map(|service| {
                let live = programme.available_backends(&format!("s{service}"));
                let known = live.iter().map(|one| one.name.clone());
                let parts: Vec<endpoints::BackendCapacity> = match plan.parts {
                    Parts::Following => (service..plan.nodes)
                        .step_by(plan.services)
                        .map(|at| (super::node::back_end(at, 1), 8.0))
                        .collect(),
                    _ => known.map(|name| (name, 8.0)).collect(),
                };
                ClusterReport::ShardsReassigned {
                    service: format!("s{service}"),
                    base_placement: 0,
                    ranges: endpoints::rebalance(
                        &model::cluster_state::shard_map::unassigned(),
                        &[],
                        &parts,
                        0.0,
                    ),
                }
            });
        put(2, recasts.collect()).await?;
        Ok(())
    }

    /// Every node that is there stands in the log with its back end.
    async fn nodes_stand(&self) -> Result<model::Microseconds, String> {
        super::until("every node stands in the log", || self.missing().is_none()).await
    }

    fn missing(&self) -> Option<String> {
        let programme = self.witness.programme();
        let stands = |held: &&Hollow| {
            let here = programme
                .nodes
                .get(&format!("n{}", held.at))
                .is_some_and(|place| place.present && place.incarnation == held.life);
            here && programme
                .backends
                .get(&held.back_end)
                .is_some_and(|player| player.phase == model::BackendPhase::Registered)
        };
        let made_up = self.plan.parts == Parts::Following;
        self.live()
            .find(|held| !made_up && !stands(held))
            .map(|held| format!("n{} does not stand in the log", held.at))
    }

    /// Why not all is in order yet: somebody missing, keys without a holder or still owed, news under way.
    pub(super) fn unsettled(&self) -> Option<String> {
        let programme = self.witness.programme();
        let open = || {
            let keyed = (0..self.plan.services)
                .filter(|service| self.plan.keyed(*service))
                .map(|service| format!("s{service}"));
            keyed.into_iter().find_map(|service| {
                let cast = programme.available_backends(&service);
                let held = |row: &model::cluster_state::ShardRange| {
                    row.holder
                        .as_ref()
                        .is_some_and(|holder| cast.iter().any(|one| one.name == *holder))
                };
                let rows = programme.placements.get(&service).map(|held| &held.1);
                let fine = cast.is_empty()
                    || rows.is_some_and(|rows| {
                        rows.iter()
                            .all(|row| held(row) && row.pending_releases.is_empty())
                    });
                (!fine).then(|| format!("keys of {service} are under way"))
            })
        };
        let behind = |held: &&Hollow| {
            let outlook = held.following.verified_state.load();
            outlook.verified_at == 0 || outlook.snapshot.position < programme.position
        };
        self.missing().or_else(open).or_else(|| {
            self.live()
                .find(behind)
                .map(|held| format!("n{} is behind", held.at))
        })
    }

    pub(super) async fn settled(&self, what: &str) -> Result<model::Microseconds, String> {
        let waited = super::until(what, || self.unsettled().is_none()).await;
        waited.map_err(|told| format!("{told}: {}", self.unsettled().unwrap_or_default()))
    }

    /// Back ends in the log that beat nowhere any more, beside nodes that are there.
    pub(super) fn ghosts(&self) -> usize {
        let programme = self.witness.programme();
        let lives: HashSet<&String> = self.live().map(|held| &held.back_end).collect();
        let working = programme
            .backends
            .iter()
            .filter(|(_, player)| programme.accepts_work(player));
        if self.plan.parts == Parts::Following {
            0
        } else {
            working.filter(|(name, _)| !lives.contains(name)).count()
        }
    }
}
