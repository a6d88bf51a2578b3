//! The back end beside a node that has just started, as the log has it: it serves from the first news on and not
//! only from its next beat (design 11.2). Pure.

use model::Micros;
use model::bill::Programme;

/// `None` where the log does not name exactly one that takes work, or nobody knows where it is. The back end itself
/// turns away what was meant for another life, and keys it does not hold.
pub(crate) fn recalled(programme: &Programme, node: &str, address: &str, until: Micros) -> Option<inbound::Local> {
    let mut here = programme.players.iter().filter(|(_, player)| player.node == node);
    let (name, player) = here.next().filter(|(_, player)| player.phase == model::Phase::Registered)?;
    if here.next().is_some() {
        return None;
    }
    let keyed = programme.services.get(&player.service).is_some_and(|service| service.keyed);
    // What an earlier holder may still have it was not granted for sure.
    let rows = programme.castings.get(&player.service).into_iter().flat_map(|held| &held.1);
    let rows = rows.filter(|row| row.holder.as_ref() == Some(name) && row.owed.is_empty()).map(|row| (row.from, row.to)).collect();
    let holding = keyed.then(|| inbound::Holding { rows, until, coming: Vec::new() });
    Some(inbound::Local { name: name.clone(), address: address.into(), slots: player.slots, closes: Some(until), holding })
}

#[cfg(test)]
mod tests {
    use model::bill::{Delta, Player, Programme, Service, rows};

    const NODE: &str = "n0";

    fn player(name: &str, phase: model::Phase) -> Delta {
        let player = Player { service: "seat".into(), zone: "z0".into(), node: NODE.into(), slots: 4, phase, since: 1 };
        Delta::Player(name.into(), Some(player))
    }

    fn told(deltas: Vec<Delta>) -> Programme {
        let body = model::bill::Body::Service(Service { health_path: String::new(), conns: 0, keyed: true, warm_us: 0 });
        let service = Delta::Item(model::bill::Kind::Service, "seat".into(), 1, Some(body));
        Programme::default().told(true, 9, std::iter::once(service).chain(deltas).collect())
    }

    #[test]
    fn it_holds_what_the_log_gave_it_and_nobody_else_may_still_have() {
        let first = rows::recast(rows::empty(), &[(0, 99, "a".into()), (100, u16::MAX, "b".into())], 3);
        let moved = rows::recast(first, &[(200, 299, "a".into())], 5);
        let programme = told(vec![player("a", model::Phase::Registered), Delta::Rows("seat".into(), 5, moved)]);
        let local = super::recalled(&programme, NODE, "here", 70).expect("the one that the log has");
        assert_eq!((local.name.as_str(), local.address.as_str(), local.slots, local.closes), ("a", "here", 4, Some(70)));
        let holding = local.holding.expect("a service divided by key");
        assert!(holding.holds(69, 99) && !holding.holds(69, 100) && !holding.holds(69, 250) && !holding.holds(70, 99));
    }

    #[test]
    fn who_drains_or_is_one_of_two_is_not_recalled() {
        let registered = || player("a", model::Phase::Registered);
        let found = |deltas| super::recalled(&told(deltas), NODE, "here", 70).is_some();
        assert!(found(vec![registered()]));
        assert!(!found(vec![registered(), player("b", model::Phase::Registered)]));
        assert!(!found(vec![registered(), player("b", model::Phase::Draining)]));
        assert!(!found(vec![player("a", model::Phase::Draining)]));
        assert!(!found(vec![player("a", model::Phase::PresumedGone)]));
        assert!(!found(Vec::new()));
    }
}
