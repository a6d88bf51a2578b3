//! The outbound side of a node: takes clients' requests, finds the backend that is to run each, and
//! answers (design 13).
//!
//! A request passes these layers, each named for what it adds:
//!
//! 1. [`Listener`]: HTTP. Takes a request whole and answers it whole.
//! 2. [`OutboundProxy`]: routing, the deadline, and retries. Its phases are its methods.
//! 3. [`SelectorHandle`]: load balancing and, through [`RetryBudget`], the bound on retries.
//! 4. [`PeerConnections`]: multiplexed connections to the nodes beside other backends; for the
//!    backend beside this node `inbound::ConcurrencyLimiter` is called directly.
//!
//! [`serve_peers`] is the other end of layer 4: it hands what peers forward to `inbound`.
#![deny(missing_docs)]

mod listener;
mod peer_connections;
mod peer_server;
mod proxy;
mod retry_budget;
mod selector;

pub use listener::{Listener, ListenerConfig};
pub use peer_connections::{HandshakeFactory, PeerConnections};
pub use peer_server::{HeartbeatSender, LoadReportSender, serve_peers};
pub use proxy::{OutboundProxy, Request};
pub use proxy_core::{InFlightGuard, InFlightRequests};
pub use retry_budget::RetryBudget;
pub use selector::{SelectorConfig, SelectorHandle};
