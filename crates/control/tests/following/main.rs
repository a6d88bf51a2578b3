//! Nodes that follow the cluster state while replicas stop answering, fail and return.

mod regrouped_updates;
mod replicas;
mod silent_zone;
mod unsent_update;
mod upstreams;
