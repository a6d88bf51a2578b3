//! The ordering core of the control plane: the Mencius protocol as a state machine without a clock,
//! disk or socket.
//!
//! A [`Replica`] takes [`Input`]s and produces [`Effect`]s. Its driver owns the connections, the
//! disk and the state machine: it passes events to the replica, carries out the effects in order,
//! and reports each completed sync with [`Input::Persisted`]. The daemon and the simulator drive
//! the same code, so a simulator run with the same inputs makes the same decisions.
//!
//! ```
//! use mencius::{Config, Effect, Input, Replica};
//!
//! // In a group of one replica, its own vote is a majority.
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
//! Junqueira, Marzullo); "paper 4.3" in a comment refers to a section of that paper. "design 3.5"
//! refers to a section of `docs/design.md`, which explains where and why this implementation
//! differs from the paper.
//!
//! | module | purpose |
//! | --- | --- |
//! | `messages` | messages, durable writes, inputs, effects |
//! | `config` | parameters, with units |
//! | `replica` | the state of a replica, its entry points, batching of writes and frames |
//! | `state` | the data types of that state |
//! | `propose` | Rules 1, 2 and 4: suggestions and skips in a replica's own instances |
//! | `acceptor` | the acceptor's side of a revocation |
//! | `revocation` | the proposer's side of a revocation: Rule 3 and Optimization 3 |
//! | `learner` | dispatch of incoming frames, learning of outcomes |
//! | `apply` | in-order delivery, snapshots, recovery after a restart |
//! | `catch_up` | retransmission on a new connection and to a replica that is behind |
//! | `read_index` | linearizable reads |
//! | `voting_range` | the instances in which a disk may vote when a replica's disk is replaced |
//! | `timers` | heartbeats, failure suspicion, stalled instances |
//! | `coordinator_log` | the log of one coordinator's instances |
//! | `instance_ranges` | a map from ranges of instances to values |
//! | `status` | a description of the replica for log messages |
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
