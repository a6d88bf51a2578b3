//! LZ4 compression of large byte strings before they are sent or stored.
//!
//! Items of one site are similar to each other, so a state with many items shrinks to a fraction of
//! its size (design 11.3).

use std::borrow::Cow;

use crate::DecodeError;

/// Prefix of compressed bytes. An `rkyv` archive begins with it by chance with a probability of 1
/// in 2^64.
const MAGIC: [u8; 8] = [0xf0, 0x9f, b'g', b'f', 0x00, b'l', b'z', b'4'];
/// Minimum length of bytes that are compressed; compressing shorter ones gains nothing.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// Maximum length of the decompressed form; a longer claimed length is treated as damage.
const MAX_DECOMPRESSED_BYTES: usize = 256 * 1024 * 1024;
/// Size of the length field between the prefix and the LZ4 block, which holds the big-endian length
/// of the decompressed form.
const LENGTH_BYTES: usize = 8;

/// Compresses bytes of 1 KiB or more, and shorter ones that begin with the prefix of compressed
/// bytes.
pub fn compress(bytes: Vec<u8>) -> Vec<u8> {
    if bytes.len() < MIN_COMPRESSED_BYTES && !bytes.starts_with(&MAGIC) {
        return bytes;
    }
    let block = lz4_flex::block::compress(&bytes);
    [&MAGIC[..], &(bytes.len() as u64).to_be_bytes(), &block].concat()
}

/// Returns the original bytes that [`compress`] was given.
///
/// # Errors
///
/// Returns [`DecodeError::Compression`] if the bytes begin with the prefix of compressed bytes but
/// do not decompress to the claimed length, or claim more than 256 MiB.
pub fn decompress(bytes: &[u8]) -> Result<Cow<'_, [u8]>, DecodeError> {
    let Some(rest) = bytes.strip_prefix(&MAGIC) else {
        return Ok(bytes.into());
    };
    let (length, block) = rest
        .split_first_chunk::<LENGTH_BYTES>()
        .ok_or(DecodeError::Compression)?;
    let length = u64::from_be_bytes(*length) as usize;
    if length > MAX_DECOMPRESSED_BYTES {
        return Err(DecodeError::Compression);
    }
    lz4_flex::block::decompress(block, length)
        .map(Cow::from)
        .map_err(|_| DecodeError::Compression)
}
