//! What the log should know and does not: told again until it stands there (design 11.2).

use crate::lease_table::{Command, LeaseTableTask};
use crate::registration::RegistrationStatus;
use model::Outcome;
use model::cluster_state::ClusterReport;
use std::io::ErrorKind;
use std::time::Duration;

/// Between a report that changed nothing or was not taken and the next one.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Beats that may be missed before the back end is taken for silent.
pub(crate) const MAX_MISSED_HEARTBEATS: u64 = 3;

impl LeaseTableTask {
    /// All that differs between what is so here and what the log says, as reports.
    fn missing_reports(&self, standing: RegistrationStatus) -> Vec<ClusterReport> {
        let programme = self.verified_state.load().snapshot.clone();
        let env = &self.config;
        let replaces = if let RegistrationStatus::Unregistered { replaces } = standing {
            replaces
        } else {
            env.incarnation
        };
        let place = programme.nodes.get(&env.node).is_some_and(|held| {
            held.incarnation == env.incarnation && held.present && held.address == env.address
        });
        let node = ClusterReport::NodeRegistered {
            node: env.node.clone(),
            zone: env.zone.clone(),
            address: env.address.clone(),
            incarnation: env.incarnation,
            replaces,
        };
        let own = self
            .backend
            .iter()
            .filter(|own| !self.pending_ends.contains_key(&own.heartbeat.name))
            .flat_map(|own| {
                let (name, player) = (own.heartbeat.name.clone(), self.backend_record(own));
                let held = programme.backends.get(&name);
                let phase = held.map(|held| held.phase);
                let joined = match held {
                    None => !own.silent && !own.rejected,
                    Some(held) => held.slots != player.slots || held.node != player.node,
                };
                let joined = joined.then(|| ClusterReport::BackendJoined {
                    name: name.clone(),
                    backend: model::cluster_state::BackendRecord {
                        phase: phase.unwrap_or(model::BackendPhase::Registered),
                        ..player
                    },
                });
                let silent = (phase == Some(model::BackendPhase::Registered) && own.silent)
                    || (phase == Some(model::BackendPhase::PresumedGone) && !own.silent);
                let silent = silent.then(|| ClusterReport::BackendSilent {
                    name: name.clone(),
                    silent: own.silent,
                });
                let drains = own.draining_since.is_some()
                    && phase.map_or(!own.rejected, |phase| {
                        phase == model::BackendPhase::Registered
                    });
                let drains = drains.then_some(ClusterReport::BackendDraining { name });
                [joined, silent, drains].into_iter().flatten()
            });
        // One that signed off is told once; that its process is gone, too, once that is sure.
        let ends = self
            .pending_ends
            .iter()
            .filter(|(name, surely)| **surely || programme.backends.contains_key(*name));
        let ends = ends.map(|(name, surely)| ClusterReport::BackendEnded {
            name: name.clone(),
            process_gone: *surely,
        });
        let others = self.other_backend_reports(&programme);
        (!place)
            .then_some(node)
            .into_iter()
            .chain(self.pending_reports.clone())
            .chain(own)
            .chain(ends)
            .chain(others)
            .collect()
    }

    /// One back end to a machine: whoever else the log has beside this node is an earlier life, gone with its process,
    /// though this process never heard it. While no other is heard it is only silent.
    fn other_backend_reports(
        &self,
        programme: &model::cluster_state::StateSnapshot,
    ) -> Vec<ClusterReport> {
        // Where the log knows both, the one that beats on is the one that lives.
        let sure = |own: &&crate::lease_table::LocalBackend| {
            own.heard_repeatedly || !programme.backends.contains_key(&own.heartbeat.name)
        };
        let (own, sure) = (
            self.backend.as_ref().map(|own| own.heartbeat.name.as_str()),
            self.backend.as_ref().is_some_and(|own| sure(&own)),
        );
        let patient =
            model::now() > self.started_at + self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let here = programme.backends.iter().filter(|(name, player)| {
            player.node == self.config.node && !self.pending_ends.contains_key(*name)
        });
        here.filter(|(name, _)| own != Some(name))
            .filter_map(|(name, player)| match own {
                Some(_) => sure.then(|| ClusterReport::BackendEnded {
                    name: name.clone(),
                    process_gone: true,
                }),
                None => (patient && player.phase == model::BackendPhase::Registered).then(|| {
                    ClusterReport::BackendSilent {
                        name: name.clone(),
                        silent: true,
                    }
                }),
            })
            .collect()
    }

