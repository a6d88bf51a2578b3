//! LZ4 compression of large byte strings before they are sent or stored.
//!
//! Items of one site look much alike, so a state of many items shrinks to a fraction
//! (design 11.3).

use std::borrow::Cow;

use crate::DecodeError;

/// What compressed bytes begin with. An `rkyv` archive that began so by chance would be one in
/// 2^64.
const MAGIC: [u8; 8] = [0xf0, 0x9f, b'g', b'f', 0x00, b'l', b'z', b'4'];
/// Shorter bytes are left as they are: nothing is won.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// The longest decompressed form that is accepted; a longer claim is taken for damage.
const MAX_DECOMPRESSED_BYTES: usize = 256 * 1024 * 1024;
/// The length of the decompressed form, big-endian, between the magic and the LZ4 block.
const LENGTH_BYTES: usize = 8;

/// Compresses bytes from 1 KiB on, and shorter ones that begin like compressed ones.
pub fn compress(bytes: Vec<u8>) -> Vec<u8> {
    if bytes.len() < MIN_COMPRESSED_BYTES && !bytes.starts_with(&MAGIC) {
        return bytes;
    }
    let block = lz4_flex::block::compress(&bytes);
    [&MAGIC[..], &(bytes.len() as u64).to_be_bytes(), &block].concat()
}

/// The bytes that [`compress`] was given.
///
/// # Errors
///
/// [`DecodeError::Compression`] if the bytes begin like compressed ones and do not decompress to
/// the length they claim, or claim more than 256 MiB.
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
