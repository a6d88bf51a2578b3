//! Whether this process is the one that the log has under its node's name (design 11.2).

use model::Incarnation;
use model::cluster_state::NodeRecord;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// To be said, on top of the incarnation that the log has; 0 if it has none.
    Unregistered {
        replaces: Incarnation,
    },
    Registered,
    /// It was registered and another process of this name is now: this one is to stop.
    Superseded,
}

pub struct Registration {
    incarnation: Incarnation,
    /// The log had this process once.
    was_registered: bool,
}

impl Registration {
    pub fn new(incarnation: Incarnation) -> Registration {
        Registration {
            incarnation,
            was_registered: false,
        }
    }

    /// What the log has under the node's name, as of what is known here: that only moves forward, so another
    /// incarnation after the own one came after it.
    pub fn observe(&mut self, registered: Option<&NodeRecord>) -> RegistrationStatus {
        let Some(held) = registered else {
            return RegistrationStatus::Unregistered { replaces: 0 };
        };
        if held.incarnation == self.incarnation {
            self.was_registered = true;
            return RegistrationStatus::Registered;
        }
        if self.was_registered {
            RegistrationStatus::Superseded
        } else {
            RegistrationStatus::Unregistered {
                replaces: held.incarnation,
            }
        }
    }
}
