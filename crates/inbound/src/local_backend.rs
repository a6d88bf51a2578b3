//! The backend beside this node, as described by the lease table (design 13.2).

use model::Microseconds;
use model::cluster_state::ShardKey;

/// The shard ranges that are assigned to the backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldKeys {
    /// The first and last key of each held range.
    pub ranges: Vec<(ShardKey, ShardKey)>,
    /// The time until which the backend is certain to hold `ranges`, a point of [`model::now`].
    pub held_until: Microseconds,
    /// The first and last key of each range that is about to be assigned to the backend. A request
    /// for such a range may wait briefly.
    pub pending: Vec<(ShardKey, ShardKey)>,
}

impl HeldKeys {
    /// Returns whether the backend is certain to hold the key at `now`.
    pub fn holds(&self, now: Microseconds, key: ShardKey) -> bool {
        now < self.held_until && contains(&self.ranges, key)
    }

    /// Returns whether the key is in a range that is about to be assigned to the backend.
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
    /// The backend's name. A request for a backend of another name is refused.
    pub name: String,
    /// The address at which the backend listens.
    pub address: String,
    /// The number of requests that the backend runs concurrently.
    pub slots: u32,
    /// The time from which the backend accepts no new requests, as it drains or has ended.
    pub drains_at: Option<Microseconds>,
    /// The shard keys that the backend holds; `None` if its service is not sharded.
    pub held_keys: Option<HeldKeys>,
}

impl LocalBackend {
    /// Returns whether the backend accepts new requests at `now`.
    pub fn accepts_requests(&self, now: Microseconds) -> bool {
        self.drains_at.is_none_or(|drains_at| now < drains_at)
    }
}
