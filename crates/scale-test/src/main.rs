//! The program `reeddock-scale-test`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use reeddock_scale_test::error::ScaleTestError;
use reeddock_scale_test::fit::{fit, slope_table, FittedMetric};
use reeddock_scale_test::report::Results;
use reeddock_scale_test::run::{run, Options};
use reeddock_scale_test::scenario::Scenario;
use reeddock_scale_test::tables::tables;
use tokio::signal::unix::{signal, SignalKind};

/// Runs real and hollow forwarders against a stub control plane on loopback, and measures them.
///
/// Exit codes: 0 if all checks passed, 1 if a check failed, 2 if there is no result.
#[derive(Parser)]
#[command(name = "reeddock-scale-test", version, args_conflicts_with_subcommands = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Option<RunArguments>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario at each size of its table [fit], and fit a line to each metric.
    Fit(RunArguments),
}

#[derive(Args)]
struct RunArguments {
    scenario: PathBuf,
    /// Append results to this file, one JSON object per line.
    #[arg(long, value_name = "FILE")]
    jsonl: Option<PathBuf>,
    /// The reeddock program [default: reeddock in the directory of this program].
    #[arg(long, value_name = "PROGRAM")]
    forwarder: Option<PathBuf>,
}

/// Number of threads that run clients and all tasks without a dedicated thread.
const CLIENT_THREADS: usize = 2;
/// Time limit for remaining tasks to end after a run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
const EXIT_CODE_NO_RESULT: u8 = 2;

/// Whether all checks of all runs passed.
#[derive(Clone, Copy)]
enum Outcome {
    AllPassed,
    SomeFailed,
}

impl Outcome {
    fn of(results: &[Results]) -> Outcome {
        if results.iter().all(Results::all_passed) {
            Outcome::AllPassed
        } else {
            Outcome::SomeFailed
        }
    }
}

fn main() -> ExitCode {
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        Err(help_or_version) if !help_or_version.use_stderr() => help_or_version.exit(),
        Err(error) => {
            eprintln!("reeddock-scale-test: {}", usage_error_line(&error.to_string()));
            return ExitCode::from(EXIT_CODE_NO_RESULT);
        }
    };
    match run_on_runtime(command_line) {
        Ok(Outcome::AllPassed) => ExitCode::SUCCESS,
        Ok(Outcome::SomeFailed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("reeddock-scale-test: {}", error.to_string().replace('\n', " "));
            ExitCode::from(EXIT_CODE_NO_RESULT)
        }
    }
}

fn run_on_runtime(command_line: CommandLine) -> Result<Outcome, ScaleTestError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CLIENT_THREADS)
        .thread_name("clients")
        .enable_all()
        .build()
        .map_err(|e| ScaleTestError::aborted("cannot start the async runtime", e))?;
    let outcome = runtime.block_on(run_until_signal(command_line));
    // Dropping the remaining tasks of an aborted run ends its child processes.
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    outcome
}

/// Returns the error about the command line as one line, without the usage text.
fn usage_error_line(error: &str) -> String {
    let message = error.split("Usage:").next().unwrap_or(error).trim_start_matches("error: ");
    let words: Vec<&str> = message.split_whitespace().collect();
    format!("command line: {}; see --help", words.join(" "))
}

/// Runs the command until it completes or SIGINT or SIGTERM arrives.
async fn run_until_signal(command_line: CommandLine) -> Result<Outcome, ScaleTestError> {
    let listen =
        |kind| signal(kind).map_err(|e| ScaleTestError::aborted("cannot install a signal handler", e));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        outcome = run_command(command_line) => outcome,
        _ = interrupt.recv() => Err(ScaleTestError::aborted("the run", "interrupted by SIGINT")),
        _ = terminate.recv() => Err(ScaleTestError::aborted("the run", "terminated by SIGTERM")),
    }
}

async fn run_command(command_line: CommandLine) -> Result<Outcome, ScaleTestError> {
    match (command_line.command, command_line.run) {
        (Some(Command::Fit(arguments)), _) => run_fit(arguments).await,
        (None, Some(arguments)) => run_scenario(arguments).await,
        (None, None) => {
            Err(ScaleTestError::invalid_input("the command line", "SCENARIO or fit SCENARIO", "neither"))
        }
    }
}

async fn run_scenario(arguments: RunArguments) -> Result<Outcome, ScaleTestError> {
    let scenario = Scenario::read(&arguments.scenario)?;
    let results = run(scenario, arguments.options()).await?;
    print(&tables(&results));
    if let Some(file) = &arguments.jsonl {
        results.append_to(file)?;
    }
    Ok(Outcome::of(&[results]))
}

async fn run_fit(arguments: RunArguments) -> Result<Outcome, ScaleTestError> {
    let scenario = Scenario::read(&arguments.scenario)?;
    let report_run = |size: &str, results: &Results| {
        let verdict = if results.all_passed() { "all checks passed" } else { "a check FAILED" };
        eprintln!("{size}: {verdict}");
    };
    let results = fit(&scenario, &arguments.options(), report_run).await?;
    print(&slope_table(&results.fitted));
    if let Some(file) = &arguments.jsonl {
        results.runs.iter().try_for_each(|run| run.append_to(file))?;
        append_slopes(file, &results.fitted)?;
    }
    Ok(Outcome::of(&results.runs))
}

/// Appends the fitted lines to a file, one JSON object per line.
fn append_slopes(file: &Path, fitted: &[FittedMetric]) -> Result<(), ScaleTestError> {
    let write_error =
        |e: std::io::Error| ScaleTestError::aborted(format!("cannot write slopes to {}", file.display()), e);
    let mut output = std::fs::File::options().create(true).append(true).open(file).map_err(write_error)?;
    for figure in fitted {
        let text = serde_json::json!({"line": "slope", "slope": figure});
        writeln!(output, "{text}").map_err(write_error)?;
    }
    Ok(())
}

/// Prints to standard output. Errors are ignored, because the reader can close the pipe early.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

impl RunArguments {
    fn options(&self) -> Options {
        let program_in_same_directory =
            || std::env::current_exe().ok().map(|program| program.with_file_name("reeddock"));
        Options { program: self.forwarder.clone().or_else(program_in_same_directory), ..Options::default() }
    }
}
