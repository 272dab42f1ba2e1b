//! Recordings of the delivery policy, in scenarios of the simulation and under random event streams, and their
//! comparison. A change that is to leave decisions as they are is checked with recordings made before and after.

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

/// Streams in one recording, so that thousands of them are few files.
const STREAMS_PER_FILE: u64 = 100;
/// Digits of a digest in the table for people.
const SHOWN_DIGEST_LENGTH: usize = 16;

/// Days of scenarios to be recorded.
pub struct ScenarioRecordingPlan {
    /// The scenario files; their names without extension name the recordings and must differ.
    pub scenarios: Vec<PathBuf>,
    /// The seed of the first day of each scenario; each further day has the next one.
    pub seed: u64,
    /// Number of days of each scenario.
    pub seeds: u64,
    /// The folder for the recordings.
    pub out: PathBuf,
    /// Whether lines or only their digests are written.
    pub form: RecordingFormat,
}

/// Random event streams to be recorded.
pub struct StreamRecordingPlan {
    /// Number of streams.
    pub count: u64,
    /// The seed of the first stream; each further one has the next.
    pub seed: u64,
    /// The folder for the recordings.
    pub out: PathBuf,
    /// Whether lines or only their digests are written.
    pub form: RecordingFormat,
}

/// One recording that was written.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedFile {
    /// The file's name in its folder.
    pub file: String,
    /// Number of lines that were recorded, written or not.
    pub lines: u64,
    /// SHA-256 of all its lines; the same for lines and for digests.
    pub digest: String,
}

/// All recordings of one command.
#[derive(Debug, Serialize)]
pub struct RecordedFiles {
    /// The files, in the order of scenarios and seeds.
    pub files: Vec<RecordedFile>,
}

/// Two folders of recordings, compared file by file.
pub struct RecordingComparison(Vec<ComparedFile>);

/// One recording of a scenario to be made.
struct RecordedDay<'a> {
    /// The recording's file name without extension.
    stem: String,
    scenario: &'a Scenario,
    seed: u64,
}

/// A scenario, and the name of its file without extension.
struct NamedScenario {
    stem: String,
    scenario: Scenario,
}

/// A recording that goes into a new file.
struct NewFile {
    name: String,
    path: PathBuf,
    recording: Recording,
}

