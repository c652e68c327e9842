//! Logs as JSON lines.

/// Starts logging to standard error, one JSON object a line; `RUST_LOG` sets the level.
pub fn start(default_level: &str) {
    let env = env_logger::Env::default().default_filter_or(default_level);
    let started = env_logger::Builder::from_env(env)
        .format(relay::logging::write_line)
        .try_init();
    if let Err(error) = started {
        eprintln!("logging was started before: {error}");
    }
}
