//! The durable state of a replica in one `redb` file: the journal of `mencius` writes, the replica
//! assigned to the disk, and the disks pinned for the other replicas (design 3.3, 3.8, 4.1).
//!
//! | module | purpose |
//! | --- | --- |
//! | `store` | the database file: recovery at start, one synced transaction for each change |
//! | `writer` | the thread that owns the open store, and the handle to it |
//! | `record` | the encoding of a journal record |
//! | `identity` | disk identities and membership |
//! | `error` | errors |
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
