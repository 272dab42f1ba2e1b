//! Runs a scenario: starts the forwarders, changes the list, injects faults and collects the results.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::client::Client;
use crate::error::ScaleTestError;
use crate::hollow_forwarder::HollowForwarder;
use crate::lock::lock;
use crate::probe::{probe_client, probe_until_delivered, ProbeTarget};
use crate::real_forwarder::RealForwarder;
use crate::report::{OperatingCondition, ResultLine, Results, RunPhase};
use crate::resource_budget::ResourceBudget;
use crate::scenario::Scenario;
use crate::task::AbortOnDrop;
use crate::test_bed::{ProbeRecord, StartRecord, TestBed};

pub use crate::control_plane::LostChange;
pub use crate::test_bed::{DroppedChange, Options, SeededDefects};

/// Time between two checks of a condition that the run waits for.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two samples of the real forwarders' resource usage.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const CLIENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// A change that added a destination. Each real forwarder is probed for this destination.
#[derive(Clone, Copy)]
struct AddedDestination {
    generation: u64,
    target: ProbeTarget,
}

/// Runs a scenario and returns its results. All processes and forwarders are stopped before the function
/// returns, even on an error.
pub async fn run(scenario: Scenario, options: Options) -> Result<Results, ScaleTestError> {
    ResourceBudget::needed_by(&scenario).check_against_machine()?;
    let limit = Duration::from_secs_f64(scenario.time_limit_s);
    let test_bed = Arc::new(TestBed::set_up(scenario, options).await?);
    let memory_exceeded = test_bed.clone().watch_memory();
    let outcome = tokio::select! {
        outcome = timeout(limit, test_bed.clone().run()) => outcome,
        error = memory_exceeded => Ok(Err(error)),
    };
    test_bed.tear_down().await;
    outcome.unwrap_or_else(|_| {
        let limit_s = test_bed.scenario.time_limit_s;
        Err(ScaleTestError::aborted("the run", format!("not over within limit_s = {limit_s}")))
    })
}

impl TestBed {
    async fn run(self: Arc<TestBed>) -> Result<Results, ScaleTestError> {
        let mut lines = vec![ResultLine::Run {
            scenario: Box::new(self.scenario.clone()),
            version: env!("CARGO_PKG_VERSION"),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
        }];
        let began = Instant::now();
        let _traffic = self.start_traffic().await;
        self.start_forwarders().await?;
        self.start_complete.store(true, Ordering::Relaxed);
        let start_s = began.elapsed().as_secs_f64();
        let before = self.snapshot().await;
        lines.extend(self.start_results(&before, start_s));
        self.run_changes(&mut lines, began).await?;
        let converged = self.wait_for_convergence().await;
        let after = self.snapshot().await;
        self.probing_active.store(false, Ordering::Relaxed);
        lines.extend(self.exchange_results(RunPhase::AfterStartup, &before, &after));
        lines.extend(self.process_results(&before, &after).await);
        lines.extend(self.latency_results());
        lines.extend(self.check_results(converged).await);
        Ok(Results { lines })
    }

    /// Starts all forwarders and waits until each has the endpoint list.
    async fn start_forwarders(&self) -> Result<(), ScaleTestError> {
        let limit = Duration::from_secs_f64(self.scenario.list.start_timeout_s);
        for forwarder in &self.real_forwarders {
            forwarder.lock().await.start()?;
        }
        match timeout(limit, self.wait_for_first_lists()).await {
            Ok(()) => Ok(()),
            Err(_) => Err(self.start_error().await),
        }
    }

    /// Waits until all real forwarders have the list, then starts the hollow forwarders and waits for them.
    /// Real forwarders start first so that their full lists aren't delayed by those of the hollow forwarders.
    async fn wait_for_first_lists(&self) {
        let real = self.real_forwarders.iter();
        join_all(real.map(|forwarder| self.wait_for_list(forwarder, OperatingCondition::FirstStart))).await;
        for hollow in &self.hollow_forwarders {
            self.start_hollow(&mut lock(hollow));
        }
        while self.hollow_without_list() > 0 {
            sleep(PROGRESS_CHECK_INTERVAL).await;
        }
    }

