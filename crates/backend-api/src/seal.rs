//! The seal: a digest by which a whole reply to this very try is known (design 5.3).

/// Over the try identity, the status and the body, each with its length.
pub fn seal(try_id: &str, status: u16, body: &[u8]) -> String {
    let parts: [&[u8]; 3] = [try_id.as_bytes(), &status.to_be_bytes(), body];
    let digest = parts
        .iter()
        .fold(<sha2::Sha256 as sha2::Digest>::new(), |digest, part| {
            let digest = sha2::Digest::chain_update(digest, (part.len() as u64).to_be_bytes());
            sha2::Digest::chain_update(digest, part)
        });
    sha2::Digest::finalize(digest)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_seal_fits_one_try_one_status_one_body() {
        let whole = super::seal("t1", 200, b"seat 4");
        let others = [
            super::seal("t2", 200, b"seat 4"),
            super::seal("t1", 201, b"seat 4"),
            super::seal("t1", 200, b"seat "),
            super::seal("t1s", 200, b"eat 4"),
        ];
        assert!(others.iter().all(|other| *other != whole));
        assert_eq!(whole, super::seal("t1", 200, b"seat 4"));
    }
}
