//! The node program: a proxy node that serves the backends and clients of its machine
//! (docs/operators/running.md).

#![deny(missing_docs)]

mod health;
mod node;
mod presence;
mod settings;
mod start;

fn main() {
    daemon::run::<node::Node>();
}
