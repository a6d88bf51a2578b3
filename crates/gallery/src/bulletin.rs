//! The bill at a core seat, and its followers: each hears what changed since what it holds (design 11.3).

/// What followers that were away a moment can still be told as changes.
const HISTORY: usize = 512;
const HISTORY_BYTES: usize = 1_048_576;

type News = (playbill::Position, playbill::Position, Vec<u8>);

struct Follower {
    held: playbill::Position,
    sender: wings::Sender,
}

/// Owned by the core seat's one owner (design 8.1).
#[derive(Default)]
pub struct Desk {
    pub bill: playbill::Bill,
    /// Applied and not yet told: from where, and what changed.
    fresh: (playbill::Position, Vec<playbill::bill::Delta>),
    history: std::collections::VecDeque<News>,
    followers: Vec<Follower>,
    /// All that stood at a position, as it was last told; what came since follows from the history.
    whole: Option<(playbill::Position, Vec<u8>)>,
    asks: std::collections::BTreeMap<u64, (u64, wings::Sender)>,
}

impl Desk {
    pub fn apply(&mut self, (origin, life, sequence): &(String, u64, u64), act: playbill::bill::Act) -> playbill::Outcome {
        let before = self.bill.position;
        let (outcome, deltas) = self.bill.apply(origin, *life, *sequence, act);
        if self.fresh.1.is_empty() {
            self.fresh.0 = before;
        }
        self.fresh.1.extend(deltas);
        outcome
    }

    pub fn install(&mut self, bill: playbill::Bill) {
        *self = Desk { bill, followers: std::mem::take(&mut self.followers), asks: std::mem::take(&mut self.asks), ..Default::default() };
        self.tell();
    }

    pub fn items(&self) -> playbill::bill::items::Items {
        self.bill.items.iter().filter(|(_, item)| item.body.is_some()).map(|(key, item)| (key.clone(), item.clone())).collect()
    }

    pub fn follow(&mut self, held: playbill::Position, sender: wings::Sender) {
        self.followers.push(Follower { held, sender });
        self.publish();
        self.tell();
    }

    pub fn asked(&mut self, token: u64, number: u64, sender: wings::Sender) {
        self.asks.retain(|_, (_, sender)| !sender.is_closed());
        self.asks.insert(token, (number, sender));
    }

    pub fn waits(&self) -> bool {
        !self.asks.is_empty()
    }

    /// On the channel that the news took before it. A channel that is full has lost its follower anyway.
    pub fn proved(&mut self, token: u64) {
        if let Some((number, sender)) = self.asks.remove(&token) {
            drop(sender.try_send(wings::Frame::Proof { number, position: self.bill.position }));
        }
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
            let since = |held: playbill::Position| history.iter().position(|(from, ..)| *from == held).or((held == position).then_some(history.len()));
            let changes = |at: usize| {
                let news = history.iter().skip(at);
                news.map(|(from, to, news)| wings::Frame::Bulletin { afresh: false, from: *from, to: *to, deltas: news.clone() })
            };
            let frames: Vec<wings::Frame> = match since(follower.held) {
                Some(at) => changes(at).collect(),
                None => {
                    let kept = whole.as_ref().and_then(|(at, deltas)| since(*at).map(|first| (first, deltas.len())));
                    let later = |first: usize| history.iter().skip(first).map(|(.., news)| news.len()).sum::<usize>();
                    let first = kept.filter(|(first, length)| later(*first) < *length).map(|(first, _)| first);
                    if first.is_none() {
                        *whole = Some((position, bytes(bill.whole())));
                    }
                    let (to, deltas) = whole.clone().unwrap_or_default();
                    let told = wings::Frame::Bulletin { afresh: true, from: 0, to, deltas };
                    std::iter::once(told).chain(changes(first.unwrap_or(history.len()))).collect()
                }
            };
            follower.held = position;
            frames.into_iter().all(|frame| follower.sender.try_send(frame).is_ok())
        });
    }
}

fn bytes(deltas: Vec<playbill::bill::Delta>) -> Vec<u8> {
    playbill::pack::pack(rkyv::to_bytes::<rkyv::rancor::Error>(&deltas).map(|bytes| bytes.to_vec()).unwrap_or_default())
}

/// Changes as a follower reads them; none that do not hold together.
pub(crate) fn deltas(bytes: &[u8]) -> Option<Vec<playbill::bill::Delta>> {
    let bytes = playbill::pack::unpack(bytes)?;
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    rkyv::from_bytes::<Vec<playbill::bill::Delta>, rkyv::rancor::Error>(&aligned).ok()
}

/// Book and bill as one state of the log.
pub(crate) fn packed(book: &playbill::Book, bill: &playbill::Bill) -> Vec<u8> {
    let (book, bill) = (book.to_bytes(), bill.to_bytes());
    playbill::pack::pack([&(book.len() as u64).to_be_bytes()[..], &book, &bill].concat())
}

pub(crate) fn unpacked(state: &[u8]) -> Option<(playbill::Book, playbill::Bill)> {
    let state = playbill::pack::unpack(state)?;
    let (length, rest) = state.split_at_checked(8)?;
    let length = u64::from_be_bytes(length.try_into().ok()?) as usize;
    let (book, bill) = rest.split_at_checked(length)?;
    Some((playbill::Book::from_bytes(book)?, playbill::Bill::from_bytes(bill)?))
}
