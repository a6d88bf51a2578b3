//! What a replica promises to its peers, its disk and its driver.

mod connections;
mod harness;
mod read_index;
mod voting_range;
