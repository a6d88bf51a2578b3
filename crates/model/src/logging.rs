//! JSON lines to standard error (design 10.3).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;

/// How much is told; a reload turns it while the program runs.
#[derive(Clone)]
pub struct LogLevelSwitch(Arc<AtomicUsize>);

impl LogLevelSwitch {
    pub fn new(level: slog::Level) -> LogLevelSwitch {
        LogLevelSwitch(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    pub fn set_level(&self, level: slog::Level) {
        self.0
            .store(level.as_usize(), std::sync::atomic::Ordering::Relaxed);
    }

    fn allows(&self, level: slog::Level) -> bool {
        level.as_usize() <= self.0.load(std::sync::atomic::Ordering::Relaxed)
    }
}

pub fn start_logger(
    program: &'static str,
    name: &str,
    level_switch: LogLevelSwitch,
) -> (slog::Logger, slog_async::AsyncGuard) {
    let lines = slog_json::Json::new(std::io::stderr())
        .add_key_value(slog::o!(
            "time_us" => slog::FnValue(|_| crate::clock::wall_clock_now()),
            "level" => slog::FnValue(|record| record.level().as_str()),
            "message" => slog::PushFnValue(|record, out| out.emit(record.msg())),
        ))
        .build();
    let lines = slog::Filter::new(
        slog::Fuse::new(Mutex::new(slog::Fuse::new(lines))),
        move |record| level_switch.allows(record.level()),
    );
    let (drain, guard) = slog_async::Async::new(slog::Fuse::new(lines))
        .chan_size(4_096)
        .build_with_guard();
    (
        slog::Logger::root(
            slog::Fuse::new(drain),
            slog::o!("program" => program, "name" => name.to_string()),
        ),
        guard,
    )
}

pub fn discard_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
