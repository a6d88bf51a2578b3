//! The bill at a core seat, and its followers: each hears what changed since what it holds (design 11.3).

/// What followers that were away a moment can still be told as changes.
const HISTORY: usize = 512;
const HISTORY_BYTES: usize = 1_048_576;
/// From here on the whole may be shorter than what changed since.
const LITTLE: usize = 16_384;
/// Between two rounds that prove something to followers.
const ROUND: model::Micros = 50_000;

type News = (model::Position, model::Position, Vec<u8>);

struct Follower {
    held: model::Position,
    sender: transport::Sender,
}

/// Owned by the core seat's one owner (design 8.1).
#[derive(Default)]
pub struct Desk {
    pub bill: model::Bill,
    /// Applied and not yet told: from where, and what changed.
    fresh: (model::Position, Vec<model::bill::Delta>),
    history: std::collections::VecDeque<News>,
    followers: Vec<Follower>,
    /// All that stood at a position, as it was last told; what came since follows from the history.
    whole: Option<(model::Position, Vec<u8>)>,
    /// By the round that proves them, and those that wait for the next one.
    asks: std::collections::BTreeMap<u64, Vec<(u64, transport::Sender)>>,
    gathered: Vec<(u64, transport::Sender)>,
    /// When the latest round set out.
    round_at: model::Micros,
}

impl Desk {
    pub fn apply(&mut self, (origin, life, sequence): &(String, u64, u64), act: model::bill::Act) -> model::Outcome {
        let before = self.bill.position;
        let (outcome, deltas) = self.bill.apply(origin, *life, *sequence, act);
        if self.fresh.1.is_empty() {
            self.fresh.0 = before;
        }
        self.fresh.1.extend(deltas);
        outcome
    }

    pub fn install(&mut self, bill: model::Bill) {
        let (followers, asks, gathered) = (std::mem::take(&mut self.followers), std::mem::take(&mut self.asks), std::mem::take(&mut self.gathered));
        *self = Desk { bill, followers, asks, gathered, round_at: self.round_at, ..Default::default() };
        self.tell();
    }

    pub fn items(&self) -> model::bill::items::Items {
        self.bill.items.iter().filter(|(_, item)| item.body.is_some()).map(|(key, item)| (key.clone(), item.clone())).collect()
    }

    pub fn follow(&mut self, held: model::Position, sender: transport::Sender) {
        self.followers.push(Follower { held, sender });
        self.publish();
        self.tell();
    }

    pub fn asked(&mut self, number: u64, sender: transport::Sender) {
        self.gathered.push((number, sender));
    }

    /// Whether a round sets out now: at once after a pause, else for all that asked meanwhile (design 11.7).
    pub fn round(&mut self, now: model::Micros, token: u64) -> bool {
        if self.gathered.is_empty() || now < self.round_at + ROUND {
            return false;
        }
        self.round_at = now;
        self.asks.retain(|_, asks| asks.iter().any(|(_, sender)| !sender.is_closed()));
        self.asks.insert(token, std::mem::take(&mut self.gathered));
        true
    }

    pub fn waits(&self) -> bool {
        !self.asks.is_empty()
    }

    /// On the channel that the news took before it. A channel that is full has lost its follower anyway.
    pub fn proved(&mut self, token: u64) {
        self.asks.remove(&token).into_iter().flatten().for_each(|(number, sender)| {
            drop(sender.try_send(transport::Frame::Proof { number, position: self.bill.position }));
        });
    }

    /// All that was applied since the last time leaves as one piece.
    pub fn publish(&mut self) {
        let (from, deltas) = std::mem::take(&mut self.fresh);
        if deltas.is_empty() {
            return;
        }
        self.history.push_back((from, self.bill.position, bytes(deltas)));
        while self.history.len() > HISTORY || self.history.iter().map(|(_, _, news)| news.len()).sum::<usize>() > HISTORY_BYTES {
            self.history.pop_front();
        }
        self.tell();
    }

    fn tell(&mut self) {
        let position = self.bill.position;
        // A seat that lags behind a follower tells it nothing until it has caught up.
        let (bill, history) = (&self.bill, &self.history);
        let whole = &mut self.whole;
        self.followers.retain_mut(|follower| {
            if follower.held >= position {
                return !follower.sender.is_closed();
            }
            let since = |held: model::Position| history.iter().position(|(from, ..)| *from == held).or((held == position).then_some(history.len()));
            let changes = |at: usize| {
                let news = history.iter().skip(at);
                news.map(|(from, to, news)| transport::Frame::Bulletin { afresh: false, from: *from, to: *to, deltas: news.clone() })
            };
            let later = |first: usize| history.iter().skip(first).map(|(.., news)| news.len()).sum::<usize>();
            let known = since(follower.held).map(|at| (at, later(at)));
            let frames: Vec<transport::Frame> = match known.filter(|(_, length)| *length <= LITTLE) {
                Some((at, _)) => changes(at).collect(),
                None => {
                    let kept = whole.as_ref().and_then(|(at, deltas)| since(*at).map(|first| (first, deltas.len())));
                    let first = kept.filter(|(first, length)| later(*first) < *length).map(|(first, _)| first);
                    if first.is_none() {
                        *whole = Some((position, bytes(bill.whole())));
                    }
                    let first = first.unwrap_or(history.len());
                    let length = whole.as_ref().map(|(_, deltas)| deltas.len()).unwrap_or_default() + later(first);
                    match known.filter(|(_, changed)| *changed <= length) {
                        Some((at, _)) => changes(at).collect(),
                        None => {
                            let (to, deltas) = whole.clone().unwrap_or_default();
                            let told = transport::Frame::Bulletin { afresh: true, from: 0, to, deltas };
                            std::iter::once(told).chain(changes(first)).collect()
                        }
                    }
                }
            };
            follower.held = position;
            frames.into_iter().all(|frame| follower.sender.try_send(frame).is_ok())
        });
    }
}

