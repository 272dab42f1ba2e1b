//! The test bed: sets up, holds and tears down all components of a run.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use tempfile::TempDir;
use tokio::time::interval;

use crate::client::SubmitResult;
use crate::control_plane::{ControlListener, ControlPlane, LostChange};
use crate::endpoint_list::AuthoritativeList;
use crate::error::ScaleTestError;
use crate::hollow_forwarder::HollowForwarder;
use crate::hollow_state::HollowState;
use crate::labels::{OperatingCondition, RunPhase};
use crate::latency::LatencyHistogram;
use crate::lock::lock;
use crate::metered_stream::TrafficCounters;
use crate::outages::Outages;
use crate::probe::ProbeResult;
use crate::process_usage::ResourceUsage;
use crate::real_forwarder::{ForwarderTemplate, RealForwarder};
use crate::resource_budget::memory_limit_bytes;
use crate::runtime_thread::RuntimeThread;
use crate::scenario::Scenario;
use crate::stub_endpoints::StubEndpoints;

/// The name of the control plane's thread. Its processor time is looked up by this name.
pub(crate) const CONTROL_THREAD_NAME: &str = "control";
/// Time between two checks of the memory in use.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Options of a run that aren't part of its scenario.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Path of the daemon's executable. Required if the scenario has real forwarders.
    pub program: Option<PathBuf>,
    /// Defects seeded into the run; none in ordinary runs.
    pub defects: SeededDefects,
}

/// Defects seeded into a run, which the checks must find. None are set in ordinary runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeededDefects {
    /// A change that one hollow forwarder doesn't apply.
    pub dropped_change: Option<DroppedChange>,
    /// A change that the control plane never sends through one listener.
    pub lost_change: Option<LostChange>,
}

/// A seeded defect: a change that one hollow forwarder doesn't apply.
#[derive(Clone, Copy, Debug)]
pub struct DroppedChange {
    /// The index of the forwarder among the hollow forwarders.
    pub hollow_forwarder: u32,
    /// The generation of the change.
    pub generation: u64,
}

/// When one change took effect at one real forwarder.
pub(crate) struct ProbeRecord {
    /// The forwarder's number.
    pub(crate) forwarder: u32,
    /// The generation of the change.
    pub(crate) generation: u64,
    /// The result of the probes.
    pub(crate) result: ProbeResult,
}

/// One start of a real forwarder, and the time until the forwarder had the endpoint list.
pub(crate) struct StartRecord {
    /// Why the forwarder was started.
    pub(crate) condition: OperatingCondition,
    /// Time from the start of the process until the endpoint list was in effect.
    pub(crate) list_latency: Duration,
}

/// Counts and latencies of the submissions in one phase.
#[derive(Default)]
pub(crate) struct SubmissionStats {
    /// Latency of the submissions that got a response, accepted or rejected.
    pub(crate) latency: LatencyHistogram,
    /// Number of accepted messages.
    pub(crate) accepted: u64,
    /// Number of rejected messages.
    pub(crate) rejected: u64,
    /// Number of submissions without a response in time.
    pub(crate) unanswered: u64,
}

impl SubmissionStats {
    /// Adds the result of one submission. The latency is ignored if there was no response.
    pub(crate) fn record(&mut self, result: SubmitResult, latency: Duration) {
        match result {
            SubmitResult::Accepted => self.accepted += 1,
            SubmitResult::Rejected => self.rejected += 1,
            SubmitResult::NoResponse => self.unanswered += 1,
        }
        if result != SubmitResult::NoResponse {
            self.latency.record(latency);
        }
    }
}

/// All components of a run and the records that it collects.
pub(crate) struct TestBed {
    pub(crate) scenario: Scenario,
    pub(crate) list: Arc<AuthoritativeList>,
    pub(crate) control_plane: Arc<ControlPlane>,
    pub(crate) endpoints: StubEndpoints,
    /// One listener for each real forwarder, followed by one for the hollow forwarders of each zone.
    pub(crate) listeners: Vec<ControlListener>,
    /// Each is locked during a restart, so that only one task at a time stops or starts the process.
    pub(crate) real_forwarders: Vec<tokio::sync::Mutex<RealForwarder>>,
    pub(crate) hollow_forwarders: Vec<Mutex<HollowForwarder>>,
    /// Traffic of all hollow forwarders together.
    pub(crate) hollow_traffic: Arc<TrafficCounters>,
    pub(crate) outages: Mutex<Outages>,
    pub(crate) start_records: Mutex<Vec<StartRecord>>,
    pub(crate) probe_records: Mutex<Vec<ProbeRecord>>,
    pub(crate) submissions: Mutex<BTreeMap<RunPhase, SubmissionStats>>,
    /// Whether all forwarders have had the endpoint list since the first start.
    pub(crate) start_complete: AtomicBool,
    /// Whether results of probes are still recorded.
    pub(crate) probing_active: AtomicBool,
    pub(crate) hollow_threads: Vec<RuntimeThread>,
    _control_thread: RuntimeThread,
    _endpoints_thread: RuntimeThread,
    _folder: TempDir,
}

