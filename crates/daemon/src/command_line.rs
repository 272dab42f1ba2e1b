//! The command line: arguments, and the environment variables that stand in for two of them.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;
use lexopt::Parser;
use reeddock_wal::SyncPolicy;
use thiserror::Error;
use tracing::level_filters::LevelFilter;

use crate::wal_command::{GroupBy, UnknownGroup, View};

/// What `reeddock help` prints.
pub const HELP: &str = "\
reeddock - delivers messages to other firms' systems

usage: reeddock serve [--config FILE] [--state FOLDER] [--log LEVEL] [--sync WHEN]
       reeddock check [--config FILE]
       reeddock wal [--state FOLDER] [--verify | --by KEY | --json]
       reeddock version
       reeddock help

serve     run one forwarder until SIGTERM; SIGHUP reloads FILE
check     validate a configuration and print what follows from it
wal       print the pending messages of a state folder; changes nothing (also: ledger, its old name)
version   print the version

FILE is the configuration, else $EDGE_CONFIG names it. FOLDER outlasts the process, else $EDGE_STATE names it.
WHEN says when the write-ahead log is synced to the disk: never (the default: accepted messages outlast the
process), each (they outlast the machine, before a client is answered), or a number of seconds (at least that
often).
KEY is category (or class), destination or age. --verify lists what is damaged, with exit code 1 if anything is.
LEVEL is error, warn, info (the default) or debug; the log goes to standard error.
";

/// Names the configuration file if `--config` does not.
const CONFIG_VARIABLE: &str = "EDGE_CONFIG";
/// Names the state folder if `--state` does not.
const STATE_VARIABLE: &str = "EDGE_STATE";
/// The longest interval that `--sync` takes.
const MAX_SYNC_INTERVAL: Duration = Duration::from_secs(3600);

/// One command with all that it needs.
#[derive(Debug)]
pub enum CommandLine {
    /// Run a forwarder.
    Serve(ServeArguments),
    /// Validate a configuration and print what follows from it.
    Check { config: PathBuf },
    /// Print what a write-ahead log holds.
    Wal { state: PathBuf, view: View },
    /// Print the version.
    Version,
    /// Print [`HELP`].
    Help,
}

/// What `reeddock serve` is given.
#[derive(Debug)]
pub struct ServeArguments {
    /// The configuration file.
    pub config: PathBuf,
    /// The state folder, which outlasts the process.
    pub state: PathBuf,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// When the write-ahead log is synced.
    pub sync: SyncPolicy,
}

/// What is wrong with the command line, and what was expected there.
#[derive(Debug, Error)]
pub enum CommandLineError {
    /// An option is unknown, lacks its value, or has one that can't be parsed.
    #[error(transparent)]
    Option(#[from] lexopt::Error),
    /// No such command.
    #[error("no command {0:?}; see reeddock help")]
    UnknownCommand(String),
    /// No command at all.
    #[error("no command; see reeddock help")]
    NoCommand,
    /// Neither option nor environment names the configuration file.
    #[error("no --config, and {CONFIG_VARIABLE} names no file")]
    NoConfig,
    /// Neither option nor environment names the state folder.
    #[error("no --state, and {STATE_VARIABLE} names no folder that lasts")]
    NoState,
    /// `--sync` has none of the values that it takes.
    #[error("--sync {value:?}: expected never, each, or seconds over 0 and {max} at most", max = MAX_SYNC_INTERVAL.as_secs())]
    Sync {
        /// What it has.
        value: String,
    },
    /// `--by` has none of the values that it takes.
    #[error("--by {0}")]
    GroupBy(#[from] UnknownGroup),
}

impl CommandLine {
    /// Parses the arguments and the environment of this process.
    pub fn from_env() -> Result<CommandLine, CommandLineError> {
        Arguments::parse(Parser::from_env())?.into_command()
    }
}

/// The arguments as given: every command takes every option, and uses those that concern it.
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
            // `ledger` is the name that the command had at first.
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

/// The value of `--sync`: `never`, `each`, or an interval in seconds, with decimals if need be.
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
