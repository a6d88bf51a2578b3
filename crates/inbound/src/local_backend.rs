//! The back end beside this node, as the node's owner of beats tells it (design 13.2).

use model::Microseconds;
use model::cluster_state::ShardKey;

/// Rows the back end was told to hold, and until when it surely still does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldKeys {
    pub ranges: Vec<(ShardKey, ShardKey)>,
    pub until: Microseconds,
    /// Rows it is about to get: whoever asks for them may wait a moment.
    pub pending: Vec<(ShardKey, ShardKey)>,
}

impl HeldKeys {
    pub fn holds(&self, now: Microseconds, key: ShardKey) -> bool {
        now < self.until && contains(&self.ranges, key)
    }

    pub fn expects(&self, key: ShardKey) -> bool {
        contains(&self.pending, key)
    }
}

fn contains(rows: &[(ShardKey, ShardKey)], key: ShardKey) -> bool {
    rows.iter().any(|(from, to)| (*from..=*to).contains(&key))
}

#[derive(Clone, Debug, PartialEq)]
pub struct LocalBackend {
    pub name: String,
    pub address: String,
    pub slots: u32,
    /// Takes nothing new from then on: it drains, or has ended.
    pub drains_at: Option<Microseconds>,
    /// `None`: its service is not divided by key.
    pub held_keys: Option<HeldKeys>,
}

impl LocalBackend {
    pub fn accepts_requests(&self, now: Microseconds) -> bool {
        self.drains_at.is_none_or(|closes| now < closes)
    }
}
