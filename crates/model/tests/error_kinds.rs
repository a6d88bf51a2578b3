//! The page that clients rely on says what the code does.

#[test]
fn the_table_and_the_code_agree() {
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
        assert!(page.contains(&row), "the page lacks {row}");
    });
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows,
        model::ErrorKind::ALL.len(),
        "the page lists kinds the code does not have"
    );
}

#[test]
fn every_rejection_for_the_moment_says_when_to_retry() {
    let silent = model::ErrorKind::ALL
        .iter()
        .filter(|kind| matches!(kind.http_status(), 429 | 503));
    let silent: Vec<_> = silent
        .filter(|kind| model::Error::new(**kind, "").retry_after.is_none())
        .collect();
    assert!(silent.is_empty(), "{silent:?} do not say when");
}
