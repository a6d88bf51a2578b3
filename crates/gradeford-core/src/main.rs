//! A core seat: a replica that orders the log, keeps it on disk and brings state updates to the
//! nodes (docs/operators/running.md).

#![deny(missing_docs)]

mod core;
mod settings;

fn main() {
    daemon::run::<core::Core>();
}
