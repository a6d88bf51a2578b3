//! JSON log lines on standard error, with a level that can be changed while the program runs
//! (design 10.3).

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use slog::{Discard, Filter, FnValue, Fuse, Level, Logger, PushFnValue, o};
use slog_async::{Async, AsyncGuard};

/// Lines that may wait to be written; further ones are counted and dropped.
const QUEUED_LINES: usize = 4_096;

/// The least severe level that is still logged, shared by all loggers it was given to.
#[derive(Clone)]
pub struct LogLevelSwitch(Arc<AtomicUsize>);

impl LogLevelSwitch {
    /// A switch that starts at `level`.
    pub fn new(level: Level) -> LogLevelSwitch {
        LogLevelSwitch(Arc::new(AtomicUsize::new(level.as_usize())))
    }

    /// Changes the level of every logger that shares this switch.
    pub fn set_level(&self, level: Level) {
        self.0.store(level.as_usize(), Ordering::Relaxed);
    }

    fn allows(&self, level: Level) -> bool {
        level.as_usize() <= self.0.load(Ordering::Relaxed)
    }
}

/// Starts the logger of a daemon: one JSON object a line on standard error, with `time_us`,
/// `level`, `message`, `program` and `name`.
///
/// Lines are written by a thread of their own; dropping the guard writes what is still queued.
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

/// A logger that writes nothing, for tests and simulators.
pub fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}
