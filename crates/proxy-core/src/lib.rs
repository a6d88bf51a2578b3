//! Code shared by both data planes: `outbound` with `inbound`, which follow the cluster state, and
//! `legacy-proxy`, which follows standing orders.
//!
//! * [`in_flight`] counts requests so that a shutdown can refuse new ones and wait for the rest.
//! * [`shutdown`] tells the requests in flight how far a shutdown has come.
//! * [`selection`] selects the candidate of least cost and rotates among candidates of equal cost.
//!
//! Each data plane has its own cost function (`selector`) and its own retry budget
//! (`retry_budget`); the documentation of these modules explains the differences.
#![deny(missing_docs)]

pub mod in_flight;
pub mod selection;
pub mod shutdown;

pub use in_flight::{InFlightGuard, InFlightRequests};
pub use selection::{Candidate, FAILURE_COOLDOWN, least_cost};
pub use shutdown::{ShutdownSignal, ShutdownStage};
