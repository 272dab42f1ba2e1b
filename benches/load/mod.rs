//! Delivery policy under load, for the benchmarks. Messages stay queued for destinations that sent a
//! Retry-After, while other destinations receive messages.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use reeddock::*;

/// Number of attempts that finish, and of messages that are submitted, in each run of due work.
pub const MESSAGES_PER_RUN: usize = 16;
/// Number of runs until as many attempts finish as start.
const WARM_UP_RUNS: usize = 4;
/// Time between two runs of due work.
const RUN_INTERVAL: Duration = Duration::from_millis(5);
/// Deadline of each message, long enough that no message expires during a benchmark.
const DEADLINE: Duration = Duration::from_secs(100_000);
/// Retry-After of destinations with queued messages; longer than any benchmark, and shorter than the latency
/// objective.
const RETRY_AFTER: Duration = Duration::from_secs(25_000);

/// Size of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSize {
    /// Number of messages that stay queued.
    pub queued: usize,
    /// Number of destinations, each with one endpoint.
    pub destinations: u64,
    /// Maximum number of requests in flight.
    pub max_in_flight: u64,
}

struct AttemptInFlight {
    message: MessageId,
    number: AttemptNumber,
}

/// Host that records the attempts in flight and does nothing else.
#[derive(Default)]
struct AttemptRecorder {
    in_flight: VecDeque<AttemptInFlight>,
    /// Number of attempts of each message without a finished attempt.
    attempts: HashMap<Arc<str>, u32>,
}

impl PolicyHost for AttemptRecorder {
    fn start_attempt(&mut self, message: &MessageId, _: EndpointId, _: AttemptTimeouts) {
        let attempts = self.attempts.entry(message.0.clone()).or_default();
        let number = AttemptNumber(*attempts);
        self.in_flight.push_back(AttemptInFlight { message: message.clone(), number });
        *attempts += 1;
    }
    fn cancel_attempt(&mut self, _: &MessageId, _: AttemptNumber) {}
    fn reject_message(&mut self, _: &MessageId, _: Option<Duration>) {}
    fn fail_message(&mut self, _: &MessageId) {}
    fn set_timer(&mut self, _: Duration) {}
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn watch_endpoint_list(&mut self, _: bool) {}
    fn fetch_endpoint_list(&mut self) {}
    fn report_event(&mut self, _: &PolicyEvent) {}
}

/// Policy with its host and clock.
pub struct LoadedPolicy {
    policy: DeliveryPolicy,
    host: AttemptRecorder,
    now: Duration,
    size: LoadSize,
    submitted: usize,
    /// Number of destinations that receive messages, from number 0 up; the messages of others stay queued.
    served: u64,
}

fn settings(max_in_flight: u64) -> Settings {
    let class = MessageClass {
        name: "note".into(),
        idempotency: Some(Idempotency::Idempotent),
        latency_objective: Some(DEADLINE / 2),
        deadline: Some(DEADLINE),
        ..Default::default()
    };
    let kind = EndpointKind { name: "one".into(), circuit_per_endpoint: false, max_batch: Some(1) };
    Settings {
        seed: 1,
        forwarders: Some(1),
        classes: vec![class],
        endpoint_kinds: vec![kind],
        max_in_flight: Some(max_in_flight),
        responses_carry_load_reports: true,
        ..Default::default()
    }
}

/// Returns the endpoint of the destination with the given number, counted from 0.
fn endpoint_of(destination: u64) -> EndpointId {
    EndpointId(destination as u32 + 1)
}

impl LoadedPolicy {
    /// Returns a policy without an endpoint list.
    pub fn new(size: LoadSize) -> LoadedPolicy {
        let mut host = AttemptRecorder::default();
        let policy = DeliveryPolicy::new(Duration::ZERO, settings(size.max_in_flight), &mut host);
        let served = size.destinations.div_ceil(2);
        LoadedPolicy { policy, host, now: RUN_INTERVAL, size, submitted: 0, served }
    }

    /// Sends the full endpoint list to the policy.
    pub fn list_endpoints(&mut self) {
        self.policy.begin_endpoint_list(true);
        for n in 0..self.size.destinations {
            self.policy.update_endpoint(EndpointUpdate {
                endpoint: endpoint_of(n),
                destination: DestinationId(n + 1),
                state: EndpointState::Active,
                weight: None,
                zone: "z",
                kind: "one",
            });
        }
        self.policy.finish_endpoint_list();
    }

    /// Returns the number of destinations that send a Retry-After: half of all destinations, or at most one
    /// per queued message.
    fn retry_after_destinations(&self) -> u64 {
        (self.size.destinations - self.served).min(self.size.queued as u64).max(1)
    }

    /// Reports a Retry-After of some destinations, and submits the messages that stay queued for these
    /// destinations. The Retry-After takes effect without a run of due work.
    pub fn queue_messages(&mut self) {
        let retry_after_destinations = self.retry_after_destinations();
        for n in 0..retry_after_destinations {
            let endpoint = endpoint_of(self.served + n);
            // The load report, which has no limit, creates the circuit breaker.
            self.policy
                .load_reported(endpoint, LoadReport { remaining_limit_share: 1.0, limit_per_second: 0.0 });
            self.policy.retry_after_received(self.now, endpoint, RETRY_AFTER);
        }
        for n in 0..self.size.queued as u64 {
            self.submit(self.served + n % retry_after_destinations);
        }
    }

    fn submit(&mut self, destination: u64) {
        let n = self.submitted;
        self.submitted += 1;
        let message = NewMessage {
            id: MessageId(Arc::from(format!("{n:08x}-4c1e-4a2b-9d3f-{n:012x}"))),
            class: "note",
            tenant: None,
            ordering_key: None,
            deadline: self.now + DEADLINE,
            destination: DestinationId(destination + 1),
        };
        self.policy.submit(self.now, message, &mut self.host);
    }

    /// Finishes sixteen attempts, submits sixteen messages, and runs due work once.
    pub fn run_once(&mut self) {
        self.now += RUN_INTERVAL;
        for _ in 0..MESSAGES_PER_RUN {
            let Some(attempt) = self.host.in_flight.pop_front() else { break };
            self.host.attempts.remove(&attempt.message.0);
            let ended = FinishedAttempt {
                message: &attempt.message,
                number: attempt.number,
                outcome: AttemptOutcome::Completed,
                message_finished: true,
            };
            self.policy.attempt_finished(self.now, &ended, &mut self.host);
        }
        for n in 0..MESSAGES_PER_RUN as u64 {
            self.submit(n % self.served);
        }
        self.policy.run_due_work(self.now, &mut self.host);
    }

    /// Runs due work until the number of attempts in flight is constant.
    pub fn warm_up(&mut self) {
        for _ in 0..WARM_UP_RUNS {
            self.run_once();
        }
        let in_flight = self.host.in_flight.len();
        assert_eq!(
            in_flight, MESSAGES_PER_RUN,
            "{:?}: expected one run's attempts in flight, but messages that must stay queued were sent",
            self.size
        );
    }
}
