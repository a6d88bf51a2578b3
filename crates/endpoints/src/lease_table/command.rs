//! What the lease table's task is asked to do, by its handle and by the tasks that it starts itself.

use model::cluster_state::ClusterReport;
use model::{BackendName, Outcome};
use tokio::sync::oneshot;

use crate::heartbeat::{Heartbeat, HeartbeatAnswer};

/// Takes the answer to one heartbeat.
pub(super) type AnswerSender = oneshot::Sender<HeartbeatAnswer>;

pub(super) enum Command {
    /// The back end beside this node sent a heartbeat.
    Heartbeat {
        heartbeat: Box<Heartbeat>,
        answer: AnswerSender,
    },
    /// The answer to the back end's heartbeat of this number was kept back for long enough.
    AnswerDue { name: BackendName, sequence: u64 },
    /// The back end of this name says that it ends.
    Deregister {
        name: BackendName,
        done: oneshot::Sender<()>,
    },
    /// The verified state has changed.
    StateChanged,
    /// A short time has passed.
    Tick,
    /// The log has answered these reports; `None` if the reporter's task is gone.
    Reported {
        reports: Vec<ClusterReport>,
        outcome: Option<Outcome>,
    },
    /// The process of the back end of this name was probed; `refused` if it refused each connection.
    Probed { name: BackendName, refused: bool },
}
