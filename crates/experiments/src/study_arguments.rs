//! Command-line arguments of the studies.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use reeddock_experiments::{
    ComparisonPlan, ExperimentError, ExperimentRunner, OutputFormat, PolicyList, ScenarioOverride,
    SharingStudyPlan,
};

/// Measure the requests of a fleet to destinations in slow start after an outage.
#[derive(Args)]
pub struct RecoveryStudyArguments {
    scenario: PathBuf,
    /// Key of the scenario and the values to run it with; may be repeated.
    #[arg(long = "set", value_name = "KEY=V1,V2", default_value = "fleet.forwarders=3,30,300")]
    overrides: Vec<ScenarioOverride>,
    #[arg(long, default_value = "module")]
    policies: PolicyList,
    /// Number of runs of each combination, with seeds from 1 up.
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
        runner.study_recovery(&self.scenario, &self.overrides, &plan)?.print(format)
    }
}

/// Compare fleets with and without shared knowledge of destinations that are down.
#[derive(Args)]
pub struct SharingStudyArguments {
    scenario: PathBuf,
    /// Numbers of forwarders, one for each fleet.
    #[arg(
        long = "forwarders",
        value_name = "FORWARDERS",
        value_delimiter = ',',
        default_value = "10,30,100,300,1000"
    )]
    fleet_sizes: Vec<u32>,
    /// Mean time between two messages of a forwarder to the same destination, in seconds.
    #[arg(long = "meet-every", value_name = "SECONDS", default_value_t = 842.0)]
    message_interval_s: f64,
    /// Mean share of the destinations that is down at any time.
    #[arg(long = "down", value_name = "SHARE", default_value_t = 0.041)]
    down_share: f64,
    /// Duration of each outage, in seconds.
    #[arg(long = "outage", value_name = "SECONDS", default_value_t = 180.0)]
    outage_s: f64,
    /// Maximum product of the number of forwarders and the number of simulated destinations.
    #[arg(long = "cells", value_name = "COUNT", default_value_t = 100_000)]
    max_forwarder_destination_pairs: u64,
    /// Number of destinations in production, to which rates are scaled up.
    #[arg(long = "full", value_name = "COUNT", default_value_t = 320_000)]
    production_destinations: u64,
    /// Number of runs of each combination, with seeds from 1 up.
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
            fleet_sizes: self.fleet_sizes,
            message_interval_s: self.message_interval_s,
            down_share: self.down_share,
            outage_s: self.outage_s,
            max_forwarder_destination_pairs: self.max_forwarder_destination_pairs,
            production_destinations: self.production_destinations,
            seeds: self.seeds,
        };
        runner.study_sharing(&self.scenario, &plan)?.print(format)
    }
}
