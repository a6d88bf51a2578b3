//! Compression of stored and transmitted bytes.

use model::compression::{compress, decompress};

/// Prefix of compressed bytes, as earlier versions wrote it.
const MAGIC: [u8; 8] = [0xf0, 0x9f, b'g', b'f', 0x00, b'l', b'z', b'4'];

#[test]
fn compression_round_trips_and_damage_is_detected() {
    let large: Vec<u8> = (0..200u32)
        .flat_map(|index| format!("lane {index} of one host").into_bytes())
        .collect();
    for sample in [vec![], vec![7; 10], large.clone(), MAGIC.to_vec()] {
        let restored = decompress(&compress(sample.clone())).map(|bytes| bytes.into_owned());
        assert_eq!(restored.ok(), Some(sample));
    }
    let compressed = compress(large.clone());
    assert!(
        compressed.len() * 2 < large.len(),
        "{} of {}",
        compressed.len(),
        large.len()
    );
    assert!(decompress(&compressed[..compressed.len() - 3]).is_err());
}
