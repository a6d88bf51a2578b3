//! The durability of a store, in a real folder and on simulated disks that fail.

mod disk_faults;
mod faulty_disk;
mod reopening;
mod writer;
