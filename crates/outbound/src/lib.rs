//! The near side: what senders ask, whom it goes to, and what they are answered (design 13).

mod in_flight;
mod listener;
mod peer_connections;
mod peer_server;
mod proxy;
mod retry_budget;
mod selector;

pub use in_flight::{InFlightGuard, InFlightRequests};
pub use listener::{Listener, ListenerConfig};
pub use peer_connections::{HandshakeInfo, PeerConnections};
pub use peer_server::{HeartbeatSender, LoadReportSender, serve_peers};
pub use proxy::{OutboundProxy, Request};
pub use retry_budget::RetryBudget;
pub use selector::{SelectorConfig, SelectorHandle};
