//! What a replica keeps on its disk, in one `redb` file: the journal of `mencius` writes, which
//! replica the disk was given, and which disks it has met for the other replicas (design 3.3, 3.8,
//! 4.1).
//!
//! | module | what it does |
//! | --- | --- |
//! | `store` | the file: reading it at start, one synced transaction a change |
//! | `writer` | the thread that owns the open store, and the handle to it |
//! | `record` | the form of a record in the journal |
//! | `identity` | disk identities and membership |
//! | `error` | what can fail |
#![deny(missing_docs)]

mod error;
mod identity;
mod record;
mod store;
mod writer;

pub use error::Error;
pub use identity::{DiskId, MembershipRecord, PinnedDisks};
pub use store::{LAYOUT_VERSION, RecoveredStore, ReplicaStore};
pub use writer::{StoreWriter, WriterEvent};
