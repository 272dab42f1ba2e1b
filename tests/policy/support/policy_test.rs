//! A policy on a recording host, with a clock that the test advances.

use std::time::Duration;

use reeddock::*;

use super::{
    id, ms, settings, HostCommand, RecordingHost, StartedAttempt, IDEMPOTENT, ORDERED, SHARED_CIRCUIT,
};

/// An entry of the endpoint list.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    endpoint: u32,
    destination: u64,
    kind: &'static str,
    weight: Option<f64>,
    zone: &'static str,
}

/// Returns an endpoint in zone `z` with weight 6.
pub const fn listed(endpoint: u32, destination: u64, kind: &'static str) -> ListedEndpoint {
    ListedEndpoint { endpoint, destination, kind, weight: Some(6.0), zone: "z" }
}

impl ListedEndpoint {
    pub const fn weight(self, weight: Option<f64>) -> ListedEndpoint {
        ListedEndpoint { weight, ..self }
    }

    pub const fn zone(self, zone: &'static str) -> ListedEndpoint {
        ListedEndpoint { zone, ..self }
    }
}

/// An endpoint list with one entry: endpoint 1 of destination 9.
pub const ONE_ENDPOINT: &[ListedEndpoint] = &[listed(1, 9, SHARED_CIRCUIT)];

/// A policy with its host and the current time of both.
pub struct PolicyTest {
    pub policy: DeliveryPolicy,
    pub host: RecordingHost,
    /// Time since the start of the policy.
    pub now: Duration,
}

impl PolicyTest {
    /// Creates a policy that has received no endpoint list.
    pub fn without_endpoint_list(settings: Settings) -> PolicyTest {
        let mut host = RecordingHost::default();
        let policy = DeliveryPolicy::new(ms(0), settings, &mut host);
        PolicyTest { policy, host, now: ms(1000) }
    }

    /// Creates a policy that has received a complete list of these endpoints.
    pub fn new(settings: Settings, endpoints: &[ListedEndpoint]) -> PolicyTest {
        let mut test = PolicyTest::without_endpoint_list(settings);
        test.replace_endpoints(endpoints);
        test
    }

    /// Creates a policy with the default test [`settings`] and a complete list of these endpoints.
    pub fn with_endpoints(endpoints: &[ListedEndpoint]) -> PolicyTest {
        PolicyTest::new(settings(), endpoints)
    }

    /// Creates a policy with capacity for 100,000 messages and a complete list of these endpoints.
    pub fn with_large_capacity(endpoints: &[ListedEndpoint]) -> PolicyTest {
        PolicyTest::new(Settings { max_pending_messages: Some(100_000), ..settings() }, endpoints)
    }

    /// Applies a complete endpoint list of active endpoints.
    pub fn replace_endpoints(&mut self, endpoints: &[ListedEndpoint]) {
        self.apply_endpoint_list(true, endpoints, EndpointState::Active);
    }

    /// Applies a list of changes that gives these endpoints this state.
    pub fn update_endpoints(&mut self, endpoints: &[ListedEndpoint], state: EndpointState) {
        self.apply_endpoint_list(false, endpoints, state);
    }

    pub fn apply_endpoint_list(
        &mut self,
        complete: bool,
        endpoints: &[ListedEndpoint],
        state: EndpointState,
    ) {
        self.policy.begin_endpoint_list(complete);
        for endpoint in endpoints {
            self.update_endpoint(endpoint, state);
        }
        self.policy.finish_endpoint_list();
    }

    /// Applies one entry of an endpoint list. The caller begins the list before and finishes it afterwards.
    pub fn update_endpoint(&mut self, listed: &ListedEndpoint, state: EndpointState) {
        self.policy.update_endpoint(EndpointUpdate {
            endpoint: EndpointId(listed.endpoint),
            destination: DestinationId(listed.destination),
            state,
            weight: listed.weight,
            zone: listed.zone,
            kind: listed.kind,
        });
    }

    /// Submits a message with a deadline in 20 s.
    pub fn submit(&mut self, name: &str, class: &str, destination: u64) {
        self.submit_with_deadline(name, class, destination, self.now + ms(20_000));
    }

    pub fn submit_with_deadline(&mut self, name: &str, class: &str, destination: u64, deadline: Duration) {
        self.submit_message(name, class, destination, deadline, None);
    }

