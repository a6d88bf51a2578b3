//! The words all parts of gradeford share: desired state, standing, terms, verdicts (design 2).

use std::collections::BTreeMap;

pub mod clock;
pub mod cluster_state;
pub mod compression;
pub mod desired_state;
pub mod endpoint_status;
mod endpoint_status_rules;
pub mod entry;
pub mod error;
pub mod incarnation;
pub mod leases;
pub mod logging;
pub mod settings;
pub mod state_machine;
pub mod state_patch;
pub mod state_slice;
pub mod validation;

pub use clock::{Microseconds, now};
pub use cluster_state::ClusterState;
pub use desired_state::{Change, DesiredState, Edit, Grouping, Selector, StandingOrder};
pub use endpoint_status::{Backend, BackendPhase, EndpointStatus, Node};
pub use entry::{Entry, Operation, Outcome, ReplicaReplacement, VersionConflict};
pub use error::{Error, ErrorKind, ExecutionStatus};
pub use incarnation::Incarnation;
pub use state_machine::StateMachine;
pub use state_patch::StatePatch;
pub use state_slice::StateSlice;

/// Position in the log of effective entries: the version everything is fenced by.
pub type Position = u64;
pub type ServiceName = String;
pub type ZoneName = String;
pub type BackendName = String;
pub type NodeName = String;
pub type Labels = BTreeMap<String, String>;
