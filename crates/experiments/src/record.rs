//! Recordings of the decision module, of scenarios in the simulation and of random event streams, and their
//! comparison.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use rayon::prelude::*;
use reeddock::{
    AttemptNumber, AttemptOutcome, EndpointId, EndpointUpdate, MessageId, PeerId, PolicyHost, PreviousAttempt,
};
use reeddock_recorder::compare::{compare, Difference, Pair, Verdict};
use reeddock_recorder::line::PolicyCall;
use reeddock_recorder::recording::locked;
use reeddock_recorder::{streams, Form, Recording, RecordingHost, RecordingWriter, Summary};
use reeddock_simulation::policy::{ListedEndpoint, Policy, Submission, WorldView};
use reeddock_simulation::{run_with, BuiltInPolicy, Scenario};
use serde::Serialize;

use crate::runs::progress;
use crate::{ExperimentError, Lab};

/// Streams in one recording, so that thousands of them are few files.
const STREAMS_IN_A_FILE: u64 = 100;
/// Most recordings of one command.
const MOST_FILES: u64 = 10_000;

/// Scenarios to be recorded.
pub struct RecordingRun {
    pub scenarios: Vec<PathBuf>,
    /// The first seed, and how many there are of each scenario.
    pub seed: u64,
    pub seeds: u64,
    pub out: PathBuf,
    pub form: Form,
}

/// Random event streams to be recorded.
pub struct StreamRun {
    pub count: u64,
    /// The seed of the first stream; each has the next one.
    pub seed: u64,
    pub out: PathBuf,
    pub form: Form,
}

/// One file that was written.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedFile {
    pub file: String,
    pub lines: u64,
    /// SHA-256 of all its lines; the same for lines and for digests.
    pub digest: String,
}

/// What was recorded.
#[derive(Debug, Serialize)]
pub struct Recorded {
    pub files: Vec<RecordedFile>,
}

/// What a comparison of two folders found.
pub struct Compared(Vec<Pair>);

/// The delivery policy, recorded as the simulation tells it and as it answers.
struct RecordedPolicy {
    module: Box<dyn Policy>,
    writer: RecordingWriter,
}

impl RecordedPolicy {
    /// Notes a call, and has it made with a host that notes each request.
    fn call(
        &mut self,
        input: PolicyCall,
        host: &mut dyn PolicyHost,
        call: impl FnOnce(&mut dyn Policy, &mut dyn PolicyHost),
    ) {
        self.writer.record(input);
        call(self.module.as_mut(), &mut RecordingHost { writer: &self.writer, host });
    }
}

impl Policy for RecordedPolicy {
    fn update_endpoint_list(
        &mut self,
        now: Duration,
        whole: bool,
        lines: &[ListedEndpoint],
        host: &mut dyn PolicyHost,
    ) {
        self.writer.record(PolicyCall::BeginEndpointList { whole });
        for line in lines {
            self.writer.record(PolicyCall::UpdateEndpoint(&EndpointUpdate {
                endpoint: line.endpoint,
                destination: line.destination,
                state: line.state,
                weight: line.weight,
                zone: &line.zone,
                kind: &line.kind,
            }));
        }
        self.call(PolicyCall::FinishEndpointList, host, |module, host| {
            module.update_endpoint_list(now, whole, lines, host)
        });
    }

    fn submit(&mut self, now: Duration, e: &Submission, host: &mut dyn PolicyHost) {
        let input = PolicyCall::Submit {
            now,
            id: &e.id,
            class: &e.class,
            tenant: Some(&e.tenant),
            key: e.ordering_key,
            deadline: e.deadline,
            destination: e.destination,
        };
        self.call(input, host, |module, host| module.submit(now, e, host));
    }

    fn restore(
        &mut self,
        now: Duration,
        id: &MessageId,
        previous: &[PreviousAttempt],
        host: &mut dyn PolicyHost,
    ) {
        let input = PolicyCall::Restore { now, id, previous };
        self.call(input, host, |module, host| module.restore(now, id, previous, host));
    }

    fn attempt_finished(
        &mut self,
        now: Duration,
        id: &MessageId,
        number: AttemptNumber,
        outcome: AttemptOutcome,
        finished: bool,
        host: &mut dyn PolicyHost,
    ) {
        let input = PolicyCall::AttemptFinished { now, id, number, outcome, finished };
        self.call(input, host, |module, host| {
            module.attempt_finished(now, id, number, outcome, finished, host)
        });
    }

    fn withdraw(&mut self, id: &MessageId, host: &mut dyn PolicyHost) {
        self.call(PolicyCall::Withdraw { id }, host, |module, host| module.withdraw(id, host));
    }

