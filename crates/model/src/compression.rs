//! Large bytes are squeezed before they are sent or kept (design 11.3): items of one site look much alike.

use std::borrow::Cow;

/// What squeezed bytes begin with; an `rkyv` archive that began so by chance would be one in 2^64.
const MAGIC: [u8; 8] = [0xf0, 0x9f, b'g', b'f', 0x00, b'l', b'z', b'4'];
/// Below it nothing is won.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// The longest that is taken for honest.
const MAX_DECOMPRESSED_BYTES: usize = 256 * 1024 * 1024;

pub fn compress(bytes: Vec<u8>) -> Vec<u8> {
    if bytes.len() < MIN_COMPRESSED_BYTES && !bytes.starts_with(&MAGIC) {
        return bytes;
    }
    let squeezed = lz4_flex::block::compress(&bytes);
    [&MAGIC[..], &(bytes.len() as u64).to_be_bytes(), &squeezed].concat()
}

/// `None`: what was squeezed does not hold together.
pub fn decompress(bytes: &[u8]) -> Option<Cow<'_, [u8]>> {
    let Some(rest) = bytes.strip_prefix(&MAGIC) else {
        return Some(bytes.into());
    };
    let (length, squeezed) = rest.split_at_checked(8)?;
    let length = u64::from_be_bytes(length.try_into().ok()?) as usize;
    (length <= MAX_DECOMPRESSED_BYTES)
        .then(|| lz4_flex::block::decompress(squeezed, length).ok())
        .flatten()
        .map(Into::into)
}

#[cfg(test)]
mod tests {
    #[test]
    fn what_is_unpacked_is_what_was_packed_and_damage_is_noticed() {
        let samples: [Vec<u8>; 4] = [
            vec![],
            vec![7; 10],
            (0..200u32)
                .flat_map(|at| format!("lane {at} of one host").into_bytes())
                .collect(),
            super::MAGIC.to_vec(),
        ];
        samples.iter().for_each(|sample| {
            assert_eq!(
                crate::compression::decompress(&crate::compression::compress(sample.clone()))
                    .as_deref(),
                Some(sample.as_slice())
            )
        });
        let packed = super::compress(samples[2].clone());
        assert!(
            packed.len() * 2 < samples[2].len(),
            "{} of {}",
            packed.len(),
            samples[2].len()
        );
        assert_eq!(
            crate::compression::decompress(&packed[..packed.len() - 3]),
            None
        );
    }
}
