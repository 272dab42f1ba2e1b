//! The program `reeddock`: runs one forwarder, and has commands for operators.
//!
//! | module | purpose |
//! | --- | --- |
//! | `command_line` | parses arguments and environment variables into a typed command |
//! | `config_file` | reads the sections of a configuration file and streams its endpoint list |
//! | `startup` | turns a configuration into the options of a forwarder |
//! | `serve` | runs the forwarder; handles SIGTERM and SIGHUP |
//! | `check` | prints the values derived from a configuration |
//! | `wal_command` | prints the contents of a write-ahead log |
//! | `error` | errors of the configuration and of running a forwarder |

mod check;
mod command_line;
mod config_file;
mod error;
mod serve;
mod startup;
mod wal_command;

use std::process::ExitCode;

use thiserror::Error;

use command_line::{CommandLine, CommandLineError};
use error::{ConfigError, StartError};
use wal_command::{View, WalCommandError};

/// The failure of a command, printed as one line on standard error with exit code 1.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    CommandLine(#[from] CommandLineError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Wal(#[from] WalCommandError),
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("reeddock: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<ExitCode, CommandError> {
    match CommandLine::from_env()? {
        CommandLine::Serve(arguments) => serve::run(arguments)?,
        CommandLine::Check { config } => check::run(&config)?,
        CommandLine::Wal { state, view } => {
            let sound = wal_command::run(&state, view)?;
            let found_damage = view == View::Verify && !sound;
            return Ok(ExitCode::from(u8::from(found_damage)));
        }
        CommandLine::Version => println!("reeddock {}", env!("CARGO_PKG_VERSION")),
        CommandLine::Help => print!("{}", command_line::HELP),
    }
    Ok(ExitCode::SUCCESS)
}
