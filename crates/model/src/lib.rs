//! What all parts of gradeford share: the replicated state and its rules, errors, settings, logging.
//!
//! The log drives two state machines. [`StateMachine`] holds groupings and standing orders, the
//! back ends that registered for them and the key leases (design 2, 7). [`ClusterState`] holds
//! items, back ends, nodes and the shard maps of keyed services (design 11). Both are pure: the
//! same entries give the same state on every replica, and no clock or random number takes part.
#![deny(missing_docs)]

pub mod archive;
pub mod clock;
pub mod cluster_state;
pub mod compression;
mod desired_state;
pub mod endpoint_status;
mod endpoint_status_rules;
mod entry;
pub mod error;
pub mod incarnation;
pub mod leases;
pub mod logging;
mod registration;
pub mod settings;
pub mod state_machine;
pub mod state_patch;
pub mod state_slice;
pub mod validation;

use std::collections::BTreeMap;

pub use archive::DecodeError;
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

/// A place in the sequence of entries that changed something. It is the version of the state, and
/// the fencing token of keys that an entry moved.
pub type Position = u64;
/// The name of a service that back ends serve.
pub type ServiceName = String;
/// The name of a zone: machines that are near each other and may fail together.
pub type ZoneName = String;
/// The name of a back end.
pub type BackendName = String;
/// The name of a node, the proxy process beside back ends.
pub type NodeName = String;
/// Names and values that a back end carries and a grouping or order asks for.
pub type Labels = BTreeMap<String, String>;
