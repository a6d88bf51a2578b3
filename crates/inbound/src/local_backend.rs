//! The backend beside this node, as the lease table tells it (design 13.2).

use model::Microseconds;
use model::cluster_state::ShardKey;

/// The shard keys that the backend was told to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldKeys {
    /// First and last key of each range.
    pub ranges: Vec<(ShardKey, ShardKey)>,
    /// Until then the backend surely holds them.
    pub held_until: Microseconds,
    /// Ranges that it is about to get: a request for them may wait a moment.
    pub pending: Vec<(ShardKey, ShardKey)>,
}

impl HeldKeys {
    /// Whether the backend surely holds the key now.
    pub fn holds(&self, now: Microseconds, key: ShardKey) -> bool {
        now < self.held_until && contains(&self.ranges, key)
    }

    /// Whether the backend is about to get the key.
    pub fn is_pending(&self, key: ShardKey) -> bool {
        contains(&self.pending, key)
    }
}

fn contains(ranges: &[(ShardKey, ShardKey)], key: ShardKey) -> bool {
    ranges
        .iter()
        .any(|(first, last)| (*first..=*last).contains(&key))
}

/// The backend beside this node.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalBackend {
    /// Its name; a request for another is refused.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// How many requests it runs at the same time.
    pub slots: u32,
    /// It takes no new request from then on: it drains, or has ended.
    pub drains_at: Option<Microseconds>,
    /// `None` if its service is not divided by key.
    pub held_keys: Option<HeldKeys>,
}

impl LocalBackend {
    /// Whether it takes new requests now.
    pub fn accepts_requests(&self, now: Microseconds) -> bool {
        self.drains_at.is_none_or(|drains_at| now < drains_at)
    }
}
