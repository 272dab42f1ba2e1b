//! The program `reeddock-scale-test`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use reeddock_scale_test::error::ScaleTestError;
use reeddock_scale_test::fit::{fit, slope_table, FittedFigure};
use reeddock_scale_test::report::Results;
use reeddock_scale_test::run::{run, Options};
use reeddock_scale_test::scenario::Scenario;
use reeddock_scale_test::tables::tables;
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
    run: Option<RunArguments>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario at the sizes of its table [fit], and fit slopes.
    Fit(RunArguments),
}

#[derive(Args)]
struct RunArguments {
    scenario: PathBuf,
    /// Results are appended here, one JSON object a line.
    #[arg(long, value_name = "FILE")]
    jsonl: Option<PathBuf>,
    /// The program reeddock; the one beside this program where it is left out.
    #[arg(long, value_name = "PROGRAM")]
    forwarder: Option<PathBuf>,
}

/// Threads for clients and for all tasks without a thread of their own.
const MAIN_THREADS: usize = 2;
/// How long tasks that are left may take to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// The exit code of a run without a result.
const EXIT_NO_RESULT: u8 = 2;

/// Whether every check of all runs passed.
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
            return ExitCode::from(EXIT_NO_RESULT);
        }
    };
    match run_on_runtime(command_line) {
        Ok(Outcome::AllPassed) => ExitCode::SUCCESS,
        Ok(Outcome::SomeFailed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("reeddock-scale-test: {}", error.to_string().replace('\n', " "));
            ExitCode::from(EXIT_NO_RESULT)
        }
    }
}

fn run_on_runtime(command_line: CommandLine) -> Result<Outcome, ScaleTestError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(MAIN_THREADS)
        .thread_name("clients")
        .enable_all()
        .build()
        .map_err(|e| ScaleTestError::aborted("the runtime can't be started", e))?;
    let outcome = runtime.block_on(run_until_signal(command_line));
    // What an aborted run leaves, child processes too, ends with its tasks.
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    outcome
}

/// What is wrong with the command line, in one line, without the help text below it.
fn usage_error_line(error: &str) -> String {
    let message = error.split("Usage:").next().unwrap_or(error).trim_start_matches("error: ");
    let words: Vec<&str> = message.split_whitespace().collect();
    format!("command line: {}; see --help", words.join(" "))
}

/// Runs until it is over or a signal comes.
async fn run_until_signal(command_line: CommandLine) -> Result<Outcome, ScaleTestError> {
    let listen = |kind| signal(kind).map_err(|e| ScaleTestError::aborted("signals can't be waited for", e));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        outcome = run_command(command_line) => outcome,
        _ = interrupt.recv() => Err(ScaleTestError::aborted("the run", "interrupted")),
        _ = terminate.recv() => Err(ScaleTestError::aborted("the run", "stopped by a signal")),
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
        let verdict = if results.all_passed() { "every check passed" } else { "a check FAILED" };
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

/// Appends one JSON object a line for each fitted figure.
fn append_slopes(file: &Path, fitted: &[FittedFigure]) -> Result<(), ScaleTestError> {
    let write_error = |e: std::io::Error| {
        ScaleTestError::aborted(format!("slopes can't be written to {}", file.display()), e)
    };
    let mut output = std::fs::File::options().create(true).append(true).open(file).map_err(write_error)?;
    for figure in fitted {
        let text = serde_json::json!({"line": "slope", "slope": figure});
        writeln!(output, "{text}").map_err(write_error)?;
    }
    Ok(())
}

/// Prints to standard output, whose reader may have closed the pipe.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

impl RunArguments {
    fn options(&self) -> Options {
        let beside_this_program =
            || std::env::current_exe().ok().map(|program| program.with_file_name("reeddock"));
        Options { program: self.forwarder.clone().or_else(beside_this_program), ..Options::default() }
    }
}
