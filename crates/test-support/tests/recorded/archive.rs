//! Checks of plain `rkyv` archives against recorded bytes. Included with `#[path]` next to `recorded` by the crates
//! that define the types.

/// Asserts that a value is archived to the recorded bytes and that the recorded bytes decode to the value.
macro_rules! check_archive {
    ($recorded:expr, $name:expr, $type:ty, $value:expr) => {{
        let value: &$type = $value;
        let encoded =
            rkyv::to_bytes::<rkyv::rancor::Error>(value).expect("the value can be archived");
        let recorded: Vec<u8> = $recorded.check($name, &encoded);
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(recorded.len());
        aligned.extend_from_slice(&recorded);
        let decoded = rkyv::from_bytes::<$type, rkyv::rancor::Error>(&aligned);
        assert_eq!(
            &decoded.expect("the recorded bytes are a valid archive"),
            value,
            "{}",
            $name
        );
    }};
}

pub(crate) use check_archive;