    fn timer_fired(&mut self, now: Duration) {
        self.writer.record(PolicyCall::TimerFired { now });
        self.module.timer_fired(now);
    }

    fn health_checked(&mut self, now: Duration, target: EndpointId, well: bool) {
        self.writer.record(PolicyCall::HealthChecked { now, endpoint: target, well });
        self.module.health_checked(now, target, well);
    }

    fn gossip_received(&mut self, now: Duration, from: PeerId, gossip: &[u8]) {
        self.writer.record(PolicyCall::GossipReceived { now, from, gossip });
        self.module.gossip_received(now, from, gossip);
    }

    fn run_due_work(&mut self, now: Duration, sight: &dyn WorldView, host: &mut dyn PolicyHost) {
        self.call(PolicyCall::RunDueWork { now }, host, |module, host| module.run_due_work(now, sight, host));
    }
}

/// A recording that goes into a new file.
struct NewFile {
    name: String,
    path: PathBuf,
    recording: Arc<Mutex<Recording>>,
}

impl NewFile {
    fn create(folder: &Path, stem: &str, form: Form) -> Result<NewFile, ExperimentError> {
        let name = format!("{stem}.{}", form.extension());
        let path = folder.join(&name);
        let file = File::create_new(&path)
            .map_err(|e| ExperimentError::line(format!("{}: cannot be created: {e}", path.display())))?;
        let recording = Recording::new(Box::new(BufWriter::new(file)), form);
        Ok(NewFile { name, path, recording: Arc::new(Mutex::new(recording)) })
    }

    fn finish(self) -> Result<RecordedFile, ExperimentError> {
        let Summary { lines, digest } = locked(&self.recording)
            .finish()
            .map_err(|e| ExperimentError::line(format!("{}: cannot be written: {e}", self.path.display())))?;
        Ok(RecordedFile { file: self.name, lines, digest })
    }
}

fn create_folder(folder: &Path) -> Result<(), ExperimentError> {
    fs::create_dir_all(folder)
        .map_err(|e| ExperimentError::line(format!("{}: cannot be created: {e}", folder.display())))
}

/// Plays one day of a scenario. Forwarders are numbered in the order of their starts: one that starts again gets
/// a new number.
fn record_day(scenario: &Scenario, seed: u64, file: &NewFile) {
    let starts = AtomicU64::new(0);
    run_with(scenario, seed, BuiltInPolicy::DeliveryPolicy.name(), &|now, settings, host| {
        let number = starts.fetch_add(1, Ordering::Relaxed);
        let writer = RecordingWriter::new(Arc::clone(&file.recording), number);
        writer.record(PolicyCall::Open { now, settings: &settings });
        let module =
            BuiltInPolicy::DeliveryPolicy.open(now, settings, &mut RecordingHost { writer: &writer, host });
        Box::new(RecordedPolicy { module, writer })
    });
}

fn checked_count(count: u64, what: &str, files: u64) -> Result<(), ExperimentError> {
    if count == 0 || files > MOST_FILES {
        let expected = format!("expected 1 or more, and {MOST_FILES} recordings at most");
        return Err(ExperimentError::line(format!("{what} {count}: {expected}")));
    }
    Ok(())
}

/// Scenarios by the stem of their files, which names the recordings.
fn read_scenarios(files: &[PathBuf]) -> Result<Vec<(String, Scenario)>, ExperimentError> {
    let mut stems = BTreeSet::new();
    let mut scenarios = Vec::new();
    for file in files {
        let stem = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        if !stems.insert(stem.clone()) {
            let what = "expected scenarios of different names";
            return Err(ExperimentError::line(format!("{}: named twice: {what}", file.display())));
        }
        scenarios.push((stem, Scenario::read(file)?));
    }
    Ok(scenarios)
}

impl Lab {
    /// Records days of scenarios, each into a file of its own.
    ///
    /// # Errors
    ///
    /// A scenario that can't be read, no scenarios or seeds, or a file that is there already or can't be written.
    pub fn record_scenarios(&self, what: &RecordingRun) -> Result<Recorded, ExperimentError> {
        if what.scenarios.is_empty() {
            return Err(ExperimentError::line(
                "nothing to record: expected scenarios, --streams COUNT or --compare A B",
            ));
        }
        checked_count(what.seeds, "--seeds", what.seeds.saturating_mul(what.scenarios.len() as u64))?;
        let scenarios = read_scenarios(&what.scenarios)?;
        create_folder(&what.out)?;
        let mut days = Vec::new();
        for (stem, scenario) in &scenarios {
            for seed in (0..what.seeds).map(|n| what.seed.saturating_add(n)) {
                days.push((format!("{stem}.seed-{seed}"), scenario, seed));
            }
        }
        self.write_all(&days, |(stem, scenario, seed)| {
            let file = NewFile::create(&what.out, stem, what.form)?;
            record_day(scenario, *seed, &file);
            file.finish()
        })
    }

