//! What one life of a node was told of the bill, and what of it the node believes (design 11.6). Pure, with the
//! time told to it.

use model::Microseconds;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Default)]
pub struct StateFollower {
    received: Arc<model::cluster_state::StateSnapshot>,
    /// When the latest proof was asked; 0 before the first.
    verified_at: Microseconds,
    /// On the conn of now: number, and when it was asked.
    pending_requests: VecDeque<(u64, Microseconds)>,
    last_request: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpdateOutcome {
    Ignored,
    Updated,
    Verified,
    /// What the conn tells does not fit what is held: it must begin anew.
    Inconsistent,
}

impl StateFollower {
    /// A new conn: no answer of an earlier one is waited for any more. Returns up to where the bill is held.
    pub fn begin_connection(&mut self) -> model::Position {
        self.pending_requests.clear();
        self.received.position
    }

    pub fn request_proof(&mut self, now: Microseconds) -> transport::Frame {
        self.last_request += 1;
        self.pending_requests.push_back((self.last_request, now));
        transport::Frame::RequestProof {
            request_id: self.last_request,
        }
    }

    /// Since when the oldest asking waits.
    pub fn oldest_pending_request(&self) -> Option<Microseconds> {
        self.pending_requests.front().map(|(_, asked)| *asked)
    }

    pub fn handle_frame(&mut self, frame: transport::Frame) -> UpdateOutcome {
        match frame {
            transport::Frame::ClusterStateUpdate {
                is_snapshot: afresh,
                from,
                to,
                deltas,
            } => {
                // Forward only: what is older than what is held is dropped, whoever brings it, however late.
                if to <= self.received.position {
                    return UpdateOutcome::Ignored;
                }
                let Some(deltas) = crate::publisher::decode_deltas(&deltas)
                    .filter(|_| afresh || from == self.received.position)
                else {
                    return UpdateOutcome::Inconsistent;
                };
                self.received = Arc::new(self.received.updated(afresh, to, deltas));
                UpdateOutcome::Updated
            }
            transport::Frame::Proof {
                request_id: number,
                position,
            } => {
                let asked = self
                    .pending_requests
                    .iter()
                    .find(|(asked, _)| *asked == number)
                    .map(|(_, at)| *at);
                self.pending_requests.retain(|(asked, _)| *asked > number);
                // News went before the proof: what is held here is what stood there.
                let Some(asked) = asked.filter(|_| position <= self.received.position) else {
                    return UpdateOutcome::Ignored;
                };
                self.verified_at = self.verified_at.max(asked);
                UpdateOutcome::Verified
            }
            _ => UpdateOutcome::Ignored,
        }
    }

    /// Believed or not.
    pub fn received(&self) -> &Arc<model::cluster_state::StateSnapshot> {
        &self.received
    }

    /// None before the first proof of this life: an earlier life may have held a newer bill than any one seat tells.
    /// A majority was asked for the proof, and every change that any seat ever told was chosen by one.
    pub fn verified(&self) -> Option<crate::VerifiedState> {
        (self.verified_at > 0).then(|| crate::VerifiedState {
            snapshot: self.received.clone(),
            verified_at: self.verified_at,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bulletin(to: model::Position) -> transport::Frame {
        let put = model::cluster_state::items::ItemPut {
            name: "s".into(),
            version: to,
            body: model::cluster_state::ItemBody::Service(model::cluster_state::Service {
                health_path: String::new(),
                max_connections: 0,
                keyed: false,
                slow_start_us: 0,
            }),
            text: String::new(),
        };
        let mut desk = crate::publisher::UpdatePublisher::default();
        drop(desk.apply(
            &("o".into(), 1, 1),
            model::cluster_state::ClusterOperation::Items(model::cluster_state::ItemCall {
                puts: vec![put],
                drops: Vec::new(),
            }),
        ));
        desk.cluster_state.position = to;
        let (sender, mut told) = tokio::sync::mpsc::channel(8);
        desk.add_follower(0, sender);
        told.try_recv().expect("a bulletin")
    }

    #[test]
    fn nothing_is_believed_before_a_proof_that_was_asked_on_this_conn_and_speaks_of_what_is_held() {
        let mut book = StateFollower::default();
        book.begin_connection();
        assert_eq!(book.handle_frame(bulletin(5)), UpdateOutcome::Updated);
        assert!(book.verified().is_none());
        book.request_proof(100);
        assert_eq!(
            book.handle_frame(transport::Frame::Proof {
                request_id: 1,
                position: 6
            }),
            UpdateOutcome::Ignored,
            "it speaks of what never came here"
        );
        book.request_proof(200);
        assert_eq!(book.begin_connection(), 5);
        assert_eq!(
            book.handle_frame(transport::Frame::Proof {
                request_id: 2,
                position: 5
            }),
            UpdateOutcome::Ignored,
            "it was asked on an earlier conn"
        );
        book.request_proof(300);
        assert_eq!(
            book.handle_frame(transport::Frame::Proof {
                request_id: 3,
                position: 5
            }),
            UpdateOutcome::Verified
        );
        let believed = book.verified().expect("proved");
        assert_eq!((believed.snapshot.position, believed.verified_at), (5, 300));
    }

    #[test]
    fn an_older_bill_that_arrives_late_is_dropped() {
        let mut book = StateFollower::default();
        book.begin_connection();
        assert_eq!(
            (
                book.handle_frame(bulletin(5)),
                book.handle_frame(bulletin(4)),
                book.handle_frame(bulletin(5))
            ),
            (
                UpdateOutcome::Updated,
                UpdateOutcome::Ignored,
                UpdateOutcome::Ignored
            )
        );
        assert_eq!(book.received().position, 5);
    }
}
