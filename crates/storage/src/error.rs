//! Errors of the store.

use std::io;

use redb::{CommitError, DatabaseError, StorageError, TableError, TransactionError};

/// The reason why a store cannot be opened, read or changed.
///
/// The messages are shown to operators in the `disk` field of `/ready`.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The data folder cannot be created or written to.
    #[error("the data folder cannot be used: {0}")]
    Folder(#[from] io::Error),
    /// The database failed, usually because the disk is full, missing or broken. The same change
    /// may be retried after the database is reopened.
    #[error("the store failed: {0}")]
    Store(#[from] redb::Error),
    /// The file was written by a program version with another layout.
    #[error("the store has layout version {found}, but this program supports version {expected}")]
    Layout {
        /// The layout version of the file.
        found: u64,
        /// The layout version of this program.
        expected: u64,
    },
    /// The digest or the encoding of a record is invalid. The replica must not vote with the
    /// remaining records, as its promises may be among the lost ones.
    #[error("record {position} of the journal is damaged")]
    Damaged {
        /// The key of the record in the journal.
        position: u64,
    },
    /// The writes of a record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encode(rkyv::rancor::Error),
    /// The writer thread cannot be started.
    #[error("the writer thread cannot be started: {0}")]
    Thread(io::Error),
    /// The writer has stopped; the change may or may not have been made.
    #[error("the store's writer has stopped")]
    WriterStopped,
}

/// `redb` has an error type for each kind of operation; all of them convert into `redb::Error`.
macro_rules! store_errors {
    ($($error:ty),*) => {
        $(impl From<$error> for Error {
            fn from(error: $error) -> Self {
                Error::Store(error.into())
            }
        })*
    };
}

store_errors!(
    CommitError,
    DatabaseError,
    StorageError,
    TableError,
    TransactionError
);
