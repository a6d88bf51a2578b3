//! The outbound side of a node: accepts clients' requests, selects a backend for each request, and
//! returns the response (design 13).
//!
//! A request passes these layers:
//!
//! 1. [`Listener`]: HTTP server. It reads a complete request and writes a complete response.
//! 2. [`OutboundProxy`]: routing, deadlines and retries.
//! 3. [`SelectorHandle`]: load balancing and, with [`RetryBudget`], the limit on retries.
//! 4. [`PeerConnections`]: multiplexed connections to the nodes beside other backends. For the
//!    backend beside this node, `inbound::ConcurrencyLimiter` is called directly.
//!
//! [`serve_peers`] is the receiving end of layer 4: it passes the requests that peers forward to
//! `inbound`.
#![deny(missing_docs)]

mod listener;
mod peer_connections;
mod peer_server;
mod proxy;
mod retry_budget;
mod selector;

pub use listener::{Listener, ListenerConfig};
pub use peer_connections::{HandshakeFactory, PeerConnections};
pub use peer_server::{HeartbeatSender, LoadReportSender, PeerServices, serve_peers};
pub use proxy::{OutboundProxy, Request};
pub use proxy_core::{InFlightGuard, InFlightRequests, ShutdownStage};
pub use retry_budget::RetryBudget;
pub use selector::{SelectorConfig, SelectorHandle};
