//! Identities of the attempts that were forwarded to a backend, kept for as long as a duplicate can
//! still arrive (design 5.5). The module performs no I/O and reads no clock: the caller passes the
//! time in.

use std::collections::{HashSet, VecDeque};

use model::{Incarnation, Microseconds, validation};

/// Returns the common prefix of all attempt ids of one registration. It contains the incarnation,
/// so ids of other incarnations of the node or of the client differ.
pub fn attempt_prefix(name: &str, registered: Incarnation) -> String {
    format!("{name}.{registered}.")
}

/// Returns whether the text is a well-formed attempt id of any registration, current or earlier.
pub fn is_attempt_id(attempt_id: &str) -> bool {
    let mut parts = attempt_id.splitn(3, '.');
    let has_name = parts.next().is_some_and(validation::is_valid_name);
    let has_incarnation = parts.next().is_some_and(|part| part.parse::<u64>().is_ok());
    has_name && has_incarnation && parts.next().is_some_and(|rest| !rest.is_empty())
}

/// The forwarded attempts, by the client's service and the attempt's identity.
#[derive(Default)]
pub struct ForwardedAttempts {
    identities: HashSet<(String, String)>,
    /// Expiry time and identity of each attempt, oldest first.
    order: VecDeque<(Microseconds, (String, String))>,
}

/// Time for which the identity of a forwarded attempt is kept, in microseconds. A standing order
/// can set a timeout of at most one minute, and an older request is rejected by the watermark that
/// it names.
pub const RETENTION: Microseconds = 180_000_000;

impl ForwardedAttempts {
    /// Returns whether the attempt has been forwarded.
    pub fn contains(&self, service: &str, attempt_id: &str) -> bool {
        self.identities
            .contains(&(service.to_string(), attempt_id.to_string()))
    }

    /// Records that the attempt is forwarded at `now`.
    pub fn insert(&mut self, now: Microseconds, service: &str, attempt_id: &str) {
        let identity = (service.to_string(), attempt_id.to_string());
        if self.identities.insert(identity.clone()) {
            self.order.push_back((now + RETENTION, identity));
        }
    }

    /// Removes an attempt that certainly was not forwarded after all, so that it may be sent again.
    pub fn remove(&mut self, service: &str, attempt_id: &str) {
        self.identities
            .remove(&(service.to_string(), attempt_id.to_string()));
    }

    /// Removes the attempts whose retention time has passed.
    pub fn expire(&mut self, now: Microseconds) {
        while self
            .order
            .front()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            if let Some((_, identity)) = self.order.pop_front() {
                self.identities.remove(&identity);
            }
        }
    }

    /// Returns the number of attempts kept.
    pub fn len(&self) -> usize {
        self.identities.len()
    }

    /// Returns whether no attempt is kept.
    pub fn is_empty(&self) -> bool {
        self.identities.is_empty()
    }
}
