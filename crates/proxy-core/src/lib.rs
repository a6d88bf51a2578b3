//! What both data planes share: `outbound` with `inbound` over the cluster state, and
//! `legacy-proxy` over standing orders.
//!
//! * [`in_flight`] counts requests so that a shutdown can refuse new ones and wait for the rest.
//! * [`selection`] picks the candidate of least cost, in turn among equals.
//!
//! What the two planes do differently stays in each of them and is named in the module
//! documentation there: what a candidate costs (`selector`) and how retries are earned
//! (`retry_budget`).
#![deny(missing_docs)]

pub mod in_flight;
pub mod selection;

pub use in_flight::{InFlightGuard, InFlightRequests};
pub use selection::{Candidate, FAILURE_COOLDOWN, least_cost};
