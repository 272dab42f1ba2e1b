//! Errors of reading a configuration and of running a forwarder.

use std::io;
use std::path::PathBuf;

use reeddock_forwarder::ForwarderError;
use reeddock_settings::SettingsError;
use thiserror::Error;

/// Errors of a configuration file. The messages name the file, the place in the file, and what was expected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be opened or read.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable { file: PathBuf, source: io::Error },
    /// The file is not valid JSON; the source names line and column.
    #[error("{} is not JSON: {source}", file.display())]
    NotJson { file: PathBuf, source: serde_json::Error },
    /// The file is valid JSON, but not a configuration; the source names the place and what was expected.
    #[error("{}: {source}", file.display())]
    Malformed { file: PathBuf, source: serde_json::Error },
    /// A required key is absent, or its value is invalid.
    #[error("{}: missing or malformed key {key}: expected {expected}", file.display())]
    InvalidKey { file: PathBuf, key: &'static str, expected: &'static str },
    /// A value of the section `settings` is invalid; the source names its key and what was expected.
    #[error("{}: settings.{source}", file.display())]
    Settings { file: PathBuf, source: SettingsError },
    /// The thread that reads the file ended without a result.
    #[error("cannot read the configuration, its thread failed: {0}")]
    ReaderThread(#[from] tokio::task::JoinError),
}

/// Errors that prevent the start of a forwarder, or end it without a signal.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration is invalid or cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The asynchronous runtime cannot be created.
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    /// The handler of SIGTERM or SIGHUP cannot be installed.
    #[error("cannot install a handler for SIGTERM or SIGHUP: {0}")]
    Signals(io::Error),
    /// The handler of SIGHUP no longer receives signals, so that the configuration cannot be reloaded.
    #[error("the SIGHUP handler ended; the configuration can no longer be reloaded")]
    SignalsEnded,
    /// The running forwarder failed; the source names the failure and its place.
    #[error(transparent)]
    Forwarder(#[from] ForwarderError),
}
