//! Whether this process is the one that the log has under its node's name (design 11.2).

use model::Incarnation;
use model::bill::Place;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
    stood: bool,
}

impl Registration {
    pub fn new(incarnation: Incarnation) -> Registration {
        Registration { incarnation, stood: false }
    }

    /// What the log has under the node's name, as of what is known here: that only moves forward, so another
    /// incarnation after the own one came after it.
    pub fn look(&mut self, held: Option<&Place>) -> Standing {
        let Some(held) = held else { return Standing::Unregistered { replaces: 0 } };
        if held.life == self.incarnation {
            self.stood = true;
            return Standing::Registered;
        }
        if self.stood { Standing::Superseded } else { Standing::Unregistered { replaces: held.life } }
    }
}
