//! The form of a journal record: a digest of the rest, then the writes in `rkyv`'s form.

use mencius::Write;
use rkyv::rancor;
use rkyv::util::AlignedVec;
use sha2::{Digest, Sha256};

use crate::error::Error;

/// The first bytes of a SHA-256: enough to notice damage, which is no attack.
const DIGEST_LENGTH: usize = 16;
/// At least the alignment of every archived type.
const RECORD_ALIGNMENT: usize = 16;

/// A record begins with a digest of the rest, so that damage is noticed when it is read.
pub(crate) fn encode(writes: &[Write]) -> Result<Vec<u8>, Error> {
    let bytes = rkyv::to_bytes::<rancor::Error>(&writes.to_vec()).map_err(Error::Encode)?;
    Ok([digest(&bytes).as_slice(), &bytes].concat())
}

/// `None` for a record that is damaged.
pub(crate) fn decode(record: &[u8]) -> Option<Vec<Write>> {
    let (kept_digest, bytes) = record.split_at_checked(DIGEST_LENGTH)?;
    if digest(bytes) != kept_digest {
        return None;
    }
    let mut aligned = AlignedVec::<RECORD_ALIGNMENT>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Vec<Write>, rancor::Error>(&aligned).ok()
}

fn digest(bytes: &[u8]) -> Vec<u8> {
    Sha256::digest(bytes)[..DIGEST_LENGTH].to_vec()
}
