//! The program `reeddock-experiment`, which prints results of simulated fleets.
//!
//! Exit codes: 0 on success; 1 if an invariant was broken, a saved scenario no longer shows its fault or
//! recordings differ; 2 if the command line or a file is invalid. Doc comments on the structs of the command
//! line are its help.

mod study_arguments;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use reeddock_experiments::{
    compare_recordings, write_html_report, ComparisonPlan, ExperimentError, ExperimentRunner, OutputFormat,
    PolicyList, ScenarioOverride, ScenarioRecordingPlan, SearchPlan, StreamRecordingPlan, SweepPlan,
    MAX_SEARCH_MINUTES,
};
use reeddock_recorder::RecordingFormat;

/// Run experiments on fleets of forwarders in simulated time.
#[derive(Parser)]
#[command(name = "reeddock-experiment", version)]
struct CommandLine {
    /// Print results as JSON; progress goes to standard error.
    #[arg(long, global = true)]
    json: bool,
    /// Number of threads; one for each core by default. Results do not depend on this number.
    #[arg(long, global = true, value_name = "N")]
    threads: Option<usize>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario once.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        run: RunArguments,
    },
    /// Run a scenario under several policies with the same seeds.
    Compare {
        scenario: PathBuf,
        /// Names of policies, separated by commas: module, one-try, back-off, breaker, ceiling.
        #[arg(long, default_value = "module,one-try,back-off,breaker,ceiling")]
        policies: PolicyList,
        #[command(flatten)]
        repeated: RepeatedRunArguments,
    },
    /// Run a scenario with other values of some of its keys.
    Sweep {
        scenario: PathBuf,
        /// Key of the scenario and the values to run it with; may be repeated.
        #[arg(long = "set", value_name = "KEY=V1,V2", required = true)]
        overrides: Vec<ScenarioOverride>,
        #[arg(long, default_value = "module")]
        policies: PolicyList,
        #[command(flatten)]
        repeated: RepeatedRunArguments,
    },
    /// Search random scenarios for broken invariants and for credit far below the upper bound.
    Search {
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
        /// Seed of the sequence of random scenarios; how many of them run depends on the machine.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder for the scenarios that show a fault; `replay` runs them again.
        #[arg(long, default_value = "found")]
        out: PathBuf,
        /// Number of scenarios to save for their credit gap, in addition to those with broken invariants.
        #[arg(long = "keep", value_name = "COUNT", default_value_t = 5)]
        max_credit_gap_findings: usize,
    },
    /// Run a scenario that a search saved, and check whether it still shows its fault.
    Replay { file: PathBuf },
    /// Measure the requests of a fleet to destinations in slow start after an outage.
    #[command(name = "ramp")]
    RecoveryStudy(study_arguments::RecoveryStudyArguments),
    /// Compare fleets with and without shared knowledge of destinations that are down.
    #[command(name = "sharing")]
    SharingStudy(study_arguments::SharingStudyArguments),
    /// Record every call into the delivery policy and every command that it gives.
    Record(RecordArguments),
    /// Write an HTML page with plots of the results in a folder.
    Report {
        folder: PathBuf,
        /// File for the page; FOLDER/report.html by default.
        #[arg(long)]
        to: Option<PathBuf>,
    },
}

#[derive(Args)]
struct RunArguments {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "module")]
    policy: PolicyList,
    /// Save the result in this folder, for `report`.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct RepeatedRunArguments {
    /// Number of runs of each policy, with seeds from 1 up.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Save the result in this folder, for `report`.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct RecordArguments {
    /// Scenarios to run under the delivery policy.
    scenarios: Vec<PathBuf>,
    /// Number of random event streams to run through the delivery policy, with seeds from --seed up.
    #[arg(long, value_name = "COUNT", conflicts_with = "scenarios")]
    streams: Option<u64>,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs of each scenario, with seeds from --seed up.
    #[arg(long, default_value_t = 1, conflicts_with = "streams")]
    seeds: u64,
    /// Folder for the recordings; existing files are not overwritten.
    #[arg(long, value_name = "FOLDER", default_value = "recordings")]
    out: PathBuf,
    /// Write digests of every thousand lines of a forwarder instead of the lines.
    #[arg(long)]
    digest: bool,
    /// Compare two folders of recordings; the exit code is 1 if they differ.
    #[arg(long, num_args = 2, value_names = ["A", "B"], conflicts_with_all = ["scenarios", "streams", "seeds", "out", "digest"])]
    compare: Option<Vec<PathBuf>>,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    let CommandLine { json, threads, command } = CommandLine::parse();
    let format = if json { OutputFormat::Json } else { OutputFormat::Text };
    let result = ExperimentRunner::with_threads(threads).and_then(|runner| command.execute(&runner, format));
    result.unwrap_or_else(|error| {
        eprintln!("reeddock-experiment: {error}");
        ExitCode::from(2)
    })
}

impl Command {
    fn execute(self, runner: &ExperimentRunner, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        match self {
            Command::Run { scenario, run } => {
                let result = runner.run(&scenario, run.seed, &run.policy)?;
                result.save(run.out.as_deref())?;
                result.print(format)
            }
            Command::Compare { scenario, policies, repeated } => {
                let plan = ComparisonPlan { policies, seeds: repeated.seeds };
                let result = runner.compare(&scenario, &plan)?;
                result.save(repeated.out.as_deref())?;
                result.print(format)
            }
            Command::Sweep { scenario, overrides, policies, repeated } => {
                let plan = SweepPlan { overrides, policies, seeds: repeated.seeds };
                let result = runner.sweep(&scenario, &plan)?;
                result.save(repeated.out.as_deref())?;
                result.print(format)
            }
            Command::Search { minutes, seed, out, max_credit_gap_findings } => {
                let duration = search_duration(minutes)?;
                runner.search(&SearchPlan { duration, seed, out, max_credit_gap_findings })?.print(format)
            }
            Command::Replay { file } => runner.replay(&file)?.print(format),
            Command::RecoveryStudy(arguments) => arguments.execute(runner, format),
            Command::SharingStudy(arguments) => arguments.execute(runner, format),
            Command::Record(arguments) => arguments.execute(runner, format),
            Command::Report { folder, to } => {
                let page = to.unwrap_or_else(|| folder.join("report.html"));
                let plots = write_html_report(&folder, &page)?;
                println!("{}: {plots} plots", page.display());
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn search_duration(minutes: f64) -> Result<Duration, ExperimentError> {
    if minutes > 0.0 && minutes <= MAX_SEARCH_MINUTES {
        Ok(Duration::from_secs_f64(minutes * 60.0))
    } else {
        Err(ExperimentError::SearchDuration { minutes })
    }
}

impl RecordArguments {
    fn execute(self, runner: &ExperimentRunner, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        if let Some([left, right]) = self.compare.as_deref() {
            return compare_recordings(left, right)?.print(format);
        }
        let form = if self.digest { RecordingFormat::Digest } else { RecordingFormat::Full };
        let RecordArguments { scenarios, streams, seed, seeds, out, .. } = self;
        let recorded = match streams {
            Some(count) => runner.record_streams(&StreamRecordingPlan { count, seed, out, form })?,
            None => runner.record_scenarios(&ScenarioRecordingPlan { scenarios, seed, seeds, out, form })?,
        };
        recorded.print(format)
    }
}
