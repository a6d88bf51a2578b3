//! Disks that fill, tear and lose what was not synced, at every numbered operation in turn (design 9.4).

use mencius::{ProposalNumber, Write};
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Writes from this operation on are refused until there is room again.
    Full(u64),
    /// Power goes at this operation: what was not synced survives by chance, the last write torn.
    Power(u64),
}

#[derive(Debug)]
struct Disk {
    synced: Vec<u8>,
    held: Vec<u8>,
    unsynced: Vec<(u64, Vec<u8>)>,
    operations: u64,
    fault: Fault,
    dead: bool,
}

#[derive(Clone, Debug)]
struct Backend(Arc<Mutex<Disk>>);

fn place(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}

impl Disk {
    fn operate(&mut self, data: Option<(u64, &[u8])>) -> std::io::Result<()> {
        self.operations += 1;
        let lost = || std::io::Error::other("the power is gone");
        match self.fault {
            _ if self.dead => return Err(lost()),
            Fault::Power(at) if self.operations >= at => {
                self.dead = true;
                if let Some((offset, data)) = data {
                    self.unsynced
                        .push((offset, data[..data.len() / 2].to_vec()));
                }
                return Err(lost());
            }
            Fault::Full(at) if self.operations >= at => {
                return Err(ErrorKind::StorageFull.into());
            }
            _ => {}
        }
        if let Some((offset, data)) = data {
            place(&mut self.held, offset, data);
            self.unsynced.push((offset, data.to_vec()));
        }
        Ok(())
    }

