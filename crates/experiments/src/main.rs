//! The program `reeddock-experiment`. All figures that it prints are emulated.
//!
//! Exit codes: 0; 1 where an invariant was broken or recordings differ; 2 where the command line or a file was
//! wrong. Doc comments on the structs of the command line are its help text.

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

/// Plays fleets of forwarders in simulated time and says what they earn, cost and break.
#[derive(Parser)]
#[command(name = "reeddock-experiment", version)]
struct CommandLine {
    /// Results as JSON, for machines; progress goes to standard error in any case.
    #[arg(long, global = true)]
    json: bool,
    /// Threads for runs side by side; all cores where it is left out. Results do not depend on it.
    #[arg(long, global = true, value_name = "N")]
    threads: Option<usize>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play one scenario once.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        run: RunArguments,
    },
    /// Play one scenario under several policies, on the same days.
    Compare {
        scenario: PathBuf,
        /// Names joined by commas: module, one-try, back-off, breaker, ceiling.
        #[arg(long, default_value = "module,one-try,back-off,breaker,ceiling")]
        policies: PolicyList,
        #[command(flatten)]
        repeated: RepeatedRunArguments,
    },
    /// Play one scenario with values put in the place of those that it has.
    Sweep {
        scenario: PathBuf,
        /// A place in the scenario and the values to put there; may stand several times.
        #[arg(long = "set", value_name = "KEY=V1,V2", required = true)]
        settings: Vec<ScenarioOverride>,
        #[arg(long, default_value = "module")]
        policies: PolicyList,
        #[command(flatten)]
        repeated: RepeatedRunArguments,
    },
    /// Draw scenarios and look for a broken rule, or for credit far under what the ceiling earns.
    Search {
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
        /// Draws of one seed are the same; how many are reached depends on the machine.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where what is found is put, each as a scenario that replays it.
        #[arg(long, default_value = "found")]
        out: PathBuf,
        /// So many of the widest distances are shrunk and kept, beside every broken rule.
        #[arg(long, default_value_t = 5)]
        keep: usize,
    },
    /// Play what a search found, and say whether it is still seen.
    Replay { file: PathBuf },
    /// What a fleet sends to destinations that come back cold, against the budget over which they fall.
    Ramp(study_arguments::RecoveryStudyArguments),
    /// What forwarders that share nothing lose at destinations that are down, against ones that share.
    Sharing(study_arguments::SharingStudyArguments),
    /// Write down every call into the decision module and every request that it makes.
    Record(RecordArguments),
    /// One HTML page with plots of the results in a folder.
    Report {
        folder: PathBuf,
        /// The page; FOLDER/report.html where it is left out.
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
    /// Keep the result in this folder, for `report`.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct RepeatedRunArguments {
    /// Days, each drawn by a seed of its own, from 1 up.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Keep the result in this folder, for `report`.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct RecordArguments {
    /// Scenarios to play in the simulation under the delivery policy.
    scenarios: Vec<PathBuf>,
    /// So many random event streams straight at the delivery policy, with seeds from --seed up.
    #[arg(long, value_name = "COUNT", conflicts_with = "scenarios")]
    streams: Option<u64>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days of each scenario, with seeds from --seed up.
    #[arg(long, default_value_t = 1, conflicts_with = "streams")]
    seeds: u64,
    /// Where recordings are put; none of the same name may be there.
    #[arg(long, value_name = "FOLDER", default_value = "recordings")]
    out: PathBuf,
    /// Digests of every thousand lines of a forwarder in the place of the lines.
    #[arg(long)]
    digest: bool,
    /// Compare two folders of recordings; the exit code is 1 where they differ.
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
                result.keep(run.out.as_deref())?;
                result.print(format)
            }
            Command::Compare { scenario, policies, repeated } => {
                let plan = ComparisonPlan { policies, seeds: repeated.seeds };
                let result = runner.compare(&scenario, &plan)?;
                result.keep(repeated.out.as_deref())?;
                result.print(format)
            }
            Command::Sweep { scenario, settings, policies, repeated } => {
                let plan = SweepPlan { overrides: settings, policies, seeds: repeated.seeds };
                let result = runner.sweep(&scenario, &plan)?;
                result.keep(repeated.out.as_deref())?;
                result.print(format)
            }
            Command::Search { minutes, seed, out, keep } => {
                let duration = search_duration(minutes)?;
                runner.search(&SearchPlan { duration, seed, out, keep })?.print(format)
            }
            Command::Replay { file } => runner.replay(&file)?.print(format),
            Command::Ramp(arguments) => arguments.execute(runner, format),
            Command::Sharing(arguments) => arguments.execute(runner, format),
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
