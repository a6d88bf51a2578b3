//! A seal fits nothing but the response it was made for.

use backend_api::seal::seal;

#[test]
fn a_seal_fits_one_attempt_one_status_and_one_body() {
    let sealed = seal("t1", 200, b"seat 4");
    let others = [
        seal("t2", 200, b"seat 4"),
        seal("t1", 201, b"seat 4"),
        seal("t1", 200, b"seat "),
        seal("t1s", 200, b"eat 4"),
    ];
    assert!(others.iter().all(|other| *other != sealed));
    assert_eq!(sealed, seal("t1", 200, b"seat 4"));
}