    /// Records random event streams, a hundred in a file.
    ///
    /// # Errors
    ///
    /// No streams, or a file that is there already or can't be written.
    pub fn record_streams(&self, what: &StreamRun) -> Result<Recorded, ExperimentError> {
        checked_count(what.count, "--streams", what.count.div_ceil(STREAMS_IN_A_FILE))?;
        create_folder(&what.out)?;
        let end = what.seed.saturating_add(what.count);
        let firsts: Vec<u64> = (what.seed..end).step_by(STREAMS_IN_A_FILE as usize).collect();
        self.write_all(&firsts, |first| {
            let last = end.min(first + STREAMS_IN_A_FILE) - 1;
            let file = NewFile::create(&what.out, &format!("streams-{first:08}-{last:08}"), what.form)?;
            (*first..=last).for_each(|seed| streams::play(seed, &file.recording));
            file.finish()
        })
    }

    /// Writes one file for each of these, on all threads; they are named in this order.
    fn write_all<T: Sync>(
        &self,
        parts: &[T],
        write: impl Fn(&T) -> Result<RecordedFile, ExperimentError> + Sync,
    ) -> Result<Recorded, ExperimentError> {
        let bar = progress(parts.len() as u64, "recordings");
        let one = |part: &T| {
            let file = write(part);
            bar.inc(1);
            file
        };
        let files = self.pool().install(|| parts.par_iter().map(one).collect::<Result<_, _>>());
        bar.finish_and_clear();
        Ok(Recorded { files: files? })
    }
}

impl Recorded {
    /// Prints a table, or JSON.
    ///
    /// # Errors
    ///
    /// None but of the JSON writer.
    pub fn print(&self, json: bool) -> Result<ExitCode, ExperimentError> {
        if json {
            println!("{}", serde_json::to_string(self).map_err(ExperimentError::line)?);
            return Ok(ExitCode::SUCCESS);
        }
        let mut table = Table::new();
        table.load_preset(NOTHING).set_header(["file", "lines", "digest"]);
        for file in &self.files {
            table.add_row([file.file.clone(), file.lines.to_string(), file.digest[..16].to_owned()]);
        }
        println!("{table}");
        Ok(ExitCode::SUCCESS)
    }
}

/// Compares two folders of recordings.
///
/// # Errors
///
/// A folder or file that can't be read, or holds no recordings.
pub fn compare_recordings(left: &Path, right: &Path) -> Result<Compared, ExperimentError> {
    compare(left, right).map(Compared).map_err(ExperimentError::line)
}

fn shown(difference: &Difference) -> String {
    let mut text = format!("DIFFERS at line {}, forwarder {}\n", difference.line, difference.forwarder);
    for (mark, lines) in [("  ", &difference.before), ("A ", &difference.left), ("B ", &difference.right)] {
        lines.iter().for_each(|line| text += &format!("  {mark}{line}\n"));
        if lines.is_empty() && mark != "  " {
            text += &format!("  {mark}(has ended)\n");
        }
    }
    text
}

impl Compared {
    /// Prints a line or more for each pair. The exit code is 1 where any differs.
    ///
    /// # Errors
    ///
    /// None but of the JSON writer.
    pub fn print(&self, json: bool) -> Result<ExitCode, ExperimentError> {
        let equal = self.0.iter().filter(|p| matches!(p.verdict, Verdict::Equal { .. })).count();
        let all = self.0.len();
        if json {
            let differing = |p: &&Pair| !matches!(p.verdict, Verdict::Equal { .. });
            let names: Vec<&str> = self.0.iter().filter(differing).map(|p| p.name.as_str()).collect();
            println!("{}", serde_json::json!({ "pairs": all, "equal": equal, "different": names }));
        } else {
            self.0.iter().for_each(|pair| println!("{}: {}", pair.name, told(&pair.verdict)));
            println!("{equal} of {all} equal");
        }
        Ok(ExitCode::from(u8::from(equal < all)))
    }
}

fn told(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Equal { lines } => format!("equal, {lines} lines"),
        Verdict::Differs(difference) => shown(difference),
        Verdict::OnlyLeft => "only in A".to_owned(),
        Verdict::OnlyRight => "only in B".to_owned(),
    }
}
