//! The program `reeddock`: one forwarder on sockets.

mod duties;

use std::process::ExitCode;

use tracing::level_filters::LevelFilter;

const HELP: &str = "\
reeddock - delivers envelopes to other firms' systems

usage: reeddock serve [--config FILE] [--log LEVEL]
       reeddock version
       reeddock help

serve     run one forwarder, as told by FILE (or $EDGE_CONFIG) and $EDGE_STATE
version   print the version

LEVEL is error, warn, info (usual) or debug.
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

fn run() -> Result<(), String> {
    use lexopt::prelude::*;
    let mut words = lexopt::Parser::from_env();
    let (mut command, mut config, mut level) = (None, None, LevelFilter::INFO);
    while let Some(word) = words.next().map_err(|e| e.to_string())? {
        match word {
            Value(word) if command.is_none() => command = Some(word.string().map_err(|e| e.to_string())?),
            Long("config") => config = Some(words.value().map_err(|e| e.to_string())?),
            Long("log") => level = words.value().and_then(|v| v.parse()).map_err(|e| e.to_string())?,
            Short('h') | Long("help") => command = Some("help".into()),
            Short('V') | Long("version") => command = Some("version".into()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match command.as_deref() {
        Some("serve") => serve(config, level),
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

fn serve(config: Option<std::ffi::OsString>, level: LevelFilter) -> Result<(), String> {
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let config =
        config.or_else(|| std::env::var_os("EDGE_CONFIG")).ok_or("no --config and no EDGE_CONFIG")?;
    let post = duties::read(config.as_ref(), std::env::var_os("EDGE_STATE"))?;
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
