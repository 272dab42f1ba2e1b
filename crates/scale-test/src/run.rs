//! One run, from the first process to the last check.

use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::clients::{Answer, Client};
use crate::fault::Fault;
use crate::hollow::{locked as known_of, Hollow};
use crate::real::{probe_client, until_reached, Real};
use crate::report::{Line, Results};
use crate::room;
use crate::scenario::Scenario;
use crate::stage::{locked, ProbeRecord, Stage};

pub use crate::stage::{Faults, Options};

/// Between two looks at whether all have come so far.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// How long a client waits for the answer to a hand-in.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// The phases of a run, as results name them.
const AT_START: &str = "at the start";
const AFTER_START: &str = "after the start";

/// A destination to probe for.
#[derive(Clone, Copy)]
struct Probe {
    generation: u64,
    place: u32,
    address: SocketAddrV4,
}

/// Plays a scenario. Nothing that it started runs on after it, however it ends.
pub async fn run(scenario: Scenario, options: Options) -> Result<Results, Fault> {
    room::check(&scenario)?;
    let limit = Duration::from_secs_f64(scenario.limit_s);
    let stage = Arc::new(Stage::set_up(scenario, options).await?);
    let memory = stage.clone().watch_memory();
    let played = tokio::select! {
        played = timeout(limit, stage.clone().play()) => played,
        broken = memory => Ok(Err(broken)),
    };
    stage.tear_down().await;
    played.unwrap_or_else(|_| {
        let limit_s = stage.scenario.limit_s;
        Err(Fault::broken("the run", format!("not over within limit_s = {limit_s}")))
    })
}

