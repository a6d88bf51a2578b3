//! Tests that the placeholders of golden files replace the volatile parts of an output and nothing else.

mod golden_files;

use golden_files::{Volatile, compare, with_placeholders};

#[test]
fn a_volatile_field_is_replaced_whole_for_any_kind_of_value() {
    let text = r#"{"a":1,"life":"x,\"}","b":{"life":{"c":[1,2]},"d":3},"life":[4]}"#;
    let replaced = with_placeholders(text, &[Volatile::Field("life")]);
    assert_eq!(
        replaced,
        r#"{"a":1,"life":<life>,"b":{"life":<life>,"d":3},"life":<life>}"#
    );
}

#[test]
fn a_volatile_value_is_replaced_at_every_occurrence() {
    let replaced = with_placeholders(
        "127.0.0.1:4312 and 127.0.0.1:43",
        &[Volatile::Value("127.0.0.1:4312", "address")],
    );
    assert_eq!(replaced, "<address> and 127.0.0.1:43");
}

#[test]
#[should_panic(expected = "No such file")]
fn a_missing_golden_file_fails_the_test() {
    if std::env::var_os("GRADEFORD_WRITE_GOLDEN").is_some() {
        panic!("No such file: golden files are written, not compared");
    }
    compare("absent.txt", "", &[]);
}
