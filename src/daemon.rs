//! The entry instance as a process.

use std::time::Duration;

use entry::Instance;
use tokio::signal::unix::{SignalKind, signal};

/// Runs an instance until SIGTERM or SIGINT; a second signal does not cut what it holds.
///
/// Its addresses go to standard output as one JSON line, since a port 0 is known only then.
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
            _ = terminate.recv() => log::info!(step = "stop"; "already leaving"),
            _ = interrupt.recv() => log::info!(step = "stop"; "already leaving"),
        }
    }
    // Connections whose answers are written are given a moment to be read.
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    Ok(())
}
