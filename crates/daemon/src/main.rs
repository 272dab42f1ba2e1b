//! The program `reeddock`: one forwarder on sockets.

mod config_file;
mod startup;
mod wal_command;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use reeddock_wal::Sync;
use tokio::signal::unix::{signal, SignalKind};
use tracing::level_filters::LevelFilter;
use wal_command::View;

const HELP: &str = "\
reeddock - delivers envelopes to other firms' systems

usage: reeddock serve [--config FILE] [--state FOLDER] [--log LEVEL] [--sync WHEN]
       reeddock check [--config FILE]
       reeddock ledger [--state FOLDER] [--verify | --by KEY | --json]
       reeddock version
       reeddock help

serve     run one forwarder until SIGTERM; SIGHUP has it read FILE again
check     read a configuration and say what it comes down to
ledger    say what the forwarder of a folder still owes; changes nothing
version   print the version

FILE is the configuration, else $EDGE_CONFIG names it. FOLDER outlasts the process, else $EDGE_STATE names it.
WHEN is never (usual: what is owed outlasts the process), each (it outlasts the machine before anything is
answered), or a number of seconds (it does so at least that often).
KEY is category, destination or age. --verify tells what is damaged, with exit code 1 if anything is.
LEVEL is error, warn, info (usual) or debug; the log goes to standard error.
";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("reeddock: {}", fault.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// What the command line says.
struct Order {
    config: Option<OsString>,
    state: Option<OsString>,
    level: LevelFilter,
    sync: Sync,
    view: View,
}

/// When the write-ahead log is synced, as the command line has it.
fn sync(word: &str) -> Result<Sync, String> {
    match word {
        "never" => Ok(Sync::Never),
        "each" => Ok(Sync::Each),
        seconds => {
            let span = seconds.parse().ok().and_then(|s| Duration::try_from_secs_f64(s).ok());
            let span = span.filter(|s| !s.is_zero() && *s <= Duration::from_secs(3600));
            span.map(Sync::Every).ok_or_else(|| {
                format!("--sync {word:?}: expected never, each, or seconds over 0 and 3600 at most")
            })
        }
    }
}

impl Order {
    fn config(&self) -> Result<OsString, String> {
        let config = self.config.clone().or_else(|| std::env::var_os("EDGE_CONFIG"));
        config.ok_or_else(|| "no --config, and EDGE_CONFIG names no file".into())
    }

    fn state(&self) -> Result<OsString, String> {
        let state = self.state.clone().or_else(|| std::env::var_os("EDGE_STATE"));
        state.ok_or_else(|| "no --state, and EDGE_STATE names no folder that lasts".into())
    }
}

fn run() -> Result<ExitCode, String> {
    use lexopt::prelude::*;
    let mut words = lexopt::Parser::from_env();
    let mut command = None;
    let mut order =
        Order { config: None, state: None, level: LevelFilter::INFO, sync: Sync::Never, view: View::All };
    while let Some(word) = words.next().map_err(|e| e.to_string())? {
        match word {
            Value(word) if command.is_none() => command = Some(word.string().map_err(|e| e.to_string())?),
            Long("config") => order.config = Some(words.value().map_err(|e| e.to_string())?),
            Long("state") => order.state = Some(words.value().map_err(|e| e.to_string())?),
            Long("log") => order.level = words.value().and_then(|v| v.parse()).map_err(|e| e.to_string())?,
            Long("sync") => {
                order.sync = sync(&words.value().and_then(|v| v.string()).map_err(|e| e.to_string())?)?
            }
            Long("verify") => order.view = View::Verify,
            Long("json") => order.view = View::Json,
            Long("by") => {
                let key = words.value().and_then(|v| v.string()).map_err(|e| e.to_string())?;
                order.view = View::By(key.parse()?);
            }
            Short('h') | Long("help") => command = Some("help".into()),
            Short('V') | Long("version") => command = Some("version".into()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match command.as_deref() {
        Some("serve") => serve(order).map(|()| ExitCode::SUCCESS),
        Some("check") => check(order).map(|()| ExitCode::SUCCESS),
        Some("ledger") => {
            let sound = wal_command::tell(order.state()?.as_ref(), order.view)?;
            Ok(ExitCode::from(u8::from(order.view == View::Verify && !sound)))
        }
        Some("version") => {
            println!("reeddock {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        Some("help") => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        Some(other) => Err(format!("no command {other:?}; see reeddock help")),
        None => Err("no command; see reeddock help".into()),
    }
}

fn serve(order: Order) -> Result<(), String> {
    tracing_subscriber::fmt()
        .with_max_level(order.level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    runtime.block_on(async {
        // Before anything else: a signal that nobody waits for ends the process.
        let told = |kind| signal(kind).map_err(|e| format!("cannot wait for signals: {e}"));
        let (mut term, mut hangup) = (told(SignalKind::terminate())?, told(SignalKind::hangup())?);
        let (file, state) = (PathBuf::from(order.config()?), PathBuf::from(order.state()?));
        let (mut options, moves, started) = startup::read(&file, state)?;
        options.sync = order.sync;
        let rereading = async {
            while hangup.recv().await.is_some() {
                match startup::read_again(&file).await {
                    Ok(now) => {
                        let needs_restart = now.needs_restart(&started);
                        tracing::info!(discovery = %now.discovery, ?needs_restart, "read the configuration again");
                        moves.send_replace(now.discovery);
                    }
                    Err(fault) => tracing::warn!(%fault, "the old configuration stands"),
                }
            }
        };
        let stop = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        };
        tokio::select! {
            served = reeddock_forwarder::serve(options, stop) => served.map_err(|e| e.to_string()),
            () = rereading => Err("signals are not told any more".into()),
        }
    })
}

fn check(order: Order) -> Result<(), String> {
    let (options, _, started) = startup::read(order.config()?.as_ref(), Default::default())?;
    let limits = reeddock_forwarder::limits::Limits::derive(options.resources);
    println!("listens on {}, discovery and notices at {}", options.listen, started.discovery);
    println!(
        "{} targets known, generation {}",
        options.cached_list.endpoints, options.cached_list.generation
    );
    for class in &options.settings.classes {
        let (name, idempotency) = (&class.name, class.idempotency);
        let idempotency =
            idempotency.map_or("effect not understood, so effectful".into(), |e| format!("{e:?}"));
        println!(
            "category {name}: {idempotency}, promised {:?}, outer limit {:?}",
            class.latency_objective, class.deadline
        );
    }
    println!("shape {}", started.shape);
    println!(
        "slots {:?}, room for {:?} envelopes",
        options.settings.max_in_flight, options.settings.capacity
    );
    println!("{limits:?}");
    Ok(())
}
