//! Real forwarders: processes of the daemon, each with a configuration and a state folder of its own.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::clients::{Answer, Client};
use crate::fault::Fault;
use crate::room::{usage_of, Usage};
use crate::scenario::Process;
use crate::targets::Targets;

/// From SIGTERM to SIGKILL at a planned restart.
pub const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// How long a probe's answer is waited for; longer than clients wait, as a long turn is no refusal.
const PROBE_PATIENCE: Duration = Duration::from_secs(5);
/// Probes come at this distance, or a tenth of the time waited so far where that is longer.
const PROBE_SOONEST: Duration = Duration::from_millis(5);
const PROBE_LATEST: Duration = Duration::from_millis(100);

/// Before another is handed in while one that was taken on does not arrive.
const TAKEN_ON_WAITS: Duration = Duration::from_secs(1);

/// What all real forwarders are told alike.
#[derive(Clone)]
pub struct Told {
    pub program: PathBuf,
    pub process: Process,
    pub forwarders: u32,
    pub seed: u64,
}

/// One real forwarder, running or not.
pub struct Real {
    pub number: u32,
    pub listen: SocketAddr,
    folder: PathBuf,
    told: Told,
    control: SocketAddr,
    child: Option<Child>,
    starts: u64,
    pub started: Instant,
    /// What the processes before this one have used.
    past: Usage,
}

/// When calls for a destination first arrived where the list says, as far as probes can tell.
#[derive(Clone, Copy, Debug)]
pub struct Probed {
    /// The last probe that was refused began then; none where the first was taken on.
    pub refused: Option<Instant>,
    /// The first call arrived then.
    pub arrived: Instant,
}

/// What a process has used, all its lives together.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Used {
    pub forwarder: u32,
    pub starts: u64,
    /// Seconds of processor time, of all starts.
    pub processor_s: f64,
    /// Of the process that runs now.
    pub resident_bytes: u64,
    /// The most that any of its processes had.
    pub resident_peak_bytes: u64,
}

impl Real {
    /// One that does not run yet; its files go into a folder of its own within `folder`.
    pub fn new(number: u32, folder: &Path, told: Told, control: SocketAddr) -> Result<Real, Fault> {
        let folder = folder.join(format!("n{number}"));
        let place = |e| Fault::broken(format!("folder of forwarder {number}"), e);
        std::fs::create_dir_all(folder.join("state")).map_err(place)?;
        let listen = crate::ports::free().map_err(place)?;
        let now = Instant::now();
        let past = Usage::default();
        Ok(Real { number, listen, folder, told, control, child: None, starts: 0, started: now, past })
    }

    /// Starts the process.
    pub fn start(&mut self) -> Result<(), Fault> {
        let number = self.number;
        let broken = |e: std::io::Error| Fault::broken(format!("forwarder {number} can't be started"), e);
        self.starts += 1;
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.configuration().to_string()).map_err(broken)?;
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"));
        let mut command = Command::new(&self.told.program);
        command.arg("serve").arg("--config").arg(&config).arg("--state").arg(self.folder.join("state"));
        command.args(["--log", "warn"]);
        command.env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.map_err(broken)?);
        self.child = Some(command.kill_on_drop(true).spawn().map_err(broken)?);
        self.started = Instant::now();
        Ok(())
    }

    fn configuration(&self) -> serde_json::Value {
        let Process { memory_mb, descriptors, disk_mb } = self.told.process;
        let seed = self.told.seed ^ (u64::from(self.number) << 32) ^ self.starts;
        json!({
            "name": format!("n{}", self.number),
            "listen": self.listen.to_string(),
            "discovery": self.control.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors, "disk_mb": disk_mb},
            "known": {"generation": 0, "reset": true, "instances": []},
            "settings": {
                "balancers": self.told.forwarders,
                "az": "a",
                "classes": [{"name": "update", "effect": "idempotent", "onTimeUs": 2_000_000,
                             "giveUpUs": 20_000_000, "importance": 1.0}],
                "kinds": ["partner"],
                "familyInfo": {"maxCalls": 8, "batchByKind": [1], "kindApart": [false]},
                "policyLimits": {"attemptsCap": 12, "openCap": 100, "connectTimeoutUs": 1_000_000,
                                 "connIdleUs": 5_000_000, "retryAfter": true, "maxRetryAfterUs": 2_000_000,
                                 "mayDuplicate": true},
                "guarantees": {"coldFrom": 0.2, "warmWithinUs": 10_000_000, "fallMultiple": 2.0,
                               "tipAfterUs": 3_000_000},
                "weights": "rough"
            }
        })
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn pid(&self) -> Option<i32> {
        self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok())
    }

    /// Says whether the process has ended though nobody ended it.
    pub fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// SIGTERM, and SIGKILL where it still runs 3.7 s later.
    pub async fn stop(&mut self) {
        if let Some(pid) = self.pid().and_then(Pid::from_raw) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let until = Instant::now() + KILLED_AFTER;
        // Read while it lives: an ended process has no counters any more.
        while self.child.is_some() && Instant::now() < until {
            let usage = self.usage();
            let Some(child) = &mut self.child else { break };
            if timeout(PROBE_LATEST, child.wait()).await.is_ok() {
                self.past = self.past.then(usage);
                self.child = None;
                return;
            }
        }
        self.kill().await;
    }

    /// SIGKILL.
    pub async fn kill(&mut self) {
        let usage = self.usage();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
            self.past = self.past.then(usage);
        }
    }

    fn usage(&self) -> Usage {
        self.pid().and_then(usage_of).unwrap_or_default()
    }

    /// What it has used until now.
    pub fn used(&self) -> Used {
        let all = self.past.then(self.usage());
        Used {
            forwarder: self.number,
            starts: self.starts,
            processor_s: all.processor_s,
            resident_bytes: all.resident_bytes,
            resident_peak_bytes: all.resident_peak_bytes,
        }
    }

    /// The end of its log, for faults.
    pub fn last_words(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().last().unwrap_or("its log is empty").to_owned()
    }
}

/// Hands envelopes in for a destination until one of them arrives at the address that the list gives it. A
/// forwarder that has no list may take envelopes on for any destination, so that only an arrival tells.
pub async fn until_reached(
    client: &mut Client,
    targets: &Targets,
    id: &str,
    destination: u32,
    address: SocketAddrV4,
) -> Probed {
    let start = Instant::now();
    let mut refused = None;
    let mut out = FuturesUnordered::new();
    for n in 0_u64.. {
        let began = Instant::now();
        let id = format!("{id}-{n}");
        out.push(targets.await_call(&id, address));
        let rest = match client.hand_in(&id, destination).await {
            Answer::TakenOn => TAKEN_ON_WAITS,
            Answer::Refused(_) => {
                refused = Some(began);
                (start.elapsed() / 10).clamp(PROBE_SOONEST, PROBE_LATEST)
            }
            Answer::None => (start.elapsed() / 10).clamp(PROBE_SOONEST, PROBE_LATEST),
        };
        let arrival = timeout(rest, async {
            while let Some(arrival) = out.next().await {
                if let Ok(arrival) = arrival {
                    return arrival;
                }
            }
            std::future::pending().await
        });
        if let Ok(arrived) = arrival.await {
            return Probed { refused, arrived };
        }
        // Of those refused nothing is heard any more.
        if refused.is_some_and(|refused| refused >= began) {
            out.clear();
        }
    }
    unreachable!("the loop has no end")
}

/// A client for probes.
pub fn probe_client(forwarder: SocketAddr) -> Client {
    Client::new(forwarder, PROBE_PATIENCE)
}