impl TestBed {
    /// Opens all listeners and creates all forwarders without starting them.
    pub(crate) async fn set_up(scenario: Scenario, options: Options) -> Result<TestBed, ScaleTestError> {
        let program = daemon_program(&scenario, &options)?;
        let defects = options.defects;
        let folder = tempfile::Builder::new().prefix("reeddock-scale-test-").tempdir();
        let folder =
            folder.map_err(|e| ScaleTestError::aborted("creating the folder for temporary files", e))?;
        let endpoints_thread = RuntimeThread::start("targets")?;
        let endpoints = endpoints_thread.run(StubEndpoints::open()).await?;
        let list = AuthoritativeList::new(scenario.list.endpoints, |index| endpoints.address(index, 0));
        let list = Arc::new(list);
        let control_thread = RuntimeThread::start(CONTROL_THREAD_NAME)?;
        let control_plane =
            ControlPlane::new(list.clone(), scenario.list.concurrent_full_lists, defects.lost_change);
        let listeners = open_listeners(&scenario, &control_thread, &control_plane).await?;
        let real_forwarders = create_real_forwarders(&scenario, program, folder.path(), &listeners)?;
        let hollow_traffic: Arc<TrafficCounters> = Arc::default();
        let hollow_forwarders =
            create_hollow_forwarders(&scenario, defects.dropped_change, &listeners, &hollow_traffic);
        Ok(TestBed {
            hollow_threads: start_hollow_threads(&scenario)?,
            list,
            control_plane,
            endpoints,
            listeners,
            real_forwarders,
            hollow_forwarders,
            hollow_traffic,
            outages: Mutex::default(),
            start_records: Mutex::default(),
            probe_records: Mutex::default(),
            submissions: Mutex::default(),
            start_complete: AtomicBool::new(false),
            probing_active: AtomicBool::new(true),
            _control_thread: control_thread,
            _endpoints_thread: endpoints_thread,
            _folder: folder,
            scenario,
        })
    }

    /// Kills all forwarders.
    pub(crate) async fn tear_down(&self) {
        for hollow in &self.hollow_forwarders {
            lock(hollow).kill();
        }
        join_all(self.real_forwarders.iter().map(|real| async { real.lock().await.kill().await })).await;
    }

    /// Waits until this program and its processes exceed the memory limit, and returns the error for that.
    pub(crate) async fn watch_memory(self: Arc<TestBed>) -> ScaleTestError {
        let limit = match memory_limit_bytes() {
            Ok(limit) => limit,
            Err(error) => return error,
        };
        let mut tick = interval(MEMORY_CHECK_INTERVAL);
        loop {
            tick.tick().await;
            let mut used = ResourceUsage::of_this_process().resident_bytes;
            for forwarder in &self.real_forwarders {
                // A locked forwarder is being restarted, and its memory use is small.
                used += forwarder.try_lock().map_or(0, |forwarder| forwarder.usage().resident_bytes);
            }
            if used > limit {
                let (used, limit) = (used >> 20, limit >> 20);
                let reason =
                    format!("{used} MiB in use, expected at most half of the machine's memory: {limit} MiB");
                return ScaleTestError::aborted("memory", reason);
            }
        }
    }

    /// Returns the number of destinations that changes have added to the list since the start.
    pub(crate) fn new_destination_count(&self) -> usize {
        self.list.len() - self.scenario.list.endpoints as usize
    }
}

/// Returns the path of the daemon's executable, or an empty path if the scenario has no real forwarders.
fn daemon_program(scenario: &Scenario, options: &Options) -> Result<PathBuf, ScaleTestError> {
    match (&options.program, scenario.fleet.real) {
        (_, 0) => Ok(PathBuf::new()),
        (Some(program), _) if program.is_file() => Ok(program.clone()),
        (found, _) => {
            let found = found.as_ref().map_or("none".to_owned(), |file| file.display().to_string());
            let expected = "the built program reeddock (cargo build --release), or fleet.real = 0";
            Err(ScaleTestError::invalid_input("--forwarder", expected, found))
        }
    }
}

async fn open_listeners(
    scenario: &Scenario,
    control_thread: &RuntimeThread,
    control_plane: &Arc<ControlPlane>,
) -> Result<Vec<ControlListener>, ScaleTestError> {
    let mut listeners = Vec::new();
    for number in 0..(scenario.fleet.real + scenario.fleet.zones) as usize {
        let listener = control_thread.run(ControlListener::open(control_plane.clone(), number)).await?;
        listeners.push(listener);
    }
    Ok(listeners)
}

fn create_real_forwarders(
    scenario: &Scenario,
    program: PathBuf,
    folder: &Path,
    listeners: &[ControlListener],
) -> Result<Vec<tokio::sync::Mutex<RealForwarder>>, ScaleTestError> {
    let template = ForwarderTemplate {
        program,
        process_limits: scenario.process_limits.clone(),
        forwarders: scenario.forwarders(),
        seed: scenario.seed,
    };
    let create = |number: u32| {
        let control_plane = listeners[number as usize].address();
        RealForwarder::new(number, folder, template.clone(), control_plane).map(tokio::sync::Mutex::new)
    };
    (0..scenario.fleet.real).map(create).collect()
}

fn create_hollow_forwarders(
    scenario: &Scenario,
    dropped_change: Option<DroppedChange>,
    listeners: &[ControlListener],
    traffic: &Arc<TrafficCounters>,
) -> Vec<Mutex<HollowForwarder>> {
    let create = |index: u32| {
        let number = scenario.fleet.real + index;
        let dropped = dropped_change.filter(|dropped| dropped.hollow_forwarder == index);
        let state = HollowState::new(dropped.map(|dropped| dropped.generation));
        let listener = &listeners[(scenario.fleet.real + scenario.zone_of(number)) as usize];
        let seed = scenario.seed.wrapping_add(u64::from(number) << 20);
        Mutex::new(HollowForwarder::new(number, state, listener.address(), traffic.clone(), seed))
    };
    (0..scenario.fleet.hollow).map(create).collect()
}

fn start_hollow_threads(scenario: &Scenario) -> Result<Vec<RuntimeThread>, ScaleTestError> {
    let threads = 0..scenario.fleet.hollow_threads;
    threads.map(|number| RuntimeThread::start(&format!("hollow-{number}"))).collect()
}
