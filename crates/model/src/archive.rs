//! `rkyv` archives of stored and transmitted values.
//!
//! `rkyv` stores by position: fields and variants of archived types may be renamed, but never
//! reordered, added or removed, because stored data would become unreadable.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// The reason why bytes could not be decoded to a value.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes cannot be decompressed, or claim an uncompressed length above the limit of
    /// [`decompress`](crate::compression::decompress).
    #[error("the compressed bytes are damaged")]
    Compression,
    /// The bytes are not an archive of the expected type.
    #[error("the bytes are not an archive of the expected type")]
    Archive(#[source] rancor::Error),
}

/// Serializes a value to its archive.
///
/// Serialization to memory does not fail. If it did, the result would be empty, and decoding it
/// would fail.
pub(crate) fn to_bytes<T>(value: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    rkyv::to_bytes::<rancor::Error>(value)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Deserializes a value from its archive, after validating the whole archive. The bytes need no
/// particular alignment: they are copied to an aligned buffer.
///
/// # Errors
///
/// Returns [`DecodeError::Archive`] if the bytes are not an archive of a `T`.
pub(crate) fn from_bytes<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, rancor::Error>(&aligned).map_err(DecodeError::Archive)
}
