//! Determines whether this process is the incarnation that the log has registered under its node's name (design section
//! 11.2).
//!
//! Incarnations are random, so the greater one of two is not necessarily the later one. A process registers as the
//! successor of the incarnation that it finds in the log. A process that was registered and then finds another
//! incarnation knows that the other one was registered later.

use model::Incarnation;
use model::cluster_state::NodeRecord;

/// Registration status of this process in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// The log does not have this process yet; the process has to register.
    Unregistered {
        /// Incarnation in the log that the registration replaces; 0 if there is none.
        replaces: Incarnation,
    },
    /// The log has this process registered under the node's name.
    Registered,
    /// This process was registered and has been replaced by another one; it has to stop.
    Superseded,
}

/// Returns whether the log's record `node` is that of this `incarnation`. The log accepts reports from no other
/// incarnation.
pub(crate) fn is_registered(node: Option<&NodeRecord>, incarnation: Incarnation) -> bool {
    node.is_some_and(|node| node.incarnation == incarnation)
}

/// Tracks the registration of this process's node in the log.
pub struct Registration {
    incarnation: Incarnation,
    /// Whether the log has had this process registered at any time.
    was_registered: bool,
}

impl Registration {
    /// Creates the state of a process whose incarnation has not been observed in the log yet.
    pub fn new(incarnation: Incarnation) -> Registration {
        Registration {
            incarnation,
            was_registered: false,
        }
    }

    /// Updates the status with the log's record of the node, `None` if there is none, and returns the new status.
    ///
    /// The observed state only moves forward, so an incarnation that is observed after that of this process was
    /// registered after this process.
    pub fn observe(&mut self, registered: Option<&NodeRecord>) -> RegistrationStatus {
        let Some(node) = registered else {
            return RegistrationStatus::Unregistered { replaces: 0 };
        };
        if is_registered(registered, self.incarnation) {
            self.was_registered = true;
            return RegistrationStatus::Registered;
        }
        if self.was_registered {
            RegistrationStatus::Superseded
        } else {
            RegistrationStatus::Unregistered {
                replaces: node.incarnation,
            }
        }
    }
}
