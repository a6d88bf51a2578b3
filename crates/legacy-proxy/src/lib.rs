//! The data plane that routes by standing orders: it carries a request from the node beside its
//! client to the node beside the selected backend (design 5).
//!
//! A request passes through these layers:
//!
//! 1. [`OutboundProxy`] rejects duplicate attempt ids, finds the route, selects backends and
//!    retries. Its decisions between I/O operations are made by [`attempt_loop::AttemptLoop`],
//!    which performs no I/O.
//! 2. [`peer_connections`] and [`server`] are the two ends of the connections between nodes.
//! 3. [`InboundProxy`] runs the request in the backend, in a separate task.
//! 4. [`SlotOwner`] makes the admission check, assigns slots, keeps the bounded queues and detects
//!    duplicates.
//!
//! `outbound` and `inbound` are the data plane that routes by the cluster state. The code common to
//! both data planes is in `proxy-core`; the modules [`selector`] and [`retry_budget`] describe how
//! they differ.
#![deny(missing_docs)]

pub mod accepted_attempts;
pub mod age_marks;
pub mod attempt_loop;
pub mod forwarded_attempts;
pub mod inbound_proxy;
pub mod outbound_proxy;
pub mod peer_connections;
pub mod retry_budget;
pub mod selector;
pub mod server;
pub mod slot_owner;

pub use inbound_proxy::{BackendConnector, ForwardFuture, InboundProxy};
pub use outbound_proxy::{OutboundProxy, Request};
pub use slot_owner::{ClientId, SlotOwner, SlotOwnerConfig, SlotOwnerHandle};
