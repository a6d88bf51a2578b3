//! The back end beside this node, as the node's owner of beats tells it (design 13.2).

use model::Micros;
use model::bill::Key;

/// Rows the back end was told to hold, and until when it surely still does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holding {
    pub rows: Vec<(Key, Key)>,
    pub until: Micros,
    /// Rows it is about to get: whoever asks for them may wait a moment.
    pub coming: Vec<(Key, Key)>,
}

impl Holding {
    pub fn holds(&self, now: Micros, key: Key) -> bool {
        now < self.until && within(&self.rows, key)
    }

    pub fn expects(&self, key: Key) -> bool {
        within(&self.coming, key)
    }
}

fn within(rows: &[(Key, Key)], key: Key) -> bool {
    rows.iter().any(|(from, to)| (*from..=*to).contains(&key))
}

#[derive(Clone, Debug, PartialEq)]
pub struct Local {
    pub name: String,
    pub address: String,
    pub slots: u32,
    /// Takes nothing new from then on: it drains, or has ended.
    pub closes: Option<Micros>,
    /// `None`: its service is not divided by key.
    pub holding: Option<Holding>,
}

impl Local {
    pub fn open(&self, now: Micros) -> bool {
        self.closes.is_none_or(|closes| now < closes)
    }
}
