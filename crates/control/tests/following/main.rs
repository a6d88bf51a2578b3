//! Nodes that follow the cluster state while replicas freeze, die and come back.

mod regrouped_updates;
mod replicas;
mod silent_zone;
mod unsent_update;
mod upstreams;
