//! The data plane over standing orders: from the node beside a client to the node beside the selected
//! backend (design 5).
//!
//! A request passes these layers, each named for what it adds:
//!
//! 1. [`OutboundProxy`]: each attempt id once, route, selection, retries. What it decides between its
//!    waits is [`attempt_loop::AttemptLoop`], which is pure.
//! 2. [`peer_connections`] and [`server`]: the two ends of the connections between nodes.
//! 3. [`InboundProxy`]: the run in the backend, in a task of its own.
//! 4. [`SlotOwner`]: the last check, slots, the bounded queue, and duplicates.
//!
//! `outbound` and `inbound` are the data plane over the cluster state. What both share is
//! `proxy-core`; the modules [`selector`] and [`retry_budget`] name what differs.
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
