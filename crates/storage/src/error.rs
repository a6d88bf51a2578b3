//! What can fail about a store.

use std::io;

use redb::{CommitError, DatabaseError, StorageError, TableError, TransactionError};

/// Why a store cannot be opened, read or changed.
///
/// The texts are shown to operators, as `disk` of `/ready`.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder cannot be made or written to.
    #[error("the data folder cannot be used: {0}")]
    Folder(#[from] io::Error),
    /// The database failed, mostly for the disk under it: full, gone or broken. The same change may
    /// be tried again, over a database that is opened anew.
    #[error("the store failed: {0}")]
    Store(#[from] redb::Error),
    /// The file was written by a program with another layout.
    #[error("the store has layout {found}, this program knows {expected}")]
    Layout {
        /// The layout of the file.
        found: u64,
        /// The layout of this program.
        expected: u64,
    },
    /// A record's digest or form does not fit its content. The replica must not vote with what is
    /// left, as its promises may be among what is lost.
    #[error("record {position} of the journal is damaged")]
    Damaged {
        /// The record's key in the journal.
        position: u64,
    },
    /// Writes that have no stored form.
    #[error("a record cannot be encoded: {0}")]
    Encode(rkyv::rancor::Error),
    /// The writer's thread cannot be started.
    #[error("the writer thread cannot be started: {0}")]
    Thread(io::Error),
    /// The writer has ended, so the change was not made, or not reported.
    #[error("the store's writer has stopped")]
    WriterStopped,
}

/// `redb` has an error type for each kind of operation, all of which go into its own `Error`.
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
