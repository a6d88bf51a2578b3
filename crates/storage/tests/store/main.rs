//! What a store keeps, over a real folder and over disks that fail.

mod disk_faults;
mod faulty_disk;
mod reopening;
mod writer;
