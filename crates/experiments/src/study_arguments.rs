//! The arguments of the studies that `docs/CAPACITY.md` quotes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use reeddock_experiments::{
    ComparisonPlan, ExperimentError, ExperimentRunner, OutputFormat, PolicyList, ScenarioOverride,
    SharingStudyPlan,
};

/// Sums of calls to destinations that come back cold.
#[derive(Args)]
pub struct RecoveryStudyArguments {
    scenario: PathBuf,
    /// A place in the scenario and the values to put there; may stand several times.
    #[arg(long = "set", value_name = "KEY=V1,V2", default_value = "fleet.forwarders=3,30,300")]
    settings: Vec<ScenarioOverride>,
    #[arg(long, default_value = "module")]
    policies: PolicyList,
    /// Days, each drawn by a seed of its own, from 1 up.
    #[arg(long, default_value_t = 30)]
    seeds: u64,
}

impl RecoveryStudyArguments {
    pub fn execute(
        self,
        runner: &ExperimentRunner,
        format: OutputFormat,
    ) -> Result<ExitCode, ExperimentError> {
        let plan = ComparisonPlan { policies: self.policies, seeds: self.seeds };
        runner.study_recovery(&self.scenario, &self.settings, &plan)?.print(format)
    }
}

/// Fleets that share nothing of destinations that are down, beside ones that do.
#[derive(Args)]
pub struct SharingStudyArguments {
    scenario: PathBuf,
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_value = "10,30,100,300,1000")]
    forwarders: Vec<u32>,
    /// Seconds between two meetings of a forwarder with a destination, in the mean.
    #[arg(long, default_value_t = 842.0)]
    meet_every: f64,
    /// Share of the destinations that is down at any time.
    #[arg(long, default_value_t = 0.041)]
    down: f64,
    /// Seconds that an outage lasts.
    #[arg(long, default_value_t = 180.0)]
    outage: f64,
    /// Most forwarders times destinations that are played; rates are scaled up.
    #[arg(long, default_value_t = 100_000)]
    cells: u64,
    /// Destinations that rates are scaled up to.
    #[arg(long, default_value_t = 320_000)]
    full: u64,
    /// Days, each drawn by a seed of its own, from 1 up.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

impl SharingStudyArguments {
    pub fn execute(
        self,
        runner: &ExperimentRunner,
        format: OutputFormat,
    ) -> Result<ExitCode, ExperimentError> {
        let plan = SharingStudyPlan {
            forwarders: self.forwarders,
            message_interval_s: self.meet_every,
            down_share: self.down,
            outage_s: self.outage,
            max_cells: self.cells,
            real_destinations: self.full,
            seeds: self.seeds,
        };
        runner.study_sharing(&self.scenario, &plan)?.print(format)
    }
}