fn bytes(deltas: Vec<model::bill::Delta>) -> Vec<u8> {
    model::pack::pack(rkyv::to_bytes::<rkyv::rancor::Error>(&deltas).map(|bytes| bytes.to_vec()).unwrap_or_default())
}

/// Changes as a follower reads them; none that do not hold together.
pub(crate) fn deltas(bytes: &[u8]) -> Option<Vec<model::bill::Delta>> {
    let bytes = model::pack::unpack(bytes)?;
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    rkyv::from_bytes::<Vec<model::bill::Delta>, rkyv::rancor::Error>(&aligned).ok()
}

/// Book and bill as one state of the log.
pub(crate) fn packed(book: &model::Book, bill: &model::Bill) -> Vec<u8> {
    let (book, bill) = (book.to_bytes(), bill.to_bytes());
    model::pack::pack([&(book.len() as u64).to_be_bytes()[..], &book, &bill].concat())
}

pub(crate) fn unpacked(state: &[u8]) -> Option<(model::Book, model::Bill)> {
    let state = model::pack::unpack(state)?;
    let (length, rest) = state.split_at_checked(8)?;
    let length = u64::from_be_bytes(length.try_into().ok()?) as usize;
    let (book, bill) = rest.split_at_checked(length)?;
    Some((model::Book::from_bytes(book)?, model::Bill::from_bytes(bill)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(desk: &mut Desk, turn: u64, text: &str) {
        let body = model::bill::Body::Service(model::bill::Service { health_path: text.into(), conns: 0, keyed: false, warm_us: 0 });
        let put = model::bill::items::Put { name: format!("s{}", turn % 10), version: turn, body, text: String::new() };
        let act = model::bill::Act::Items(model::bill::Call { puts: vec![put], drops: Vec::new() });
        assert!(matches!(desk.apply(&("operator".into(), 1, turn), act), model::Outcome::Accepted { .. }));
        desk.publish();
    }

    type Told = (usize, usize, model::bill::Programme);

    /// Frames and bytes, and what the follower holds then.
    fn told(desk: &mut Desk, held: model::bill::Programme) -> Told {
        let (sender, mut frames) = tokio::sync::mpsc::channel(1_024);
        desk.follow(held.position, sender);
        std::iter::from_fn(|| frames.try_recv().ok()).fold((0, 0, held), |(count, length, held), frame| {
            let transport::Frame::Bulletin { afresh, from, to, deltas: news } = frame else { unreachable!() };
            assert!(afresh || from == held.position);
            (count + 1, length + news.len(), held.told(afresh, to, deltas(&news).expect("news")))
        })
    }

    #[test]
    fn the_shorter_of_history_and_whole_goes() {
        let mut desk = Desk::default();
        (1..=20).for_each(|turn| change(&mut desk, turn, "/healthz"));
        let early = told(&mut desk, Default::default());
        assert_eq!(early.0, 20, "a short history goes as it is");
        let noise: String = (0..40).map(|part| format!("{:x}", model::terms::hash(&format!("{part}")))).collect();
        (21..=500).for_each(|turn| change(&mut desk, turn, &noise[turn as usize..]));
        let whole = bytes(desk.bill.whole()).len();
        let held = model::bill::Programme::default().told(true, desk.bill.position, desk.bill.whole());
        let anew = told(&mut desk, Default::default());
        assert!(anew.0 == 1 && anew.1 <= whole, "{} frames, {} bytes instead of {whole}", anew.0, anew.1);
        let behind = told(&mut desk, early.2);
        assert!(behind.1 <= whole, "one that was away long, too: {} bytes", behind.1);
        (501..=503).for_each(|turn| change(&mut desk, turn, "/healthz"));
        let near = told(&mut desk, anew.2);
        assert!(near.0 == 3 && near.1 < 1_000, "one that was away a moment hears what changed: {} frames, {} bytes", near.0, near.1);
        assert_eq!(behind.2, held);
        assert_eq!(near.2, told(&mut desk, Default::default()).2);
    }

    #[test]
    fn one_round_proves_all_that_ask_within_a_short_time() {
        let mut desk = Desk::default();
        let (sender, mut proofs) = tokio::sync::mpsc::channel(1_024);
        let mut rounds = Vec::new();
        // Two hundred followers, each asks once a second; the owner looks at each ask and each tick.
        (0..1_000_000u64).step_by(5_000).for_each(|now| {
            let asked_at = 10_000_000 + now;
            desk.asked(asked_at, sender.clone());
            if desk.round(asked_at, rounds.len() as u64) {
                rounds.push(asked_at);
            }
        });
        assert_eq!(rounds[0], 10_000_000, "after a pause at once");
        assert_eq!(rounds.len(), 20, "rounds for 200 asks");
        assert!(desk.round(12_000_000, rounds.len() as u64), "the last ones need no further ask");
        // A proof speaks only for what was asked before its round set out.
        let proved: Vec<Vec<u64>> = (0..=rounds.len() as u64)
            .map(|token| {
                desk.proved(token);
                std::iter::from_fn(|| proofs.try_recv().ok()).map(|frame| if let transport::Frame::Proof { number, .. } = frame { number } else { 0 }).collect()
            })
            .collect();
        assert_eq!(proved.iter().map(Vec::len).sum::<usize>(), 200);
        assert!(proved.iter().zip(&rounds).all(|(asked, at)| asked.iter().all(|asked| asked <= at && at - asked <= ROUND)));
    }
}
