//! The bill at a core seat, and its followers: each hears what changed since what it holds (design 11.3).

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// What followers that were away a moment can still be told as changes.
const MAX_HISTORY_UPDATES: usize = 512;
const MAX_HISTORY_BYTES: usize = 1_048_576;
/// From here on the whole may be shorter than what changed since.
const ALWAYS_INCREMENTAL_BYTES: usize = 16_384;
/// Between two rounds that prove something to followers.
const PROOF_ROUND_INTERVAL: model::Microseconds = 50_000;

type EncodedUpdate = (model::Position, model::Position, Vec<u8>);

struct Follower {
    position: model::Position,
    sender: transport::FrameSender,
}

/// Owned by the core seat's one owner (design 8.1).
#[derive(Default)]
pub struct UpdatePublisher {
    pub cluster_state: model::ClusterState,
    /// Applied and not yet told: from where, and what changed.
    unpublished: (model::Position, Vec<model::cluster_state::Delta>),
    history: VecDeque<EncodedUpdate>,
    followers: Vec<Follower>,
    /// All that stood at a position, as it was last told; what came since follows from the history.
    snapshot: Option<(model::Position, Vec<u8>)>,
    /// By the round that proves them, and those that wait for the next one.
    proof_rounds: BTreeMap<u64, Vec<(u64, transport::FrameSender)>>,
    waiting_requests: Vec<(u64, transport::FrameSender)>,
    /// When the latest round set out.
    last_round_at: model::Microseconds,
}

impl UpdatePublisher {
    pub fn apply(
        &mut self,
        (origin, life, sequence): &(String, u64, u64),
        act: model::cluster_state::ClusterOperation,
    ) -> model::Outcome {
        let before = self.cluster_state.position;
        let (outcome, deltas) = self.cluster_state.apply(origin, *life, *sequence, act);
        if self.unpublished.1.is_empty() {
            self.unpublished.0 = before;
        }
        self.unpublished.1.extend(deltas);
        outcome
    }

    pub fn install(&mut self, bill: model::ClusterState) {
        let (followers, asks, gathered) = (
            std::mem::take(&mut self.followers),
            std::mem::take(&mut self.proof_rounds),
            std::mem::take(&mut self.waiting_requests),
        );
        *self = UpdatePublisher {
            cluster_state: bill,
            followers,
            proof_rounds: asks,
            waiting_requests: gathered,
            last_round_at: self.last_round_at,
            ..Default::default()
        };
        self.send_updates();
    }

    pub fn items(&self) -> model::cluster_state::items::Items {
        self.cluster_state
            .items
            .iter()
            .filter(|(_, item)| item.body.is_some())
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect()
    }

    pub fn add_follower(&mut self, held: model::Position, sender: transport::FrameSender) {
        self.followers.push(Follower {
            position: held,
            sender,
        });
        self.publish();
        self.send_updates();
    }

    pub fn request_proof(&mut self, number: u64, sender: transport::FrameSender) {
        self.waiting_requests.push((number, sender));
    }

    /// Whether a round sets out now: at once after a pause, else for all that asked meanwhile (design 11.7).
    pub fn begin_proof_round(&mut self, now: model::Microseconds, token: u64) -> bool {
        if self.waiting_requests.is_empty() || now < self.last_round_at + PROOF_ROUND_INTERVAL {
            return false;
        }
        self.last_round_at = now;
        self.proof_rounds
            .retain(|_, asks| asks.iter().any(|(_, sender)| !sender.is_closed()));
        self.proof_rounds
            .insert(token, std::mem::take(&mut self.waiting_requests));
        true
    }

    pub fn has_open_rounds(&self) -> bool {
        !self.proof_rounds.is_empty()
    }

    /// On the channel that the news took before it. A channel that is full has lost its follower anyway.
    pub fn send_proofs(&mut self, token: u64) {
        self.proof_rounds
            .remove(&token)
            .into_iter()
            .flatten()
            .for_each(|(number, sender)| {
                drop(sender.try_send(transport::Frame::Proof {
                    request_id: number,
                    position: self.cluster_state.position,
                }));
            });
    }

    /// All that was applied since the last time leaves as one piece.
    pub fn publish(&mut self) {
        let (from, deltas) = std::mem::take(&mut self.unpublished);
        if deltas.is_empty() {
            return;
        }
        self.history
            .push_back((from, self.cluster_state.position, encode_deltas(deltas)));
        while self.history.len() > MAX_HISTORY_UPDATES
            || self
                .history
                .iter()
                .map(|(_, _, news)| news.len())
                .sum::<usize>()
                > MAX_HISTORY_BYTES
        {
            self.history.pop_front();
        }
        self.send_updates();
    }

