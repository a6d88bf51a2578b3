//! The types shared by all parts of gradeford: the replicated state and its rules, errors, settings
//! and logging.
//!
//! The log drives two state machines. [`StateMachine`] holds groupings and standing orders, the
//! backends that registered for them, and the key leases (design 2, 7). [`ClusterState`] holds
//! items, backends, nodes and the shard maps of keyed services (design 11). Both are deterministic:
//! the same entries produce the same state on every replica, and no clock or random number is
//! involved.
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

/// A position in the sequence of entries that changed the state. It serves as the version of the
/// state and as the fencing token of the keys that an entry moved.
pub type Position = u64;
/// The name of a service that backends serve.
pub type ServiceName = String;
/// The name of a zone: a group of machines that are close to each other and may fail together.
pub type ZoneName = String;
/// The name of a backend.
pub type BackendName = String;
/// The name of a node, the proxy process beside backends.
pub type NodeName = String;
/// Label names and values that a backend carries and a grouping or order requires.
pub type Labels = BTreeMap<String, String>;
