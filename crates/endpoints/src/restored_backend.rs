//! The back end beside a node that has just started, as the log has it: it serves from the first news on and not
//! only from its next beat (design 11.2). Pure.

use model::Microseconds;
use model::cluster_state::StateSnapshot;

/// `None` where the log does not name exactly one that takes work, or nobody knows where it is. The back end itself
/// turns away what was meant for another life, and keys it does not hold.
pub(crate) fn restored_backend(
    programme: &StateSnapshot,
    node: &str,
    address: &str,
    until: Microseconds,
) -> Option<inbound::LocalBackend> {
    let mut here = programme
        .backends
        .iter()
        .filter(|(_, player)| player.node == node);
    let (name, player) = here
        .next()
        .filter(|(_, player)| player.phase == model::BackendPhase::Registered)?;
    if here.next().is_some() {
        return None;
    }
    let keyed = programme
        .services
        .get(&player.service)
        .is_some_and(|service| service.keyed);
    // What an earlier holder may still have it was not granted for sure.
    let rows = programme
        .placements
        .get(&player.service)
        .into_iter()
        .flat_map(|held| &held.1);
    let rows = rows
        .filter(|row| row.holder.as_ref() == Some(name) && row.pending_releases.is_empty())
        .map(|row| (row.first_key, row.last_key))
        .collect();
    let holding = keyed.then(|| inbound::HeldKeys {
        ranges: rows,
        until,
        pending: Vec::new(),
    });
    Some(inbound::LocalBackend {
        name: name.clone(),
        address: address.into(),
        slots: player.slots,
        drains_at: Some(until),
        held_keys: holding,
    })
}

#[cfg(test)]
mod tests {
    use model::cluster_state::{BackendRecord, Delta, Service, StateSnapshot, shard_map};

    const NODE: &str = "n0";

    fn player(name: &str, phase: model::BackendPhase) -> Delta {
        let player = BackendRecord {
            service: "seat".into(),
            zone: "z0".into(),
            node: NODE.into(),
            slots: 4,
            phase,
            changed_at: 1,
        };
        Delta::Backend(name.into(), Some(player))
    }

    fn told(deltas: Vec<Delta>) -> StateSnapshot {
        let body = model::cluster_state::ItemBody::Service(Service {
            health_path: String::new(),
            max_connections: 0,
            keyed: true,
            slow_start_us: 0,
        });
        let service = Delta::Item(
            model::cluster_state::ItemKind::Service,
            "seat".into(),
            1,
            Some(body),
        );
        StateSnapshot::default().updated(true, 9, std::iter::once(service).chain(deltas).collect())
    }

    #[test]
    fn it_holds_what_the_log_gave_it_and_nobody_else_may_still_have() {
        let first = shard_map::reassign(
            shard_map::unassigned(),
            &[(0, 99, "a".into()), (100, u16::MAX, "b".into())],
            3,
        );
        let moved = shard_map::reassign(first, &[(200, 299, "a".into())], 5);
        let programme = told(vec![
            player("a", model::BackendPhase::Registered),
            Delta::ShardRanges("seat".into(), 5, moved),
        ]);
        let local = super::restored_backend(&programme, NODE, "here", 70)
            .expect("the one that the log has");
        assert_eq!(
            (
                local.name.as_str(),
                local.address.as_str(),
                local.slots,
                local.drains_at
            ),
            ("a", "here", 4, Some(70))
        );
        let holding = local.held_keys.expect("a service divided by key");
        assert!(
            holding.holds(69, 99)
                && !holding.holds(69, 100)
                && !holding.holds(69, 250)
                && !holding.holds(70, 99)
        );
    }

    #[test]
    fn a_draining_backend_or_one_of_two_is_not_restored() {
        let registered = || player("a", model::BackendPhase::Registered);
        let found = |deltas| super::restored_backend(&told(deltas), NODE, "here", 70).is_some();
        assert!(found(vec![registered()]));
        assert!(!found(vec![
            registered(),
            player("b", model::BackendPhase::Registered)
        ]));
        assert!(!found(vec![
            registered(),
            player("b", model::BackendPhase::Draining)
        ]));
        assert!(!found(vec![player("a", model::BackendPhase::Draining)]));
        assert!(!found(vec![player("a", model::BackendPhase::PresumedGone)]));
        assert!(!found(Vec::new()));
    }
}
