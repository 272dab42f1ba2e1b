//! One run, from the first process to the last check.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::clients::{Answer, Client};
use crate::control::{Control, Door, LostChange, Passage};
use crate::fault::Fault;
use crate::hollow::{locked as known_of, Hollow, Known};
use crate::real::{probe_client, until_reached, Probed, Real, Told};
use crate::report::{check, Line, Rates, Results, Spans};
use crate::room;
use crate::scenario::{Scenario, Trouble};
use crate::targets::Targets;
use crate::troubles::{concerned, zones_of, Outages};
use crate::truth::{Target, Truth};
use crate::wire::{Meter, Reading};

/// Between two looks at whether all have come so far.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const SAMPLE_EVERY: Duration = Duration::from_secs(1);
/// How long a client waits for the answer to a hand-in.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// Destinations listed while the run lasted that each real forwarder is asked for at its end, at most.
const ASKED_AT_END: usize = 64;
/// The phases of a run, as results name them.
const AT_START: &str = "at the start";
const AFTER_START: &str = "after the start";
/// Differences that are told one by one.
const TOLD_DIFFERENCES: usize = 3;

/// What a run is given beside its scenario.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The daemon's program; needed where the scenario has real forwarders.
    pub program: Option<PathBuf>,
    pub faults: Faults,
}

/// Faults that the checks have to find; none in ordinary runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A hollow forwarder, by its place among them, that does not apply the change of a generation.
    pub hollow_drops: Option<(u32, u64)>,
    /// The control side never sends a change at one door: real forwarders' doors come first, then zones'.
    pub control_loses: Option<LostChange>,
}

