//! A node beside backends: serves them and their clients (docs/operators/running.md).

#![deny(missing_docs)]

mod health;
mod node;
mod presence;
mod settings;
mod start;

fn main() {
    daemon::run::<node::Node>();
}
