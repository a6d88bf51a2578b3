//! The ordering core of the control plane: Mencius without a clock, a disk or a socket.
//!
//! A [`Replica`] takes [`Input`]s and answers with [`Effect`]s. Its driver owns the connections,
//! the disk and the state machine: it hands in what arrived, carries out the effects in their order,
//! and reports a finished sync with [`Input::Persisted`]. The daemon and the simulator drive the
//! same code, so a run of the simulator with the same inputs takes the same decisions.
//!
//! ```
//! use mencius::{Config, Effect, Input, Replica};
//!
//! // A group of one: its own vote is a majority.
//! let mut replica = Replica::restore(0, 1, 7, Config::default(), 0, Vec::new());
//! replica.step(0, Input::Submit(b"command".to_vec()));
//! let mut applied = Vec::new();
//! loop {
//!     let effects = replica.take_effects();
//!     if effects.is_empty() {
//!         break;
//!     }
//!     for effect in effects {
//!         match effect {
//!             // A real driver reports this only after the writes are synced to the disk.
//!             Effect::Persist { ticket, .. } => replica.step(0, Input::Persisted(ticket)),
//!             Effect::Apply(instance, value) => applied.push((instance, value)),
//!             _ => {}
//!         }
//!     }
//! }
//! assert_eq!(applied, [(0, b"command".to_vec())]);
//! ```
//!
//! The protocol is that of "Mencius: Building Efficient Replicated State Machines for WANs" (Mao,
//! Junqueira, Marzullo); "paper 4.3" in a comment is a section of it. "design 3.5" is a section of
//! `docs/design.md`, which says where this implementation departs from the paper and why.
//!
//! | module | what it does |
//! | --- | --- |
//! | `messages` | messages, durable writes, inputs, effects |
//! | `config` | parameters, with units |
//! | `replica` | the state of a replica, its entry points, batching of writes and frames |
//! | `state` | the parts of that state |
//! | `propose` | Rules 1, 2 and 4: suggestions in a replica's own instances |
//! | `acceptor` | the acceptor's side of a revocation |
//! | `revocation` | the proposer's side: Rule 3 and Optimization 3 |
//! | `learner` | incoming frames, and what is learned from them |
//! | `apply` | delivery in order, snapshots, restart |
//! | `catch_up` | what is sent again on a new connection and to a replica that is behind |
//! | `read_index` | linearizable reads |
//! | `voting_range` | which instances a disk may vote in when a replica's disk is replaced |
//! | `timers` | heartbeats, suspicion, stalls |
//! | `coordinator_log` | what is known of the instances of one coordinator |
//! | `instance_ranges` | ranges of instances that share a value |
//! | `status` | a description of the replica for logs |
#![deny(missing_docs)]

mod acceptor;
mod apply;
mod catch_up;
mod config;
mod coordinator_log;
mod instance_ranges;
mod learner;
mod messages;
mod propose;
mod read_index;
mod replica;
mod revocation;
mod state;
mod status;
mod timers;
mod voting_range;

pub use config::{Config, VOTING_WINDOW};
pub use messages::{
    Block, Commands, Effect, Frame, Input, Instance, Message, Micros, PersistTicket,
    ProposalNumber, ReadToken, ReplicaId, ReportedCommand, ReportedNoOps, Value, Write,
    first_instance_of,
};
pub use read_index::PendingReads;
pub use replica::Replica;
