//! The figures of a run, from its counters and records.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::control::Door;
use crate::hollow::locked as known_of;
use crate::report::{Line, Rates, Spans};
use crate::room;
use crate::stage::{locked, HandIns, ProbeRecord, Stage};
use crate::troubles::Attribution;
use crate::wire::Reading;

/// Counters at one moment.
pub struct Snapshot {
    at: Instant,
    control: Reading,
    real: Reading,
    hollow: Reading,
    threads: BTreeMap<String, f64>,
    processor_s: Vec<f64>,
}

impl Stage {
    /// Reads all counters.
    pub async fn snapshot(&self) -> Snapshot {
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

    /// What the start has cost.
    pub fn start_lines(&self, before: &Snapshot, start_s: f64) -> Vec<Line> {
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

    /// What each role exchanged, and each part's processor time, between two readings.
    pub fn exchange(&self, phase: &'static str, before: &Snapshot, after: &Snapshot) -> Vec<Line> {
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

    /// What the real processes have used.
    pub async fn processes(&self, before: &Snapshot, after: &Snapshot) -> Vec<Line> {
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

    /// All spans of time.
    pub fn spans(&self) -> Vec<Line> {
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
        let mut add = |role, attribution: &mut Attribution, generation, at: Instant| {
            let Some(made) = self.truth.made(generation) else { return };
            let outage = attribution.outage(made, at);
            let occasion = outage.map_or("calm", |outage| outage.kind);
            let since_change = at.saturating_duration_since(made);
            changes.entry((role, occasion, "change")).or_default().add(since_change);
            if let Some(outage) = outage {
                let reachable = outage.ended.map_or(at, |ended| ended.max(made));
                let since_reach = at.saturating_duration_since(reachable);
                changes.entry((role, occasion, "reachable")).or_default().add(since_reach);
            }
        };
        let mut attributions = BTreeMap::new();
        let mut refusals = BTreeMap::new();
        let mut resolution = Spans::default();
        for ProbeRecord { forwarder, generation, probed } in locked(&self.probed).iter() {
            let attribution =
                attributions.entry(*forwarder).or_insert_with(|| outages.attribution(*forwarder));
            add("real", attribution, *generation, probed.arrived);
            // Changes come in order: while an earlier destination was refused, this one was not in force either.
            let earlier = refusals.get(forwarder).copied();
            let made = self.truth.made(*generation);
            let unsure_since = probed.refused.into_iter().chain(earlier).chain(made).max();
            let unsure_since = unsure_since.unwrap_or(probed.arrived);
            refusals.extend(probed.refused.map(|refused| (*forwarder, refused)));
            resolution.add(probed.arrived.saturating_duration_since(unsure_since));
        }
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            let mut attribution = outages.attribution(hollow.number);
            for in_force in &known_of(&hollow.known).in_force {
                add("hollow", &mut attribution, in_force.generation, in_force.at);
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
