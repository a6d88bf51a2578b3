//! Quorum reads over channels that come late (design 3.9).

use mencius::{Config, Effect, Input, Message, Replica};

#[test]
fn a_read_that_set_out_alone_is_asked_of_a_mate_as_soon_as_its_channel_opens() {
    // All seats were killed and are back: whoever follows this one asks before its mates are there.
    let mut one = Replica::restore(0, 3, 100, Config::default(), 0, Vec::new());
    one.step(0, Input::ReadIndex(1));
    one.take_effects();
    one.step(1, Input::ConnectionOpened(2));
    let asked =
        one.take_effects().into_iter().filter(|effect| matches!(effect, Effect::Send(2, frame) if matches!(frame.message, Message::ReadIndexRequest { .. })));
    assert_eq!(asked.count(), 1);
    // Asked before, and not yet stale: not asked of it again, nor of others.
    one.step(2, Input::Tick);
    let again =
        one.take_effects().into_iter().filter(|effect| matches!(effect, Effect::Send(_, frame) if matches!(frame.message, Message::ReadIndexRequest { .. })));
    assert_eq!(again.count(), 0);
}
