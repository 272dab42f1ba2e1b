//! The program `reeddock-scale-test`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use reeddock_scale_test::fault::Fault;
use reeddock_scale_test::fit::{fit, slopes};
use reeddock_scale_test::report::Results;
use reeddock_scale_test::run::{run, Options};
use reeddock_scale_test::scenario::Scenario;
use tokio::signal::unix::{signal, SignalKind};

/// Plays real and hollow forwarders against a control side on loopback, and measures them.
///
/// Exit codes: 0 if every check passed, 1 if one failed, 2 if there is no result.
#[derive(Parser)]
#[command(name = "reeddock-scale-test", version, args_conflicts_with_subcommands = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Option<Run>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario at the sizes of its table [fit], and fit slopes.
    Fit(Run),
}

#[derive(Args)]
struct Run {
    scenario: PathBuf,
    /// Results are appended here, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    jsonl: Option<PathBuf>,
    /// The program reeddock; the one beside this program where it is left out.
    #[arg(long, value_name = "PROGRAM")]
    forwarder: Option<PathBuf>,
}

/// Threads for clients and for what is left.
const MAIN_THREADS: usize = 2;

fn main() -> ExitCode {
    let line = match CommandLine::try_parse() {
        Ok(line) => line,
        Err(told) if !told.use_stderr() => told.exit(),
        Err(fault) => {
            eprintln!("reeddock-scale-test: {}", in_one_line(&fault.to_string()));
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(MAIN_THREADS)
        .thread_name("clients")
        .enable_all()
        .build();
    let played = match runtime {
        Ok(runtime) => {
            let played = runtime.block_on(until_told(line));
            // What a broken run leaves, children too, ends with its tasks.
            runtime.shutdown_timeout(std::time::Duration::from_secs(5));
            played
        }
        Err(e) => Err(Fault::broken("the runtime can't be started", e)),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("reeddock-scale-test: {}", fault.to_string().replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

/// What is wrong with the command line, without the help that stands below it.
fn in_one_line(fault: &str) -> String {
    let told = fault.split("Usage:").next().unwrap_or(fault).trim_start_matches("error: ");
    let words: Vec<&str> = told.split_whitespace().collect();
    format!("command line: {}; see --help", words.join(" "))
}

/// Plays until it is over or a signal comes.
async fn until_told(line: CommandLine) -> Result<bool, Fault> {
    let told = |kind| signal(kind).map_err(|e| Fault::broken("signals can't be waited for", e));
    let (mut interrupt, mut terminate) = (told(SignalKind::interrupt())?, told(SignalKind::terminate())?);
    tokio::select! {
        played = play(line) => played,
        _ = interrupt.recv() => Err(Fault::broken("the run", "interrupted")),
        _ = terminate.recv() => Err(Fault::broken("the run", "told to stop")),
    }
}

async fn play(line: CommandLine) -> Result<bool, Fault> {
    match (line.command, line.run) {
        (Some(Command::Fit(run)), _) => play_fit(run).await,
        (None, Some(run)) => play_one(run).await,
        (None, None) => Err(Fault::input("the command line", "SCENARIO or fit SCENARIO", "neither")),
    }
}

async fn play_one(line: Run) -> Result<bool, Fault> {
    let scenario = Scenario::read(&line.scenario)?;
    let results = run(scenario, options(&line)).await?;
    print(&results.tables());
    keep(&line, |file| results.append(file))?;
    Ok(results.sound())
}

async fn play_fit(line: Run) -> Result<bool, Fault> {
    let scenario = Scenario::read(&line.scenario)?;
    let options = options(&line);
    let done = |size: &str, results: &Results| {
        eprintln!("{size}: {}", if results.sound() { "every check passed" } else { "a check FAILED" });
    };
    let outcome = fit(&scenario, &options, done).await?;
    print(&slopes(&outcome.fitted));
    keep(&line, |file| outcome.runs.iter().try_for_each(|run| run.append(file)))?;
    keep(&line, |file| append_slopes(file, &outcome.fitted))?;
    Ok(outcome.runs.iter().all(|run| run.sound()))
}

fn append_slopes(file: &Path, fitted: &[reeddock_scale_test::fit::Fitted]) -> Result<(), Fault> {
    let broken =
        |e: std::io::Error| Fault::broken(format!("slopes can't be written to {}", file.display()), e);
    let mut to = std::fs::File::options().create(true).append(true).open(file).map_err(broken)?;
    for line in fitted {
        let text = serde_json::json!({"line": "slope", "slope": line});
        writeln!(to, "{text}").map_err(broken)?;
    }
    Ok(())
}

fn keep(line: &Run, kept: impl FnOnce(&Path) -> Result<(), Fault>) -> Result<(), Fault> {
    line.jsonl.as_deref().map_or(Ok(()), kept)
}

/// Whoever has read enough may close the pipe.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn options(line: &Run) -> Options {
    let beside = || std::env::current_exe().ok().map(|me| me.with_file_name("reeddock"));
    Options { program: line.forwarder.clone().or_else(beside), ..Options::default() }
}
