//! Why a configuration can't be used, and why a forwarder does not start or go on.

use std::io;
use std::path::PathBuf;

use reeddock_forwarder::ForwarderError;
use reeddock_settings::SettingsError;
use thiserror::Error;

/// What is wrong with a configuration file: which file, the place in it, and what was expected there.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be opened or read.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable { file: PathBuf, source: io::Error },
    /// The text is not JSON; the source names line and column.
    #[error("{} is not JSON: {source}", file.display())]
    NotJson { file: PathBuf, source: serde_json::Error },
    /// The text is JSON, but not a configuration; the source names key, line, column and what was expected.
    #[error("{}: {source}", file.display())]
    Malformed { file: PathBuf, source: serde_json::Error },
    /// A key that every configuration has is absent, or its value is not of the expected type.
    #[error("{}: {key} is missing or malformed", file.display())]
    MissingKey { file: PathBuf, key: &'static str },
    /// A value of the section `settings` has no meaning; the source names its key and what was expected.
    #[error("{}: settings.{source}", file.display())]
    Settings { file: PathBuf, source: SettingsError },
    /// The thread that read the file ended without a result.
    #[error(transparent)]
    ReaderThread(#[from] tokio::task::JoinError),
}

/// Why a forwarder does not start, or ended before it was asked to.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The system refuses what the runtime needs.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// The system refuses to deliver SIGTERM or SIGHUP.
    #[error("cannot wait for signals: {0}")]
    Signals(io::Error),
    /// SIGHUP would no longer be noticed.
    #[error("signals are no longer delivered")]
    SignalsEnded,
    /// The forwarder itself failed; its error says what and where.
    #[error(transparent)]
    Forwarder(#[from] ForwarderError),
}
