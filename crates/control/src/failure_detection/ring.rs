//! The ring that determines which nodes send heartbeats to which, and the detection of nodes whose
//! heartbeats stop (design 5.10). The module does no I/O and reads no clock; the caller passes the
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;

use model::cluster_state::NodeRecord;
use model::cluster_state::endpoints::NodeRecords;
use model::endpoint_status::EndpointReport;
use model::{Incarnation, Microseconds, Node, NodeName};

#[cfg(test)]
mod tests;

/// The number of monitors of each node: the nodes that follow it on the ring of present nodes.
pub const MONITORS_PER_NODE: usize = 3;

type Nodes = BTreeMap<NodeName, Node>;

/// A monitored node, identified by its name and its current process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonitoredPeer {
    /// The name of the node.
    pub node: NodeName,
    /// The incarnation of the process of the node.
    pub incarnation: Incarnation,
}

/// The present nodes in the order of the ring, which depends only on their names.
fn ring_order<'a>(present: impl Iterator<Item = &'a NodeName>) -> Vec<&'a NodeName> {
    let mut ring: Vec<&NodeName> = present.collect();
    ring.sort_by_cached_key(|name| (model::leases::stable_hash(name), *name));
    ring
}

/// The nodes that follow `name` on the ring, and the nodes that precede it.
fn neighbours<'a>(ring: &[&'a NodeName], name: &str) -> (Vec<&'a NodeName>, Vec<&'a NodeName>) {
    let Some(index) = ring.iter().position(|other| *other == name) else {
        return (Vec::new(), Vec::new());
    };
    let steps = 1..=MONITORS_PER_NODE.min(ring.len() - 1);
    let at = |distance: usize| ring[(index + distance) % ring.len()];
    let following = steps.clone().map(at).collect();
    let preceding = steps.map(|step| at(ring.len() - step)).collect();
    (following, preceding)
}

fn present_nodes(nodes: &Nodes) -> impl Iterator<Item = &NodeName> {
    let present = nodes.iter().filter(|(_, node)| node.present);
    present.map(|(name, _)| name)
}

/// The monitors of the node `name`, to which it sends heartbeats.
pub fn monitors_of(nodes: &Nodes, name: &str) -> Vec<NodeName> {
    let ring = ring_order(present_nodes(nodes));
    let (following, _) = neighbours(&ring, name);
    following.into_iter().cloned().collect()
}

/// The nodes monitored by the node `name`, which send heartbeats to it.
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

/// The neighbours of one node on the ring of the cluster state. They are recomputed only when the
/// nodes change.
#[derive(Default)]
pub struct RingNeighbours {
    computed_from: Option<Arc<NodeRecords>>,
    /// The addresses of the monitors of the node, to which it sends heartbeats.
    pub monitor_addresses: BTreeSet<String>,
    /// The nodes that the node monitors, which send heartbeats to it.
    pub monitored_peers: BTreeSet<MonitoredPeer>,
    /// The number of times the ring was computed.
    pub rebuild_count: u64,
}

impl RingNeighbours {
    /// Recomputes the neighbours of the node `name`, unless they were computed from the same
    /// records.
    pub fn update(&mut self, nodes: &Arc<NodeRecords>, name: &str) {
        let computed_from = self.computed_from.as_ref();
        if computed_from.is_some_and(|records| Arc::ptr_eq(records, nodes)) {
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

/// When the last heartbeat of a peer arrived, and whether the peer is reported as suspected.
struct PeerContact {
    last_heartbeat_at: Microseconds,
    is_reported_suspected: bool,
}

/// Decides which monitored peers are suspected, that is, have stopped sending heartbeats.
#[derive(Default)]
pub struct FailureDetector {
    peers: BTreeMap<MonitoredPeer, PeerContact>,
    last_check_at: Microseconds,
}

impl FailureDetector {
    /// Records a heartbeat. Heartbeats of peers that are not monitored are ignored.
    pub fn heartbeat_received(&mut self, now: Microseconds, node: &str, incarnation: Incarnation) {
        let peer = MonitoredPeer {
            node: node.to_string(),
            incarnation,
        };
        if let Some(contact) = self.peers.get_mut(&peer) {
            contact.last_heartbeat_at = now;
        }
    }

    /// Does the same as [`Self::check`] for the peers that result from the nodes of the state
    /// machine.
    pub fn check_nodes(
        &mut self,
        now: Microseconds,
        nodes: &Nodes,
        name: &str,
        timeout: Microseconds,
    ) -> Vec<EndpointReport> {
        let monitored = monitored_by(nodes, name).into_iter().collect();
        self.check(now, &monitored, name, timeout)
    }

    /// Returns the reports of the observer `name`: one for each monitored peer that has sent no
    /// heartbeat for `timeout`, and one for each such peer that sends heartbeats again. The
    /// interval between calls must not exceed half of `timeout`. If more time has passed, this node
    /// itself was suspended, and every peer is given the whole timeout again.
    pub fn check(
        &mut self,
        now: Microseconds,
        monitored: &BTreeSet<MonitoredPeer>,
        name: &str,
        timeout: Microseconds,
    ) -> Vec<EndpointReport> {
        let since_last_check = now.saturating_sub(mem::replace(&mut self.last_check_at, now));
        self.update_peers(now, monitored);
        if since_last_check > timeout / 2 {
            for contact in self.peers.values_mut() {
                contact.last_heartbeat_at = now;
            }
        }
        let mut reports = Vec::new();
        for (peer, contact) in &mut self.peers {
            let suspected = now > contact.last_heartbeat_at + timeout;
            if suspected != contact.is_reported_suspected {
                contact.is_reported_suspected = suspected;
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

    /// Removes peers that are no longer monitored, and adds new ones as if a heartbeat had just
    /// arrived.
    fn update_peers(&mut self, now: Microseconds, monitored: &BTreeSet<MonitoredPeer>) {
        self.peers.retain(|peer, _| monitored.contains(peer));
        for peer in monitored {
            if !self.peers.contains_key(peer) {
                let contact = PeerContact {
                    last_heartbeat_at: now,
                    is_reported_suspected: false,
                };
                self.peers.insert(peer.clone(), contact);
            }
        }
    }
}