    fn send_updates(&mut self) {
        let position = self.cluster_state.position;
        // A seat that lags behind a follower tells it nothing until it has caught up.
        let (bill, history) = (&self.cluster_state, &self.history);
        let whole = &mut self.snapshot;
        self.followers.retain_mut(|follower| {
            if follower.position >= position {
                return !follower.sender.is_closed();
            }
            let since = |held: model::Position| {
                history
                    .iter()
                    .position(|(from, ..)| *from == held)
                    .or((held == position).then_some(history.len()))
            };
            let changes = |at: usize| {
                let news = history.iter().skip(at);
                news.map(|(from, to, news)| transport::Frame::ClusterStateUpdate {
                    is_snapshot: false,
                    from: *from,
                    to: *to,
                    deltas: news.clone(),
                })
            };
            let later = |first: usize| {
                history
                    .iter()
                    .skip(first)
                    .map(|(.., news)| news.len())
                    .sum::<usize>()
            };
            let known = since(follower.position).map(|at| (at, later(at)));
            let frames: Vec<transport::Frame> =
                match known.filter(|(_, length)| *length <= ALWAYS_INCREMENTAL_BYTES) {
                    Some((at, _)) => changes(at).collect(),
                    None => {
                        let kept = whole
                            .as_ref()
                            .and_then(|(at, deltas)| since(*at).map(|first| (first, deltas.len())));
                        let first = kept
                            .filter(|(first, length)| later(*first) < *length)
                            .map(|(first, _)| first);
                        if first.is_none() {
                            *whole = Some((position, encode_deltas(bill.full_deltas())));
                        }
                        let first = first.unwrap_or(history.len());
                        let length = whole
                            .as_ref()
                            .map(|(_, deltas)| deltas.len())
                            .unwrap_or_default()
                            + later(first);
                        match known.filter(|(_, changed)| *changed <= length) {
                            Some((at, _)) => changes(at).collect(),
                            None => {
                                let (to, deltas) = whole.clone().unwrap_or_default();
                                let told = transport::Frame::ClusterStateUpdate {
                                    is_snapshot: true,
                                    from: 0,
                                    to,
                                    deltas,
                                };
                                std::iter::once(told).chain(changes(first)).collect()
                            }
                        }
                    }
                };
            follower.position = position;
            frames
                .into_iter()
                .all(|frame| follower.sender.try_send(frame).is_ok())
        });
    }
}

fn encode_deltas(deltas: Vec<model::cluster_state::Delta>) -> Vec<u8> {
    model::compression::compress(
        rkyv::to_bytes::<rkyv::rancor::Error>(&deltas)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default(),
    )
}

/// Changes as a follower reads them; none that do not hold together.
pub(crate) fn decode_deltas(bytes: &[u8]) -> Option<Vec<model::cluster_state::Delta>> {
    let bytes = model::compression::decompress(bytes).ok()?;
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    rkyv::from_bytes::<Vec<model::cluster_state::Delta>, rkyv::rancor::Error>(&aligned).ok()
}

/// Book and bill as one state of the log.
pub(crate) fn encode_state(book: &model::StateMachine, bill: &model::ClusterState) -> Vec<u8> {
    let (book, bill) = (book.to_bytes(), bill.to_bytes());
    model::compression::compress([&(book.len() as u64).to_be_bytes()[..], &book, &bill].concat())
}