    /// One entry at a time; what changes meanwhile goes with the next.
    pub(crate) fn send_reports(&mut self) {
        // Before the first proof what is held here may lack what stands already.
        if self.report_in_flight || self.verified_state.load().verified_at == 0 {
            return;
        }
        let standing = self.registration.observe(
            self.verified_state
                .load()
                .snapshot
                .nodes
                .get(&self.config.node),
        );
        if standing == RegistrationStatus::Superseded {
            return self.stop_superseded();
        }
        let wanted = self.missing_reports(standing);
        if wanted.is_empty() {
            return;
        }
        self.report_in_flight = true;
        self.ended_names.extend(wanted.iter().filter_map(|wanted| {
            if let ClusterReport::BackendEnded { name, .. } = wanted {
                Some(name.clone())
            } else {
                None
            }
        }));
        let (reports, commands) = (self.reports.clone(), self.commands.clone());
        let outlook = self.verified_state.clone();
        tokio::spawn(async move {
            let outcome = reports.report(wanted.clone()).await;
            // Until the news of it is here the same would be wanted again.
            if let Some(position) = outcome.as_ref().and_then(log_position) {
                let here = async {
                    while outlook.load().snapshot.position < position {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                drop(tokio::time::timeout(Duration::from_millis(500), here).await);
            }
            if !matches!(outcome, Some(Outcome::Accepted { .. })) {
                tokio::time::sleep(REPORT_RETRY_DELAY).await;
            }
            drop(commands.send(Command::Reported(wanted, outcome)).await);
        });
    }

    /// Another process of this name was registered after this one: it tells and grants nothing more.
    fn stop_superseded(&mut self) {
        if !self.superseded.send_replace(true) {
            slog::error!(self.logger, "another process was registered under this node's name; this one serves no more"; "node" => &self.config.node);
        }
    }

    pub(crate) fn handle_report_outcome(
        &mut self,
        told: Vec<ClusterReport>,
        outcome: Option<Outcome>,
    ) {
        self.report_in_flight = false;
        match outcome {
            None => return,
            Some(Outcome::Superseded { position }) => {
                return slog::warn!(self.logger, "the log has another incarnation of this node; registers again"; "position" => position);
            }
            Some(_) => {}
        }
        // Told once more it would change nothing either.
        let unchanged = matches!(outcome, Some(Outcome::Unchanged { .. }));
        self.backend
            .iter_mut()
            .filter(|own| unchanged && told.iter().any(|told| matches!(told, ClusterReport::BackendJoined { name, .. } if *name == own.heartbeat.name)))
            .for_each(|own| own.rejected = true);
        self.pending_reports.retain(|fact| !told.contains(fact));
        self.pending_ends.retain(|name, surely| {
            let gone = told.contains(&ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *surely,
            });
            // One whose process may live is kept in mind until it is sure.
            !(gone && *surely)
        });
    }

    /// A back end that stopped beating: is its process gone? A conn refused on this machine says so.
    pub(crate) fn check_silence(&mut self) {
        let now = model::now();
        let Some(own) = self.backend.as_mut() else {
            return self.check_earlier_backend(now);
        };
        if now < own.last_heard + self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS / 2
            && !own.silent
            || own.probing
        {
            return;
        }
        if now > own.last_heard + self.config.heartbeat_interval * MAX_MISSED_HEARTBEATS {
            own.silent = true;
        }
        // Nobody renews what it holds: once that has run out it holds nothing.
        let over = own.silent
            && now
                > own.lease_expires.max(own.earlier_lease_expires) + self.config.heartbeat_interval;
        let name = own.heartbeat.name.clone();
        if over && self.pending_ends.contains_key(&name) {
            return self.handle_probe_outcome(&name, true);
        }
        if over {
            self.release_pending_ranges();
        }
        let Some(own) = self.backend.as_mut() else {
            return;
        };
        own.probing = true;
        let (address, name) = (own.heartbeat.address.clone(), own.heartbeat.name.clone());
        self.probe(address, name);
    }

    /// The log names a back end beside this node that this life of the node has not heard: it may be gone.
    fn check_earlier_backend(&mut self, now: model::Microseconds) {
        let (programme, node) = (
            self.verified_state.load().snapshot.clone(),
            &self.config.node,
        );
        let earlier = programme
            .backends
            .iter()
            .find(|(name, player)| player.node == *node && !self.pending_ends.contains_key(*name));
        let silent =
            now > self.started_at.max(self.earlier_probed_at) + self.config.heartbeat_interval * 2;
        if let Some((address, (name, _))) = self
            .config
            .backend_address
            .clone()
            .zip(earlier)
            .filter(|_| silent)
        {
            self.earlier_probed_at = now;
            self.probe(address, name.clone());
        }
    }

    fn probe(&self, address: String, name: String) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let mut refused = 0;
            for _ in 0..2 {
                let conn = tokio::time::timeout(
                    Duration::from_millis(300),
                    tokio::net::TcpStream::connect(&address),
                )
                .await;
                refused += matches!(conn, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
                    as u8;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            drop(commands.send(Command::Probed(name, refused == 2)).await);
        });
    }

    /// It may be heard again, under the same name; whoever waits for what it owes need not.
    fn release_pending_ranges(&mut self) {
        let programme = self.verified_state.load().snapshot.clone();
        let Some(own) = &self.backend else { return };
        let (service, name) = (own.heartbeat.service.clone(), own.heartbeat.name.clone());
        let rows = programme
            .placements
            .get(&service)
            .map(|held| held.1.clone())
            .unwrap_or_default();
        let owed = rows
            .iter()
            .filter(|row| row.pending_releases.iter().any(|(owing, _)| *owing == name));
        let rows: Vec<_> = owed
            .map(|row| (row.first_key, row.last_key, String::new()))
            .collect();
        let fact = ClusterReport::ShardsReleased {
            service,
            name,
            known_through: programme.position,
            ranges: rows,
        };
        let owes =
            matches!(&fact, ClusterReport::ShardsReleased { ranges, .. } if !ranges.is_empty());
        if owes && !self.pending_reports.contains(&fact) {
            self.pending_reports.push(fact);
        }
    }

    pub(crate) fn handle_probe_outcome(&mut self, name: &str, refuses: bool) {
        self.backend
            .iter_mut()
            .filter(|own| own.heartbeat.name == name)
            .for_each(|own| own.probing = false);
        if refuses {
            slog::info!(self.logger, "the back end's process is gone"; "name" => name);
            self.pending_ends.insert(name.to_string(), true);
            self.backend.take_if(|own| own.heartbeat.name == name);
        }
    }
}

/// Up to where the log had come when it gave this answer.
fn log_position(outcome: &Outcome) -> Option<model::Position> {
    match outcome {
        Outcome::Accepted { position, .. }
        | Outcome::Unchanged { position }
        | Outcome::Superseded { position } => Some(*position),
        _ => None,
    }
}
