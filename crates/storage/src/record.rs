//! The encoding of a journal record: a digest of the remaining bytes, followed by the writes in the
//! `rkyv` format.

use mencius::Write;
use rkyv::rancor;
use rkyv::util::AlignedVec;
use sha2::{Digest, Sha256};

use crate::error::Error;

/// The length of the digest in bytes. A truncated SHA-256 is enough to detect accidental damage;
/// the digest is not a protection against attacks.
const DIGEST_LENGTH: usize = 16;
/// The alignment of a decoded record in bytes; at least that of every archived type.
const RECORD_ALIGNMENT: usize = 16;

/// Encodes writes as a record, which begins with a digest so that damage is detected on reading.
pub(crate) fn encode(writes: &[Write]) -> Result<Vec<u8>, Error> {
    let bytes = rkyv::to_bytes::<rancor::Error>(&writes.to_vec()).map_err(Error::Encode)?;
    Ok([digest(&bytes).as_slice(), &bytes].concat())
}

/// Decodes a record. Returns `None` if the record is damaged.
pub(crate) fn decode(record: &[u8]) -> Option<Vec<Write>> {
    let (stored_digest, bytes) = record.split_at_checked(DIGEST_LENGTH)?;
    if digest(bytes) != stored_digest {
        return None;
    }
    let mut aligned = AlignedVec::<RECORD_ALIGNMENT>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Vec<Write>, rancor::Error>(&aligned).ok()
}

fn digest(bytes: &[u8]) -> Vec<u8> {
    Sha256::digest(bytes)[..DIGEST_LENGTH].to_vec()
}
