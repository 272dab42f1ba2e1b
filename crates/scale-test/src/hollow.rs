//! Hollow forwarders: each watches the list over a connection of its own and keeps what a real one must of each
//! target. They take no envelopes.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::decode::{Decoder, Entry, Part, Unreadable};
use crate::truth::Target;
use crate::wire::{Meter, Metered};

/// As a real forwarder has it: two empty lines that stay away are a silence.
const SILENT_AFTER: Duration = Duration::from_millis(4500);
const OPEN_WITHIN: Duration = Duration::from_secs(1);
/// Before the watch is opened again, on average; doubled each time until something comes.
const REST_FIRST: Duration = Duration::from_millis(100);
const REST_MOST: Duration = Duration::from_secs(2);

/// What is kept of one target, beside its name, which follows from its place.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    address: SocketAddrV4,
    destination: u32,
    /// The generation of the line that told it last.
    generation: u32,
    listed: bool,
}

/// Bytes that a hollow forwarder takes for each target.
pub const BYTES_A_TARGET: u64 = std::mem::size_of::<Slot>() as u64;

const UNLISTED: Slot = Slot {
    address: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
    destination: 0,
    generation: 0,
    listed: false,
};

/// When a generation came into force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InForce {
    pub generation: u64,
    pub at: Instant,
}

/// How a forwarder's list differs from the control side's.
#[derive(Debug, PartialEq)]
pub enum Difference {
    Generation {
        has: u64,
        should: u64,
    },
    /// A target that is listed in one place only, or otherwise than it should.
    Target {
        place: u32,
    },
    /// A change was passed over.
    Missing {
        generation: u64,
    },
}

/// What a hollow forwarder knows.
#[derive(Default)]
pub struct Known {
    generation: u64,
    slots: Vec<Slot>,
    line: Option<Line>,
    /// Each change that came into force, in order.
    pub in_force: Vec<InForce>,
    /// The generation of the first whole list.
    first: Option<u64>,
    /// Changes that a line passed over.
    missing: Vec<u64>,
    /// A fault that the checks have to find: the change of this generation is not applied.
    drops: Option<u64>,
    /// When it was started last, and whether it has had a whole list since.
    started: Option<Instant>,
    has_list: bool,
    /// From each start until the whole list was in force.
    pub list_after: Vec<Duration>,
}

/// A line that has begun.
struct Line {
    generation: u64,
    whole: bool,
    entries: u64,
    /// The places that a whole list has named.
    named: Vec<bool>,
}

impl Known {
    /// `drops` makes it faulty; none for a sound one.
    pub fn new(drops: Option<u64>) -> Known {
        Known { drops, ..Known::default() }
    }

    /// Takes in one part of the list.
    pub fn apply(&mut self, part: Part, now: Instant) {
        match part {
            Part::Nothing => {}
            Part::Begins { generation, whole } => {
                let named = if whole { vec![false; self.slots.len()] } else { Vec::new() };
                self.line = Some(Line { generation, whole, entries: 0, named });
            }
            Part::Entry(entry) => self.entry(entry),
            Part::Ends => self.ends(now),
        }
    }

    fn entry(&mut self, entry: Entry) {
        let Some(line) = &mut self.line else { return };
        line.entries += 1;
        let place = entry.place as usize;
        if line.whole {
            line.named.resize(line.named.len().max(place + 1), false);
            line.named[place] = true;
        }
        let change = self.generation + line.entries;
        if !line.whole && self.drops == Some(change) {
            return;
        }
        if self.slots.len() <= place {
            self.slots.resize(place + 1, UNLISTED);
        }
        let generation = u32::try_from(line.generation).unwrap_or(u32::MAX);
        let address = entry.address.unwrap_or(UNLISTED.address);
        self.slots[place] =
            Slot { address, destination: entry.destination, generation, listed: entry.address.is_some() };
    }

    fn ends(&mut self, now: Instant) {
        let Some(line) = self.line.take() else { return };
        if line.whole {
            let unnamed = (0..self.slots.len()).filter(|place| !line.named.get(*place).is_some_and(|n| *n));
            let unnamed: Vec<usize> = unnamed.collect();
            unnamed.into_iter().for_each(|place| self.slots[place] = UNLISTED);
            self.slots.shrink_to_fit();
            if !std::mem::replace(&mut self.has_list, true) {
                self.list_after.extend(self.started.map(|started| now.duration_since(started)));
            }
        }
        let first = self.first.is_none();
        self.first.get_or_insert(line.generation);
        let new = self.generation + 1..=line.generation;
        // Each generation is one change, and a line leaves none out.
        if !line.whole && line.entries < line.generation.saturating_sub(self.generation) {
            self.missing.extend(new.clone().skip(line.entries as usize));
        }
        if !first {
            let shown = new.filter(|generation| self.drops != Some(*generation));
            self.in_force.extend(shown.map(|generation| InForce { generation, at: now }));
        }
        self.generation = line.generation.max(self.generation);
    }

