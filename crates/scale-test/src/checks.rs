//! Checks at the end of a run.

use std::collections::BTreeSet;

use crate::client::SubmitResult;
use crate::endpoint_list::ListSnapshot;
use crate::lock::lock;
use crate::probe::probe_client;
use crate::report::ResultLine;
use crate::test_bed::TestBed;

/// Maximum number of new destinations that are submitted to each real forwarder at the end.
const MAX_FINAL_SUBMISSIONS: usize = 64;
/// Maximum number of differences between lists that the detail of a check names.
const MAX_REPORTED_DIFFERENCES: usize = 3;

impl TestBed {
    /// Returns the outcomes of all checks. `converged` is whether the last change was in effect at all
    /// forwarders before the timeout.
    pub(crate) async fn check_results(&self, converged: bool) -> Vec<ResultLine> {
        let authoritative = self.list.snapshot();
        vec![
            ResultLine::check(
                "the last change is in force everywhere",
                converged,
                format!("waited up to {} s", self.scenario.changes.settle_timeout_s),
            ),
            self.check_hollow_lists(&authoritative),
            self.check_skipped_changes(authoritative.generation),
            self.check_probes(),
            self.check_new_destinations(authoritative.endpoints.len()).await,
            self.check_processes().await,
        ]
    }

    fn check_hollow_lists(&self, authoritative: &ListSnapshot) -> ResultLine {
        let mut differing = 0;
        let mut shown = Vec::new();
        for hollow in &self.hollow_forwarders {
            let hollow = lock(hollow);
            let differences = hollow.state().differences(authoritative);
            differing += usize::from(!differences.is_empty());
            for difference in differences.into_iter().take(MAX_REPORTED_DIFFERENCES) {
                shown.push(format!("forwarder {}: {difference}", hollow.number()));
            }
        }
        shown.truncate(MAX_REPORTED_DIFFERENCES);
        let all = self.hollow_forwarders.len();
        let detail = format!("{differing} of {all} differ {}", shown.join("; "));
        ResultLine::check("hollow forwarders have the control side's list", differing == 0, detail.trim_end())
    }

    /// Checks that each hollow forwarder applied all changes after its first list.
    fn check_skipped_changes(&self, generation: u64) -> ResultLine {
        let mut missing = 0;
        for hollow in &self.hollow_forwarders {
            let hollow = lock(hollow);
            let state = hollow.state();
            let expected: BTreeSet<u64> = (state.first_generation() + 1..=generation).collect();
            let applied: BTreeSet<u64> = state.applied().iter().map(|change| change.generation).collect();
            missing += expected.difference(&applied).count();
        }
        ResultLine::check(
            "no change is missing at a hollow forwarder",
            missing == 0,
            format!("{missing} missing"),
        )
    }

    fn check_probes(&self) -> ResultLine {
        let expected = self.new_destination_count() * self.real_forwarders.len();
        let arrived = lock(&self.probe_records).len();
        ResultLine::check(
            "each new destination became known at each real forwarder",
            arrived == expected,
            format!("{arrived} of {expected}"),
        )
    }

    /// Checks that each real forwarder accepts messages for the most recently listed destinations.
    async fn check_new_destinations(&self, endpoints: usize) -> ResultLine {
        let first_new = self.scenario.list.endpoints as usize;
        let first = first_new.max(endpoints.saturating_sub(MAX_FINAL_SUBMISSIONS));
        let mut accepted = 0;
        let mut submitted = 0;
        for forwarder in &self.real_forwarders {
            let (address, number) = {
                let forwarder = forwarder.lock().await;
                (forwarder.address(), forwarder.number())
            };
            let mut client = probe_client(address);
            for index in first..endpoints {
                let destination = u32::try_from(index).unwrap_or(u32::MAX);
                let result = client.submit(&format!("end-{number}-{index}"), destination).await;
                accepted += usize::from(result == SubmitResult::Accepted);
                submitted += 1;
            }
        }
        ResultLine::check(
            "new destinations are known at each real forwarder at the end",
            accepted == submitted,
            format!("{accepted} of {submitted}"),
        )
    }

    async fn check_processes(&self) -> ResultLine {
        let mut crashed = Vec::new();
        for forwarder in &self.real_forwarders {
            let mut forwarder = forwarder.lock().await;
            if forwarder.has_crashed() {
                crashed.push(format!("{}: {}", forwarder.number(), forwarder.last_log_line()));
            }
        }
        let detail = if crashed.is_empty() { "none ended".to_owned() } else { crashed.join("; ") };
        ResultLine::check("no process ended by itself", crashed.is_empty(), detail)
    }
}
