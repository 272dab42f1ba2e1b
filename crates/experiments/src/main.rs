//! The program `reeddock-experiment`. All figures that it prints are emulated.

mod studies;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use reeddock_experiments::{
    Comparison, ExperimentError, Lab, Policies, RecordingRun, Search, Setting, StreamRun, Sweep,
};
use reeddock_recorder::Form;

/// Plays fleets of forwarders in simulated time and says what they earn, cost and break.
#[derive(Parser)]
#[command(name = "reeddock-experiment", version)]
struct Line {
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
        one: One,
    },
    /// Play one scenario under several policies, on the same days.
    Compare {
        scenario: PathBuf,
        /// Names joined by commas: module, one-try, back-off, breaker, ceiling.
        #[arg(long, default_value = "module,one-try,back-off,breaker,ceiling")]
        policies: Policies,
        #[command(flatten)]
        many: Many,
    },
    /// Play one scenario with values put in the place of those that it has.
    Sweep {
        scenario: PathBuf,
        /// A place in the scenario and the values to put there; may stand several times.
        #[arg(long = "set", value_name = "KEY=V1,V2", required = true)]
        settings: Vec<Setting>,
        #[arg(long, default_value = "module")]
        policies: Policies,
        #[command(flatten)]
        many: Many,
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
    Ramp(studies::RampLine),
    /// What forwarders that share nothing lose at destinations that are down, against ones that share.
    Sharing(studies::SharingLine),
    /// Write down every call into the decision module and every request that it makes.
    Record(Record),
    /// One HTML page with plots of the results in a folder.
    Report {
        folder: PathBuf,
        /// The page; FOLDER/report.html where it is left out.
        #[arg(long)]
        to: Option<PathBuf>,
    },
}

#[derive(Args)]
struct One {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "module")]
    policy: Policies,
    /// Keep the result in this folder, for `report`.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct Many {
    /// Days, each drawn by a seed of its own, from 1 up.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Keep the result in this folder, for `report`.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

#[derive(Args)]
struct Record {
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

fn record(lab: &Lab, what: Record, json: bool) -> Result<ExitCode, ExperimentError> {
    if let Some([left, right]) = what.compare.as_deref() {
        return reeddock_experiments::compare_recordings(left, right)?.print(json);
    }
    let form = if what.digest { Form::Digest } else { Form::Full };
    let (out, seed) = (what.out, what.seed);
    let recorded = match what.streams {
        Some(count) => lab.record_streams(&StreamRun { count, seed, out, form })?,
        None => {
            let scenarios = what.scenarios;
            lab.record_scenarios(&RecordingRun { scenarios, seed, seeds: what.seeds, out, form })?
        }
    };
    recorded.print(json)
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    let line = Line::parse();
    let lab = match Lab::with_threads(line.threads) {
        Ok(lab) => lab,
        Err(fault) => return told(&fault),
    };
    match lab_command(&lab, line.command, line.json) {
        Ok(sound) => sound,
        Err(fault) => told(&fault),
    }
}

fn told(fault: &ExperimentError) -> ExitCode {
    eprintln!("reeddock-experiment: {fault}");
    ExitCode::from(2)
}

fn lab_command(lab: &Lab, command: Command, json: bool) -> Result<ExitCode, ExperimentError> {
    match command {
        Command::Run { scenario, one } => {
            let result = lab.run(&scenario, one.seed, &one.policy)?;
            result.keep(one.out.as_deref())?;
            result.print(json)
        }
        Command::Compare { scenario, policies, many } => {
            let result = lab.compare(&scenario, &Comparison { policies, seeds: many.seeds })?;
            result.keep(many.out.as_deref())?;
            result.print(json)
        }
        Command::Sweep { scenario, settings, policies, many } => {
            let result = lab.sweep(&scenario, &Sweep { settings, policies, seeds: many.seeds })?;
            result.keep(many.out.as_deref())?;
            result.print(json)
        }
        Command::Search { minutes, seed, out, keep } => {
            let most = 24.0 * 60.0;
            if !(minutes > 0.0 && minutes <= most) {
                return Err(ExperimentError::line(format!(
                    "--minutes is {minutes}: expected over 0, {most} at most"
                )));
            }
            let lasts = Duration::from_secs_f64(minutes * 60.0);
            lab.search(&Search { lasts, seed, out, keep })?.print(json)
        }
        Command::Replay { file } => lab.replay(&file)?.print(json),
        Command::Ramp(line) => line.play(lab, json),
        Command::Sharing(line) => line.play(lab, json),
        Command::Record(what) => record(lab, what, json),
        Command::Report { folder, to } => {
            let to = to.unwrap_or_else(|| folder.join("report.html"));
            let plots = reeddock_experiments::page(&folder, &to)?;
            println!("{}: {plots} plots", to.display());
            Ok(ExitCode::SUCCESS)
        }
    }
}
