//! The program `reeddock`: one forwarder on sockets.

mod duties;

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use tracing::level_filters::LevelFilter;

const HELP: &str = "\
reeddock - delivers envelopes to other firms' systems

usage: reeddock serve [--config FILE] [--state FOLDER] [--log LEVEL]
       reeddock check [--config FILE]
       reeddock ledger [--state FOLDER]
       reeddock version
       reeddock help

serve     run one forwarder until SIGTERM
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
    let post = duties::read(order.config()?.as_ref(), order.state()?.into())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    runtime.block_on(async {
        let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
        let stop = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        };
        reeddock_forwarder::serve(post, stop).await.map_err(|e| e.to_string())
    })
}

fn check(order: Order) -> Result<(), String> {
    let post = duties::read(order.config()?.as_ref(), Default::default())?;
    let limits = reeddock_forwarder::limits::Limits::derive(post.allowance);
    println!("listens on {}, discovery and notices at {}", post.listen, post.discovery);
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
