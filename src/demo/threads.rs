//! Entry instances in one process, each with its own thread and runtime, as the instance is
//! single-threaded.

use std::thread::JoinHandle;

use conf::Settings;
use entry::Instance;
use tokio::sync::mpsc;

use super::Result;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    Stop,
    Kill,
}

/// An entry instance on its own thread.
pub struct InstanceThread {
    /// Name of the instance.
    pub name: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other instances.
    pub peer_address: String,
    commands: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<std::result::Result<(), String>>>,
    running: bool,
}

impl InstanceThread {
    /// Starts an instance and waits until it listens.
    pub fn start(settings: Settings) -> Result<Self> {
        let name = settings.instance.clone();
        let (commands, receiver) = mpsc::unbounded_channel();
        let (ready, started) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.clone())
            .spawn(move || {
                actix_rt::System::new().block_on(run_instance(settings, receiver, ready))
            })?;
        let (caller_address, peer_address) = started.recv()??;
        Ok(Self {
            name,
            caller_address,
            peer_address,
            commands,
            thread: Some(thread),
            running: true,
        })
    }

    /// Whether the instance was neither stopped nor killed.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Starts a graceful stop and returns without waiting for its end.
    pub fn stop(&mut self) {
        self.running = false;
        let _ = self.commands.send(Command::Stop);
    }

    /// Kills the instance, as a crash would.
    pub fn kill(&mut self) {
        self.running = false;
        let _ = self.commands.send(Command::Kill);
    }

    /// Waits for the thread to end. Returns an error if it panicked or the instance failed.
    pub fn join(&mut self) -> Result<()> {
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        let result = thread
            .join()
            .map_err(|_| format!("{} panicked", self.name))?;
        result.map_err(Into::into)
    }
}

/// Reports the caller and peer addresses, or the error that kept the instance from starting.
type Ready = std::sync::mpsc::Sender<std::result::Result<(String, String), String>>;

async fn run_instance(
    settings: Settings,
    mut commands: mpsc::UnboundedReceiver<Command>,
    ready: Ready,
) -> std::result::Result<(), String> {
    let instance = match Instance::start(settings).await {
        Ok(instance) => instance,
        Err(error) => {
            let _ = ready.send(Err(error.to_string()));
            return Err(error.to_string());
        }
    };
    let _ = ready.send(Ok((instance.caller_address(), instance.peer_address())));
    if commands.recv().await != Some(Command::Stop) {
        instance.kill();
        return Ok(());
    }
    tokio::select! {
        () = instance.stop() => {}
        _ = commands.recv() => instance.kill(),
    }
    Ok(())
}
