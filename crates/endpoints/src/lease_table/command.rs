//! What the lease table's task is asked to do, by its handle and by the tasks that it starts itself.

use model::cluster_state::ClusterReport;
use model::{BackendName, Outcome};
use tokio::sync::oneshot;

use crate::heartbeat::{Heartbeat, HeartbeatAnswer};

/// Takes the answer to one heartbeat.
pub(super) type AnswerSender = oneshot::Sender<HeartbeatAnswer>;

pub(super) enum Command {
    /// The back end beside this node sent a heartbeat.
    Heartbeat(Box<Heartbeat>, AnswerSender),
    /// The answer to the heartbeat of this back end and number was kept back for long enough.
    AnswerDue(BackendName, u64),
    /// The back end of this name says that it ends.
    Deregister(BackendName, oneshot::Sender<()>),
    /// The verified state has changed.
    StateChanged,
    /// A short time has passed.
    Tick,
    /// The log has answered these reports; `None` if the reporter's task is gone.
    Reported(Vec<ClusterReport>, Option<Outcome>),
    /// The process of the back end of this name was probed, and whether it refused connections.
    Probed(BackendName, bool),
}
