//! The program `reeddock`: one forwarder on sockets.

mod duties;

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::signal::unix::{signal, SignalKind};
use tracing::level_filters::LevelFilter;

const HELP: &str = "\
reeddock - delivers envelopes to other firms' systems

usage: reeddock serve [--config FILE] [--state FOLDER] [--log LEVEL]
       reeddock check [--config FILE]
       reeddock ledger [--state FOLDER]
       reeddock version
       reeddock help

serve     run one forwarder until SIGTERM; SIGHUP has it read FILE again
check     read a configuration and say what it comes down to
ledger    say what the forwarder of a folder still owes; changes nothing
version   print the version

FILE is the configuration, else $EDGE_CONFIG names it. FOLDER outlasts the process, else $EDGE_STATE names it.
LEVEL is error, warn, info (usual) or debug; the log goes to standard error.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
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

fn run() -> Result<(), String> {
    use lexopt::prelude::*;
    let mut words = lexopt::Parser::from_env();
    let mut command = None;
    let mut order = Order { config: None, state: None, level: LevelFilter::INFO };
    while let Some(word) = words.next().map_err(|e| e.to_string())? {
        match word {
            Value(word) if command.is_none() => command = Some(word.string().map_err(|e| e.to_string())?),
            Long("config") => order.config = Some(words.value().map_err(|e| e.to_string())?),
            Long("state") => order.state = Some(words.value().map_err(|e| e.to_string())?),
            Long("log") => order.level = words.value().and_then(|v| v.parse()).map_err(|e| e.to_string())?,
            Short('h') | Long("help") => command = Some("help".into()),
            Short('V') | Long("version") => command = Some("version".into()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match command.as_deref() {
        Some("serve") => serve(order),
        Some("check") => check(order),
        Some("ledger") => ledger(order),
        Some("version") => {
            println!("reeddock {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{HELP}");
            Ok(())
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
        let (post, moves, started) = duties::read(&file, state)?;
        let rereading = async {
            while hangup.recv().await.is_some() {
                match duties::read(&file, PathBuf::new()) {
                    Ok((.., now)) => {
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
            served = reeddock_forwarder::serve(post, stop) => served.map_err(|e| e.to_string()),
            () = rereading => Err("signals are not told any more".into()),
        }
    })
}

fn check(order: Order) -> Result<(), String> {
    let (post, _, started) = duties::read(order.config()?.as_ref(), Default::default())?;
    let limits = reeddock_forwarder::limits::Limits::derive(post.allowance);
    println!("listens on {}, discovery and notices at {}", post.listen, started.discovery);
    println!("{} targets known, generation {}", post.known.entries.len(), post.known.generation);
    for category in &post.terms.categories {
        let (name, effect) = (&category.name, category.effect);
        let effect = effect.map_or("effect not understood, so effectful".into(), |e| format!("{e:?}"));
        println!(
            "category {name}: {effect}, promised {:?}, outer limit {:?}",
            category.promised, category.outer_limit
        );
    }
    println!("slots {:?}, room for {:?} envelopes", post.terms.slots, post.terms.room);
    println!("{limits:?}");
    Ok(())
}

fn ledger(order: Order) -> Result<(), String> {
    let folder = order.state()?;
    let (books, torn) = reeddock_ledger::look(folder.as_ref())
        .map_err(|e| format!("cannot read the ledger in {}: {e}", folder.display()))?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    let mut by_destination: BTreeMap<u64, usize> = BTreeMap::new();
    for owed in books.unended() {
        let taken = &owed.taken;
        *by_destination.entry(taken.destination).or_default() += 1;
        let left = (i128::from(taken.outer_limit) - now as i128) / 1_000_000;
        let unsure = owed.dispatches.iter().filter(|d| d.ended != Some(true)).count();
        println!(
            "{} {} for destination {}: {left} s left, {} dispatches, {unsure} of which may have run",
            taken.id,
            taken.category,
            taken.destination,
            owed.dispatches.len()
        );
    }
    for notice in books.untold() {
        println!("{} ended, and the platform has not been told: {:?}", notice.id.0, notice.end);
    }
    for (destination, count) in by_destination {
        println!("destination {destination}: {count} owed");
    }
    if torn > 0 {
        println!("{torn} bytes at the end can't be read; the next start cuts them off");
    }
    Ok(())
}
