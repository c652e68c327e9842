//! Sets up logging as JSON lines.

/// Starts logging to standard error, one JSON object per line. `RUST_LOG` overrides the level.
pub fn start(default_level: &str) {
    let env = env_logger::Env::default().default_filter_or(default_level);
    let result = env_logger::Builder::from_env(env)
        .format(relay::logging::write_line)
        .try_init();
    if let Err(error) = result {
        eprintln!("failed to start logging: {error}");
    }
}
