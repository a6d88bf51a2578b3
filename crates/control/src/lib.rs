//! The control plane: the core's owner of log and book, news and proofs, and a node's subscription
//! to them (design 4, 5, 6).

pub mod acquaint;
pub mod bulletin;
pub mod core;
mod core_effects;
mod core_link;
mod core_owner;
pub mod following;
pub mod founding;
pub mod home;
pub mod news;
pub mod promptbook;
pub mod relay;
pub mod reporting;
pub mod retirement;
pub mod ring;
pub mod subscription;
mod tenure;
pub mod view;
pub mod watching;

pub use acquaint::Known;
pub use core::{Core, CoreEnv, CoreState};
pub use following::{Following, FollowingEnv, Outlook, SharedOutlook};
pub use founding::FoundingEnv;
pub use reporting::{ReportingEnv, Reports};
pub use subscription::{Subscription, SubscriptionEnv};
pub use view::View;
