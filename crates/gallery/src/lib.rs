//! The control plane: the core's owner of log and book, news and proofs, and a node's subscription
//! to them (design 4, 5, 6).

pub mod acquaint;
pub mod core;
mod core_link;
mod core_owner;
pub mod news;
pub mod subscription;
pub mod view;

pub use acquaint::Known;
pub use core::{Core, CoreEnv, CoreState};
pub use subscription::{Reports, Subscription, SubscriptionEnv};
pub use view::View;
