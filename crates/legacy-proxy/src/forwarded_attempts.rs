//! Identities of tries already passed on, kept as long as one could still arrive (design 5.5).

use std::collections::HashSet;
use std::collections::VecDeque;

/// Tries are named under a registration: another life of the node or of the sender is told apart.
pub fn attempt_prefix(name: &str, registered: model::Incarnation) -> String {
    format!("{name}.{registered}.")
}

/// Named under some registration, though maybe not the present one.
pub fn is_attempt_id(try_id: &str) -> bool {
    let mut parts = try_id.splitn(3, '.');
    let named = parts.next().is_some_and(model::validation::is_valid_name);
    let lived = parts.next().is_some_and(|life| life.parse::<u64>().is_ok());
    named && lived && parts.next().is_some_and(|rest| !rest.is_empty())
}

#[derive(Default)]
pub struct ForwardedAttempts {
    seen: HashSet<(String, String)>,
    order: VecDeque<(model::Microseconds, (String, String))>,
}

/// The longest wait an order may name is a minute; a frame older than that is refused by its mark.
pub const RETENTION: model::Microseconds = 180_000_000;

impl ForwardedAttempts {
    pub fn contains(&self, service: &str, try_id: &str) -> bool {
        self.seen
            .contains(&(service.to_string(), try_id.to_string()))
    }

    pub fn insert(&mut self, now: model::Microseconds, service: &str, try_id: &str) {
        let identity = (service.to_string(), try_id.to_string());
        if self.seen.insert(identity.clone()) {
            self.order.push_back((now + RETENTION, identity));
        }
    }

    /// It certainly was not passed on after all: the same try may be dispatched here again.
    pub fn remove(&mut self, service: &str, try_id: &str) {
        self.seen.remove(&(service.to_string(), try_id.to_string()));
    }

    pub fn expire(&mut self, now: model::Microseconds) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, identity)) = self.order.pop_front() {
                self.seen.remove(&identity);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
