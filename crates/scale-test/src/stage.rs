//! All parts of a run, from before its first process to after its last.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use tempfile::TempDir;
use tokio::time::interval;

use crate::control::{Control, Door, LostChange};
use crate::fault::Fault;
use crate::hollow::{Hollow, Known};
use crate::real::{Probed, Real, Told};
use crate::report::Spans;
use crate::room;
use crate::scenario::Scenario;
use crate::targets::Targets;
use crate::troubles::Outages;
use crate::truth::Truth;
use crate::wire::Meter;
use crate::worker::Worker;

/// Between two looks at the memory.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// What a run is given beside its scenario.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The daemon's program; needed where the scenario has real forwarders.
    pub program: Option<PathBuf>,
    /// None in ordinary runs.
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
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When one change was in force at one real forwarder.
pub struct ProbeRecord {
    pub forwarder: u32,
    pub generation: u64,
    pub probed: Probed,
}

/// Hand-ins of one phase.
#[derive(Default)]
pub struct HandIns {
    /// Until an answer of any kind came.
    pub spans: Spans,
    pub taken_on: u64,
    pub refused: u64,
    pub unanswered: u64,
}

/// What real forwarders' restarts showed: on what occasion, and how long until the list was in force.
pub type Starts = Vec<(&'static str, Duration)>;

/// All parts of a run.
pub struct Stage {
    pub scenario: Scenario,
    pub truth: Arc<Truth>,
    pub control: Arc<Control>,
    pub targets: Targets,
    pub doors: Vec<Door>,
    pub reals: Vec<Arc<tokio::sync::Mutex<Real>>>,
    pub hollows: Vec<Mutex<Hollow>>,
    pub hollow_meter: Arc<Meter>,
    pub outages: Mutex<Outages>,
    pub starts: Mutex<Starts>,
    pub probed: Mutex<Vec<ProbeRecord>>,
    pub hand_ins: Mutex<BTreeMap<&'static str, HandIns>>,
    pub started: AtomicBool,
    pub changing: AtomicBool,
    pub hollow_workers: Vec<Worker>,
    _control_worker: Worker,
    _targets_worker: Worker,
    _folder: TempDir,
}

impl Stage {
    /// Opens all sockets; no forwarder runs yet.
    pub async fn set_up(scenario: Scenario, options: Options) -> Result<Stage, Fault> {
        let program = match (&options.program, scenario.fleet.real) {
            (_, 0) => PathBuf::new(),
            (Some(program), _) if program.is_file() => program.clone(),
            (found, _) => {
                let found = found.as_ref().map_or("none".to_owned(), |f| f.display().to_string());
                let expected = "the built program reeddock (cargo build --release), or fleet.real = 0";
                return Err(Fault::input("--forwarder", expected, found));
            }
        };
        let folder = tempfile::Builder::new().prefix("reeddock-scale-test-").tempdir();
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

    /// Ends all forwarders.
    pub async fn tear_down(&self) {
        for hollow in &self.hollows {
            locked(hollow).kill();
        }
        join_all(self.reals.iter().map(|real| async { real.lock().await.kill().await })).await;
    }

    /// Comes when this program and its processes take too much memory.
    pub async fn watch_memory(self: Arc<Stage>) -> Fault {
        let most = match room::most_memory() {
            Ok(most) => most,
            Err(fault) => return fault,
        };
        let mut tick = interval(LOOK_EVERY);
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
}
