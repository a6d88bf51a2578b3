//! What a core machine keeps on its disk: one journal of writes in `redb` (design 3.3, 3.8).

mod identity;
mod keeper;
mod shelf;

pub use identity::{Charter, Identity, Pins};
pub use keeper::{Job, keep};
pub use shelf::Shelf;

/// The layout of the file; another number is refused by name.
pub const LAYOUT: u64 = 3;

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("the data folder cannot be used: {0}")]
    Folder(#[from] std::io::Error),
    #[error("the store failed: {0}")]
    Store(#[from] redb::Error),
    #[error("the store has layout {found}, this program knows {LAYOUT}")]
    Layout { found: u64 },
    #[error("record {at} of the journal is damaged")]
    Damaged { at: u64 },
}