    /// It starts anew, with no list; which changes it had before stays known.
    pub fn restart(&mut self, now: Instant) {
        self.slots = Vec::new();
        self.line = None;
        self.started = Some(now);
        self.has_list = false;
    }

    /// Whether a whole list has come since it was started.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// The generation that it asks for changes after.
    pub fn asks_after(&self) -> u64 {
        if self.has_list {
            self.generation
        } else {
            0
        }
    }

    /// The generation of the first whole list that it had; all later changes have come into force one by one.
    pub fn first_generation(&self) -> u64 {
        self.first.unwrap_or(0)
    }

    /// All ways in which it differs from what the control side has.
    pub fn differences(&self, generation: u64, targets: &[Target]) -> Vec<Difference> {
        let mut differences = Vec::new();
        if self.generation != generation {
            differences.push(Difference::Generation { has: self.generation, should: generation });
        }
        let most = u32::try_from(targets.len().max(self.slots.len())).unwrap_or(u32::MAX);
        for place in 0..most {
            let slot = self.slots.get(place as usize).filter(|slot| slot.listed);
            let same = match (slot, targets.get(place as usize)) {
                (None, None) => true,
                (Some(slot), Some(target)) => {
                    slot.address == target.address
                        && slot.destination == place
                        && u64::from(slot.generation) >= target.generation
                }
                _ => false,
            };
            if !same {
                differences.push(Difference::Target { place });
            }
        }
        differences
            .extend(self.missing.iter().map(|generation| Difference::Missing { generation: *generation }));
        differences
    }
}

/// One hollow forwarder.
pub struct Hollow {
    pub number: u32,
    pub known: Arc<Mutex<Known>>,
    control: SocketAddr,
    meter: Arc<Meter>,
    seed: u64,
    running: Option<AbortHandle>,
}

/// A poisoned lock's content is as good as any.
pub fn locked(known: &Mutex<Known>) -> MutexGuard<'_, Known> {
    known.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hollow {
    /// One that does not run yet.
    pub fn new(number: u32, known: Known, control: SocketAddr, meter: Arc<Meter>, seed: u64) -> Hollow {
        let known = Arc::new(Mutex::new(known));
        Hollow { number, known, control, meter, seed, running: None }
    }

    /// Starts it without a list, as a task of this runtime.
    pub fn start(&mut self, runtime: &tokio::runtime::Handle) {
        self.kill();
        locked(&self.known).restart(Instant::now());
        self.seed += 1;
        let watching = follow(self.control, self.known.clone(), self.meter.clone(), self.seed);
        self.running = Some(runtime.spawn(watching).abort_handle());
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        if let Some(running) = self.running.take() {
            running.abort();
        }
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum Loss {
    #[error("no connection, or a break")]
    Broken,
    #[error("no line came")]
    Silent,
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
}

async fn follow(control: SocketAddr, known: Arc<Mutex<Known>>, meter: Arc<Meter>, seed: u64) {
    let mut chance = Pcg32::seed_from_u64(seed);
    let mut rest = REST_FIRST;
    loop {
        let mut heard = false;
        let _ = watch(control, &known, &meter, &mut heard).await;
        if heard {
            rest = REST_FIRST;
        }
        sleep(rest.mul_f64(0.5 + chance.random::<f64>())).await;
        rest = (rest * 2).min(REST_MOST);
    }
}

struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn watch(
    control: SocketAddr,
    known: &Mutex<Known>,
    meter: &Arc<Meter>,
    heard: &mut bool,
) -> Result<(), Loss> {
    let stream = timeout(OPEN_WITHIN, TcpStream::connect(control)).await;
    let stream = stream.map_err(|_| Loss::Silent)?.map_err(|_| Loss::Broken)?;
    let stream = TokioIo::new(Metered::new(stream, meter.clone()));
    let (mut sender, connection) = http1::handshake(stream).await.map_err(|_| Loss::Broken)?;
    let _driver = Driver(tokio::spawn(connection).abort_handle());
    let after = locked(known).asks_after();
    let request = Request::get(format!("/v1/servers?stream=1&index={after}"))
        .header("host", control.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| Loss::Broken)?;
    meter.message();
    let response = timeout(SILENT_AFTER, sender.send_request(request)).await;
    let response = response.map_err(|_| Loss::Silent)?.map_err(|_| Loss::Broken)?;
    if !response.status().is_success() {
        return Err(Loss::Broken);
    }
    let mut body = response.into_body();
    let mut decoder = Decoder::default();
    loop {
        let frame = timeout(SILENT_AFTER, body.frame()).await.map_err(|_| Loss::Silent)?;
        let frame = frame.ok_or(Loss::Broken)?.map_err(|_| Loss::Broken)?;
        let Ok(bytes) = frame.into_data() else { continue };
        *heard = true;
        let mut known = locked(known);
        let came = Instant::now();
        decoder.read(&bytes, |part| {
            if matches!(part, Part::Ends | Part::Nothing) {
                meter.message();
            }
            // Only the end of a line brings anything into force, and there are many entries.
            let now = if part == Part::Ends { Instant::now() } else { came };
            known.apply(part, now);
        })?;
    }
}
