//! Parses the command line, with environment variables as defaults of `--config` and `--state`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use lexopt::Parser;
use reeddock_wal::SyncPolicy;
use thiserror::Error;
use tracing::level_filters::LevelFilter;

use crate::wal_command::{GroupBy, UnknownGroup, View};

/// Text of `reeddock help`.
pub const HELP: &str = "\
reeddock - delivers messages to external systems

usage: reeddock serve [--config FILE] [--state FOLDER] [--log LEVEL] [--sync WHEN]
       reeddock check [--config FILE]
       reeddock wal [--state FOLDER] [--verify | --by KEY | --json]
       reeddock version
       reeddock help

serve     run one forwarder until SIGTERM; SIGHUP reloads FILE
check     validate a configuration and print the values derived from it
wal       print the pending messages of a state folder, read-only (alias: ledger)
version   print the version

FILE is the configuration file; default: $EDGE_CONFIG.
FOLDER holds the write-ahead log and has to be kept between restarts; default: $EDGE_STATE.
WHEN says when the write-ahead log is synced to the disk:
  never    only by the operating system; accepted messages survive a crash of the process (default)
  each     before a client is answered; accepted messages also survive a crash of the machine
  SECONDS  at least once in this interval
KEY is category (or class), destination or age.
--verify lists damaged places of the log; the exit code is 1 if there are any.
LEVEL is error, warn, info (default) or debug; the log is written to standard error.
";

/// Environment variable with the configuration file, used without `--config`.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// Environment variable with the state folder, used without `--state`.
const STATE_VARIABLE: &str = "EDGE_STATE";
/// Maximum interval of `--sync`.
const MAX_SYNC_INTERVAL: Duration = Duration::from_secs(3600);

/// A command with its arguments.
#[derive(Debug)]
pub enum CommandLine {
    /// Runs a forwarder.
    Serve(ServeArguments),
    /// Validates a configuration and prints the values derived from it.
    Check { config: PathBuf },
    /// Prints the contents of a write-ahead log.
    Wal { state: PathBuf, view: View },
    /// Prints the version.
    Version,
    /// Prints [`HELP`].
    Help,
}

/// Arguments of `reeddock serve`.
#[derive(Debug)]
pub struct ServeArguments {
    pub config: PathBuf,
    /// State folder, which has to be kept between restarts.
    pub state: PathBuf,
    /// Minimum severity of logged events.
    pub log_level: LevelFilter,
    /// When the write-ahead log is synced.
    pub sync: SyncPolicy,
}

/// Errors of the command line.
#[derive(Debug, Error)]
pub enum CommandLineError {
    /// An option is unknown, has no value, or has a value that cannot be parsed.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// The first argument is not the name of a command.
    #[error("unknown command {0:?}; `reeddock help` lists the commands")]
    UnknownCommand(String),
    /// The arguments have no command.
    #[error("no command given; `reeddock help` lists the commands")]
    NoCommand,
    /// Neither `--config` nor the environment names the configuration file.
    #[error("no configuration file: expected --config FILE or the environment variable {CONFIG_VARIABLE}")]
    NoConfig,
    /// Neither `--state` nor the environment names the state folder.
    #[error("no state folder: expected --state FOLDER or the environment variable {STATE_VARIABLE}")]
    NoState,
    /// `--sync` has an invalid value.
    #[error("--sync {value:?}: expected never, each, or seconds above 0 and at most {max}", max = MAX_SYNC_INTERVAL.as_secs())]
    Sync {
        /// The value as given.
        value: String,
    },
    /// `--by` has an invalid value.
    #[error("--by {0}")]
    GroupBy(#[from] UnknownGroup),
}

impl CommandLine {
    /// Parses the arguments of this process, with defaults from its environment.
    pub fn from_env() -> Result<CommandLine, CommandLineError> {
        Arguments::parse(Parser::from_env())?.into_command()
    }
}

/// The parsed arguments. Every command accepts all options and ignores those that it does not use.
#[derive(Debug)]
struct Arguments {
    command: Option<String>,
    config: Option<OsString>,
    state: Option<OsString>,
    log_level: LevelFilter,
    sync: SyncPolicy,
    view: View,
}

impl Default for Arguments {
    fn default() -> Arguments {
        Arguments {
            command: None,
            config: None,
            state: None,
            log_level: LevelFilter::INFO,
            sync: SyncPolicy::Never,
            view: View::All,
        }
    }
}

impl Arguments {
    fn parse(mut parser: Parser) -> Result<Arguments, CommandLineError> {
        let mut arguments = Arguments::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Value(name) if arguments.command.is_none() => arguments.command = Some(name.string()?),
                Long("config") => arguments.config = Some(parser.value()?),
                Long("state") => arguments.state = Some(parser.value()?),
                Long("log") => arguments.log_level = parser.value()?.parse()?,
                Long("sync") => arguments.sync = parse_sync(parser.value()?.string()?)?,
                Long("verify") => arguments.view = View::Verify,
                Long("json") => arguments.view = View::Json,
                Long("by") => arguments.view = View::Counts(parser.value()?.string()?.parse::<GroupBy>()?),
                Short('h') | Long("help") => arguments.command = Some("help".into()),
                Short('V') | Long("version") => arguments.command = Some("version".into()),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(arguments)
    }

    fn into_command(self) -> Result<CommandLine, CommandLineError> {
        match self.command.as_deref() {
            Some("serve") => Ok(CommandLine::Serve(ServeArguments {
                config: self.config()?,
                state: self.state()?,
                log_level: self.log_level,
                sync: self.sync,
            })),
            Some("check") => Ok(CommandLine::Check { config: self.config()? }),
            // `ledger` is an alias for scripts that use the former name of the command.
            Some("wal" | "ledger") => Ok(CommandLine::Wal { state: self.state()?, view: self.view }),
            Some("version") => Ok(CommandLine::Version),
            Some("help") => Ok(CommandLine::Help),
            Some(other) => Err(CommandLineError::UnknownCommand(other.to_owned())),
            None => Err(CommandLineError::NoCommand),
        }
    }

    fn config(&self) -> Result<PathBuf, CommandLineError> {
        let config = self.config.clone().or_else(|| std::env::var_os(CONFIG_VARIABLE));
        config.map(PathBuf::from).ok_or(CommandLineError::NoConfig)
    }

    fn state(&self) -> Result<PathBuf, CommandLineError> {
        let state = self.state.clone().or_else(|| std::env::var_os(STATE_VARIABLE));
        state.map(PathBuf::from).ok_or(CommandLineError::NoState)
    }
}

/// Parses the value of `--sync`: `never`, `each`, or an interval in seconds, which may have decimals.
fn parse_sync(value: String) -> Result<SyncPolicy, CommandLineError> {
    match value.as_str() {
        "never" => return Ok(SyncPolicy::Never),
        "each" => return Ok(SyncPolicy::EachAppend),
        _ => {}
    }
    let seconds = value.parse().ok();
    let interval = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let interval = interval.filter(|interval| !interval.is_zero() && *interval <= MAX_SYNC_INTERVAL);
    interval.map(SyncPolicy::Interval).ok_or(CommandLineError::Sync { value })
}
