//! A seal is valid only for the response that it was made for.

use backend_api::seal::seal;

#[test]
fn seal_depends_on_the_attempt_the_status_and_the_body() {
    let expected = seal("t1", 200, b"seat 4");
    let others = [
        seal("t2", 200, b"seat 4"),
        seal("t1", 201, b"seat 4"),
        seal("t1", 200, b"seat "),
        seal("t1s", 200, b"eat 4"),
    ];
    assert!(others.iter().all(|other| *other != expected));
    assert_eq!(expected, seal("t1", 200, b"seat 4"));
}
