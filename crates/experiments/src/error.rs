//! Errors of experiments.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use reeddock_recorder::compare::CompareError;
use reeddock_simulation::ScenarioError;

use crate::limits::{MAX_RECORDINGS, MAX_RUNS, MAX_SEARCH_MINUTES};

/// Why an experiment could not be carried out. Each message names the file or option and what was expected.
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
        /// The operation that failed.
        action: FileAction,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The number of runs of the experiment is 0 or over the maximum of one command; holds the number.
    #[error("{0} runs: expected 1 seed or more, and at most {MAX_RUNS} runs")]
    RunCount(u64),
    /// The number of seeds or event streams to record is 0 or too large.
    #[error("{option} {count}: expected 1 or more, and at most {MAX_RECORDINGS} recordings")]
    RecordingCount {
        /// The option on the command line.
        option: &'static str,
        /// The value of the option.
        count: u64,
    },
    /// A numeric option outside its range.
    #[error("{option} is {value}: expected {low} to {high}")]
    OptionRange {
        /// The option on the command line.
        option: &'static str,
        /// The value of the option.
        value: f64,
        /// The minimum accepted value.
        low: f64,
        /// The maximum accepted value.
        high: f64,
    },
    /// The duration of a search is not over 0, or is more than [`crate::MAX_SEARCH_MINUTES`].
    #[error("--minutes is {minutes}: expected more than 0 and at most {MAX_SEARCH_MINUTES}")]
    SearchDuration {
        /// The duration on the command line, in minutes.
        minutes: f64,
    },
    /// The option `--threads` is 0.
    #[error("--threads is 0: expected 1 or more")]
    NoThreads,
    /// The runner's thread pool can't be started.
    #[error("{}", one_line(.0))]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// The command `record` got no scenarios, streams or folders to compare.
    #[error("nothing to record: expected scenarios, --streams COUNT or --compare A B")]
    NothingToRecord,
    /// Two scenario files have the same name, so that their recordings would have the same name.
    #[error("{}: named twice: expected scenarios of different names", .0.display())]
    DuplicateScenario(PathBuf),
    /// A folder of recordings can't be read or compared.
    #[error("{}", one_line(.0))]
    RecordingComparison(#[from] CompareError),
    /// The scenario to replay was not written by a search.
    #[error("{}: has no section [found]: expected a file that a search wrote", .0.display())]
    NoFinding(PathBuf),
    /// The folder for `report` has no result files.
    #[error("{}: holds no results: expected files that --out wrote", .0.display())]
    NoResults(PathBuf),
    /// A JSON file in a folder of results does not hold a result.
    #[error("{}: not an experiment result: {source}", .path.display())]
    MalformedResult {
        /// The file.
        path: PathBuf,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A result can't be written as JSON.
    #[error("{}", one_line(.0))]
    Json(#[from] serde_json::Error),
    /// A plot can't be drawn; holds the message of the plotting library.
    #[error("{}", one_line(.0))]
    Plot(String),
}

impl ExperimentError {
    /// Returns a conversion of an I/O error at this path, for `Result::map_err`.
    pub(crate) fn file(path: &Path, action: FileAction) -> impl FnOnce(io::Error) -> ExperimentError + '_ {
        move |source| ExperimentError::File { path: path.to_owned(), action, source }
    }

    /// Converts an error of the plotting library, whose error types differ by call.
    pub(crate) fn plot(error: impl fmt::Display) -> ExperimentError {
        ExperimentError::Plot(error.to_string())
    }
}

/// The operation on a file or folder that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileAction {
    /// Reading the file or folder.
    Read,
    /// Creating the file or folder.
    Create,
    /// Writing to the file after its creation.
    Write,
    /// Any other operation; the message consists of the path and the error of the operating system.
    Access,
}

impl fmt::Display for FileAction {
    /// Writes the part of the message between the path and the error of the operating system.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FileAction::Read => "cannot be read: ",
            FileAction::Create => "cannot be created: ",
            FileAction::Write => "cannot be written: ",
            FileAction::Access => "",
        })
    }
}

/// Returns an error's message with its line breaks replaced by `; `.
fn one_line(error: &impl fmt::Display) -> String {
    error.to_string().trim().replace('\n', "; ")
}