/// A poisoned lock's content is as good as any.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A thread with a runtime of its own, by whose name its processor time is found.
struct Worker {
    handle: tokio::runtime::Handle,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Worker {
    fn start(name: &str) -> Result<Worker, Fault> {
        let broken = |e: std::io::Error| Fault::broken("a thread can't be started", e);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .thread_name(format!("{name}-pool"))
            .enable_all()
            .build()
            .map_err(broken)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Ok(Worker { handle, stop: Some(stop), thread: Some(thread.map_err(broken)?) })
    }

    async fn run<T: Send + 'static>(
        &self,
        task: impl std::future::Future<Output = Result<T, Fault>> + Send + 'static,
    ) -> Result<T, Fault> {
        self.handle.spawn(task).await.map_err(|e| Fault::broken("a part of the run", e))?
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// When one change was in force at one real forwarder.
struct ProbeRecord {
    forwarder: u32,
    generation: u64,
    probed: Probed,
}

/// A destination to probe for.
#[derive(Clone, Copy)]
struct Probe {
    generation: u64,
    place: u32,
    address: SocketAddrV4,
}

/// Hand-ins of one phase.
#[derive(Default)]
struct HandIns {
    /// Until an answer of any kind came.
    spans: Spans,
    taken_on: u64,
    refused: u64,
    unanswered: u64,
}

/// What real forwarders' restarts showed: on what occasion, and how long until the list was in force.
type Starts = Vec<(&'static str, Duration)>;

/// All parts of a run.
struct Stage {
    scenario: Scenario,
    truth: Arc<Truth>,
    control: Arc<Control>,
    targets: Targets,
    doors: Vec<Door>,
    reals: Vec<Arc<tokio::sync::Mutex<Real>>>,
    hollows: Vec<Mutex<Hollow>>,
    hollow_meter: Arc<Meter>,
    outages: Mutex<Outages>,
    starts: Mutex<Starts>,
    probed: Mutex<Vec<ProbeRecord>>,
    hand_ins: Mutex<BTreeMap<&'static str, HandIns>>,
    started: AtomicBool,
    changing: AtomicBool,
    hollow_workers: Vec<Worker>,
    _control_worker: Worker,
    _targets_worker: Worker,
    _folder: TempDir,
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
    async fn set_up(scenario: Scenario, options: Options) -> Result<Stage, Fault> {
        let program = match (&options.program, scenario.fleet.real) {
            (_, 0) => PathBuf::new(),
            (Some(program), _) if program.is_file() => program.clone(),
            (found, _) => {
                let found = found.as_ref().map_or("none".to_owned(), |f| f.display().to_string());
                let expected = "the built program reeddock (cargo build --release), or fleet.real = 0";
                return Err(Fault::input("--forwarder", expected, found));
            }
        };
        let folder = tempfile::Builder::new().prefix("reeddock-scale-").tempdir();
        let folder = folder.map_err(|e| Fault::broken("no folder for temporary files", e))?;
        let targets_worker = Worker::start("targets")?;
        let targets = targets_worker.run(Targets::open()).await?;
        let address = targets.clone();
        let truth = Arc::new(Truth::new(scenario.list.targets, |place| address.address(place, 0)));
        let control_worker = Worker::start("control")?;
        let control = Control::new(truth.clone(), scenario.list.whole_at_once, options.faults.control_loses);
        let mut doors = Vec::new();
        for number in 0..(scenario.fleet.real + scenario.fleet.zones) as usize {
            doors.push(control_worker.run(Door::open(control.clone(), number)).await?);
        }
        let told = Told {
            program,
            process: scenario.process.clone(),
            forwarders: scenario.forwarders(),
            seed: scenario.seed,
        };
        let real = |number: u32| {
            let real = Real::new(number, folder.path(), told.clone(), doors[number as usize].address)?;
            Ok(Arc::new(tokio::sync::Mutex::new(real)))
        };
        let reals = (0..scenario.fleet.real).map(real).collect::<Result<_, Fault>>()?;
        let hollow_meter: Arc<Meter> = Arc::default();
        let hollow = |place: u32| {
            let number = scenario.fleet.real + place;
            let drops = options.faults.hollow_drops.filter(|(at, _)| *at == place).map(|(_, change)| change);
            let door = &doors[(scenario.fleet.real + scenario.zone_of(number)) as usize];
            let seed = scenario.seed.wrapping_add(u64::from(number) << 20);
            Mutex::new(Hollow::new(number, Known::new(drops), door.address, hollow_meter.clone(), seed))
        };
        let hollows = (0..scenario.fleet.hollow).map(hollow).collect();
        let hollow_workers =
            (0..scenario.fleet.hollow_threads).map(|n| Worker::start(&format!("hollow-{n}")));
        Ok(Stage {
            hollow_workers: hollow_workers.collect::<Result<_, Fault>>()?,
            truth,
            control,
            targets,
            doors,
            reals,
            hollows,
            hollow_meter,
            outages: Mutex::default(),
            starts: Mutex::default(),
            probed: Mutex::default(),
            hand_ins: Mutex::default(),
            started: AtomicBool::new(false),
            changing: AtomicBool::new(true),
            _control_worker: control_worker,
            _targets_worker: targets_worker,
            _folder: folder,
            scenario,
        })
    }

    async fn tear_down(&self) {
        for hollow in &self.hollows {
            locked(hollow).kill();
        }
        join_all(self.reals.iter().map(|real| async { real.lock().await.kill().await })).await;
    }

    /// Comes when this program and its processes take too much memory.
    async fn watch_memory(self: Arc<Stage>) -> Fault {
        let most = match room::most_memory() {
            Ok(most) => most,
            Err(fault) => return fault,
        };
        let mut tick = interval(SAMPLE_EVERY);
        loop {
            tick.tick().await;
            let mut used = room::own_usage().resident_bytes;
            for real in &self.reals {
                // One that is being ended is small by then.
                used += real.try_lock().map_or(0, |real| real.used().resident_bytes);
            }
            if used > most {
                let (used, most) = (used >> 20, most >> 20);
                return Fault::broken("memory", format!("{used} MB, over half of the machine's: {most} MB"));
            }
        }
    }

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

    fn start_hollow(&self, hollow: &mut Hollow) {
        let worker = hollow.number as usize % self.hollow_workers.len();
        hollow.start(&self.hollow_workers[worker].handle);
    }

    /// Waits until a real forwarder that was started knows the last target of the list.
    async fn list_in_force(&self, real: &tokio::sync::Mutex<Real>, occasion: &'static str) {
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

    async fn trouble(self: Arc<Stage>, trouble: Trouble) -> Result<(), Fault> {
        sleep(Duration::from_secs_f64(trouble.at_s())).await;
        let concerned = concerned(&self.scenario, &trouble);
        let kind = trouble.name();
        match trouble {
            Trouble::RollingRestart { gap_s, down_s, .. } => {
                let restarts = concerned.into_iter().zip(0_u32..).map(|(forwarder, n)| {
                    let stage = self.clone();
                    async move {
                        sleep(Duration::from_secs_f64(gap_s) * n).await;
                        stage.restart(kind, forwarder, true, down_s).await
                    }
                });
                join_all(restarts).await.into_iter().collect()
            }
            Trouble::Zone { down_s, .. } | Trouble::Rack { down_s, .. } => {
                let restarts = concerned.into_iter().map(|n| self.restart(kind, n, false, down_s));
                join_all(restarts).await.into_iter().collect()
            }
            Trouble::ControlRestart { down_s, forgets, .. } => {
                let all: Vec<usize> = (0..self.doors.len()).collect();
                self.shut(kind, &concerned, &all, Passage::Closed, down_s, forgets).await;
                Ok(())
            }
            Trouble::RegionCut { lasts_s, region, .. } => {
                let zones = zones_of(&self.scenario, region);
                let real = self.reals.len();
                let zone_doors = zones.into_iter().map(|zone| real + zone as usize);
                let real_doors = concerned.iter().map(|n| *n as usize).filter(|n| *n < real);
                let doors: Vec<usize> = real_doors.chain(zone_doors).collect();
                self.shut(kind, &concerned, &doors, Passage::CutOff, lasts_s, false).await;
                Ok(())
            }
        }
    }

    async fn shut(
        &self,
        kind: &'static str,
        concerned: &[u32],
        doors: &[usize],
        passage: Passage,
        lasts_s: f64,
        forgets: bool,
    ) {
        {
            let mut outages = locked(&self.outages);
            concerned.iter().for_each(|forwarder| outages.begin(kind, *forwarder));
        }
        doors.iter().for_each(|door| self.doors[*door].set(passage));
        sleep(Duration::from_secs_f64(lasts_s)).await;
        if forgets {
            self.truth.forget_changes();
        }
        doors.iter().for_each(|door| self.doors[*door].set(Passage::Open));
        let mut outages = locked(&self.outages);
        concerned.iter().for_each(|forwarder| outages.end(kind, *forwarder));
    }

    async fn restart(
        &self,
        kind: &'static str,
        forwarder: u32,
        planned: bool,
        down_s: f64,
    ) -> Result<(), Fault> {
        locked(&self.outages).begin(kind, forwarder);
        let down = Duration::from_secs_f64(down_s);
        if let Some(real) = self.reals.get(forwarder as usize) {
            {
                // Held while it is down, so that nobody else ends or starts it meanwhile.
                let mut real = real.lock().await;
                if planned {
                    real.stop().await;
                } else {
                    real.kill().await;
                }
                sleep(down).await;
                real.start()?;
            }
            locked(&self.outages).end(kind, forwarder);
            self.list_in_force(real, kind).await;
            return Ok(());
        }
        if let Some(hollow) = self.hollows.get(forwarder as usize - self.reals.len()) {
            locked(hollow).kill();
            sleep(down).await;
            self.start_hollow(&mut locked(hollow));
        }
        locked(&self.outages).end(kind, forwarder);
        Ok(())
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
    fn probes(&self) -> usize {
        self.truth.targets().1.len() - self.scenario.list.targets as usize
    }
}

/// Counters at one moment.
struct Snapshot {
    at: Instant,
    control: Reading,
    real: Reading,
    hollow: Reading,
    threads: BTreeMap<String, f64>,
    processor_s: Vec<f64>,
}

impl Stage {
    async fn snapshot(&self) -> Snapshot {
        let read =
            |doors: &[Door]| doors.iter().map(|d| d.meter.read()).fold(Reading::default(), Reading::plus);
        let mut processor_s = Vec::new();
        for real in &self.reals {
            processor_s.push(real.lock().await.used().processor_s);
        }
        Snapshot {
            at: Instant::now(),
            control: read(&self.doors),
            real: read(&self.doors[..self.reals.len()]),
            hollow: self.hollow_meter.read(),
            threads: room::threads(),
            processor_s,
        }
    }

    fn start_lines(&self, before: &Snapshot, start_s: f64) -> Vec<Line> {
        let whole_bytes = self.control.whole_bytes.load(Ordering::Relaxed) as f64;
        let control_s = before.threads.get("control").copied().unwrap_or_default();
        let mean_processor_s = mean(&before.processor_s);
        let mut figures = vec![
            ("list.whole_bytes", whole_bytes),
            ("start.seconds", start_s),
            ("start.control_processor_s", control_s),
            ("start.control_sent_bytes", before.control.sent as f64),
        ];
        figures.extend(mean_processor_s.map(|mean| ("start.real_processor_s", mean)));
        figures.into_iter().map(figure).collect()
    }

    fn exchange(&self, phase: &'static str, before: &Snapshot, after: &Snapshot) -> Vec<Line> {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let forwarders = [self.scenario.forwarders(), self.scenario.fleet.real, self.scenario.fleet.hollow];
        let readings = [
            ("control side", after.control.since(before.control)),
            // Read at the control side's end, so that the directions are swapped.
            ("real", swapped(after.real.since(before.real))),
            ("hollow", after.hollow.since(before.hollow)),
        ];
        let mut lines = Vec::new();
        for ((role, reading), forwarders) in readings.into_iter().zip(forwarders) {
            let per_s = |count: u64| count as f64 / seconds;
            let figures = Rates {
                received_bytes_per_s: per_s(reading.received),
                sent_bytes_per_s: per_s(reading.sent),
                messages_per_s: per_s(reading.messages),
            };
            lines.push(Line::Exchange { role, phase, forwarders, seconds, figures });
            if role != "control side" && forwarders > 0 {
                let name = format!("{role}.received_bytes_per_s");
                let value = figures.received_bytes_per_s / f64::from(forwarders);
                lines.push(Line::Figure { name, value });
            }
            if role == "control side" {
                lines.push(figure(("control.sent_bytes_per_s", figures.sent_bytes_per_s)));
                lines.push(figure(("control.messages_per_s", figures.messages_per_s)));
            }
        }
        for (part, used) in &after.threads {
            let share = (used - before.threads.get(part).copied().unwrap_or_default()) / seconds;
            lines.push(Line::Part { part: part.clone(), core_share: share });
        }
        let control = |snapshot: &Snapshot| snapshot.threads.get("control").copied().unwrap_or_default();
        lines.push(figure(("control.core_share", (control(after) - control(before)) / seconds)));
        lines
    }

    async fn processes(&self, before: &Snapshot, after: &Snapshot) -> Vec<Line> {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let shares: Vec<f64> = after
            .processor_s
            .iter()
            .zip(&before.processor_s)
            .map(|(now, then)| (now - then) / seconds)
            .collect();
        let mut lines = Vec::new();
        let (mut resident, mut peak) = (Vec::new(), 0.0_f64);
        for real in &self.reals {
            let used = real.lock().await.used();
            resident.push(used.resident_bytes as f64 / 1e6);
            peak = peak.max(used.resident_peak_bytes as f64 / 1e6);
            lines.push(Line::Process { used });
        }
        let own = room::own_usage();
        let (resident_bytes, resident_peak_bytes) = (own.resident_bytes, own.resident_peak_bytes);
        lines.push(Line::Program { resident_bytes, resident_peak_bytes });
        lines.extend(mean(&shares).map(|share| figure(("real.core_share", share))));
        lines.extend(mean(&resident).map(|resident| figure(("real.resident_mb", resident))));
        if !self.reals.is_empty() {
            lines.push(figure(("real.resident_peak_mb", peak)));
        }
        lines
    }

    fn spans(&self) -> Vec<Line> {
        let mut lists: BTreeMap<(&str, &str), Spans> = BTreeMap::new();
        for (occasion, after) in locked(&self.starts).iter() {
            lists.entry(("real", occasion)).or_default().add(*after);
        }
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            for (n, after) in known_of(&hollow.known).list_after.iter().enumerate() {
                let occasion = if n == 0 { "first start" } else { "restart" };
                lists.entry(("hollow", occasion)).or_default().add(*after);
            }
        }
        let mut lines = Vec::new();
        for ((role, occasion), spans) in lists {
            let spans = spans.summary();
            if occasion == "first start" {
                lines.push(figure_of(format!("{role}.list_p50_s"), spans.p50_ms / 1e3));
                lines.push(figure_of(format!("{role}.list_worst_s"), spans.worst_ms / 1e3));
            }
            lines.push(Line::ListInForce { role, occasion, spans });
        }
        lines.extend(self.change_spans());
        for (phase, hand_ins) in locked(&self.hand_ins).iter() {
            let HandIns { spans, taken_on, refused, unanswered } = hand_ins;
            let (taken_on, refused, unanswered) = (*taken_on, *refused, *unanswered);
            lines.push(Line::HandIn { phase, spans: spans.summary(), taken_on, refused, unanswered });
        }
        lines.push(Line::Ends {
            calls: self.targets.calls(),
            notices: self.control.notices.load(Ordering::Relaxed),
        });
        lines
    }

    fn change_spans(&self) -> Vec<Line> {
        let mut changes: BTreeMap<(&'static str, &'static str, &'static str), Spans> = BTreeMap::new();
        let outages = locked(&self.outages);
        let mut add = |role, forwarder, generation, at: Instant| {
            let Some(made) = self.truth.made(generation) else { return };
            let outage = outages.over(forwarder, made, at);
            let occasion = outage.map_or("calm", |outage| outage.kind);
            let since_change = at.saturating_duration_since(made);
            changes.entry((role, occasion, "change")).or_default().add(since_change);
            if let Some(outage) = outage {
                let reachable = outage.ended.map_or(at, |ended| ended.max(made));
                let since_reach = at.saturating_duration_since(reachable);
                changes.entry((role, occasion, "reachable")).or_default().add(since_reach);
            }
        };
        let mut resolution = Spans::default();
        for ProbeRecord { forwarder, generation, probed } in locked(&self.probed).iter() {
            add("real", *forwarder, *generation, probed.arrived);
            let made = self.truth.made(*generation);
            let unsure_since = probed.refused.or(made).unwrap_or(probed.arrived);
            resolution.add(probed.arrived.saturating_duration_since(unsure_since));
        }
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            for in_force in &known_of(&hollow.known).in_force {
                add("hollow", hollow.number, in_force.generation, in_force.at);
            }
        }
        let mut lines = Vec::new();
        let mut calm_p99 = BTreeMap::new();
        for ((role, occasion, since), spans) in changes {
            let spans = spans.summary();
            if occasion == "calm" {
                calm_p99.insert(role, spans.p99_ms);
                lines.push(figure_of(format!("{role}.change_p50_ms"), spans.p50_ms));
                lines.push(figure_of(format!("{role}.change_p99_ms"), spans.p99_ms));
            }
            lines.push(Line::ChangeInForce { role, occasion, since, spans });
        }
        if let (Some(real), Some(hollow)) = (calm_p99.get("real"), calm_p99.get("hollow")) {
            lines.push(figure(("change_p99.real_over_hollow", real / hollow)));
        }
        if !self.reals.is_empty() {
            lines.push(Line::ProbeResolution { spans: resolution.summary() });
        }
        lines
    }

    async fn checks(&self, settled: bool) -> Vec<Line> {
        let (generation, targets) = self.truth.targets();
        let mut lines = vec![check(
            "the last change is in force everywhere",
            settled,
            format!("waited up to {} s", self.scenario.changes.settle_within_s),
        )];
        lines.push(self.check_states(generation, &targets));
        lines.push(self.check_counts(generation));
        let expected = self.probes() * self.reals.len();
        let seen = locked(&self.probed).len();
        lines.push(check(
            "each new destination became known at each real forwarder",
            seen == expected,
            format!("{seen} of {expected}"),
        ));
        let (known, asked) = self.ask_at_end(targets.len()).await;
        lines.push(check(
            "new destinations are known at each real forwarder at the end",
            known == asked,
            format!("{known} of {asked}"),
        ));
        let mut crashed = Vec::new();
        for real in &self.reals {
            let mut real = real.lock().await;
            if real.has_crashed() {
                crashed.push(format!("{}: {}", real.number, real.last_words()));
            }
        }
        let detail = if crashed.is_empty() { "none ended".to_owned() } else { crashed.join("; ") };
        lines.push(check("no process ended by itself", crashed.is_empty(), detail));
        lines
    }

    fn check_states(&self, generation: u64, targets: &[Target]) -> Line {
        let (mut faulty, mut told) = (0, Vec::new());
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            let differences = known_of(&hollow.known).differences(generation, targets);
            faulty += usize::from(!differences.is_empty());
            for difference in differences.into_iter().take(TOLD_DIFFERENCES) {
                told.push(format!("forwarder {}: {difference:?}", hollow.number));
            }
        }
        told.truncate(TOLD_DIFFERENCES);
        let all = self.hollows.len();
        let detail = format!("{faulty} of {all} differ {}", told.join("; "));
        check("hollow forwarders have the control side's list", faulty == 0, detail.trim_end())
    }

    /// Each change that a hollow forwarder did not have with its first list came into force there once.
    fn check_counts(&self, generation: u64) -> Line {
        let mut missing = 0;
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            let known = known_of(&hollow.known);
            let seen = &known.in_force;
            let first = known.first_generation();
            let expected = (first + 1..=generation).collect::<std::collections::BTreeSet<_>>();
            let had: std::collections::BTreeSet<_> =
                seen.iter().map(|in_force| in_force.generation).collect();
            missing += expected.difference(&had).count();
        }
        check("no change is missing at a hollow forwarder", missing == 0, format!("{missing} missing"))
    }

    /// Hands an envelope in at each real forwarder for the destinations that were listed last.
    async fn ask_at_end(&self, targets: usize) -> (usize, usize) {
        let first = (self.scenario.list.targets as usize).max(targets.saturating_sub(ASKED_AT_END));
        let (mut known, mut asked) = (0, 0);
        for real in &self.reals {
            let (listen, number) = {
                let real = real.lock().await;
                (real.listen, real.number)
            };
            let mut client = probe_client(listen);
            for place in first..targets {
                let destination = u32::try_from(place).unwrap_or(u32::MAX);
                let answer = client.hand_in(&format!("end-{number}-{place}"), destination).await;
                known += usize::from(answer == Answer::TakenOn);
                asked += 1;
            }
        }
        (known, asked)
    }
}

fn swapped(reading: Reading) -> Reading {
    Reading { received: reading.sent, sent: reading.received, ..reading }
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

fn figure((name, value): (&str, f64)) -> Line {
    figure_of(name.to_owned(), value)
}

fn figure_of(name: String, value: f64) -> Line {
    Line::Figure { name, value }
}
