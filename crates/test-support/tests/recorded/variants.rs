//! Samples of all variants of an enum. Included with `#[path]` next to `recorded` by the tests that need them.

/// Lists one named sample of each variant. The patterns are used in a `match` without a wildcard, so that
/// a variant without a sample doesn't compile.
macro_rules! every_variant {
    ($type:ty { $($name:literal: $pattern:pat => $sample:expr,)* }) => {{
        let samples: Vec<(&'static str, $type)> = vec![$(($name, $sample)),*];
        for (name, sample) in &samples {
            let variant = match sample {
                $($pattern => $name,)*
            };
            assert_eq!(*name, variant, "a sample is listed under the name of another variant");
        }
        samples
    }};
}

pub(crate) use every_variant;
