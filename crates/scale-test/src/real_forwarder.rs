//! Real forwarders: processes of the daemon, each with a configuration and a state folder of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::error::ScaleTestError;
use crate::process_usage::{ForwarderUsage, ResourceUsage};
use crate::scenario::ProcessLimits;

/// Time from SIGTERM to SIGKILL at a graceful shutdown.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Distance between two readings of the counters of a process that is being stopped.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);

/// What all real forwarders of a run have in common.
#[derive(Clone)]
pub(crate) struct ForwarderTemplate {
    /// The daemon's program.
    pub(crate) program: PathBuf,
    /// The resource limits of each process.
    pub(crate) process_limits: ProcessLimits,
    /// The number of all forwarders, hollow ones too.
    pub(crate) forwarders: u32,
    /// The scenario's seed, from which each start's seed is derived.
    pub(crate) seed: u64,
}

/// One real forwarder, running or not.
pub(crate) struct RealForwarder {
    number: u32,
    listen: SocketAddr,
    folder: PathBuf,
    template: ForwarderTemplate,
    control_plane: SocketAddr,
    child: Option<Child>,
    starts: u64,
    started_at: Instant,
    /// What the processes before the current one have used.
    past_usage: ResourceUsage,
}

impl RealForwarder {
    /// A forwarder that does not run yet; its files go into a folder of its own within `folder`.
    pub(crate) fn new(
        number: u32,
        folder: &Path,
        template: ForwarderTemplate,
        control_plane: SocketAddr,
    ) -> Result<RealForwarder, ScaleTestError> {
        let folder = folder.join(format!("n{number}"));
        let folder_error = |e| ScaleTestError::aborted(format!("folder of forwarder {number}"), e);
        std::fs::create_dir_all(folder.join("state")).map_err(folder_error)?;
        Ok(RealForwarder {
            number,
            listen: crate::ports::free_address().map_err(folder_error)?,
            folder,
            template,
            control_plane,
            child: None,
            starts: 0,
            started_at: Instant::now(),
            past_usage: ResourceUsage::default(),
        })
    }

    /// Its number among all forwarders.
    pub(crate) fn number(&self) -> u32 {
        self.number
    }

    /// The address at which it takes messages.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listen
    }

    /// When its process was started last.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Starts the process.
    pub(crate) fn start(&mut self) -> Result<(), ScaleTestError> {
        let number = self.number;
        let start_error =
            |e: std::io::Error| ScaleTestError::aborted(format!("forwarder {number} can't be started"), e);
        self.starts += 1;
        let config = self.folder.join("config.json");
        std::fs::write(&config, self.configuration().to_string()).map_err(start_error)?;
        let log = std::fs::File::options().create(true).append(true).open(self.log_file());
        let mut command = Command::new(&self.template.program);
        command.arg("serve").arg("--config").arg(&config).arg("--state").arg(self.folder.join("state"));
        command.args(["--log", "warn"]);
        command.env_clear().stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.map_err(start_error)?);
        self.child = Some(command.kill_on_drop(true).spawn().map_err(start_error)?);
        self.started_at = Instant::now();
        Ok(())
    }

    fn log_file(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn configuration(&self) -> serde_json::Value {
        let ProcessLimits { memory_mb, descriptors, disk_mb } = self.template.process_limits;
        let seed = self.template.seed ^ (u64::from(self.number) << 32) ^ self.starts;
        json!({
            "name": format!("n{}", self.number),
            "listen": self.listen.to_string(),
            "discovery": self.control_plane.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors, "disk_mb": disk_mb},
            "known": {"generation": 0, "reset": true, "instances": []},
            "settings": {
                "balancers": self.template.forwarders,
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

    /// Whether it was started and not ended since.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn pid(&self) -> Option<i32> {
        self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok())
    }

    /// Whether the process has ended though this program did not end it.
    pub(crate) fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Shuts the process down gracefully: SIGTERM, and SIGKILL where it still runs 3.7 s later.
    pub(crate) async fn stop(&mut self) {
        if let Some(pid) = self.pid().and_then(Pid::from_raw) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let deadline = Instant::now() + KILL_DELAY;
        // Read while it lives: an ended process has no counters any more.
        while self.child.is_some() && Instant::now() < deadline {
            let usage = self.current_usage();
            let Some(child) = &mut self.child else { break };
            if timeout(USAGE_INTERVAL, child.wait()).await.is_ok() {
                self.past_usage = self.past_usage.followed_by(usage);
                self.child = None;
                return;
            }
        }
        self.kill().await;
    }

    /// Ends the process by SIGKILL.
    pub(crate) async fn kill(&mut self) {
        let usage = self.current_usage();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
            self.past_usage = self.past_usage.followed_by(usage);
        }
    }

    fn current_usage(&self) -> ResourceUsage {
        self.pid().and_then(ResourceUsage::of_process).unwrap_or_default()
    }

    /// What all its processes have used until now.
    pub(crate) fn usage(&self) -> ForwarderUsage {
        let total = self.past_usage.followed_by(self.current_usage());
        ForwarderUsage {
            forwarder: self.number,
            starts: self.starts,
            processor_s: total.processor_s,
            resident_bytes: total.resident_bytes,
            resident_peak_bytes: total.resident_peak_bytes,
        }
    }

    /// The last line of its log, for errors.
    pub(crate) fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(self.log_file()).unwrap_or_default();
        log.lines().last().unwrap_or("its log is empty").to_owned()
    }
}
