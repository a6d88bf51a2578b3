//! A replica's simulated disk, which can be slow, stalled or full, or tear a write. A file in the replica's folder selects
//! the fault (design 9.4).

use std::fmt::Display;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// The faults that the file `fault` in the replica's folder can select. Without the file, or with any other content,
/// the disk is healthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskFault {
    Healthy,
    /// Syncs take 100 times as long.
    Slow,
    /// Writes and syncs block until the fault is removed.
    Stalled,
    /// Writes and syncs fail with `StorageFull`.
    Full,
    /// The next write stores only its first half, and the process aborts.
    Torn,
}

impl DiskFault {
    /// Returns the content of the file `fault` that selects this fault.
    pub fn file_text(self) -> &'static str {
        match self {
            DiskFault::Healthy => "sound",
            DiskFault::Slow => "slow",
            DiskFault::Stalled => "stalled",
            DiskFault::Full => "full",
            DiskFault::Torn => "torn",
        }
    }

    fn read(folder: &Path) -> DiskFault {
        let content = std::fs::read_to_string(folder.join("fault")).unwrap_or_default();
        [
            DiskFault::Slow,
            DiskFault::Stalled,
            DiskFault::Full,
            DiskFault::Torn,
        ]
        .into_iter()
        .find(|fault| fault.file_text() == content.trim())
        .unwrap_or(DiskFault::Healthy)
    }
}

/// Storage backend that applies the selected fault to each operation.
#[derive(Debug)]
pub struct FaultyDisk {
    file: File,
    folder: PathBuf,
    sync_delay: Duration,
}

impl FaultyDisk {
    /// Opens the store in this folder; each sync is delayed by `sync_us` microseconds.
    pub fn open(folder: &Path, sync_us: u64) -> std::io::Result<FaultyDisk> {
        std::fs::create_dir_all(folder)?;
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join("core.redb"))?;
        Ok(FaultyDisk {
            file,
            folder: folder.into(),
            sync_delay: Duration::from_micros(sync_us),
        })
    }

    /// Applies the selected fault before an operation that changes or syncs the file. Blocks while the disk is stalled.
    fn apply_fault(&self) -> std::io::Result<DiskFault> {
        loop {
            match DiskFault::read(&self.folder) {
                DiskFault::Stalled => std::thread::sleep(Duration::from_millis(20)),
                DiskFault::Full => return Err(ErrorKind::StorageFull.into()),
                fault => return Ok(fault),
            }
        }
    }
}

impl redb::StorageBackend for FaultyDisk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        FileExt::read_exact_at(&self.file, out, offset)
    }

    fn set_len(&self, length: u64) -> std::io::Result<()> {
        self.apply_fault()?;
        self.file.set_len(length)
    }

    fn sync_data(&self) -> std::io::Result<()> {
        let delay_factor = if self.apply_fault()? == DiskFault::Slow {
            100
        } else {
            1
        };
        std::thread::sleep(self.sync_delay * delay_factor);
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        if self.apply_fault()? == DiskFault::Torn {
            FileExt::write_all_at(&self.file, &data[..data.len() / 2], offset)?;
            std::process::abort();
        }
        FileExt::write_all_at(&self.file, data, offset)
    }
}

/// Runs a replica as `gradeford-core` does, over a simulated disk.
pub async fn run_replica(
    config: control::ReplicaConfig,
    peer_address: String,
    operators_address: String,
    sync_us: u64,
) -> Result<(), String> {
    let to_message = |error: &dyn Display| error.to_string();
    let listener = tokio::net::TcpListener::bind(&peer_address)
        .await
        .map_err(|error| to_message(&error))?;
    let folder = config.folder.clone();
    drop(FaultyDisk::open(&folder, sync_us).map_err(|error| to_message(&error))?);
    // The store reopens its storage backend after a failure.
    let open_backend = move || {
        FaultyDisk::open(&folder, sync_us).unwrap_or_else(|error| {
            eprintln!("the store cannot be reopened; the process exits: {error}");
            std::process::exit(1)
        })
    };
    let storage::RecoveredStore { store, writes } =
        storage::ReplicaStore::open_with_backend(open_backend)
            .map_err(|error| to_message(&error))?;
    let (logger, _guard) = model::logging::start_logger(
        "seat",
        &config.name,
        model::logging::LogLevelSwitch::new(slog::Level::Info),
    );
    let replica = control::ReplicaHandle::start_on(config, store, writes, logger)
        .map_err(|error| to_message(&error))?;
    let accepting_work = Arc::new(AtomicBool::new(true));
    let operator_api = operator_api::OperatorApi {
        replica: replica.clone(),
        accepting_work: accepting_work.clone(),
    };
    let server =
        http_util::HttpServer::start(&operators_address, operator_api::router(operator_api))
            .await
            .map_err(|error| to_message(&error))?;
    tokio::spawn(control::updates::server::listen(replica, listener));
    let mut stop_signal = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| to_message(&error))?;
    stop_signal.recv().await;
    accepting_work.store(false, std::sync::atomic::Ordering::Relaxed);
    server.stop(Duration::from_secs(5)).await;
    Ok(())
}
