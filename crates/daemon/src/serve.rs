//! The command `serve`: runs one forwarder until SIGTERM or SIGINT, and reloads its configuration on SIGHUP.

use std::net::SocketAddr;
use std::path::Path;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::level_filters::LevelFilter;

use crate::command_line::ServeArguments;
use crate::error::StartError;
use crate::startup::{self, ReloadableConfig, StartConfig};

/// Runs a forwarder on this thread until SIGTERM or SIGINT. Returns after the graceful shutdown.
pub fn run(arguments: ServeArguments) -> Result<(), StartError> {
    init_logging(arguments.log_level);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(StartError::Runtime)?.block_on(serve(arguments))
}

fn init_logging(level: LevelFilter) {
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
}

async fn serve(arguments: ServeArguments) -> Result<(), StartError> {
    // Handlers are installed first, because a signal without a handler ends the process.
    let terminate = install_handler(SignalKind::terminate())?;
    let hangup = install_handler(SignalKind::hangup())?;
    let ServeArguments { config, state, sync, .. } = arguments;
    let start = StartConfig::read(&config, state, sync)?;
    tokio::select! {
        served = reeddock_forwarder::serve(start.options, wait_for_stop_signal(terminate)) => {
            served.map_err(StartError::Forwarder)
        }
        () = reload_on_hangup(hangup, &config, &start.reloadable, &start.discovery_updates) => {
            Err(StartError::SignalsEnded)
        }
    }
}

fn install_handler(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signals)
}

/// Waits for the first SIGTERM or SIGINT.
async fn wait_for_stop_signal(mut terminate: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Reloads the configuration on each SIGHUP and applies the address of discovery, the only value that takes
/// effect without a restart. An invalid configuration is ignored. Returns only if signals are no longer
/// delivered.
async fn reload_on_hangup(
    mut hangup: Signal,
    config: &Path,
    at_start: &ReloadableConfig,
    discovery_updates: &watch::Sender<SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        match startup::reload(config).await {
            Ok(reloaded) => {
                let needs_restart = reloaded.needs_restart(at_start);
                let discovery = reloaded.discovery();
                tracing::info!(%discovery, ?needs_restart, "configuration reloaded");
                discovery_updates.send_replace(discovery);
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}
