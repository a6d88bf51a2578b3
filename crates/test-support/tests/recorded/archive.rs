//! Recorded bytes of plain `rkyv` archives; included beside `recorded` by the crates that own the types.

/// Asserts that a value is archived to the recorded bytes and that these are read back as the value.
macro_rules! check_archive {
    ($recorded:expr, $name:expr, $type:ty, $value:expr) => {{
        let value: &$type = $value;
        let encoded = rkyv::to_bytes::<rkyv::rancor::Error>(value).expect("an archive");
        let recorded: Vec<u8> = $recorded.check($name, &encoded);
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(recorded.len());
        aligned.extend_from_slice(&recorded);
        let decoded = rkyv::from_bytes::<$type, rkyv::rancor::Error>(&aligned);
        assert_eq!(
            &decoded.expect("recorded bytes that hold together"),
            value,
            "{}",
            $name
        );
    }};
}

pub(crate) use check_archive;
