//! What a core machine keeps on its disk: one journal of writes in `redb` (design 3.3, 3.8).

mod identity;
mod store;
mod writer;

pub use identity::{DiskId, MembershipRecord, PinnedDisks};
pub use store::ReplicaStore;
pub use writer::{StoreCommand, spawn_writer};

/// The layout of the file; another number is refused by name.
pub const LAYOUT_VERSION: u64 = 3;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the data folder cannot be used: {0}")]
    Folder(#[from] std::io::Error),
    #[error("the store failed: {0}")]
    Store(#[from] redb::Error),
    #[error("the store has layout {found}, this program knows {LAYOUT_VERSION}")]
    Layout { found: u64 },
    #[error("record {position} of the journal is damaged")]
    Damaged { position: u64 },
}
