//! JSON lines to standard error (design 10.3).

pub fn start(program: &'static str, name: &str, level: slog::Level) -> (slog::Logger, slog_async::AsyncGuard) {
    let lines = slog_json::Json::new(std::io::stderr())
        .add_key_value(slog::o!(
            "time_us" => slog::FnValue(|_| crate::clock::wall()),
            "level" => slog::FnValue(|record| record.level().as_str()),
            "message" => slog::PushFnValue(|record, out| out.emit(record.msg())),
        ))
        .build();
    let lines = slog::LevelFilter::new(slog::Fuse::new(std::sync::Mutex::new(slog::Fuse::new(lines))), level);
    let (drain, guard) = slog_async::Async::new(slog::Fuse::new(lines)).chan_size(4_096).build_with_guard();
    (slog::Logger::root(slog::Fuse::new(drain), slog::o!("program" => program, "name" => name.to_string())), guard)
}

pub fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
