//! Computes the latencies of endpoint lists, list changes and submissions from the records of a run.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::endpoint_list::AuthoritativeList;
use crate::latency::LatencyHistogram;
use crate::lock::lock;
use crate::outages::OutageAttribution;
use crate::report::{Component, LatencyStart, OperatingCondition, ResultLine};
use crate::test_bed::{ProbeRecord, TestBed};

impl TestBed {
    /// Returns all latencies of the run and the numbers of submissions, requests and delivery notices.
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
            requests: self.endpoints.request_count(),
            notices: self.control_plane.notice_count(),
        });
        lines
    }

    /// Returns the latencies from each start of a forwarder until its full list was in effect.
    fn list_latency_results(&self) -> Vec<ResultLine> {
        let mut histograms: BTreeMap<(Component, OperatingCondition), LatencyHistogram> = BTreeMap::new();
        for start in lock(&self.start_records).iter() {
            histograms
                .entry((Component::RealForwarders, start.condition))
                .or_default()
                .record(start.list_latency);
        }
        for hollow in &self.hollow_forwarders {
            let hollow = lock(hollow);
            for (start, latency) in hollow.state().list_latencies().iter().enumerate() {
                let condition =
                    if start == 0 { OperatingCondition::FirstStart } else { OperatingCondition::Restart };
                histograms.entry((Component::HollowForwarders, condition)).or_default().record(*latency);
            }
        }
        let mut lines = Vec::new();
        for ((component, condition), histogram) in histograms {
            let latency = histogram.summary();
            if condition == OperatingCondition::FirstStart {
                let component = component.name();
                lines.push(ResultLine::metric(format!("{component}.list_p50_s"), latency.p50_ms / 1e3));
                lines.push(ResultLine::metric(format!("{component}.list_worst_s"), latency.max_ms / 1e3));
            }
            lines.push(ResultLine::ListInEffect { component, condition, latency });
        }
        lines
    }

    /// Returns the latencies from each list change until the change was in effect, over all forwarders.
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

    /// Adds the list changes that were probed at real forwarders, and returns the resolution of their
    /// latencies.
    fn add_real_changes(&self, latencies: &mut ChangeLatencies) -> LatencyHistogram {
        let outages = lock(&self.outages);
        let mut attributions = BTreeMap::new();
        let mut last_rejections: BTreeMap<u32, Instant> = BTreeMap::new();
        let mut resolution = LatencyHistogram::default();
        for ProbeRecord { forwarder, generation, result } in lock(&self.probe_records).iter() {
            let attribution =
                attributions.entry(*forwarder).or_insert_with(|| outages.attribution(*forwarder));
            latencies.add(Component::RealForwarders, attribution, *generation, result.arrived_at);
            // Changes take effect in order: while a destination listed earlier was still rejected, this
            // change was not in effect either.
            let earlier_rejection_at = last_rejections.get(forwarder).copied();
            let made_at = self.list.made_at(*generation);
            let last_known_absent_at =
                result.last_rejected_at.into_iter().chain(earlier_rejection_at).chain(made_at).max();
            let last_known_absent_at = last_known_absent_at.unwrap_or(result.arrived_at);
            last_rejections.extend(result.last_rejected_at.map(|rejected| (*forwarder, rejected)));
            resolution.record(result.arrived_at.saturating_duration_since(last_known_absent_at));
        }
        resolution
    }

    fn add_hollow_changes(&self, latencies: &mut ChangeLatencies) {
        let outages = lock(&self.outages);
        for hollow in &self.hollow_forwarders {
            let hollow = lock(hollow);
            let mut attribution = outages.attribution(hollow.number());
            for change in hollow.state().applied() {
                latencies.add(
                    Component::HollowForwarders,
                    &mut attribution,
                    change.generation,
                    change.applied_at,
                );
            }
        }
    }
}

/// Latency histograms of list changes.
struct ChangeLatencies<'a> {
    list: &'a AuthoritativeList,
    histograms: BTreeMap<(Component, OperatingCondition, LatencyStart), LatencyHistogram>,
}

impl ChangeLatencies<'_> {
    fn new(list: &AuthoritativeList) -> ChangeLatencies<'_> {
        ChangeLatencies { list, histograms: BTreeMap::new() }
    }

    /// Records a list change that was in effect at a forwarder at `in_effect_at`. A change that is attributed
    /// to an outage is also recorded with its latency since the forwarder was reachable again.
    fn add(
        &mut self,
        component: Component,
        attribution: &mut OutageAttribution,
        generation: u64,
        in_effect_at: Instant,
    ) {
        let Some(made_at) = self.list.made_at(generation) else { return };
        let outage = attribution.attribute(made_at, in_effect_at);
        let condition =
            outage.map_or(OperatingCondition::Normal, |outage| OperatingCondition::Fault(outage.kind));
        let since_change = in_effect_at.saturating_duration_since(made_at);
        self.histograms
            .entry((component, condition, LatencyStart::ListChange))
            .or_default()
            .record(since_change);
        if let Some(outage) = outage {
            let reachable_at = outage.ended_at.map_or(in_effect_at, |ended| ended.max(made_at));
            let since_reachable = in_effect_at.saturating_duration_since(reachable_at);
            self.histograms
                .entry((component, condition, LatencyStart::ForwarderReachable))
                .or_default()
                .record(since_reachable);
        }
    }

    fn into_results(self) -> Vec<ResultLine> {
        let mut lines = Vec::new();
        let mut normal_p99_ms = BTreeMap::new();
        for ((component, condition, measured_from), histogram) in self.histograms {
            let latency = histogram.summary();
            if condition == OperatingCondition::Normal {
                normal_p99_ms.insert(component, latency.p99_ms);
                let name = component.name();
                lines.push(ResultLine::metric(format!("{name}.change_p50_ms"), latency.p50_ms));
                lines.push(ResultLine::metric(format!("{name}.change_p99_ms"), latency.p99_ms));
            }
            lines.push(ResultLine::ChangeInEffect { component, condition, measured_from, latency });
        }
        if let (Some(real), Some(hollow)) =
            (normal_p99_ms.get(&Component::RealForwarders), normal_p99_ms.get(&Component::HollowForwarders))
        {
            lines.push(ResultLine::metric("change_p99.real_over_hollow", real / hollow));
        }
        lines
    }
}
