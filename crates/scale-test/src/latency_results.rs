//! Latencies of a run from its records: of lists after starts, of changes, and of submissions.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::endpoint_list::AuthoritativeList;
use crate::latency::LatencyHistogram;
use crate::lock::lock;
use crate::outages::OutageAttribution;
use crate::report::{OperatingCondition, ResultLine, Role, Since};
use crate::test_bed::{ProbeRecord, TestBed};

impl TestBed {
    /// All latencies, and what came of the messages.
    pub(crate) fn latency_results(&self) -> Vec<ResultLine> {
        let mut lines = self.list_latency_results();
        lines.extend(self.change_latency_results());
        for (phase, submissions) in lock(&self.submissions).iter() {
            lines.push(ResultLine::Submissions {
                phase: *phase,
                latency: submissions.latency.summary(),
                accepted: submissions.accepted,
                rejected: submissions.rejected,
                unanswered: submissions.unanswered,
            });
        }
        lines.push(ResultLine::Deliveries {
            requests: self.endpoints.requests(),
            notices: self.control_plane.notices(),
        });
        lines
    }

    /// From each start until the full list was in force.
    fn list_latency_results(&self) -> Vec<ResultLine> {
        let mut histograms: BTreeMap<(Role, OperatingCondition), LatencyHistogram> = BTreeMap::new();
        for start in lock(&self.start_records).iter() {
            histograms.entry((Role::Real, start.occasion)).or_default().record(start.list_latency);
        }
        for hollow in &self.hollow_forwarders {
            let hollow = lock(hollow);
            for (start, latency) in hollow.state().list_latencies().iter().enumerate() {
                let occasion =
                    if start == 0 { OperatingCondition::FirstStart } else { OperatingCondition::Restart };
                histograms.entry((Role::Hollow, occasion)).or_default().record(*latency);
            }
        }
        let mut lines = Vec::new();
        for ((role, occasion), histogram) in histograms {
            let latency = histogram.summary();
            if occasion == OperatingCondition::FirstStart {
                let role = role.name();
                lines.push(ResultLine::figure(format!("{role}.list_p50_s"), latency.p50_ms / 1e3));
                lines.push(ResultLine::figure(format!("{role}.list_worst_s"), latency.worst_ms / 1e3));
            }
            lines.push(ResultLine::ListInForce { role, occasion, latency });
        }
        lines
    }

    /// From each change until it was in force at each forwarder.
    fn change_latency_results(&self) -> Vec<ResultLine> {
        let mut latencies = ChangeLatencies::new(&self.list);
        let resolution = self.add_real_changes(&mut latencies);
        self.add_hollow_changes(&mut latencies);
        let mut lines = latencies.into_results();
        if !self.real_forwarders.is_empty() {
            lines.push(ResultLine::ProbeResolution { latency: resolution.summary() });
        }
        lines
    }

    /// Adds the changes that real forwarders were probed by, and returns the resolution of their latencies.
    fn add_real_changes(&self, latencies: &mut ChangeLatencies) -> LatencyHistogram {
        let outages = lock(&self.outages);
        let mut attributions = BTreeMap::new();
        let mut last_rejections: BTreeMap<u32, Instant> = BTreeMap::new();
        let mut resolution = LatencyHistogram::default();
        for ProbeRecord { forwarder, generation, result } in lock(&self.probe_records).iter() {
            let attribution =
                attributions.entry(*forwarder).or_insert_with(|| outages.attribution(*forwarder));
            latencies.add(Role::Real, attribution, *generation, result.arrived_at);
            // Changes come in order: while an earlier destination was rejected, this one was not in force either.
            let earlier = last_rejections.get(forwarder).copied();
            let made = self.list.made_at(*generation);
            let unknown_since = result.last_rejected_at.into_iter().chain(earlier).chain(made).max();
            let unknown_since = unknown_since.unwrap_or(result.arrived_at);
            last_rejections.extend(result.last_rejected_at.map(|rejected| (*forwarder, rejected)));
            resolution.record(result.arrived_at.saturating_duration_since(unknown_since));
        }
        resolution
    }

    fn add_hollow_changes(&self, latencies: &mut ChangeLatencies) {
        let outages = lock(&self.outages);
        for hollow in &self.hollow_forwarders {
            let hollow = lock(hollow);
            let mut attribution = outages.attribution(hollow.number());
            for change in hollow.state().applied() {
                latencies.add(Role::Hollow, &mut attribution, change.generation, change.at);
            }
        }
    }
}

/// Latencies of changes, kept apart by role, occasion and the moment from which they count.
struct ChangeLatencies<'a> {
    list: &'a AuthoritativeList,
    histograms: BTreeMap<(Role, OperatingCondition, Since), LatencyHistogram>,
}

impl ChangeLatencies<'_> {
    fn new(list: &AuthoritativeList) -> ChangeLatencies<'_> {
        ChangeLatencies { list, histograms: BTreeMap::new() }
    }

    /// Adds a change that came into force at a forwarder then. One that is attributed to an outage also counts from
    /// when the forwarder could be reached again.
    fn add(&mut self, role: Role, attribution: &mut OutageAttribution, generation: u64, in_force: Instant) {
        let Some(made) = self.list.made_at(generation) else { return };
        let outage = attribution.outage(made, in_force);
        let occasion =
            outage.map_or(OperatingCondition::Normal, |outage| OperatingCondition::Fault(outage.kind));
        let since_change = in_force.saturating_duration_since(made);
        self.histograms.entry((role, occasion, Since::Change)).or_default().record(since_change);
        if let Some(outage) = outage {
            let reachable = outage.ended.map_or(in_force, |ended| ended.max(made));
            let since_reachable = in_force.saturating_duration_since(reachable);
            self.histograms.entry((role, occasion, Since::Reachable)).or_default().record(since_reachable);
        }
    }

    fn into_results(self) -> Vec<ResultLine> {
        let mut lines = Vec::new();
        let mut calm_p99_ms = BTreeMap::new();
        for ((role, occasion, since), histogram) in self.histograms {
            let latency = histogram.summary();
            if occasion == OperatingCondition::Normal {
                calm_p99_ms.insert(role, latency.p99_ms);
                let name = role.name();
                lines.push(ResultLine::figure(format!("{name}.change_p50_ms"), latency.p50_ms));
                lines.push(ResultLine::figure(format!("{name}.change_p99_ms"), latency.p99_ms));
            }
            lines.push(ResultLine::ChangeInForce { role, occasion, since, latency });
        }
        if let (Some(real), Some(hollow)) = (calm_p99_ms.get(&Role::Real), calm_p99_ms.get(&Role::Hollow)) {
            lines.push(ResultLine::figure("change_p99.real_over_hollow", real / hollow));
        }
        lines
    }
}