    fn hollow_without_list(&self) -> usize {
        self.hollow_forwarders.iter().filter(|hollow| !lock(hollow).state().has_list()).count()
    }

    /// Returns the error for forwarders that had no list within the time limit.
    async fn start_error(&self) -> ScaleTestError {
        let hollow_missing = self.hollow_without_list();
        let real_with_list = lock(&self.start_records).len();
        let mut last_log_line = String::new();
        for forwarder in &self.real_forwarders {
            last_log_line = forwarder.lock().await.last_log_line();
        }
        let limit_s = self.scenario.list.start_timeout_s;
        ScaleTestError::aborted(
            format!("the endpoint list was not in effect at all forwarders within {limit_s} s"),
            format!(
                "{} of {} real and {hollow_missing} of {} hollow forwarders have no list; \
                 last log line: {last_log_line}",
                self.real_forwarders.len() - real_with_list,
                self.real_forwarders.len(),
                self.hollow_forwarders.len()
            ),
        )
    }

    /// Starts a hollow forwarder on one of the threads for hollow forwarders.
    pub(crate) fn start_hollow(&self, hollow: &mut HollowForwarder) {
        let thread = hollow.number() as usize % self.hollow_threads.len();
        hollow.start(self.hollow_threads[thread].handle());
    }

    /// Waits until a started real forwarder delivers to the last endpoint of the first list, and records the
    /// time since its start.
    pub(crate) async fn wait_for_list(
        &self,
        forwarder: &tokio::sync::Mutex<RealForwarder>,
        condition: OperatingCondition,
    ) {
        let (address, started_at, number) = {
            let forwarder = forwarder.lock().await;
            (forwarder.address(), forwarder.started_at(), forwarder.number())
        };
        let id = format!("list-{number}-{}", self.list.generation());
        let last = self.scenario.list.endpoints - 1;
        let target = ProbeTarget { destination: last, address: self.endpoints.address(last, 0) };
        let mut client = probe_client(address);
        let result = probe_until_delivered(&mut client, &self.endpoints, &id, target).await;
        let list_latency = result.arrived_at.duration_since(started_at);
        lock(&self.start_records).push(StartRecord { condition, list_latency });
    }

    /// Changes the list, sends probes, injects faults and samples usage, until all changes and faults are
    /// over.
    async fn run_changes(
        self: &Arc<TestBed>,
        lines: &mut Vec<ResultLine>,
        began: Instant,
    ) -> Result<(), ScaleTestError> {
        let probes = self.start_probes().await;
        let changes = self.clone().make_changes(probes);
        let faults = self.clone().run_fault_schedule();
        let work = async { tokio::join!(changes, faults).1 };
        tokio::pin!(work);
        let mut tick = interval(SAMPLE_INTERVAL);
        loop {
            tokio::select! {
                result = &mut work => return result,
                _ = tick.tick() => self.sample_usage(lines, began),
            }
        }
    }

    /// Starts one probe task for each real forwarder, and returns the channels on which the tasks receive
    /// added destinations.
    async fn start_probes(self: &Arc<TestBed>) -> Vec<mpsc::UnboundedSender<AddedDestination>> {
        let mut senders = Vec::new();
        for forwarder in &self.real_forwarders {
            let (address, number) = {
                let forwarder = forwarder.lock().await;
                (forwarder.address(), forwarder.number())
            };
            let (sender, added_destinations) = mpsc::unbounded_channel();
            senders.push(sender);
            tokio::spawn(self.clone().run_probes(number, probe_client(address), added_destinations));
        }
        senders
    }

    /// Adds a usage sample of each running real forwarder that isn't being restarted.
    fn sample_usage(&self, lines: &mut Vec<ResultLine>, began: Instant) {
        let at_s = began.elapsed().as_secs_f64();
        for forwarder in &self.real_forwarders {
            if let Ok(forwarder) = forwarder.try_lock() {
                if forwarder.is_running() {
                    lines.push(ResultLine::Sample { at_s, usage: forwarder.usage() });
                }
            }
        }
    }

