//! The core program: a replica that orders the log, stores it on disk and sends state updates to
//! the nodes (docs/operators/running.md).

#![deny(missing_docs)]

mod core;
mod settings;

fn main() {
    daemon::run::<core::Core>();
}
