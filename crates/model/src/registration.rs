//! Node rules shared by both state machines: which incarnation may register, whose reports are
//! accepted, and how many observers must suspect a node before it is presumed gone.

use crate::Incarnation;

/// Returns whether an incarnation may be registered under a name.
///
/// This is a compare-and-set: a registration takes effect only if `replaces`, the incarnation that
/// its sender found in the log, is still the registered one. A late registration of an earlier
/// process therefore replaces nothing. Repeating the registration of the current incarnation is
/// allowed.
pub(crate) fn may_register(
    registered: Option<Incarnation>,
    sender: Incarnation,
    replaces: Incarnation,
) -> bool {
    registered.is_none_or(|current| current == sender || current == replaces)
}

/// Returns whether the reports of an entry are accepted: they come from the registered incarnation
/// of their origin, or they register the sender in place of the incarnation given in
/// `registration`.
///
/// `last_seen` is the incarnation whose reports were accepted last; it decides for an origin
/// without a registration. Incarnations are random and compared only for equality: their order is
/// the order of their registrations in the log.
pub(crate) fn may_report(
    registered: Option<Incarnation>,
    last_seen: Option<Incarnation>,
    sender: Incarnation,
    registration: Option<Incarnation>,
) -> bool {
    match registration {
        Some(replaces) => may_register(registered, sender, replaces),
        None => registered
            .or(last_seen)
            .is_none_or(|current| current == sender),
    }
}

/// Returns the number of observers that must suspect a node before it is presumed gone: two, or one
/// if there is only one other node (design 2.4).
pub(crate) fn required_observers(other_present_nodes: usize) -> usize {
    other_present_nodes.clamp(1, 2)
}
