//! A policy on a recording host, with a clock that the test moves.

use std::time::Duration;

use reeddock::*;

use super::{
    id, ms, settings, HostCommand, RecordingHost, StartedAttempt, IDEMPOTENT, ORDERED, SHARED_CIRCUIT,
};

/// An endpoint as the endpoint list has it.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    endpoint: u32,
    destination: u64,
    kind: &'static str,
    weight: Option<f64>,
    zone: &'static str,
}

/// An endpoint of a destination, listed in the zone `z` with the weight 6.
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

/// A list of one endpoint: number 1, of destination 9.
pub const ONE_ENDPOINT: &[ListedEndpoint] = &[listed(1, 9, SHARED_CIRCUIT)];

/// A policy, its host, and the time of both.
pub struct PolicyTest {
    pub policy: DeliveryPolicy,
    pub host: RecordingHost,
    /// Since the start of the policy.
    pub now: Duration,
}

impl PolicyTest {
    /// A policy that has had no endpoint list yet.
    pub fn without_endpoint_list(settings: Settings) -> PolicyTest {
        let mut host = RecordingHost::default();
        let policy = DeliveryPolicy::new(ms(0), settings, &mut host);
        PolicyTest { policy, host, now: ms(1000) }
    }

    /// A policy that has had a complete list of these endpoints.
    pub fn new(settings: Settings, endpoints: &[ListedEndpoint]) -> PolicyTest {
        let mut test = PolicyTest::without_endpoint_list(settings);
        test.replace_endpoints(endpoints);
        test
    }

    /// The same with the usual [`settings`].
    pub fn with_endpoints(endpoints: &[ListedEndpoint]) -> PolicyTest {
        PolicyTest::new(settings(), endpoints)
    }

    /// The same with capacity for a hundred thousand messages.
    pub fn with_large_capacity(endpoints: &[ListedEndpoint]) -> PolicyTest {
        PolicyTest::new(Settings { max_pending_messages: Some(100_000), ..settings() }, endpoints)
    }

    /// A complete endpoint list, of active endpoints.
    pub fn replace_endpoints(&mut self, endpoints: &[ListedEndpoint]) {
        self.apply_endpoint_list(true, endpoints, EndpointState::Active);
    }

    /// A list of changes: these endpoints are in this state now.
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

    /// One line of an endpoint list that the test begins and finishes.
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

    /// Submits a message that is due in 20 s.
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

    /// Submits so many idempotent messages, named `e0000` and on.
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

    /// Says that a submitted message is from before this start, and what attempts it had.
    pub fn restore(&mut self, name: &str, attempts: &[PreviousAttempt]) {
        self.policy.restore(self.now, &id(name), attempts, &mut self.host);
    }

    pub fn withdraw(&mut self, name: &str) {
        self.policy.withdraw(&id(name), &mut self.host);
    }

    /// An attempt ends; one that is completed finishes its message.
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

    /// An attempt at an endpoint is completed, and its answer asks that none follows for a time.
    pub fn complete_with_retry_after(&mut self, endpoint: u32, destination: u64, retry_after: Duration) {
        let name = format!("answered {endpoint}");
        self.submit(&name, IDEMPOTENT, destination);
        assert_eq!(self.started_after(ms(0)), [name.as_str()]);
        self.policy.retry_after_received(self.now, EndpointId(endpoint), retry_after);
        self.complete_attempt(&name, 0);
    }

    /// An answer of an endpoint reports what is left of its limit.
    pub fn report_load(&mut self, endpoint: u32, left: f64, limit: f64) {
        self.policy.load_reported(
            EndpointId(endpoint),
            LoadReport { remaining_share: left, limit_per_second: limit },
        );
    }

    /// Lets time pass and nothing else happen.
    pub fn advance(&mut self, span: Duration) {
        self.now += span;
    }

    /// Lets time pass, runs due work, and returns all commands since the last time.
    pub fn run_after(&mut self, span: Duration) -> Vec<HostCommand> {
        self.advance(span);
        self.policy.timer_fired(self.now);
        self.policy.run_due_work(self.now, &mut self.host);
        std::mem::take(&mut self.host.commands)
    }

    /// The same; returns the messages of which attempts were started.
    pub fn started_after(&mut self, span: Duration) -> Vec<String> {
        let message = |command| match command {
            HostCommand::StartAttempt(attempt) => Some(attempt.message),
            _ => None,
        };
        self.run_after(span).into_iter().filter_map(message).collect()
    }

    /// The same; returns the last command if it started an attempt.
    pub fn last_started_after(&mut self, span: Duration) -> Option<StartedAttempt> {
        match self.run_after(span).pop()? {
            HostCommand::StartAttempt(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// The longest time between two requests that is now kept to at any circuit, in seconds.
    pub fn longest_pacing_interval(&self) -> f64 {
        self.policy.pacing_intervals_seconds().fold(0.0, f64::max)
    }
}