pub(crate) fn decode_state(state: &[u8]) -> Option<(model::StateMachine, model::ClusterState)> {
    let state = model::compression::decompress(state).ok()?;
    let (length, rest) = state.split_at_checked(8)?;
    let length = u64::from_be_bytes(length.try_into().ok()?) as usize;
    let (book, bill) = rest.split_at_checked(length)?;
    Some((
        model::StateMachine::from_bytes(book).ok()?,
        model::ClusterState::from_bytes(bill).ok()?,
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(desk: &mut UpdatePublisher, turn: u64, text: &str) {
        let body = model::cluster_state::ItemBody::Service(model::cluster_state::Service {
            health_path: text.into(),
            max_connections: 0,
            keyed: false,
            slow_start_us: 0,
        });
        let put = model::cluster_state::items::ItemPut {
            name: format!("s{}", turn % 10),
            version: turn,
            body,
            text: String::new(),
        };
        let act = model::cluster_state::ClusterOperation::Items(model::cluster_state::ItemCall {
            puts: vec![put],
            drops: Vec::new(),
        });
        assert!(matches!(
            desk.apply(&("operator".into(), 1, turn), act),
            model::Outcome::Accepted { .. }
        ));
        desk.publish();
    }

    type Told = (usize, usize, model::cluster_state::StateSnapshot);

    /// Frames and bytes, and what the follower holds then.
    fn told(desk: &mut UpdatePublisher, held: model::cluster_state::StateSnapshot) -> Told {
        let (sender, mut frames) = tokio::sync::mpsc::channel(1_024);
        desk.add_follower(held.position, sender);
        std::iter::from_fn(|| frames.try_recv().ok()).fold(
            (0, 0, held),
            |(count, length, held), frame| {
                let transport::Frame::ClusterStateUpdate {
                    is_snapshot: afresh,
                    from,
                    to,
                    deltas: news,
                } = frame
                else {
                    unreachable!()
                };
                assert!(afresh || from == held.position);
                (
                    count + 1,
                    length + news.len(),
                    held.updated(afresh, to, decode_deltas(&news).expect("news")),
                )
            },
        )
    }

    #[test]
    fn the_shorter_of_history_and_whole_goes() {
        let mut desk = UpdatePublisher::default();
        (1..=20).for_each(|turn| change(&mut desk, turn, "/healthz"));
        let early = told(&mut desk, Default::default());
        assert_eq!(early.0, 20, "a short history goes as it is");
        let noise: String = (0..40)
            .map(|part| format!("{:x}", model::leases::stable_hash(&format!("{part}"))))
            .collect();
        (21..=500).for_each(|turn| change(&mut desk, turn, &noise[turn as usize..]));
        let whole = encode_deltas(desk.cluster_state.full_deltas()).len();
        let held = model::cluster_state::StateSnapshot::default().updated(
            true,
            desk.cluster_state.position,
            desk.cluster_state.full_deltas(),
        );
        let anew = told(&mut desk, Default::default());
        assert!(
            anew.0 == 1 && anew.1 <= whole,
            "{} frames, {} bytes instead of {whole}",
            anew.0,
            anew.1
        );
        let behind = told(&mut desk, early.2);
        assert!(
            behind.1 <= whole,
            "one that was away long, too: {} bytes",
            behind.1
        );
        (501..=503).for_each(|turn| change(&mut desk, turn, "/healthz"));
        let near = told(&mut desk, anew.2);
        assert!(
            near.0 == 3 && near.1 < 1_000,
            "one that was away a moment hears what changed: {} frames, {} bytes",
            near.0,
            near.1
        );
        assert_eq!(behind.2, held);
        assert_eq!(near.2, told(&mut desk, Default::default()).2);
    }

    #[test]
    fn one_round_proves_all_that_ask_within_a_short_time() {
        let mut desk = UpdatePublisher::default();
        let (sender, mut proofs) = tokio::sync::mpsc::channel(1_024);
        let mut rounds = Vec::new();
        // Two hundred followers, each asks once a second; the owner looks at each ask and each tick.
        (0..1_000_000u64).step_by(5_000).for_each(|now| {
            let asked_at = 10_000_000 + now;
            desk.request_proof(asked_at, sender.clone());
            if desk.begin_proof_round(asked_at, rounds.len() as u64) {
                rounds.push(asked_at);
            }
        });
        assert_eq!(rounds[0], 10_000_000, "after a pause at once");
        assert_eq!(rounds.len(), 20, "rounds for 200 asks");
        assert!(
            desk.begin_proof_round(12_000_000, rounds.len() as u64),
            "the last ones need no further ask"
        );
        // A proof speaks only for what was asked before its round set out.
        let proved: Vec<Vec<u64>> = (0..=rounds.len() as u64)
            .map(|token| {
                desk.send_proofs(token);
                std::iter::from_fn(|| proofs.try_recv().ok())
                    .map(|frame| {
                        if let transport::Frame::Proof {
                            request_id: number, ..
                        } = frame
                        {
                            number
                        } else {
                            0
                        }
                    })
                    .collect()
            })
            .collect();
        assert_eq!(proved.iter().map(Vec::len).sum::<usize>(), 200);
        assert!(proved.iter().zip(&rounds).all(|(asked, at)| {
            asked
                .iter()
                .all(|asked| asked <= at && at - asked <= PROOF_ROUND_INTERVAL)
        }));
    }
}
