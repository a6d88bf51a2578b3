//! The seal of a response: a digest that shows that the response is complete and belongs to the
//! attempt (design 5.3).

use sha2::{Digest, Sha256};

/// Returns the seal: the SHA-256 digest, in hexadecimal, of the attempt id, the status (two bytes,
/// big-endian) and the body, each preceded by its length (eight bytes, big-endian).
pub fn seal(attempt_id: &str, status: u16, body: &[u8]) -> String {
    let status = status.to_be_bytes();
    let mut digest = Sha256::new();
    for part in [attempt_id.as_bytes(), &status, body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
