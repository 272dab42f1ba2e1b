//! Real forwarders: processes of the daemon, each with its own configuration and state folder.

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

/// Maximum time from SIGTERM to SIGKILL in a graceful shutdown.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Time between two readings of the resource counters of a process that is shutting down.
const USAGE_INTERVAL: Duration = Duration::from_millis(100);

/// The settings that all real forwarders of a run share.
#[derive(Clone)]
pub(crate) struct ForwarderTemplate {
    /// Path of the daemon's executable.
    pub(crate) program: PathBuf,
    /// The resource limits of each process.
    pub(crate) process_limits: ProcessLimits,
    /// The number of all forwarders, real and hollow.
    pub(crate) forwarders: u32,
    /// The scenario's seed, from which each start's seed is derived.
    pub(crate) seed: u64,
}

/// One real forwarder, running or stopped.
pub(crate) struct RealForwarder {
    number: u32,
    listen_address: SocketAddr,
    folder: PathBuf,
    template: ForwarderTemplate,
    control_plane: SocketAddr,
    /// The current process; `None` while the forwarder is stopped.
    child: Option<Child>,
    starts: u64,
    started_at: Instant,
    /// Resources used by all previous processes together.
    past_usage: ResourceUsage,
}

impl RealForwarder {
    /// Creates a stopped forwarder with its own subfolder of `folder` for its files.
    pub(crate) fn new(
        number: u32,
        folder: &Path,
        template: ForwarderTemplate,
        control_plane: SocketAddr,
    ) -> Result<RealForwarder, ScaleTestError> {
        let folder = folder.join(format!("n{number}"));
        let folder_error =
            |e| ScaleTestError::aborted(format!("preparing the folder and port of forwarder {number}"), e);
        std::fs::create_dir_all(folder.join("state")).map_err(folder_error)?;
        Ok(RealForwarder {
            number,
            listen_address: crate::ports::free_address().map_err(folder_error)?,
            folder,
            template,
            control_plane,
            child: None,
            starts: 0,
            started_at: Instant::now(),
            past_usage: ResourceUsage::default(),
        })
    }

    /// Returns the forwarder's number among all forwarders, real and hollow.
    pub(crate) fn number(&self) -> u32 {
        self.number
    }

    /// Returns the address at which the forwarder accepts messages.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Returns when the process was last started, or the time of creation before the first start.
    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Writes the configuration file and starts a process of the daemon.
    pub(crate) fn start(&mut self) -> Result<(), ScaleTestError> {
        let number = self.number;
        let start_error =
            |e: std::io::Error| ScaleTestError::aborted(format!("starting forwarder {number}"), e);
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
            "listen": self.listen_address.to_string(),
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

    /// Returns whether the process was started and not stopped since. A crashed process counts as running.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn pid(&self) -> Option<i32> {
        self.child.as_ref().and_then(Child::id).and_then(|id| i32::try_from(id).ok())
    }

    /// Returns whether the process exited without being stopped by the test bed.
    pub(crate) fn has_crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Stops the process by SIGTERM, and by SIGKILL if it still runs after [`KILL_DELAY`].
    pub(crate) async fn stop(&mut self) {
        if let Some(pid) = self.pid().and_then(Pid::from_raw) {
            let _ = kill_process(pid, Signal::TERM);
        }
        let deadline = Instant::now() + KILL_DELAY;
        // Counters are read while the process runs, because they are lost when it exits.
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

    /// Stops the process by SIGKILL.
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

    /// Returns the resources used by all processes of this forwarder, including the current one.
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

    /// Returns the last line of the forwarder's log, for error messages.
    pub(crate) fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(self.log_file()).unwrap_or_default();
        log.lines().last().unwrap_or("the log is empty").to_owned()
    }
}