    /// Submits a message of the class [`ORDERED`].
    pub fn submit_ordered(&mut self, name: &str, destination: u64, key: OrderingKey) {
        self.submit_message(name, ORDERED, destination, self.now + ms(20_000), Some(key));
    }

    /// Submits `count` idempotent messages, named `e0000`, `e0001` and so on.
    pub fn submit_many(&mut self, count: usize, destination: u64) {
        for n in 0..count {
            self.submit(&format!("e{n:04}"), IDEMPOTENT, destination);
        }
    }

    fn submit_message(
        &mut self,
        name: &str,
        class: &str,
        destination: u64,
        deadline: Duration,
        ordering_key: Option<OrderingKey>,
    ) {
        let destination = DestinationId(destination);
        let message = NewMessage { id: id(name), class, tenant: None, ordering_key, deadline, destination };
        self.policy.submit(self.now, message, &mut self.host);
    }

    /// Restores a submitted message with its attempts before the restart.
    pub fn restore(&mut self, name: &str, attempts: &[PreviousAttempt]) {
        self.policy.restore(self.now, &id(name), attempts, &mut self.host);
    }

    pub fn withdraw(&mut self, name: &str) {
        self.policy.withdraw(&id(name), &mut self.host);
    }

    /// Finishes an attempt. A completed attempt finishes its message.
    pub fn finish_attempt(&mut self, name: &str, attempt: u32, outcome: AttemptOutcome) {
        let finished = outcome == AttemptOutcome::Completed;
        let attempt = AttemptNumber(attempt);
        let message = &id(name);
        let ended = FinishedAttempt { message, number: attempt, outcome, message_finished: finished };
        self.policy.attempt_finished(self.now, &ended, &mut self.host);
    }

    pub fn complete_attempt(&mut self, name: &str, attempt: u32) {
        self.finish_attempt(name, attempt, AttemptOutcome::Completed);
    }

    pub fn reject_attempt(&mut self, name: &str, attempt: u32, retry_after: Option<Duration>) {
        self.finish_attempt(name, attempt, AttemptOutcome::Rejected { retry_after });
    }

    /// Submits a message and completes its attempt at an endpoint with a Retry-After in the response.
    pub fn complete_with_retry_after(&mut self, endpoint: u32, destination: u64, retry_after: Duration) {
        let name = format!("answered {endpoint}");
        self.submit(&name, IDEMPOTENT, destination);
        assert_eq!(self.started_after(ms(0)), [name.as_str()]);
        self.policy.retry_after_received(self.now, EndpointId(endpoint), retry_after);
        self.complete_attempt(&name, 0);
    }

    /// Reports a rate limit, in requests per second, and its unused share, as a response of the endpoint
    /// would.
    pub fn report_load(&mut self, endpoint: u32, unused_share: f64, limit_per_second: f64) {
        self.policy.load_reported(
            EndpointId(endpoint),
            LoadReport { remaining_limit_share: unused_share, limit_per_second },
        );
    }

    /// Advances the clock without running due work.
    pub fn advance(&mut self, span: Duration) {
        self.now += span;
    }

    /// Advances the clock, runs due work, and returns all commands since the last call.
    pub fn run_after(&mut self, span: Duration) -> Vec<HostCommand> {
        self.advance(span);
        self.policy.timer_fired(self.now);
        self.policy.run_due_work(self.now, &mut self.host);
        std::mem::take(&mut self.host.commands)
    }

    /// Advances the clock, runs due work, and returns the messages of started attempts.
    pub fn started_after(&mut self, span: Duration) -> Vec<String> {
        let message = |command| match command {
            HostCommand::StartAttempt(attempt) => Some(attempt.message),
            _ => None,
        };
        self.run_after(span).into_iter().filter_map(message).collect()
    }

    /// Advances the clock, runs due work, and returns the last command if it started an attempt.
    pub fn last_started_after(&mut self, span: Duration) -> Option<StartedAttempt> {
        match self.run_after(span).pop()? {
            HostCommand::StartAttempt(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Returns the longest current pacing interval of all circuits, in seconds.
    pub fn longest_pacing_interval(&self) -> f64 {
        self.policy.pacing_intervals_seconds().fold(0.0, f64::max)
    }
}
