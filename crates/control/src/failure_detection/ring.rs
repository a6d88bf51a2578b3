//! The ring of nodes, which determines the monitors to which each node sends heartbeats, and the
//! detection of nodes whose heartbeats stop (design 5.10). The module does no I/O and reads no
//! clock; the caller passes the time.
//!
//! Nodes are recorded in two states, with the same ring: [`Node`] is the record of the older state
//! machine, [`NodeRecord`] that of the cluster state. A node is *present* unless it has left or is
//! presumed gone.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::Arc;

use model::cluster_state::NodeRecord;
use model::cluster_state::endpoints::NodeRecords;
use model::endpoint_status::EndpointReport;
use model::{Incarnation, Microseconds, Node, NodeName};

#[cfg(test)]
mod tests;

/// The number of monitors of each node. They are the next nodes after it on the ring of present
/// nodes.
pub const MONITORS_PER_NODE: usize = 3;

/// The nodes of the older state machine.
type Nodes = BTreeMap<NodeName, Node>;

/// One process of a monitored node. A restarted node is a different peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MonitoredPeer {
    /// The name of the node.
    pub node: NodeName,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// The given present nodes in the order of the ring, which depends only on their names.
fn ring_order<'a>(present: impl Iterator<Item = &'a NodeName>) -> Vec<&'a NodeName> {
    let mut ring: Vec<&NodeName> = present.collect();
    ring.sort_by_cached_key(|name| (model::leases::stable_hash(name), *name));
    ring
}

/// The nodes that follow the node `name` on the ring, and those that precede it: in each direction
/// at most [`MONITORS_PER_NODE`], the nearest first. Both are empty if the node is not on the ring.
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

/// The neighbours of one node on the ring, computed from the cluster state and recomputed only when
/// its node records change.
#[derive(Default)]
pub struct RingNeighbours {
    /// The node records from which the neighbours were computed.
    computed_from: Option<Arc<NodeRecords>>,
    /// The addresses of the monitors of the node, to which it sends heartbeats.
    pub monitor_addresses: BTreeSet<String>,
    /// The nodes that the node monitors, which send heartbeats to it.
    pub monitored_peers: BTreeSet<MonitoredPeer>,
    /// The number of times the neighbours were computed.
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

/// The record of a monitored peer.
struct PeerContact {
    /// The time of the last heartbeat, in microseconds. Until the first one, the time when the
    /// monitoring began.
    last_heartbeat_at: Microseconds,
    /// Whether the last report about the peer said that it is suspected.
    is_reported_suspected: bool,
}

/// Decides which monitored peers are suspected, that is, have stopped sending heartbeats.
#[derive(Default)]
pub struct FailureDetector {
    peers: BTreeMap<MonitoredPeer, PeerContact>,
    /// The time of the last call of [`Self::check`], in microseconds.
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

    /// Like [`Self::check`], but determines the monitored peers from the nodes of the older state
    /// machine.
    pub fn check_nodes(
        &mut self,
        now: Microseconds,
        nodes: &Nodes,
        observer: &str,
        timeout: Microseconds,
    ) -> Vec<EndpointReport> {
        let monitored = monitored_by(nodes, observer).into_iter().collect();
        self.check(now, &monitored, observer, timeout)
    }

    /// Returns the reports of the node `observer`: one for each monitored peer that has sent no
    /// heartbeat for more than `timeout` microseconds, and one for each suspected peer that sends
    /// heartbeats again. The caller must call this at least once per half of `timeout`. If more time
    /// has passed since the last call, this node itself is taken to have been suspended, and every
    /// peer is given the whole timeout again.
    pub fn check(
        &mut self,
        now: Microseconds,
        monitored: &BTreeSet<MonitoredPeer>,
        observer: &str,
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
                    observer: observer.to_string(),
                    node: peer.node.clone(),
                    incarnation: peer.incarnation,
                    suspected,
                });
            }
        }
        reports
    }

    /// Removes peers that are no longer monitored. Adds new ones as if their heartbeats had just
    /// arrived, so that they get the whole timeout for their first heartbeat.
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
