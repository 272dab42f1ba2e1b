//! A forwarder under load, for the benches: it holds messages for destinations that ask it to wait, while others
//! are served.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use reeddock::*;

/// Answers and hand-ins in a turn.
pub const IN_A_TURN: usize = 16;
const FIRST_TURNS: usize = 4;
const TICK: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(100_000);
/// Outlasts any bench.
const WAIT: Duration = Duration::from_secs(25_000);

/// What a forwarder holds, lists and may have out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    pub held: usize,
    /// Each has one endpoint.
    pub destinations: u64,
    pub slots: u64,
}

/// A host that only remembers what was sent.
#[derive(Default)]
struct Sent {
    out: VecDeque<(MessageId, AttemptNumber)>,
    attempts: HashMap<Arc<str>, u32>,
}

impl PolicyHost for Sent {
    fn start_attempt(&mut self, message: &MessageId, _: EndpointId, _: AttemptTimeouts) {
        let no = self.attempts.entry(message.0.clone()).or_default();
        self.out.push_back((message.clone(), AttemptNumber(*no)));
        *no += 1;
    }
    fn cancel(&mut self, _: &MessageId, _: AttemptNumber) {}
    fn reject(&mut self, _: &MessageId, _: Option<Duration>) {}
    fn fail(&mut self, _: &MessageId) {}
    fn set_timer(&mut self, _: Duration) {}
    fn start_health_check(&mut self, _: EndpointId) {}
    fn send_gossip(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {}
    fn fetch_endpoint_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

pub struct Load {
    policy: DeliveryPolicy,
    host: Sent,
    now: Duration,
    size: Size,
    messages: usize,
    /// Destinations that are served, from number 0 up; those behind them wait.
    busy: u64,
}

fn terms(slots: u64) -> Settings {
    let class = MessageClass {
        name: "note".into(),
        idempotency: Some(Idempotency::Idempotent),
        latency_objective: Some(LIMIT / 2),
        deadline: Some(LIMIT),
        ..Default::default()
    };
    Settings {
        seed: 1,
        forwarders: Some(1),
        classes: vec![class],
        endpoint_kinds: vec![EndpointKind {
            name: "one".into(),
            circuit_per_endpoint: false,
            max_batch: Some(1),
        }],
        max_in_flight: Some(slots),
        responses_carry_load_reports: true,
        ..Default::default()
    }
}

fn endpoint(destination: u64) -> EndpointId {
    EndpointId(destination as u32 + 1)
}

impl Load {
    /// A forwarder that knows its terms and no list yet.
    pub fn open(size: Size) -> Load {
        let mut host = Sent::default();
        let policy = DeliveryPolicy::new(Duration::ZERO, terms(size.slots), &mut host);
        let busy = size.destinations.div_ceil(2);
        Load { policy, host, now: TICK, size, messages: 0, busy }
    }

    /// Tells the whole list.
    pub fn list(&mut self) {
        self.policy.begin_endpoint_list(true);
        for n in 0..self.size.destinations {
            self.policy.update_endpoint(EndpointUpdate {
                endpoint: endpoint(n),
                destination: DestinationId(n + 1),
                state: EndpointState::Active,
                weight: None,
                zone: "z",
                kind: "one",
            });
        }
        self.policy.finish_endpoint_list();
    }

    /// Destinations that ask to wait: half of them, or as many as there are messages to hold.
    pub fn waiting(&self) -> u64 {
        (self.size.destinations - self.busy).min(self.size.held as u64).max(1)
    }

    /// Has those destinations ask to wait, and submits what is held for them. No turn is needed for it, as an
    /// answer that refuses nothing may ask for a wait.
    pub fn hold(&mut self) {
        let waiting = self.waiting();
        for n in 0..waiting {
            // A report makes the route known; this one tells of no limit.
            self.policy.load_reported(endpoint(self.busy + n), LoadReport { left: 1.0, limit: 0.0 });
            self.policy.retry_after_received(self.now, endpoint(self.busy + n), WAIT);
        }
        for n in 0..self.size.held as u64 {
            self.submit(self.busy + n % waiting);
        }
    }

    fn submit(&mut self, destination: u64) {
        let id = MessageId(Arc::from(format!("{:08x}-4c1e-4a2b-9d3f-{:012x}", self.messages, self.messages)));
        self.messages += 1;
        let to = DestinationId(destination + 1);
        let message = NewMessage {
            id,
            class: "note",
            tenant: None,
            ordering_key: None,
            deadline: self.now + LIMIT,
            destination: to,
        };
        self.policy.submit(self.now, message, &mut self.host);
    }

    /// Sixteen answers, sixteen messages, one turn.
    pub fn turn(&mut self) {
        self.now += TICK;
        for _ in 0..IN_A_TURN {
            let Some((id, no)) = self.host.out.pop_front() else { break };
            self.host.attempts.remove(&id.0);
            self.policy.attempt_finished(self.now, &id, no, AttemptOutcome::Completed, true, &mut self.host);
        }
        for n in 0..IN_A_TURN as u64 {
            self.submit(n % self.busy);
        }
        self.policy.run_due_work(self.now, &mut self.host);
    }

    /// Some turns, after which the calls that are out stay the same in number.
    pub fn first_turns(&mut self) {
        for _ in 0..FIRST_TURNS {
            self.turn();
        }
        assert_eq!(self.host.out.len(), IN_A_TURN, "{:?}: what is to be held was sent", self.size);
    }
}
