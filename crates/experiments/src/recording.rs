//! Recordings of the delivery policy, in scenarios of the simulation and under random event streams, and
//! their comparison. Comparing recordings made before and after a change shows whether the policy's decisions
//! changed.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};

use comfy_table::Table;
use reeddock_recorder::compare::{compare, ComparedFile, ComparisonResult, Difference};
use reeddock_recorder::{streams, Recording, RecordingFormat, RecordingSummary};
use reeddock_simulation::{run_with, BuiltInPolicy, Scenario};
use serde::Serialize;

use crate::error::{ExperimentError, FileAction};
use crate::limits::MAX_RECORDINGS;
use crate::output::OutputFormat;
use crate::recorded_policy::RecordedPolicy;
use crate::runner::ExperimentRunner;
use crate::text_report::plain_table;

/// Number of event streams in one recording file.
const STREAMS_PER_FILE: u64 = 100;
/// Number of hexadecimal digits of a digest in the text table.
const SHOWN_DIGEST_DIGITS: usize = 16;

/// Runs of scenarios to record.
pub struct ScenarioRecordingPlan {
    /// Scenario files. Their names without extension name the recordings and must differ.
    pub scenarios: Vec<PathBuf>,
    /// Seed of the first run of each scenario; further runs have consecutive seeds.
    pub seed: u64,
    /// Number of runs of each scenario.
    pub seeds: u64,
    /// The folder for the recordings.
    pub out: PathBuf,
    /// Whether lines or only their digests are written.
    pub form: RecordingFormat,
}

/// Random event streams to record.
pub struct StreamRecordingPlan {
    /// Number of streams.
    pub count: u64,
    /// Seed of the first stream; further streams have consecutive seeds.
    pub seed: u64,
    /// The folder for the recordings.
    pub out: PathBuf,
    /// Whether lines or only their digests are written.
    pub form: RecordingFormat,
}

/// One recording that was written.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedFile {
    /// Name of the file in its folder.
    pub file: String,
    /// Number of recorded lines, whether the file holds lines or digests.
    pub lines: u64,
    /// SHA-256 of all lines, the same for a file of lines and a file of digests.
    pub digest: String,
}

/// All recordings of one command.
#[derive(Debug, Serialize)]
pub struct RecordedFiles {
    /// Files in the order of scenarios and seeds.
    pub files: Vec<RecordedFile>,
}

/// The result of comparing two folders of recordings file by file.
pub struct RecordingComparison(Vec<ComparedFile>);

/// One run of a scenario to record.
struct RecordingTask<'a> {
    /// File name of the recording without extension.
    stem: String,
    scenario: &'a Scenario,
    seed: u64,
}

/// A scenario and the name of its file without extension.
struct NamedScenario {
    stem: String,
    scenario: Scenario,
}

/// A recording being written to a new file.
struct RecordingFile {
    name: String,
    path: PathBuf,
    recording: Recording,
}

impl RecordingFile {
    fn create(folder: &Path, stem: &str, form: RecordingFormat) -> Result<RecordingFile, ExperimentError> {
        let name = format!("{stem}.{}", form.extension());
        let path = folder.join(&name);
        let file = File::create_new(&path).map_err(ExperimentError::file(&path, FileAction::Create))?;
        let recording = Recording::new(Box::new(BufWriter::new(file)), form);
        Ok(RecordingFile { name, path, recording })
    }

    fn finish(self) -> Result<RecordedFile, ExperimentError> {
        let RecordingSummary { lines, digest } =
            self.recording.finish().map_err(ExperimentError::file(&self.path, FileAction::Write))?;
        Ok(RecordedFile { file: self.name, lines, digest })
    }
}

fn create_folder(folder: &Path) -> Result<(), ExperimentError> {
    fs::create_dir_all(folder).map_err(ExperimentError::file(folder, FileAction::Create))
}

/// Runs a scenario and records it. Forwarders are numbered in the order of their starts; a restarted
/// forwarder gets a new number.
fn record_run(task: &RecordingTask<'_>, file: &RecordingFile) {
    let starts = AtomicU64::new(0);
    let policy_name = BuiltInPolicy::DeliveryPolicy.name();
    run_with(task.scenario, task.seed, policy_name, &|now, settings, host| {
        let number = starts.fetch_add(1, Ordering::Relaxed);
        Box::new(RecordedPolicy::open(now, settings, host, file.recording.writer(number)))
    });
}

/// Checks that an option's count is not 0 and does not lead to too many recordings.
fn check_recording_count(option: &'static str, count: u64, recordings: u64) -> Result<(), ExperimentError> {
    if count == 0 || recordings > MAX_RECORDINGS {
        return Err(ExperimentError::RecordingCount { option, count });
    }
    Ok(())
}

/// Reads scenario files; returns an error if two have the same name.
fn read_scenarios(files: &[PathBuf]) -> Result<Vec<NamedScenario>, ExperimentError> {
    let mut stems = BTreeSet::new();
    let mut scenarios = Vec::new();
    for file in files {
        let stem = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        if !stems.insert(stem.clone()) {
            return Err(ExperimentError::DuplicateScenario(file.clone()));
        }
        scenarios.push(NamedScenario { stem, scenario: Scenario::read(file)? });
    }
    Ok(scenarios)
}

