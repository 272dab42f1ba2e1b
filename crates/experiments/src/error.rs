//! The errors of an experiment.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use reeddock_recorder::compare::CompareError;
use reeddock_simulation::ScenarioError;

use crate::limits::{MAX_RECORDINGS, MAX_RUNS, MAX_SEARCH_MINUTES};

/// Why an experiment could not be carried out. Each message says where the fault lies and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A scenario file can't be read or does not hold a valid scenario.
    #[error("{}", one_line(.0))]
    Scenario(#[from] ScenarioError),
    /// A file or folder can't be read, created or written.
    #[error("{}: {action}{source}", .path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What was tried with it.
        action: FileAction,
        /// The answer of the operating system.
        source: io::Error,
    },
    /// An experiment of no runs, or of more than one process should take on.
    #[error("{0} runs: expected 1 seed or more, and {MAX_RUNS} runs at most")]
    RunCount(u64),
    /// A number of seeds or event streams for which no recordings are made.
    #[error("{option} {count}: expected 1 or more, and {MAX_RECORDINGS} recordings at most")]
    RecordingCount {
        /// The option on the command line.
        option: &'static str,
        /// Its value.
        count: u64,
    },
    /// A numeric option outside its range.
    #[error("{option} is {value}: expected {low} to {high}")]
    OptionRange {
        /// The option on the command line.
        option: &'static str,
        /// Its value.
        value: f64,
        /// The least value that is accepted.
        low: f64,
        /// The greatest value that is accepted.
        high: f64,
    },
    /// A search of no time, or of more than [`crate::MAX_SEARCH_MINUTES`].
    #[error("--minutes is {minutes}: expected over 0, {MAX_SEARCH_MINUTES} at most")]
    SearchDuration {
        /// The duration on the command line, in minutes.
        minutes: f64,
    },
    /// `--threads 0`.
    #[error("--threads is 0: expected 1 or more")]
    NoThreads,
    /// The threads of the runner can't be started.
    #[error("{}", one_line(.0))]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// `record` without anything to record.
    #[error("nothing to record: expected scenarios, --streams COUNT or --compare A B")]
    NothingToRecord,
    /// Two scenarios whose recordings would have the same name.
    #[error("{}: named twice: expected scenarios of different names", .0.display())]
    DuplicateScenario(PathBuf),
    /// Two folders of recordings can't be compared.
    #[error("{}", one_line(.0))]
    RecordingComparison(#[from] CompareError),
    /// `replay` of a scenario that no search has written.
    #[error("{}: holds no [found] with a seed: expected a file that a search wrote", .0.display())]
    NoFinding(PathBuf),
    /// `report` on a folder without results.
    #[error("{}: holds no results: expected files that --out wrote", .0.display())]
    NoResults(PathBuf),
    /// A file beside the results that is not one.
    #[error("{}: is no result of this laboratory: {source}", .path.display())]
    MalformedResult {
        /// The file.
        path: PathBuf,
        /// What the JSON reader expected.
        source: serde_json::Error,
    },
    /// A result can't be written as JSON.
    #[error("{}", one_line(.0))]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn; the text is that of the plotting library.
    #[error("{}", one_line(.0))]
    Plot(String),
}

impl ExperimentError {
    /// A fault of the file system at this path, for `Result::map_err`.
    pub(crate) fn file(path: &Path, action: FileAction) -> impl FnOnce(io::Error) -> ExperimentError + '_ {
        move |source| ExperimentError::File { path: path.to_owned(), action, source }
    }

    /// A fault of the plotting library, whose error types differ by call.
    pub(crate) fn plot(fault: impl fmt::Display) -> ExperimentError {
        ExperimentError::Plot(fault.to_string())
    }
}

/// What was tried with a file or folder that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileAction {
    /// It was to be read.
    Read,
    /// It was to be created.
    Create,
    /// It was to be written, after it had been created.
    Write,
    /// Anything else; the answer of the operating system says enough.
    Access,
}

impl fmt::Display for FileAction {
    /// The part of the message between the path and the answer of the operating system.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FileAction::Read => "cannot be read: ",
            FileAction::Create => "cannot be created: ",
            FileAction::Write => "cannot be written: ",
            FileAction::Access => "",
        })
    }
}

/// The text of another library's error, which may run over several lines, on one line.
fn one_line(fault: &impl fmt::Display) -> String {
    fault.to_string().trim().replace('\n', "; ")
}