/// Ends a task with its owner.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Stage {
    async fn play(self: Arc<Stage>) -> Result<Results, Fault> {
        let mut lines = vec![Line::Run {
            scenario: Box::new(self.scenario.clone()),
            version: env!("CARGO_PKG_VERSION"),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
        }];
        let began = Instant::now();
        let _traffic = self.hand_in_everywhere().await;
        self.start().await?;
        self.started.store(true, Ordering::Relaxed);
        let start_s = began.elapsed().as_secs_f64();
        let before = self.snapshot().await;
        lines.extend(self.start_lines(&before, start_s));
        self.run_changes(&mut lines, began).await?;
        let settled = self.settle().await;
        let after = self.snapshot().await;
        self.changing.store(false, Ordering::Relaxed);
        lines.extend(self.exchange(AFTER_START, &before, &after));
        lines.extend(self.processes(&before, &after).await);
        lines.extend(self.spans());
        lines.extend(self.checks(settled).await);
        Ok(Results { lines })
    }

    /// Starts all real forwarders together, then all hollow ones, and waits until each has the list. Real ones do
    /// not queue behind hollow ones, which share few threads.
    async fn start(self: &Arc<Stage>) -> Result<(), Fault> {
        let within = Duration::from_secs_f64(self.scenario.list.start_within_s);
        for real in &self.reals {
            real.lock().await.start()?;
        }
        let reals = join_all(self.reals.iter().map(|real| self.list_in_force(real, "first start")));
        let all = async {
            reals.await;
            for hollow in &self.hollows {
                self.start_hollow(&mut locked(hollow));
            }
            while self.hollows.iter().any(|hollow| !known_of(&locked(hollow).known).has_list()) {
                sleep(LOOK_EVERY).await;
            }
        };
        if timeout(within, all).await.is_ok() {
            return Ok(());
        }
        let missing = self.hollows.iter().filter(|h| !known_of(&locked(h).known).has_list()).count();
        let in_force = locked(&self.starts).len();
        let mut words = String::new();
        for real in &self.reals {
            words = real.lock().await.last_words();
        }
        Err(Fault::broken(
            format!("the list was not in force everywhere within {} s", self.scenario.list.start_within_s),
            format!(
                "{} of {} real and {missing} of {} hollow forwarders lack it; last log line: {words}",
                self.reals.len() - in_force,
                self.reals.len(),
                self.hollows.len()
            ),
        ))
    }

    /// Starts a hollow forwarder on its thread.
    pub fn start_hollow(&self, hollow: &mut Hollow) {
        let worker = hollow.number as usize % self.hollow_workers.len();
        hollow.start(&self.hollow_workers[worker].handle);
    }

    /// Waits until a real forwarder that was started knows the last target of the list.
    pub async fn list_in_force(&self, real: &tokio::sync::Mutex<Real>, occasion: &'static str) {
        let (listen, started, number) = {
            let real = real.lock().await;
            (real.listen, real.started, real.number)
        };
        let id = format!("list-{number}-{}", self.truth.generation());
        let last = self.scenario.list.targets - 1;
        let address = self.targets.address(last, 0);
        let probed = until_reached(&mut probe_client(listen), &self.targets, &id, last, address).await;
        locked(&self.starts).push((occasion, probed.arrived.duration_since(started)));
    }

    /// Changes, probes, traffic, troubles and samples, until all are over.
    async fn run_changes(self: &Arc<Stage>, lines: &mut Vec<Line>, began: Instant) -> Result<(), Fault> {
        let mut probes = Vec::new();
        for real in &self.reals {
            let (listen, number) = {
                let real = real.lock().await;
                (real.listen, real.number)
            };
            let (sender, queue) = mpsc::unbounded_channel();
            probes.push(sender);
            tokio::spawn(self.clone().probe(number, probe_client(listen), queue));
        }
        let troubles = self.scenario.trouble.to_vec();
        let troubles = join_all(troubles.into_iter().map(|trouble| self.clone().trouble(trouble)));
        let changes = self.clone().changes(probes);
        let work = async { tokio::join!(changes, troubles).1.into_iter().collect::<Result<(), Fault>>() };
        tokio::pin!(work);
        let mut tick = interval(SAMPLE_EVERY);
        loop {
            tokio::select! {
                worked = &mut work => return worked,
                _ = tick.tick() => self.sample(lines, began),
            }
        }
    }

    fn sample(&self, lines: &mut Vec<Line>, began: Instant) {
        let at_s = began.elapsed().as_secs_f64();
        for real in &self.reals {
            if let Ok(real) = real.try_lock() {
                if real.is_running() {
                    lines.push(Line::Sample { at_s, used: real.used() });
                }
            }
        }
    }

    async fn changes(self: Arc<Stage>, probes: Vec<mpsc::UnboundedSender<Probe>>) {
        let changes = &self.scenario.changes;
        let mut chance = Pcg32::seed_from_u64(self.scenario.seed);
        let mut tick = interval(Duration::from_secs_f64(changes.every_s));
        let count = (changes.lasts_s / changes.every_s).ceil() as u64;
        let mut listed = self.scenario.list.targets;
        for n in 1..=count {
            tick.tick().await;
            if n % u64::from(changes.probe_every) != 0 {
                // The last one stays where it is: starts are probed by it.
                let place = chance.random_range(0..self.scenario.list.targets - 1);
                self.truth.put(place, self.targets.address(place, n));
                continue;
            }
            let place = listed;
            listed += 1;
            let address = self.targets.address(place, n);
            let generation = self.truth.put(place, address);
            for probe in &probes {
                // A worker that has gone is found missing at the end.
                let _ = probe.send(Probe { generation, place, address });
            }
        }
        tick.tick().await;
    }

    async fn probe(
        self: Arc<Stage>,
        forwarder: u32,
        mut client: Client,
        mut queue: mpsc::UnboundedReceiver<Probe>,
    ) {
        while let Some(Probe { generation, place, address }) = queue.recv().await {
            let id = format!("probe-{forwarder}-{generation}");
            tokio::select! {
                probed = until_reached(&mut client, &self.targets, &id, place, address) => {
                    locked(&self.probed).push(ProbeRecord { forwarder, generation, probed });
                }
                () = self.over() => return,
            }
        }
    }

    /// Comes when the run's changes are over and none is waited for any more.
    async fn over(&self) {
        while self.changing.load(Ordering::Relaxed) {
            sleep(LOOK_EVERY).await;
        }
    }

    /// Clients at all real forwarders, from before these are up.
    async fn hand_in_everywhere(self: &Arc<Stage>) -> Vec<Task> {
        let mut tasks = Vec::new();
        if self.scenario.traffic.per_forwarder_per_s > 0.0 {
            for real in &self.reals {
                let real = real.lock().await;
                let client = Client::new(real.listen, CLIENT_PATIENCE);
                tasks.push(Task(tokio::spawn(self.clone().traffic(real.number, client))));
            }
        }
        tasks
    }

    async fn traffic(self: Arc<Stage>, forwarder: u32, mut client: Client) {
        let mut chance = Pcg32::seed_from_u64(self.scenario.seed ^ (u64::from(forwarder) << 40));
        let mut tick = interval(Duration::from_secs_f64(1.0 / self.scenario.traffic.per_forwarder_per_s));
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        for n in 0_u64.. {
            tick.tick().await;
            let destination = chance.random_range(0..self.scenario.list.targets);
            let sent = Instant::now();
            let answer = client.hand_in(&format!("traffic-{forwarder}-{n}"), destination).await;
            let started = self.started.load(Ordering::Relaxed);
            let mut phases = locked(&self.hand_ins);
            let phase = phases.entry(if started { AFTER_START } else { AT_START }).or_default();
            match answer {
                Answer::TakenOn => phase.taken_on += 1,
                Answer::Refused(_) => phase.refused += 1,
                Answer::None => phase.unanswered += 1,
            }
            if answer != Answer::None {
                phase.spans.add(sent.elapsed());
            }
        }
    }

    /// Waits until the last change is in force everywhere; false if it is not in time.
    async fn settle(&self) -> bool {
        let within = Duration::from_secs_f64(self.scenario.changes.settle_within_s);
        let generation = self.truth.generation();
        let probes = self.probes() * self.reals.len();
        let all = async {
            while locked(&self.probed).len() < probes
                || self.hollows.iter().any(|h| {
                    let hollow = locked(h);
                    let known = known_of(&hollow.known);
                    known.asks_after() < generation
                })
            {
                sleep(LOOK_EVERY).await;
            }
        };
        timeout(within, all).await.is_ok()
    }

    /// Changes that listed a new destination.
    pub fn probes(&self) -> usize {
        self.truth.targets().1.len() - self.scenario.list.targets as usize
    }
}