impl ExperimentRunner {
    /// Records runs of scenarios, each into a separate file.
    ///
    /// # Errors
    ///
    /// Returns an error if a scenario can't be read, the plan has no scenarios or seeds, or a file already
    /// exists or can't be written.
    pub fn record_scenarios(&self, plan: &ScenarioRecordingPlan) -> Result<RecordedFiles, ExperimentError> {
        if plan.scenarios.is_empty() {
            return Err(ExperimentError::NothingToRecord);
        }
        let recordings = plan.seeds.saturating_mul(plan.scenarios.len() as u64);
        check_recording_count("--seeds", plan.seeds, recordings)?;
        let scenarios = read_scenarios(&plan.scenarios)?;
        create_folder(&plan.out)?;
        let mut tasks = Vec::new();
        for NamedScenario { stem, scenario } in &scenarios {
            for seed in (0..plan.seeds).map(|number| plan.seed.saturating_add(number)) {
                tasks.push(RecordingTask { stem: format!("{stem}.seed-{seed}"), scenario, seed });
            }
        }
        self.write_files(&tasks, |task| {
            let file = RecordingFile::create(&plan.out, &task.stem, plan.form)?;
            record_run(task, &file);
            file.finish()
        })
    }

    /// Records random event streams, a hundred to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan has no streams, or a file already exists or can't be written.
    pub fn record_streams(&self, plan: &StreamRecordingPlan) -> Result<RecordedFiles, ExperimentError> {
        check_recording_count("--streams", plan.count, plan.count.div_ceil(STREAMS_PER_FILE))?;
        create_folder(&plan.out)?;
        let end = plan.seed.saturating_add(plan.count);
        let first_seeds: Vec<u64> = (plan.seed..end).step_by(STREAMS_PER_FILE as usize).collect();
        self.write_files(&first_seeds, |first| {
            let last = end.min(first + STREAMS_PER_FILE) - 1;
            let file = RecordingFile::create(&plan.out, &format!("streams-{first:08}-{last:08}"), plan.form)?;
            (*first..=last).for_each(|seed| streams::record(seed, &file.recording));
            file.finish()
        })
    }

    /// Writes one file for each item on all threads, and returns the files in the order of the items.
    fn write_files<Item: Sync>(
        &self,
        items: &[Item],
        write: impl Fn(&Item) -> Result<RecordedFile, ExperimentError> + Sync,
    ) -> Result<RecordedFiles, ExperimentError> {
        let files: Result<Vec<RecordedFile>, ExperimentError> = self.map(items, "recordings", write);
        Ok(RecordedFiles { files: files? })
    }
}

impl RecordedFiles {
    /// Prints the list of files to standard output. The exit code is 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be written as JSON.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || format!("{}\n", self.table()))?;
        Ok(ExitCode::SUCCESS)
    }

    fn table(&self) -> Table {
        let mut table = plain_table();
        table.set_header(["file", "lines", "digest"]);
        for file in &self.files {
            let digest = file.digest[..SHOWN_DIGEST_DIGITS].to_owned();
            table.add_row([file.file.clone(), file.lines.to_string(), digest]);
        }
        table
    }
}

/// Compares two folders of recordings.
///
/// # Errors
///
/// Returns an error if a folder or file can't be read, or a folder holds no recordings.
pub fn compare_recordings(left: &Path, right: &Path) -> Result<RecordingComparison, ExperimentError> {
    Ok(RecordingComparison(compare(left, right)?))
}

/// Summary of a comparison, as printed in JSON.
#[derive(Serialize)]
struct ComparisonSummary<'a> {
    different: Vec<&'a str>,
    equal: usize,
    pairs: usize,
}

impl RecordingComparison {
    /// Prints the comparison to standard output. The exit code is 1 if any file differs.
    ///
    /// # Errors
    ///
    /// Returns an error if the result can't be written as JSON.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        let summary = self.summary();
        format.print(&summary, || self.text(&summary))?;
        Ok(ExitCode::from(u8::from(!summary.different.is_empty())))
    }

    fn summary(&self) -> ComparisonSummary<'_> {
        let is_different = |pair: &&ComparedFile| !matches!(pair.result, ComparisonResult::Equal { .. });
        let different: Vec<&str> =
            self.0.iter().filter(is_different).map(|pair| pair.name.as_str()).collect();
        ComparisonSummary { pairs: self.0.len(), equal: self.0.len() - different.len(), different }
    }

    fn text(&self, summary: &ComparisonSummary) -> String {
        let line = |pair: &ComparedFile| format!("{}: {}\n", pair.name, verdict_text(&pair.result));
        let lines: String = self.0.iter().map(line).collect();
        format!("{lines}{} of {} equal\n", summary.equal, summary.pairs)
    }
}

fn verdict_text(verdict: &ComparisonResult) -> String {
    match verdict {
        ComparisonResult::Equal { lines } => format!("equal, {lines} lines"),
        ComparisonResult::Differs(difference) => difference_text(difference),
        ComparisonResult::OnlyLeft => "only in A".to_owned(),
        ComparisonResult::OnlyRight => "only in B".to_owned(),
    }
}

/// Describes the first difference, with the lines before it and the lines of both sides from there on.
fn difference_text(difference: &Difference) -> String {
    let mut text =
        format!("DIFFERS at line {}, forwarder {}\n", difference.line_number, difference.forwarder);
    push_lines(&mut text, "  ", &difference.before);
    for (mark, lines) in [("A ", &difference.left), ("B ", &difference.right)] {
        push_lines(&mut text, mark, lines);
        if lines.is_empty() {
            push_lines(&mut text, mark, &["(end of recording)".to_owned()]);
        }
    }
    text
}

fn push_lines(text: &mut String, mark: &str, lines: &[String]) {
    lines.iter().for_each(|line| *text += &format!("  {mark}{line}\n"));
}
