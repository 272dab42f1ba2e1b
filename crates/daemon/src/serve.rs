//! The command `serve`: runs one forwarder until it is asked to stop, and reloads its configuration on SIGHUP.

use std::net::SocketAddr;
use std::path::Path;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::level_filters::LevelFilter;

use crate::command_line::ServeArguments;
use crate::error::StartError;
use crate::startup::{self, ReloadableConfig, StartConfig};

/// Runs a forwarder on this thread until SIGTERM or SIGINT, and through its graceful shutdown.
pub fn run(arguments: ServeArguments) -> Result<(), StartError> {
    log_to_standard_error(arguments.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(StartError::Runtime)?.block_on(serve(arguments))
}

fn log_to_standard_error(level: LevelFilter) {
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}

async fn serve(arguments: ServeArguments) -> Result<(), StartError> {
    // First of all, as a signal without a handler ends the process.
    let terminate = handle(SignalKind::terminate())?;
    let hangup = handle(SignalKind::hangup())?;
    let ServeArguments { config, state, sync, .. } = arguments;
    let start = StartConfig::read(&config, state, sync)?;
    tokio::select! {
        served = reeddock_forwarder::serve(start.options, stop_requested(terminate)) => {
            served.map_err(StartError::Forwarder)
        }
        () = reload_on_hangup(hangup, &config, &start.reloadable, &start.discovery_updates) => {
            Err(StartError::SignalsEnded)
        }
    }
}

/// Installs a handler for a signal.
fn handle(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signals)
}

/// Waits for the first SIGTERM or SIGINT.
async fn stop_requested(mut terminate: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Reads the configuration again at each SIGHUP and applies the address of discovery, which alone can change
/// without a restart. An invalid configuration changes nothing. Returns only if signals are no longer delivered.
async fn reload_on_hangup(
    mut hangup: Signal,
    config: &Path,
    started_with: &ReloadableConfig,
    discovery_updates: &watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match startup::reload(config).await {
            Ok(reloaded) => {
                let needs_restart = reloaded.needs_restart(started_with);
                let discovery = reloaded.discovery();
                tracing::info!(%discovery, ?needs_restart, "configuration reloaded");
                discovery_updates.send_replace(discovery);
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}
