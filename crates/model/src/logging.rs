//! JSON log lines on standard error, with a log level that can be changed at run time (design
//! 10.3).

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use slog::{Discard, Filter, FnValue, Fuse, Level, Logger, PushFnValue, o};
use slog_async::{Async, AsyncGuard};

/// Capacity of the queue of unwritten lines; further lines are counted and dropped.
const QUEUED_LINES: usize = 4_096;

/// The least severe level that is logged, shared by all loggers that were given this switch.
#[derive(Clone)]
pub struct LogLevelSwitch(Arc<AtomicUsize>);

impl LogLevelSwitch {
    /// Creates a switch that is set to `level`.
    pub fn new(level: Level) -> LogLevelSwitch {
        LogLevelSwitch(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    /// Changes the level of all loggers that share this switch.
    pub fn set_level(&self, level: Level) {
        self.0.store(level.as_usize(), Ordering::Relaxed);
    }

    fn allows(&self, level: Level) -> bool {
        level.as_usize() <= self.0.load(Ordering::Relaxed)
    }
}

/// Starts the logger of a daemon: one JSON object per line on standard error, with `time_us`,
/// `level`, `message`, `program` and `name`.
///
/// A separate thread writes the lines; dropping the guard flushes the queued lines.
pub fn start_logger(
    program: &'static str,
    name: &str,
    level_switch: LogLevelSwitch,
) -> (Logger, AsyncGuard) {
    let lines = slog_json::Json::new(io::stderr())
        .add_key_value(o!(
            "time_us" => FnValue(|_| crate::clock::wall_clock_now()),
            "level" => FnValue(|record| record.level().as_str()),
            "message" => PushFnValue(|record, out| out.emit(record.msg())),
        ))
        .build();
    let lines = Fuse::new(Mutex::new(Fuse::new(lines)));
    let lines = Filter::new(lines, move |record| level_switch.allows(record.level()));
    let (drain, guard) = Async::new(Fuse::new(lines))
        .chan_size(QUEUED_LINES)
        .build_with_guard();
    let context = o!("program" => program, "name" => name.to_string());
    (Logger::root(Fuse::new(drain), context), guard)
}

/// Returns a logger that discards all lines, for tests and simulators.
pub fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}
