//! A core seat's disk that is slow, stalls, fills up or tears, as a file in its folder says (design 9.4).

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

/// What the file `fault` in the seat's folder may say; nothing, or no file, is a sound disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskFault {
    Healthy,
    /// Each sync takes so much longer.
    Slow,
    /// Nothing gets through until it is over.
    Stalled,
    Full,
    /// The next write is torn in half, and the machine is gone.
    Torn,
}

impl DiskFault {
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
        let told = std::fs::read_to_string(folder.join("fault")).unwrap_or_default();
        [
            DiskFault::Slow,
            DiskFault::Stalled,
            DiskFault::Full,
            DiskFault::Torn,
        ]
        .into_iter()
        .find(|ill| ill.file_text() == told.trim())
        .unwrap_or(DiskFault::Healthy)
    }
}

#[derive(Debug)]
pub struct FaultyDisk {
    file: File,
    folder: PathBuf,
    sync_delay: Duration,
}

impl FaultyDisk {
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

    /// Before each operation that changes the file.
    fn apply_fault(&self) -> std::io::Result<DiskFault> {
        loop {
            match DiskFault::read(&self.folder) {
                DiskFault::Stalled => std::thread::sleep(Duration::from_millis(20)),
                DiskFault::Full => return Err(ErrorKind::StorageFull.into()),
                ill => return Ok(ill),
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
        let longer = if self.apply_fault()? == DiskFault::Slow {
            100
        } else {
            1
        };
        std::thread::sleep(self.sync_delay * longer);
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

/// A core seat as `gradeford-core` puts it together, over such a disk.
pub async fn run_replica(
    env: control::ReplicaConfig,
    mates: String,
    operators: String,
    sync_us: u64,
) -> Result<(), String> {
    let told = |error: &dyn Display| error.to_string();
    let listener = tokio::net::TcpListener::bind(&mates)
        .await
        .map_err(|error| told(&error))?;
    let folder = env.folder.clone();
    drop(FaultyDisk::open(&folder, sync_us).map_err(|error| told(&error))?);
    // Opened again after a failure, as the vault does.
    let opened = move || {
        FaultyDisk::open(&folder, sync_us).unwrap_or_else(|error| {
            eprintln!("the folder is gone: {error}");
            std::process::exit(1)
        })
    };
    let storage::RecoveredStore {
        store: shelf,
        writes,
    } = storage::ReplicaStore::open_with_backend(opened).map_err(|error| told(&error))?;
    let (logger, _guard) = model::logging::start_logger(
        "seat",
        &env.name,
        model::logging::LogLevelSwitch::new(slog::Level::Info),
    );
    let core = control::ReplicaHandle::start_on(env, shelf, writes, logger)
        .map_err(|error| told(&error))?;
    let staying = Arc::new(AtomicBool::new(true));
    let office = operator_api::OperatorApi {
        replica: core.clone(),
        accepting_work: staying.clone(),
    };
    let serving = http_util::HttpServer::start(&operators, operator_api::router(office))
        .await
        .map_err(|error| told(&error))?;
    tokio::spawn(control::updates::server::listen(core, listener));
    let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| told(&error))?;
    stop.recv().await;
    staying.store(false, std::sync::atomic::Ordering::Relaxed);
    serving.stop(Duration::from_secs(5)).await;
    Ok(())
}
