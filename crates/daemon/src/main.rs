//! The program `reeddock`: one forwarder on sockets, and the commands that its operators use.
//!
//! | module | its job |
//! | --- | --- |
//! | `command_line` | arguments and environment variables, as a typed command |
//! | `config_file` | reads the sections of a configuration file, and streams its endpoint list |
//! | `startup` | turns a configuration into the options of a forwarder |
//! | `serve` | runs the forwarder; handles SIGTERM and SIGHUP |
//! | `check` | prints what follows from a configuration |
//! | `wal_command` | prints what a write-ahead log holds |
//! | `error` | why the configuration or the start failed |

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

/// Why a command failed. Printed as one line on standard error, with exit code 1.
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
