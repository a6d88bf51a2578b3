//! The data plane: from a sender's own usher to the node beside the picked back end (design 5).

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
mod slot_owner_check;
mod slot_owner_queue;
pub mod slot_owner_task;

pub use inbound_proxy::{BackendConnector, ForwardFuture, InboundProxy};
pub use outbound_proxy::{OutboundProxy, Request};
pub use slot_owner::{SlotOwner, SlotOwnerConfig};
pub use slot_owner_task::{ClientId, SlotOwnerHandle};
