//! Injects the faults of the scenario, each at its scheduled time.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::control_plane::Reachability;
use crate::error::ScaleTestError;
use crate::labels::OperatingCondition;
use crate::lock::lock;
use crate::outages::{affected_forwarders, zones_in_region};
use crate::scenario::{Fault, FaultKind};
use crate::test_bed::TestBed;

/// How a forwarder is stopped before its restart.
#[derive(Clone, Copy, PartialEq)]
enum Shutdown {
    /// By SIGTERM, and by SIGKILL if the process still runs after a delay.
    Graceful,
    /// By SIGKILL.
    Immediate,
}

/// A fault that makes some listeners of the control plane unreachable.
struct ListenerOutage {
    kind: FaultKind,
    /// The numbers of the affected forwarders.
    forwarders: Vec<u32>,
    /// The numbers of the affected listeners.
    listeners: Vec<usize>,
    /// The state of the listeners during the outage.
    reachability: Reachability,
    duration: Duration,
    /// Whether the control plane discards all retained changes at the end of the outage.
    forgets_changes: bool,
}

impl TestBed {
    /// Injects all faults of the scenario, with times relative to this call. Returns after the last fault
    /// ends.
    pub(crate) async fn run_fault_schedule(self: Arc<TestBed>) -> Result<(), ScaleTestError> {
        let faults = self.scenario.faults.iter().map(|fault| self.run_fault(fault));
        join_all(faults).await.into_iter().collect()
    }

    async fn run_fault(&self, fault: &Fault) -> Result<(), ScaleTestError> {
        sleep(Duration::from_secs_f64(fault.at_s())).await;
        let forwarders = affected_forwarders(&self.scenario, fault);
        let kind = fault.kind();
        match *fault {
            Fault::RollingRestart { stagger_s, down_s, .. } => {
                self.rolling_restart(kind, &forwarders, stagger_s, down_s).await
            }
            Fault::ZoneOutage { down_s, .. } | Fault::RackOutage { down_s, .. } => {
                let restarts = forwarders.iter().map(|n| self.restart(kind, *n, Shutdown::Immediate, down_s));
                join_all(restarts).await.into_iter().collect()
            }
            Fault::ControlRestart { down_s, discards_changes, .. } => {
                self.run_listener_outage(ListenerOutage {
                    kind,
                    forwarders,
                    listeners: (0..self.listeners.len()).collect(),
                    reachability: Reachability::Closed,
                    duration: Duration::from_secs_f64(down_s),
                    forgets_changes: discards_changes,
                })
                .await;
                Ok(())
            }
            Fault::RegionPartition { duration_s, region, .. } => {
                self.run_listener_outage(ListenerOutage {
                    kind,
                    listeners: self.listeners_of_region(region, &forwarders),
                    forwarders,
                    reachability: Reachability::Partitioned,
                    duration: Duration::from_secs_f64(duration_s),
                    forgets_changes: false,
                })
                .await;
                Ok(())
            }
        }
    }

    /// Restarts forwarders gracefully. The shutdown of each begins `gap_s` seconds after that of the previous
    /// one.
    async fn rolling_restart(
        &self,
        kind: FaultKind,
        forwarders: &[u32],
        gap_s: f64,
        down_s: f64,
    ) -> Result<(), ScaleTestError> {
        let restarts = forwarders.iter().zip(0_u32..).map(|(forwarder, position)| async move {
            sleep(Duration::from_secs_f64(gap_s) * position).await;
            self.restart(kind, *forwarder, Shutdown::Graceful, down_s).await
        });
        join_all(restarts).await.into_iter().collect()
    }

    /// Returns the numbers of the listeners through which the forwarders of a region reach the control plane.
    fn listeners_of_region(&self, region: u32, forwarders: &[u32]) -> Vec<usize> {
        let real = self.real_forwarders.len();
        let real_listeners = forwarders.iter().map(|n| *n as usize).filter(|n| *n < real);
        let zones = zones_in_region(&self.scenario, region);
        let zone_listeners = zones.into_iter().map(|zone| real + zone as usize);
        real_listeners.chain(zone_listeners).collect()
    }

    async fn run_listener_outage(&self, outage: ListenerOutage) {
        self.begin_outages(outage.kind, &outage.forwarders);
        self.set_reachability(&outage.listeners, outage.reachability);
        sleep(outage.duration).await;
        if outage.forgets_changes {
            self.list.forget_changes();
        }
        self.set_reachability(&outage.listeners, Reachability::Open);
        self.end_outages(outage.kind, &outage.forwarders);
    }

    fn set_reachability(&self, listeners: &[usize], reachability: Reachability) {
        for listener in listeners {
            self.listeners[*listener].set_reachability(reachability);
        }
    }

    fn begin_outages(&self, kind: FaultKind, forwarders: &[u32]) {
        let mut outages = lock(&self.outages);
        forwarders.iter().for_each(|forwarder| outages.begin(kind, *forwarder));
    }

    fn end_outages(&self, kind: FaultKind, forwarders: &[u32]) {
        let mut outages = lock(&self.outages);
        forwarders.iter().for_each(|forwarder| outages.end(kind, *forwarder));
    }

    /// Stops a forwarder and starts it again after `down_s` seconds. Waits until a real forwarder has the
    /// list again.
    async fn restart(
        &self,
        kind: FaultKind,
        number: u32,
        shutdown: Shutdown,
        down_s: f64,
    ) -> Result<(), ScaleTestError> {
        self.begin_outages(kind, &[number]);
        let down = Duration::from_secs_f64(down_s);
        if let Some(forwarder) = self.real_forwarders.get(number as usize) {
            {
                // The lock prevents another fault from stopping or starting the forwarder while it is down.
                let mut forwarder = forwarder.lock().await;
                match shutdown {
                    Shutdown::Graceful => forwarder.stop().await,
                    Shutdown::Immediate => forwarder.kill().await,
                }
                sleep(down).await;
                forwarder.start()?;
            }
            self.end_outages(kind, &[number]);
            self.wait_for_list(forwarder, OperatingCondition::Fault(kind)).await;
            return Ok(());
        }
        if let Some(hollow) = self.hollow_forwarders.get(number as usize - self.real_forwarders.len()) {
            lock(hollow).kill();
            sleep(down).await;
            self.start_hollow(&mut lock(hollow));
        }
        self.end_outages(kind, &[number]);
        Ok(())
    }
}