impl NewFile {
    fn create(folder: &Path, stem: &str, form: RecordingFormat) -> Result<NewFile, ExperimentError> {
        let name = format!("{stem}.{}", form.extension());
        let path = folder.join(&name);
        let file = File::create_new(&path).map_err(ExperimentError::file(&path, FileAction::Create))?;
        let recording = Recording::new(Box::new(BufWriter::new(file)), form);
        Ok(NewFile { name, path, recording })
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

/// Plays one day of a scenario. Forwarders are numbered in the order of their starts: one that starts again gets
/// a new number.
fn record_day(day: &RecordedDay<'_>, file: &NewFile) {
    let starts = AtomicU64::new(0);
    let policy_name = BuiltInPolicy::DeliveryPolicy.name();
    run_with(day.scenario, day.seed, policy_name, &|now, settings, host| {
        let number = starts.fetch_add(1, Ordering::Relaxed);
        Box::new(RecordedPolicy::open(now, settings, host, file.recording.writer(number)))
    });
}

/// Checks the value of an option, with the number of recordings that it asks for.
fn check_recording_count(option: &'static str, count: u64, recordings: u64) -> Result<(), ExperimentError> {
    if count == 0 || recordings > MAX_RECORDINGS {
        return Err(ExperimentError::RecordingCount { option, count });
    }
    Ok(())
}

/// Reads scenarios, and refuses two of one name.
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
    /// Records days of scenarios, each into a file of its own.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read, no scenarios or seeds, or a file that is there already or can't be written.
    pub fn record_scenarios(&self, plan: &ScenarioRecordingPlan) -> Result<RecordedFiles, ExperimentError> {
        if plan.scenarios.is_empty() {
            return Err(ExperimentError::NothingToRecord);
        }
        let recordings = plan.seeds.saturating_mul(plan.scenarios.len() as u64);
        check_recording_count("--seeds", plan.seeds, recordings)?;
        let scenarios = read_scenarios(&plan.scenarios)?;
        create_folder(&plan.out)?;
        let mut days = Vec::new();
        for NamedScenario { stem, scenario } in &scenarios {
            for seed in (0..plan.seeds).map(|number| plan.seed.saturating_add(number)) {
                days.push(RecordedDay { stem: format!("{stem}.seed-{seed}"), scenario, seed });
            }
        }
        self.write_files(&days, |day| {
            let file = NewFile::create(&plan.out, &day.stem, plan.form)?;
            record_day(day, &file);
            file.finish()
        })
    }

    /// Records random event streams, a hundred in a file.
    ///
    /// # Errors
    ///
    /// No streams, or a file that is there already or can't be written.
    pub fn record_streams(&self, plan: &StreamRecordingPlan) -> Result<RecordedFiles, ExperimentError> {
        check_recording_count("--streams", plan.count, plan.count.div_ceil(STREAMS_PER_FILE))?;
        create_folder(&plan.out)?;
        let end = plan.seed.saturating_add(plan.count);
        let first_seeds: Vec<u64> = (plan.seed..end).step_by(STREAMS_PER_FILE as usize).collect();
        self.write_files(&first_seeds, |first| {
            let last = end.min(first + STREAMS_PER_FILE) - 1;
            let file = NewFile::create(&plan.out, &format!("streams-{first:08}-{last:08}"), plan.form)?;
            (*first..=last).for_each(|seed| streams::record(seed, &file.recording));
            file.finish()
        })
    }

    /// Writes one file for each item, on all threads; the files are listed in the order of the items.
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
    /// Prints the files to standard output; the exit code is 0.
    ///
    /// # Errors
    ///
    /// Only those of the JSON writer.
    pub fn print(&self, format: OutputFormat) -> Result<ExitCode, ExperimentError> {
        format.print(self, || format!("{}\n", self.table()))?;
        Ok(ExitCode::SUCCESS)
    }

    fn table(&self) -> Table {
        let mut table = plain_table();
        table.set_header(["file", "lines", "digest"]);
        for file in &self.files {
            let digest = file.digest[..SHOWN_DIGEST_LENGTH].to_owned();
            table.add_row([file.file.clone(), file.lines.to_string(), digest]);
        }
        table
    }
}

/// Compares two folders of recordings.
///
/// # Errors
///
/// A folder or file that can't be read, or holds no recordings.
pub fn compare_recordings(left: &Path, right: &Path) -> Result<RecordingComparison, ExperimentError> {
    Ok(RecordingComparison(compare(left, right)?))
}

/// How many recordings were compared, and which ones differ; the form of a comparison as JSON.
#[derive(Serialize)]
struct ComparisonSummary<'a> {
    different: Vec<&'a str>,
    equal: usize,
    pairs: usize,
}

impl RecordingComparison {
    /// Prints the comparison to standard output. The exit code is 1 where any file differs.
    ///
    /// # Errors
    ///
    /// Only those of the JSON writer.
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

/// The first difference, with the lines before it and those of both sides from it on.
fn difference_text(difference: &Difference) -> String {
    let mut text =
        format!("DIFFERS at line {}, forwarder {}\n", difference.line_number, difference.forwarder);
    push_lines(&mut text, "  ", &difference.before);
    for (mark, lines) in [("A ", &difference.left), ("B ", &difference.right)] {
        push_lines(&mut text, mark, lines);
        if lines.is_empty() {
            push_lines(&mut text, mark, &["(has ended)".to_owned()]);
        }
    }
    text
}

fn push_lines(text: &mut String, mark: &str, lines: &[String]) {
    lines.iter().for_each(|line| *text += &format!("  {mark}{line}\n"));
}
