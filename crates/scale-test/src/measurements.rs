//! Computes metrics of traffic, processor time and memory from the counters of a run.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::control_plane::ControlListener;
use crate::metered_stream::TrafficTotals;
use crate::process_usage::{thread_processor_s, ResourceUsage};
use crate::report::{Component, ResultLine, RunPhase, TrafficRates};
use crate::test_bed::{TestBed, CONTROL_THREAD_NAME};

/// The values of all counters at one moment.
pub(crate) struct Snapshot {
    at: Instant,
    /// Traffic of all listeners, as counted by the control plane.
    control_traffic: TrafficTotals,
    /// Traffic of real forwarders, as counted by the control plane.
    real_traffic: TrafficTotals,
    /// Traffic of hollow forwarders, as counted by the hollow forwarders.
    hollow_traffic: TrafficTotals,
    /// Processor time of this program's threads by thread name, in seconds.
    thread_processor_s: BTreeMap<String, f64>,
    /// Processor time of each real forwarder, in seconds.
    real_processor_s: Vec<f64>,
}

impl Snapshot {
    fn thread_s(&self, name: &str) -> f64 {
        self.thread_processor_s.get(name).copied().unwrap_or_default()
    }

    /// Returns the seconds since an earlier snapshot.
    fn seconds_since(&self, earlier: &Snapshot) -> f64 {
        self.at.duration_since(earlier.at).as_secs_f64()
    }
}

fn total_traffic(listeners: &[ControlListener]) -> TrafficTotals {
    listeners.iter().map(ControlListener::traffic).fold(TrafficTotals::default(), |sum, next| sum + next)
}

impl TestBed {
    /// Returns the current values of all counters.
    pub(crate) async fn snapshot(&self) -> Snapshot {
        let mut real_processor_s = Vec::new();
        for forwarder in &self.real_forwarders {
            real_processor_s.push(forwarder.lock().await.usage().processor_s);
        }
        Snapshot {
            at: Instant::now(),
            control_traffic: total_traffic(&self.listeners),
            real_traffic: total_traffic(&self.listeners[..self.real_forwarders.len()]),
            hollow_traffic: self.hollow_traffic.totals(),
            thread_processor_s: thread_processor_s(),
            real_processor_s,
        }
    }

    /// Returns the metrics of the startup phase, computed from the counters at its end.
    pub(crate) fn start_results(&self, started: &Snapshot, start_s: f64) -> Vec<ResultLine> {
        let full_list_bytes = self.control_plane.full_list_bytes() as f64;
        let mut lines = vec![
            ResultLine::metric("list.whole_bytes", full_list_bytes),
            ResultLine::metric("start.seconds", start_s),
            ResultLine::metric("start.control_processor_s", started.thread_s(CONTROL_THREAD_NAME)),
            ResultLine::metric("start.control_sent_bytes", started.control_traffic.sent_bytes as f64),
        ];
        let mean_processor_s = mean(&started.real_processor_s);
        lines.extend(mean_processor_s.map(|mean| ResultLine::metric("start.real_processor_s", mean)));
        lines
    }

    /// Returns the traffic of each component, and the processor time of this program's threads, between two
    /// snapshots.
    pub(crate) fn exchange_results(
        &self,
        phase: RunPhase,
        before: &Snapshot,
        after: &Snapshot,
    ) -> Vec<ResultLine> {
        let seconds = after.seconds_since(before);
        let fleet = &self.scenario.fleet;
        // The control plane counts the traffic of real forwarders, so sent and received are swapped.
        let real_traffic = (after.real_traffic - before.real_traffic).at_other_end();
        let exchanges = [
            (
                Component::ControlPlane,
                self.scenario.forwarders(),
                after.control_traffic - before.control_traffic,
            ),
            (Component::RealForwarders, fleet.real, real_traffic),
            (Component::HollowForwarders, fleet.hollow, after.hollow_traffic - before.hollow_traffic),
        ];
        let mut lines = Vec::new();
        for (component, forwarders, traffic) in exchanges {
            let rates = traffic_rates(traffic, seconds);
            lines.push(ResultLine::Exchange { component, phase, forwarders, seconds, rates });
            lines.extend(rate_metrics(component, forwarders, rates));
        }
        for (name, used_s) in &after.thread_processor_s {
            let core_share = (used_s - before.thread_s(name)) / seconds;
            lines.push(ResultLine::Thread { name: name.clone(), core_share });
        }
        let control_s = after.thread_s(CONTROL_THREAD_NAME) - before.thread_s(CONTROL_THREAD_NAME);
        lines.push(ResultLine::metric("control.core_share", control_s / seconds));
        lines
    }

    /// Returns the resource usage of this program and of real forwarders; core shares are those between two
    /// snapshots.
    pub(crate) async fn process_results(&self, before: &Snapshot, after: &Snapshot) -> Vec<ResultLine> {
        let seconds = after.seconds_since(before);
        let processor_s = after.real_processor_s.iter().zip(&before.real_processor_s);
        let core_shares: Vec<f64> = processor_s.map(|(after, before)| (after - before) / seconds).collect();
        let mut lines = Vec::new();
        let mut resident_mb = Vec::new();
        let mut resident_peak_mb = 0.0_f64;
        for forwarder in &self.real_forwarders {
            let usage = forwarder.lock().await.usage();
            resident_mb.push(usage.resident_bytes as f64 / 1e6);
            resident_peak_mb = resident_peak_mb.max(usage.resident_peak_bytes as f64 / 1e6);
            lines.push(ResultLine::Process { usage });
        }
        let ResourceUsage { resident_bytes, resident_peak_bytes, .. } = ResourceUsage::of_this_process();
        lines.push(ResultLine::Program { resident_bytes, resident_peak_bytes });
        lines.extend(mean(&core_shares).map(|share| ResultLine::metric("real.core_share", share)));
        lines.extend(mean(&resident_mb).map(|resident| ResultLine::metric("real.resident_mb", resident)));
        if !self.real_forwarders.is_empty() {
            lines.push(ResultLine::metric("real.resident_peak_mb", resident_peak_mb));
        }
        lines
    }
}

fn traffic_rates(traffic: TrafficTotals, seconds: f64) -> TrafficRates {
    let per_s = |count: u64| count as f64 / seconds;
    TrafficRates {
        received_bytes_per_s: per_s(traffic.received_bytes),
        sent_bytes_per_s: per_s(traffic.sent_bytes),
        messages_per_s: per_s(traffic.messages),
    }
}

/// Returns the total rates of the control plane, or the mean rate per forwarder.
fn rate_metrics(component: Component, forwarders: u32, rates: TrafficRates) -> Vec<ResultLine> {
    if component == Component::ControlPlane {
        return vec![
            ResultLine::metric("control.sent_bytes_per_s", rates.sent_bytes_per_s),
            ResultLine::metric("control.messages_per_s", rates.messages_per_s),
        ];
    }
    if forwarders == 0 {
        return Vec::new();
    }
    let name = format!("{}.received_bytes_per_s", component.name());
    vec![ResultLine::metric(name, rates.received_bytes_per_s / f64::from(forwarders))]
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}
