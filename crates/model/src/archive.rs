//! `rkyv` archives of what is stored and sent.
//!
//! `rkyv` stores by position: fields and variants of archived types may be renamed, but never
//! reordered, added or removed, or stored data could not be read any more.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};

/// Bytes that are no archive of the type they were read as.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The compressed form is damaged or claims to be longer than is allowed.
    #[error("the compressed bytes are damaged")]
    Compression,
    /// The bytes are no archive of the type.
    #[error("the bytes are no archive of the expected type")]
    Archive(#[source] rancor::Error),
}

/// The archive of a value.
///
/// Writing to memory does not fail. Were it to, the answer is empty and decodes as nothing.
pub(crate) fn to_bytes<T>(value: &T) -> Vec<u8>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    rkyv::to_bytes::<rancor::Error>(value)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Reads an archive of any alignment, after checking all of it.
///
/// # Errors
///
/// [`DecodeError::Archive`] if the bytes are no archive of a `T`.
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
