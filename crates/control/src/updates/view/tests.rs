use model::StateSlice;

use super::View;

#[test]
fn the_position_of_a_view_never_decreases_and_freshness_counts_from_the_request() {
    let view = View::default();
    let at = |position| StateSlice {
        position,
        ..Default::default()
    };
    let view = view.with_update(at(5)).expect("a newer update");
    assert!(view.with_update(at(4)).is_none());
    assert!(
        view.with_proof(100, 4, 50).is_none(),
        "a proof for an older position was accepted"
    );
    let view = view.with_proof(100, 6, 50).expect("proof");
    assert!(
        view.with_update(at(5)).is_none(),
        "the proof did not advance the position"
    );
    assert!(view.is_fresh(149) && !view.is_fresh(150));
    let view = view
        .with_proof(90, 6, 50)
        .expect("a valid proof of an older request");
    assert_eq!(view.fresh_until, 150);
}
