//! The one fake host of the stories: it writes down what the delivery policy asks for and ends attempts as told.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use reeddock::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    Sent(String, u32, Duration),
    CalledOff(String, u32),
    Shed(String, Option<Duration>),
    BrokenOff(String),
    ListWanted,
}

#[derive(Default)]
pub struct Notebook {
    pub asked: Vec<Asked>,
    pub wakes: Vec<Duration>,
    /// What the last attempt of each message was sent with.
    pub spans: BTreeMap<String, AttemptTimeouts>,
}

impl PolicyHost for Notebook {
    fn start_attempt(&mut self, message: &MessageId, endpoint: EndpointId, spans: AttemptTimeouts) {
        self.asked.push(Asked::Sent(message.0.to_string(), endpoint.0, spans.response_within));
        self.spans.insert(message.0.to_string(), spans);
    }
    fn cancel(&mut self, message: &MessageId, dispatch: AttemptNumber) {
        self.asked.push(Asked::CalledOff(message.0.to_string(), dispatch.0));
    }
    fn reject(&mut self, message: &MessageId, retry_after: Option<Duration>) {
        self.asked.push(Asked::Shed(message.0.to_string(), retry_after));
    }
    fn fail(&mut self, message: &MessageId) {
        self.asked.push(Asked::BrokenOff(message.0.to_string()));
    }
    fn set_timer(&mut self, after: Duration) {
        self.wakes.push(after);
    }
    fn start_health_check(&mut self, _target: EndpointId) {}
    fn send_gossip(&mut self, _peer: Option<PeerId>, _note: &[u8]) {}
    fn subscribe(&mut self, _on: bool) {
        self.asked.push(Asked::ListWanted);
    }
    fn fetch_endpoint_list(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

/// A forwarder with three classes (`note` pure, `order` non-idempotent, `mark` keyed) and its notebook.
pub struct Story {
    pub policy: DeliveryPolicy,
    pub host: Notebook,
    pub now: Duration,
}

pub fn id(name: &str) -> MessageId {
    MessageId(Arc::from(name))
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings() -> Settings {
    let class = |name: &str, idempotency| MessageClass {
        name: name.into(),
        idempotency: Some(idempotency),
        latency_objective: Some(ms(2000)),
        deadline: Some(ms(20_000)),
        ordered: name == "line",
        ..Default::default()
    };
    Settings {
        seed: 7,
        forwarders: Some(1),
        classes: vec![
            class("note", Idempotency::Idempotent),
            class("order", Idempotency::NonIdempotent),
            class("mark", Idempotency::WithKey { window: ms(5000), scope: KeyScope::Region }),
            class("line", Idempotency::Idempotent),
        ],
        endpoint_kinds: vec![
            kind("shared", false, 1),
            kind("apart", true, 1),
            kind("batch", false, 4),
            kind("wide", false, 40),
            kind("bundle", true, 10),
        ],
        max_in_flight: Some(8),
        capacity: Some(50),
        max_attempts: Some(6),
        max_retry_after: Some(ms(3000)),
        ordering_hold_off: Some(ms(3000)),
        listed_weights: ListedWeights::ApproximateRates,
        ..Default::default()
    }
}

fn kind(name: &str, circuit_per_endpoint: bool, max_batch: u64) -> EndpointKind {
    EndpointKind { name: name.into(), circuit_per_endpoint, max_batch: Some(max_batch) }
}

impl Story {
    pub fn new(terms: Settings) -> Story {
        let mut host = Notebook::default();
        let policy = DeliveryPolicy::new(ms(0), terms, &mut host);
        Story { policy, host, now: ms(1000) }
    }

    /// A story in which endpoints are listed: number, destination, kind.
    pub fn with(endpoints: &[(u32, u64, &str)]) -> Story {
        let mut story = Story::new(settings());
        story.list(true, endpoints, EndpointState::Active);
        story
    }

    pub fn list(&mut self, whole: bool, endpoints: &[(u32, u64, &str)], state: EndpointState) {
        self.list_in("z", whole, endpoints, state);
    }

    /// The same, in a zone.
    pub fn list_in(&mut self, zone: &str, whole: bool, endpoints: &[(u32, u64, &str)], state: EndpointState) {
        self.policy.begin_endpoint_list(whole);
        for (endpoint, destination, kind) in endpoints {
            let (endpoint, destination) = (EndpointId(*endpoint), DestinationId(*destination));
            let listing = EndpointUpdate { endpoint, destination, state, weight: Some(6.0), zone, kind };
            self.policy.update_endpoint(listing);
        }
        self.policy.finish_endpoint_list();
    }

    pub fn submit(&mut self, name: &str, class: &str, destination: u64) {
        self.hand_in_key(name, class, destination, None);
    }

    pub fn hand_in_key(&mut self, name: &str, class: &str, destination: u64, key: Option<OrderingKey>) {
        let destination = DestinationId(destination);
        self.submit_until(name, class, key, destination, self.now + ms(20_000));
    }

    /// A message with this deadline.
    pub fn submit_until(
        &mut self,
        name: &str,
        class: &str,
        ordering_key: Option<OrderingKey>,
        destination: DestinationId,
        deadline: Duration,
    ) {
        let message = NewMessage { id: id(name), class, tenant: None, ordering_key, deadline, destination };
        self.policy.submit(self.now, message, &mut self.host);
    }

    pub fn ends(&mut self, name: &str, no: u32, outcome: AttemptOutcome) {
        let over = outcome == AttemptOutcome::Completed;
        self.policy.attempt_finished(self.now, &id(name), AttemptNumber(no), outcome, over, &mut self.host);
    }

    /// Lets time pass, then takes a turn and returns what was asked for since the last one.
    pub fn after(&mut self, span: Duration) -> Vec<Asked> {
        self.now += span;
        self.policy.timer_fired(self.now);
        self.policy.run_due_work(self.now, &mut self.host);
        std::mem::take(&mut self.host.asked)
    }

    /// The names of what was sent in a turn after this span.
    pub fn sent_after(&mut self, span: Duration) -> Vec<String> {
        let asked = self.after(span);
        let name = |a| if let Asked::Sent(name, ..) = a { Some(name) } else { None };
        asked.into_iter().filter_map(name).collect()
    }
}
