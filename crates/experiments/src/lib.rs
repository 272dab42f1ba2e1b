//! Experiments on the simulation of a fleet of forwarders: single runs, comparisons of policies, parameter
//! sweeps, a random search for faults, and studies of single questions.
//!
//! Runs are spread over all cores; results do not depend on the number of threads. All results are in
//! simulated time, none from real sockets.

mod arguments;
mod error;
mod html_report;
mod limits;
mod line_plot;
mod output;
mod random_scenario;
mod recorded_policy;
mod recording;
mod recovery_study;
mod report_plots;
mod results;
mod runner;
mod search;
mod sharing_study;
mod shrink;
mod table_cells;
mod text_report;

pub use arguments::{ArgumentError, PolicyList, ScenarioOverride};
pub use error::{ExperimentError, FileAction};
pub use html_report::write_html_report;
pub use limits::MAX_SEARCH_MINUTES;
pub use output::OutputFormat;
pub use random_scenario::random_scenario;
pub use recording::{
    compare_recordings, RecordedFile, RecordedFiles, RecordingComparison, ScenarioRecordingPlan,
    StreamRecordingPlan,
};
pub use recovery_study::{RecoveryRow, RecoveryTable};
pub use results::{ExperimentResult, FoundScenario, PolicyMetrics, PolicySummary, Statistics, SweepRow};
pub use runner::{ComparisonPlan, ExperimentRunner, SweepPlan};
pub use search::SearchPlan;
pub use sharing_study::{SharingRow, SharingStudyPlan, SharingTable};
pub use shrink::{shrink, ShrinkGoal};
