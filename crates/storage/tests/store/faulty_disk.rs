//! A disk in memory that fills, tears and loses what was not synced, at a numbered operation.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use redb::StorageBackend;
use storage::{Error, RecoveredStore, ReplicaStore};

/// What goes wrong, from which operation on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Writes from this operation on are refused until there is room again.
    Full(u64),
    /// Power goes at this operation: what was not synced survives by chance, the last write torn.
    Power(u64),
}

#[derive(Debug)]
struct UnsyncedWrite {
    offset: u64,
    data: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct DiskState {
    synced: Vec<u8>,
    /// As a program sees it, with what is not synced.
    pub contents: Vec<u8>,
    unsynced: Vec<UnsyncedWrite>,
    pub operations: u64,
    pub fault: Fault,
    dead: bool,
}

/// A disk; clones are the same one.
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
            dead: false,
        })))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0
            .lock()
            .expect("no test panics while it holds the disk")
    }

    pub(crate) fn open_store(&self) -> Result<RecoveredStore, Error> {
        let disk = self.clone();
        ReplicaStore::open_with_backend(move || disk.clone())
    }

    /// What a machine finds when it starts again. `chance` draws which unsynced writes survived.
    pub(crate) fn restart(&self, chance: u64) {
        let mut state = self.state();
        let mut bytes = state.synced.clone();
        for (write, number) in state.unsynced.drain(..).zip(0u32..) {
            if chance >> (number % 61) & 1 == 1 {
                overwrite(&mut bytes, write.offset, &write.data);
            }
        }
        state.synced = bytes.clone();
        state.contents = bytes;
        state.fault = Fault::None;
        state.dead = false;
    }
}

impl DiskState {
    /// Counts an operation and fails it if its turn has come.
    fn operate(&mut self, write: Option<(u64, &[u8])>) -> io::Result<()> {
        self.operations += 1;
        match self.fault {
            _ if self.dead => return Err(power_is_gone()),
            Fault::Power(at) if self.operations >= at => {
                self.dead = true;
                if let Some((offset, data)) = write {
                    let data = data[..data.len() / 2].to_vec();
                    self.unsynced.push(UnsyncedWrite { offset, data });
                }
                return Err(power_is_gone());
            }
            Fault::Full(at) if self.operations >= at => {
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

fn power_is_gone() -> io::Error {
    io::Error::other("the power is gone")
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
        state.operate(None)?;
        state.contents.resize(length as usize, 0);
        // A length that is not synced may survive; the longer file only holds zeros more.
        let known = state.synced.len().max(length as usize);
        state.synced.resize(known, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state();
        state.operate(None)?;
        state.synced = state.contents.clone();
        state.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.state().operate(Some((offset, data)))
    }
}
