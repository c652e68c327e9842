//! Runs an entry instance as a process.

use std::time::Duration;

use entry::Instance;
use tokio::signal::unix::{SignalKind, signal};

/// Pause before the process exits after its last answer.
const FLUSH_PAUSE: Duration = Duration::from_millis(100);

/// Runs an instance until SIGTERM or SIGINT, then lets it finish its requests. Further signals do
/// not interrupt them.
///
/// Prints the addresses as one JSON line on standard output, since port 0 in the settings is replaced
/// by a free port.
pub async fn run(settings: conf::Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = settings.instance.clone();
    let instance = Instance::start(settings).await?;
    let line = serde_json::json!({
        "instance": name,
        "caller_address": instance.caller_address(),
        "peer_address": instance.peer_address(),
    });
    println!("{line}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let stop = instance.stop();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            _ = terminate.recv() => log::info!(step = "stop"; "already stopping"),
            _ = interrupt.recv() => log::info!(step = "stop"; "already stopping"),
        }
    }
    // Callers need a moment to read the answers that are already written.
    actix_rt::time::sleep(FLUSH_PAUSE).await;
    Ok(())
}
