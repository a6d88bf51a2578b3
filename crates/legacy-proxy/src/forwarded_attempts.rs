//! Identities of attempts that were already forwarded to a backend, kept as long as one could still
//! arrive (design 5.5). Pure, with the time passed in.

use std::collections::{HashSet, VecDeque};

use model::{Incarnation, Microseconds, validation};

/// What all attempt ids of a registration begin with: another incarnation of the node or of the client
/// is told apart.
pub fn attempt_prefix(name: &str, registered: Incarnation) -> String {
    format!("{name}.{registered}.")
}

/// Whether the text is an attempt id under some registration, though maybe not the present one.
pub fn is_attempt_id(attempt_id: &str) -> bool {
    let mut parts = attempt_id.splitn(3, '.');
    let named = parts.next().is_some_and(validation::is_valid_name);
    let has_incarnation = parts.next().is_some_and(|part| part.parse::<u64>().is_ok());
    named && has_incarnation && parts.next().is_some_and(|rest| !rest.is_empty())
}

/// Attempts by the client's service and their identity.
#[derive(Default)]
pub struct ForwardedAttempts {
    seen: HashSet<(String, String)>,
    order: VecDeque<(Microseconds, (String, String))>,
}

/// An attempt is remembered for three minutes: a standing order may name a timeout of one minute at
/// most, and an older request is refused by its mark.
pub const RETENTION: Microseconds = 180_000_000;

impl ForwardedAttempts {
    /// Whether the attempt was forwarded.
    pub fn contains(&self, service: &str, attempt_id: &str) -> bool {
        self.seen
            .contains(&(service.to_string(), attempt_id.to_string()))
    }

    /// Remembers that the attempt is forwarded now.
    pub fn insert(&mut self, now: Microseconds, service: &str, attempt_id: &str) {
        let identity = (service.to_string(), attempt_id.to_string());
        if self.seen.insert(identity.clone()) {
            self.order.push_back((now + RETENTION, identity));
        }
    }

    /// The attempt certainly was not forwarded after all: it may be sent here again.
    pub fn remove(&mut self, service: &str, attempt_id: &str) {
        self.seen
            .remove(&(service.to_string(), attempt_id.to_string()));
    }

    /// Forgets what can no longer arrive.
    pub fn expire(&mut self, now: Microseconds) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, identity)) = self.order.pop_front() {
                self.seen.remove(&identity);
            }
        }
    }

    /// How many attempts are remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
