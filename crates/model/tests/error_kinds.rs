//! The error table in `docs/verdicts.md`, which clients rely on, must match the code.

#[test]
fn the_documented_table_matches_the_code() {
    let page = include_str!("../../../docs/verdicts.md");
    model::ErrorKind::ALL.iter().for_each(|kind| {
        let execution_status = match kind.execution_status() {
            model::ExecutionStatus::NotRun => "not-run",
            model::ExecutionStatus::MayHaveRun => "may-have-run",
        };
        let row = format!(
            "| `{}` | {execution_status} | {} |",
            kind.code(),
            kind.http_status()
        );
        assert!(page.contains(&row), "the document lacks {row}");
    });
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows,
        model::ErrorKind::ALL.len(),
        "the document lists kinds that the code does not have"
    );
}

#[test]
fn every_temporary_rejection_has_a_retry_delay() {
    let without_delay = model::ErrorKind::ALL
        .iter()
        .filter(|kind| matches!(kind.http_status(), 429 | 503));
    let without_delay: Vec<_> = without_delay
        .filter(|kind| model::Error::new(**kind, "").retry_after.is_none())
        .collect();
    assert!(
        without_delay.is_empty(),
        "{without_delay:?} have no retry delay"
    );
}