    /// What a machine finds when it starts again.
    fn restart(&mut self, chance: u64) {
        let mut bytes = self.synced.clone();
        self.unsynced
            .drain(..)
            .zip(0u32..)
            .filter(|(_, at)| chance >> (at % 61) & 1 == 1)
            .for_each(|((offset, data), _)| place(&mut bytes, offset, &data));
        (self.synced, self.held, self.fault, self.dead) =
            (bytes.clone(), bytes, Fault::None, false);
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> Result<u64, std::io::Error> {
        Ok(self.0.lock().expect("a disk").held.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        let disk = self.0.lock().expect("a disk");
        out.copy_from_slice(&disk.held[offset as usize..offset as usize + out.len()]);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().expect("a disk");
        disk.operate(None)?;
        disk.held.resize(length as usize, 0);
        // A length that is not synced may survive; the longer file only holds zeros more.
        let known = disk.synced.len().max(length as usize);
        disk.synced.resize(known, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), std::io::Error> {
        let mut disk = self.0.lock().expect("a disk");
        disk.operate(None)?;
        disk.synced = disk.held.clone();
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.lock().expect("a disk").operate(Some((offset, data)))
    }
}

fn disk() -> Backend {
    let disk = Disk {
        synced: vec![],
        held: vec![],
        unsynced: vec![],
        operations: 0,
        fault: Fault::None,
        dead: false,
    };
    Backend(Arc::new(Mutex::new(disk)))
}

fn open(backend: &Backend) -> Result<(storage::ReplicaStore, Vec<Write>), storage::Error> {
    let backend = backend.clone();
    storage::ReplicaStore::open_with_backend(move || backend.clone())
}

fn record(number: u64) -> Vec<Write> {
    vec![Write::Accept {
        instance: number,
        proposal_number: ProposalNumber::INITIAL,
        value: vec![number as u8; 300],
    }]
}

const RECORDS: u64 = 12;

/// How many operations the whole story takes.
fn operations() -> (u64, u64) {
    let backend = disk();
    let (mut shelf, _) = open(&backend).expect("a shelf");
    let before = backend.0.lock().expect("a disk").operations;
    (0..RECORDS).for_each(|number| shelf.append(&record(number), number == 6).expect("append"));
    let after = backend.0.lock().expect("a disk").operations;
    (before, after)
}

#[test]
fn power_lost_at_any_operation_loses_nothing_that_was_reported() {
    let (first, last) = operations();
    (first + 1..=last).for_each(|point| {
        let backend = disk();
        let (mut shelf, _) = open(&backend).expect("a shelf");
        let identity = shelf.disk_id;
        backend.0.lock().expect("a disk").fault = Fault::Power(point);
        let reported: Vec<u64> = (0..RECORDS)
            .take_while(|number| shelf.append(&record(*number), *number == 6).is_ok())
            .collect();
        drop(shelf);
        backend
            .0
            .lock()
            .expect("a disk")
            .restart(point.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let (shelf, found) =
            open(&backend).unwrap_or_else(|trouble| panic!("power lost at {point}: {trouble}"));
        assert_eq!(shelf.disk_id, identity);
        // What was rewritten afresh at the sixth stands for all before it.
        let from = if reported.contains(&6) { 6 } else { 0 };
        let expected: Vec<Write> = reported
            .iter()
            .filter(|number| **number >= from)
            .flat_map(|number| record(*number))
            .collect();
        let next = reported.len() as u64;
        let one_more: Vec<Write> = if next == 6 {
            record(6)
        } else {
            expected.iter().cloned().chain(record(next)).collect()
        };
        assert!(
            found == expected || found == one_more,
            "power lost at {point}, reported {reported:?}, found {}",
            found.len()
        );
    });
}

#[test]
fn a_full_disk_refuses_and_goes_on_without_a_restart_once_there_is_room() {
    let (first, last) = operations();
    (first + 1..=last).for_each(|point| {
        let backend = disk();
        let (mut shelf, _) = open(&backend).expect("a shelf");
        backend.0.lock().expect("a disk").fault = Fault::Full(point);
        let mut refusals = 0;
        (0..RECORDS).for_each(|number| {
            while shelf.append(&record(number), false).is_err() {
                refusals += 1;
                assert!(refusals < 100, "it never came back, full at {point}");
                if refusals == 3 {
                    backend.0.lock().expect("a disk").fault = Fault::None;
                }
            }
        });
        drop(shelf);
        let found = open(&backend).expect("the shelf").1;
        assert_eq!(
            found,
            (0..RECORDS).flat_map(record).collect::<Vec<_>>(),
            "full at {point}"
        );
    });
}

#[test]
fn a_record_that_rotted_is_named_and_not_used() {
    let backend = disk();
    let (mut shelf, _) = open(&backend).expect("a shelf");
    shelf.append(&record(200), false).expect("append");
    drop(shelf);
    {
        let mut disk = backend.0.lock().expect("a disk");
        let spots: Vec<usize> = disk
            .held
            .windows(64)
            .enumerate()
            .filter(|(_, bytes)| bytes.iter().all(|byte| *byte == 200))
            .map(|(at, _)| at)
            .collect();
        assert!(!spots.is_empty());
        spots.iter().for_each(|at| disk.held[*at] ^= 1);
    }
    assert!(matches!(
        open(&backend),
        Err(storage::Error::Damaged { position: 0 } | storage::Error::Store(_))
    ));
}

#[test]
fn power_lost_while_a_new_disk_is_let_in_leaves_it_knowing_where_it_begins_or_nobody() {
    let pins = [(0u16, 7u64), (2, 9)];
    let writes = [Write::VotingRangeStart(1_000_001), Write::Index(1_000_003)];
    let (mut both, mut neither) = (0, 0);
    (1..60u64).for_each(|point| {
        let backend = disk();
        let (mut shelf, _) = open(&backend).expect("a shelf");
        let before = backend.0.lock().expect("a disk").operations;
        backend.0.lock().expect("a disk").fault = Fault::Power(before + point);
        let kept = shelf.replace_pins(&pins, &writes).is_ok();
        drop(shelf);
        backend
            .0
            .lock()
            .expect("a disk")
            .restart(point.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let (shelf, found) = open(&backend).expect("the shelf");
        let whole = shelf.pinned_disks.len() == 2 && found == writes;
        assert!(
            whole || shelf.pinned_disks.is_empty() && found.is_empty() && !kept,
            "power lost at {point}: {:?} {found:?}",
            shelf.pinned_disks
        );
        (both, neither) = (both + whole as u64, neither + !whole as u64);
    });
    assert!(both > 0 && neither > 0, "{both} {neither}");
}
