//! What has to hold at the end of a run.

use std::collections::BTreeSet;

use crate::clients::Answer;
use crate::hollow::locked as known_of;
use crate::real::probe_client;
use crate::report::{check, Line};
use crate::stage::{locked, Stage};
use crate::truth::Target;

/// Destinations listed while the run lasted that each real forwarder is asked for at its end, at most.
const ASKED_AT_END: usize = 64;
/// Differences that are told one by one.
const TOLD_DIFFERENCES: usize = 3;

impl Stage {
    /// All checks; `settled` says whether the last change came into force in time.
    pub async fn checks(&self, settled: bool) -> Vec<Line> {
        let (generation, targets) = self.truth.targets();
        let mut lines = vec![check(
            "the last change is in force everywhere",
            settled,
            format!("waited up to {} s", self.scenario.changes.settle_within_s),
        )];
        lines.push(self.check_states(generation, &targets));
        lines.push(self.check_counts(generation));
        let expected = self.probes() * self.reals.len();
        let seen = locked(&self.probed).len();
        lines.push(check(
            "each new destination became known at each real forwarder",
            seen == expected,
            format!("{seen} of {expected}"),
        ));
        let (known, asked) = self.ask_at_end(targets.len()).await;
        lines.push(check(
            "new destinations are known at each real forwarder at the end",
            known == asked,
            format!("{known} of {asked}"),
        ));
        let mut crashed = Vec::new();
        for real in &self.reals {
            let mut real = real.lock().await;
            if real.has_crashed() {
                crashed.push(format!("{}: {}", real.number, real.last_words()));
            }
        }
        let detail = if crashed.is_empty() { "none ended".to_owned() } else { crashed.join("; ") };
        lines.push(check("no process ended by itself", crashed.is_empty(), detail));
        lines
    }

    fn check_states(&self, generation: u64, targets: &[Target]) -> Line {
        let (mut faulty, mut told) = (0, Vec::new());
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            let differences = known_of(&hollow.known).differences(generation, targets);
            faulty += usize::from(!differences.is_empty());
            for difference in differences.into_iter().take(TOLD_DIFFERENCES) {
                told.push(format!("forwarder {}: {difference:?}", hollow.number));
            }
        }
        told.truncate(TOLD_DIFFERENCES);
        let all = self.hollows.len();
        let detail = format!("{faulty} of {all} differ {}", told.join("; "));
        check("hollow forwarders have the control side's list", faulty == 0, detail.trim_end())
    }

    /// Each change that a hollow forwarder did not have with its first list came into force there once.
    fn check_counts(&self, generation: u64) -> Line {
        let mut missing = 0;
        for hollow in &self.hollows {
            let hollow = locked(hollow);
            let known = known_of(&hollow.known);
            let seen = &known.in_force;
            let first = known.first_generation();
            let expected = (first + 1..=generation).collect::<BTreeSet<_>>();
            let had: BTreeSet<_> = seen.iter().map(|in_force| in_force.generation).collect();
            missing += expected.difference(&had).count();
        }
        check("no change is missing at a hollow forwarder", missing == 0, format!("{missing} missing"))
    }

    /// Hands an envelope in at each real forwarder for the destinations that were listed last.
    async fn ask_at_end(&self, targets: usize) -> (usize, usize) {
        let first = (self.scenario.list.targets as usize).max(targets.saturating_sub(ASKED_AT_END));
        let (mut known, mut asked) = (0, 0);
        for real in &self.reals {
            let (listen, number) = {
                let real = real.lock().await;
                (real.listen, real.number)
            };
            let mut client = probe_client(listen);
            for place in first..targets {
                let destination = u32::try_from(place).unwrap_or(u32::MAX);
                let answer = client.hand_in(&format!("end-{number}-{place}"), destination).await;
                known += usize::from(answer == Answer::TakenOn);
                asked += 1;
            }
        }
        (known, asked)
    }
}