    /// Makes all changes of the scenario, and sends each added destination to all probe tasks.
    async fn make_changes(self: Arc<TestBed>, probes: Vec<mpsc::UnboundedSender<AddedDestination>>) {
        let changes = &self.scenario.changes;
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed);
        let mut tick = interval(Duration::from_secs_f64(changes.interval_s));
        let count = (changes.duration_s / changes.interval_s).ceil() as u64;
        let mut listed = self.scenario.list.endpoints;
        for number in 1..=count {
            tick.tick().await;
            if number % u64::from(changes.probe_every_nth) != 0 {
                // The last endpoint of the first list doesn't move, because `wait_for_list` probes its
                // address.
                let index = rng.random_range(0..self.scenario.list.endpoints - 1);
                self.list.put(index, self.endpoints.address(index, number));
                continue;
            }
            let target = ProbeTarget { destination: listed, address: self.endpoints.address(listed, number) };
            listed += 1;
            let generation = self.list.put(target.destination, target.address);
            for probe in &probes {
                // Sending fails if the probe task has ended. A check at the end of the run reports missing
                // probes.
                let _ = probe.send(AddedDestination { generation, target });
            }
        }
        tick.tick().await;
    }

    /// Probes one real forwarder for each added destination, one after the other, until probing ends.
    async fn run_probes(
        self: Arc<TestBed>,
        forwarder: u32,
        mut client: Client,
        mut added_destinations: mpsc::UnboundedReceiver<AddedDestination>,
    ) {
        while let Some(AddedDestination { generation, target }) = added_destinations.recv().await {
            let id = format!("probe-{forwarder}-{generation}");
            tokio::select! {
                result = probe_until_delivered(&mut client, &self.endpoints, &id, target) => {
                    lock(&self.probe_records).push(ProbeRecord { forwarder, generation, result });
                }
                () = self.wait_until_probing_ends() => return,
            }
        }
    }

    async fn wait_until_probing_ends(&self) {
        while self.probing_active.load(Ordering::Relaxed) {
            sleep(PROGRESS_CHECK_INTERVAL).await;
        }
    }

    /// Starts a client for each real forwarder before the forwarder itself is started.
    async fn start_traffic(self: &Arc<TestBed>) -> Vec<AbortOnDrop> {
        let mut tasks = Vec::new();
        if self.scenario.traffic.messages_per_forwarder_per_s > 0.0 {
            for forwarder in &self.real_forwarders {
                let forwarder = forwarder.lock().await;
                let client = Client::new(forwarder.address(), CLIENT_RESPONSE_TIMEOUT);
                tasks.push(AbortOnDrop::spawn(self.clone().submit_traffic(forwarder.number(), client)));
            }
        }
        tasks
    }

    /// Submits messages to one forwarder at the scenario's rate, without end.
    async fn submit_traffic(self: Arc<TestBed>, forwarder: u32, mut client: Client) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed ^ (u64::from(forwarder) << 40));
        let mut tick =
            interval(Duration::from_secs_f64(1.0 / self.scenario.traffic.messages_per_forwarder_per_s));
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        for number in 0_u64.. {
            tick.tick().await;
            let destination = rng.random_range(0..self.scenario.list.endpoints);
            let sent = Instant::now();
            let result = client.submit(&format!("traffic-{forwarder}-{number}"), destination).await;
            let started = self.start_complete.load(Ordering::Relaxed);
            let phase = if started { RunPhase::AfterStartup } else { RunPhase::Startup };
            lock(&self.submissions).entry(phase).or_default().record(result, sent.elapsed());
        }
    }

    /// Waits until the last change is in effect at all forwarders. Returns false if the time limit expires
    /// first.
    async fn wait_for_convergence(&self) -> bool {
        let limit = Duration::from_secs_f64(self.scenario.changes.settle_timeout_s);
        let generation = self.list.generation();
        let probes = self.new_destination_count() * self.real_forwarders.len();
        let converged = || {
            let hollow = &self.hollow_forwarders;
            lock(&self.probe_records).len() >= probes
                && hollow.iter().all(|hollow| lock(hollow).state().watch_index() >= generation)
        };
        timeout(limit, wait_until(converged)).await.is_ok()
    }
}

/// Polls a condition until it holds.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(PROGRESS_CHECK_INTERVAL).await;
    }
}
