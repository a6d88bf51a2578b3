//! Rules about nodes that both state machines share: who may register, whose reports count, and how
//! many observers it takes to presume a node gone.

use crate::Incarnation;

/// Whether an incarnation may be registered under a name.
///
/// Compare-and-set: a registration counts only on top of the incarnation that its sender found in
/// the log (`replaces`), so a late registration of an earlier process replaces nothing. A repeat
/// of the registered incarnation is allowed.
pub(crate) fn may_register(
    registered: Option<Incarnation>,
    sender: Incarnation,
    replaces: Incarnation,
) -> bool {
    registered.is_none_or(|current| current == sender || current == replaces)
}

/// Whether the reports of an entry count: they come from the registered incarnation of their
/// origin, or register it themselves on top of the incarnation `registration` names.
///
/// `last_seen` is the incarnation whose reports were taken last; it decides for an origin that no
/// registration is held of. Incarnations are drawn and only compared for equality: their order is
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

/// How many observers have to miss a node before it is presumed gone: two, or the only other node
/// there is (design 2.4).
pub(crate) fn observers_needed(other_present_nodes: usize) -> usize {
    other_present_nodes.clamp(1, 2)
}
