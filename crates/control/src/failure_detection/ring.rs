//! Who sends heartbeats to whom, and who is missed (design 5.10). Pure: the caller brings the time.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;

use model::cluster_state::NodeRecord;
use model::cluster_state::endpoints::NodeRecords;
use model::endpoint_status::EndpointReport;
use model::{Incarnation, Microseconds, Node, NodeName};

#[cfg(test)]
mod tests;

/// Each node sends heartbeats to the next so many on the ring of present nodes.
pub const MONITORS_PER_NODE: usize = 3;

type Nodes = BTreeMap<NodeName, Node>;

/// A node that is monitored, as the process that it was when it was seen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonitoredPeer {
    /// The name of the node.
    pub node: NodeName,
    /// Its process.
    pub incarnation: Incarnation,
}

/// The present nodes in the order of the ring, which depends on their names alone.
fn ring_order<'a>(present: impl Iterator<Item = &'a NodeName>) -> Vec<&'a NodeName> {
    let mut ring: Vec<&NodeName> = present.collect();
    ring.sort_by_cached_key(|name| (model::leases::stable_hash(name), *name));
    ring
}

/// The nodes that follow `name` on the ring, and the nodes that precede it.
fn neighbours<'a>(ring: &[&'a NodeName], name: &str) -> (Vec<&'a NodeName>, Vec<&'a NodeName>) {
    let Some(place) = ring.iter().position(|held| *held == name) else {
        return (Vec::new(), Vec::new());
    };
    let steps = 1..=MONITORS_PER_NODE.min(ring.len() - 1);
    let at = |distance: usize| ring[(place + distance) % ring.len()];
    let following = steps.clone().map(at).collect();
    let preceding = steps.map(|step| at(ring.len() - step)).collect();
    (following, preceding)
}

fn present_nodes(nodes: &Nodes) -> impl Iterator<Item = &NodeName> {
    let present = nodes.iter().filter(|(_, node)| node.present);
    present.map(|(name, _)| name)
}

/// The nodes that `name` sends heartbeats to.
pub fn monitors_of(nodes: &Nodes, name: &str) -> Vec<NodeName> {
    let ring = ring_order(present_nodes(nodes));
    let (following, _) = neighbours(&ring, name);
    following.into_iter().cloned().collect()
}

/// The nodes that send heartbeats to `name`.
pub fn monitored_by(nodes: &Nodes, name: &str) -> Vec<MonitoredPeer> {
    let ring = ring_order(present_nodes(nodes));
    let (_, preceding) = neighbours(&ring, name);
    let peer = |name: &NodeName| {
        nodes.get(name).map(|node| MonitoredPeer {
            node: name.clone(),
            incarnation: node.incarnation,
        })
    };
    preceding.into_iter().filter_map(peer).collect()
}

/// Where one node stands on the ring of the cluster state; computed anew only when the nodes
/// changed.
#[derive(Default)]
pub struct RingPosition {
    computed_from: Option<Arc<NodeRecords>>,
    /// Addresses of the nodes it sends heartbeats to.
    pub monitor_addresses: BTreeSet<String>,
    /// The nodes that send heartbeats to it.
    pub monitored_peers: BTreeSet<MonitoredPeer>,
    /// How often the ring was computed.
    pub rebuild_count: u64,
}

impl RingPosition {
    /// Computes the position of the node `name` unless it was computed from these very records.
    pub fn update(&mut self, nodes: &Arc<NodeRecords>, name: &str) {
        let computed_from = self.computed_from.as_ref();
        if computed_from.is_some_and(|held| Arc::ptr_eq(held, nodes)) {
            return;
        }
        self.computed_from = Some(nodes.clone());
        self.rebuild_count += 1;
        let present = nodes.iter().filter(|(_, node)| node.present);
        let ring = ring_order(present.map(|(name, _)| name));
        let (following, preceding) = neighbours(&ring, name);
        let address = |name: &NodeName| nodes.get(name).map(|node| node.address.clone());
        self.monitor_addresses = following.into_iter().filter_map(address).collect();
        let peer = |name: &NodeName| nodes.get(name).map(|node| monitored_peer(name, node));
        self.monitored_peers = preceding.into_iter().filter_map(peer).collect();
    }
}

fn monitored_peer(name: &NodeName, node: &NodeRecord) -> MonitoredPeer {
    MonitoredPeer {
        node: name.clone(),
        incarnation: node.incarnation,
    }
}

/// When a peer was last heard, and whether it is reported as missing.
struct PeerContact {
    last_heard_at: Microseconds,
    reported_missing: bool,
}

/// Decides which monitored peers are missing.
#[derive(Default)]
pub struct FailureDetector {
    peers: BTreeMap<MonitoredPeer, PeerContact>,
    last_check_at: Microseconds,
}

impl FailureDetector {
    /// A heartbeat came; one of a peer that is not monitored is ignored.
    pub fn heartbeat_received(&mut self, now: Microseconds, node: &str, incarnation: Incarnation) {
        let peer = MonitoredPeer {
            node: node.to_string(),
            incarnation,
        };
        if let Some(contact) = self.peers.get_mut(&peer) {
            contact.last_heard_at = now;
        }
    }

    /// As [`Self::check`], with the peers that follow from the nodes of the state machine.
    pub fn tick(
        &mut self,
        now: Microseconds,
        nodes: &Nodes,
        name: &str,
        timeout: Microseconds,
    ) -> Vec<EndpointReport> {
        let monitored = monitored_by(nodes, name).into_iter().collect();
        self.check(now, &monitored, name, timeout)
    }

    /// Reports, as the observer `name`, each monitored peer that was not heard for `timeout`, and
    /// each that was reported so and is heard again. To be called more often than each half of
    /// `timeout`: when more time has passed it was this node that stood still, and every peer is
    /// given the whole time again.
    pub fn check(
        &mut self,
        now: Microseconds,
        monitored: &BTreeSet<MonitoredPeer>,
        name: &str,
        timeout: Microseconds,
    ) -> Vec<EndpointReport> {
        let since_last_check = now.saturating_sub(mem::replace(&mut self.last_check_at, now));
        self.monitor(now, monitored);
        if since_last_check > timeout / 2 {
            for contact in self.peers.values_mut() {
                contact.last_heard_at = now;
            }
        }
        let mut reports = Vec::new();
        for (peer, contact) in &mut self.peers {
            let suspected = now > contact.last_heard_at + timeout;
            if suspected != contact.reported_missing {
                contact.reported_missing = suspected;
                reports.push(EndpointReport::NodeObserved {
                    observer: name.to_string(),
                    node: peer.node.clone(),
                    incarnation: peer.incarnation,
                    suspected,
                });
            }
        }
        reports
    }

    /// Forgets peers that are not monitored any more, and takes new ones for heard now.
    fn monitor(&mut self, now: Microseconds, monitored: &BTreeSet<MonitoredPeer>) {
        self.peers.retain(|peer, _| monitored.contains(peer));
        for peer in monitored {
            if !self.peers.contains_key(peer) {
                let contact = PeerContact {
                    last_heard_at: now,
                    reported_missing: false,
                };
                self.peers.insert(peer.clone(), contact);
            }
        }
    }
}
