use model::StateSlice;

use super::View;

#[test]
fn a_view_never_goes_back_and_counts_from_the_request() {
    let view = View::default();
    let at = |position| StateSlice {
        position,
        ..Default::default()
    };
    let view = view.with_update(at(5)).expect("newer");
    assert!(view.with_update(at(4)).is_none());
    assert!(
        view.with_proof(100, 4, 50).is_none(),
        "a relay that lags proves nothing"
    );
    let view = view.with_proof(100, 6, 50).expect("proof");
    assert!(
        view.with_update(at(5)).is_none(),
        "a proof moves the position on too"
    );
    assert!(view.is_fresh(149) && !view.is_fresh(150));
    let late = view.with_proof(90, 6, 50).expect("an older request");
    assert_eq!(late.fresh_until, 150);
}
