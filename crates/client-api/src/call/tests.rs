//! Validation of paths and filtering of headers in a client's call.

use super::{is_reserved_header, unambiguous_path};

#[test]
fn ambiguous_paths_are_rejected() {
    let path = |text: &str| unambiguous_path(text, "seat").ok();
    assert_eq!(
        path("/call/seat/checkout/4").as_deref(),
        Some("/checkout/4")
    );
    let ambiguous = [
        "/call/seat",
        "/call/seat/a/../b",
        "/call/seat/a//b",
        "/call/seat/%2E%2e/b",
        "/call/seat/a%2Fb",
        "/call/seatx/a",
    ];
    for text in ambiguous {
        assert_eq!(path(text), None, "{text}");
    }
}

#[test]
fn clients_cannot_set_reserved_headers() {
    assert!(is_reserved_header("x-gradeford-sender"));
    assert!(is_reserved_header("authorization"));
    assert!(is_reserved_header("host"));
    assert!(!is_reserved_header("content-type"));
    assert!(!is_reserved_header("x-app-note"));
}
