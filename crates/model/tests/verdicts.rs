//! The page senders rely on says what the code does.

#[test]
fn the_table_and_the_code_agree() {
    let page = include_str!("../../../docs/verdicts.md");
    model::ErrorKind::ALL.iter().for_each(|cause| {
        let verdict = match cause.execution_status() {
            model::ExecutionStatus::NotRun => "not-run",
            model::ExecutionStatus::MayHaveRun => "may-have-run",
        };
        let row = format!(
            "| `{}` | {verdict} | {} |",
            cause.code(),
            cause.http_status()
        );
        assert!(page.contains(&row), "the page lacks {row}");
    });
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows,
        model::ErrorKind::ALL.len(),
        "the page lists causes the code does not have"
    );
}

#[test]
fn whoever_is_refused_for_the_moment_is_told_when_to_come_back() {
    let silent = model::ErrorKind::ALL
        .iter()
        .filter(|cause| matches!(cause.http_status(), 429 | 503));
    let silent: Vec<_> = silent
        .filter(|cause| model::Error::new(**cause, "").retry_after.is_none())
        .collect();
    assert!(silent.is_empty(), "{silent:?} do not say when");
}
