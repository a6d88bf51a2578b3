//! An in-memory disk that becomes full or loses power at a given operation. A power loss tears the
//! last write and loses unsynced data.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use redb::StorageBackend;
use storage::{Error, RecoveredStore, ReplicaStore};

/// The injected fault and the operation from which it takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// The disk is full: operations from this one on fail until the fault is removed.
    Full(u64),
    /// Power is lost at this operation: unsynced writes survive at random, and the last write is
    /// torn.
    PowerLoss(u64),
}

#[derive(Debug)]
struct UnsyncedWrite {
    offset: u64,
    data: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct DiskState {
    synced: Vec<u8>,
    /// The contents as visible to the program, including unsynced writes.
    pub contents: Vec<u8>,
    unsynced: Vec<UnsyncedWrite>,
    pub operations: u64,
    pub fault: Fault,
    powered_off: bool,
}

/// A handle to a disk; clones share the same disk.
#[derive(Clone, Debug)]
pub(crate) struct FaultyDisk(Arc<Mutex<DiskState>>);

impl FaultyDisk {
    pub(crate) fn new() -> Self {
        FaultyDisk(Arc::new(Mutex::new(DiskState {
            synced: Vec::new(),
            contents: Vec::new(),
            unsynced: Vec::new(),
            operations: 0,
            fault: Fault::None,
            powered_off: false,
        })))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
    }

    pub(crate) fn open_store(&self) -> Result<RecoveredStore, Error> {
        let disk = self.clone();
        ReplicaStore::open_with_backend(move || disk.clone())
    }

    /// Restarts the machine after a power loss. `survival_bits` selects the unsynced writes that
    /// survive.
    pub(crate) fn restart(&self, survival_bits: u64) {
        let mut state = self.state();
        let mut bytes = state.synced.clone();
        for (write, number) in state.unsynced.drain(..).zip(0u32..) {
            if survival_bits >> (number % 61) & 1 == 1 {
                overwrite(&mut bytes, write.offset, &write.data);
            }
        }
        state.synced = bytes.clone();
        state.contents = bytes;
        state.fault = Fault::None;
        state.powered_off = false;
    }
}

impl DiskState {
    /// Counts and applies an operation, unless the fault makes it fail.
    fn apply_operation(&mut self, write: Option<(u64, &[u8])>) -> io::Result<()> {
        self.operations += 1;
        match self.fault {
            _ if self.powered_off => return Err(power_lost()),
            Fault::PowerLoss(operation) if self.operations >= operation => {
                self.powered_off = true;
                if let Some((offset, data)) = write {
                    let data = data[..data.len() / 2].to_vec();
                    self.unsynced.push(UnsyncedWrite { offset, data });
                }
                return Err(power_lost());
            }
            Fault::Full(operation) if self.operations >= operation => {
                return Err(io::ErrorKind::StorageFull.into());
            }
            _ => {}
        }
        if let Some((offset, data)) = write {
            overwrite(&mut self.contents, offset, data);
            self.unsynced.push(UnsyncedWrite {
                offset,
                data: data.to_vec(),
            });
        }
        Ok(())
    }
}

fn power_lost() -> io::Error {
    io::Error::other("the disk has lost power")
}

fn overwrite(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let start = offset as usize;
    let end = start + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[start..end].copy_from_slice(data);
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().contents.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let start = offset as usize;
        out.copy_from_slice(&self.state().contents[start..start + out.len()]);
        Ok(())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.apply_operation(None)?;
        state.contents.resize(length as usize, 0);
        // A new length may survive without a sync; a longer file only has additional zeros.
        let known = state.synced.len().max(length as usize);
        state.synced.resize(known, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state();
        state.apply_operation(None)?;
        state.synced = state.contents.clone();
        state.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.state().apply_operation(Some((offset, data)))
    }
}
