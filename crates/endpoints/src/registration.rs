//! Whether this process is the incarnation that the log has registered under its node's name (design section 11.2).
//!
//! Incarnations are drawn at random, so of two of them the greater one is not the later one. A process registers on
//! top of the incarnation that it found, and one that was registered and then finds another one knows that the
//! other one came after it.

use model::Incarnation;
use model::cluster_state::NodeRecord;

/// What the log says of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// The log does not have this process yet: it has to register.
    Unregistered {
        /// The incarnation that the log has and that the registration replaces; 0 if it has none.
        replaces: Incarnation,
    },
    /// The log has this process under the node's name.
    Registered,
    /// This process was registered and another one of the same name is now: this one has to stop.
    Superseded,
}

/// Whether `node`, as the log has it, is the process of this `incarnation`. The log takes reports from no other one.
pub(crate) fn is_registered(node: Option<&NodeRecord>, incarnation: Incarnation) -> bool {
    node.is_some_and(|node| node.incarnation == incarnation)
}

/// Follows what the log has under the name of this process's node.
pub struct Registration {
    incarnation: Incarnation,
    /// The log has had this process at some time.
    was_registered: bool,
}

impl Registration {
    /// A process of this incarnation, of which nothing has been seen in the log yet.
    pub fn new(incarnation: Incarnation) -> Registration {
        Registration {
            incarnation,
            was_registered: false,
        }
    }

    /// Takes in what the log has under the node's name, `None` if nothing, and says where this process stands.
    ///
    /// The state that is seen here only moves forward, so an incarnation that is seen after this process's own one
    /// was registered after it.
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
