//! A forwarder under load, for the benches: it holds envelopes for destinations that ask it to wait, while others
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
    /// Each has one target.
    pub destinations: u64,
    pub slots: u64,
}

/// A host that only remembers what was sent.
#[derive(Default)]
struct Sent {
    out: VecDeque<(EnvelopeId, DispatchNo)>,
    dispatches: HashMap<Arc<str>, u32>,
}

impl Host for Sent {
    fn dispatch(&mut self, envelope: &EnvelopeId, _: TargetId, _: Spans) {
        let no = self.dispatches.entry(envelope.0.clone()).or_default();
        self.out.push_back((envelope.clone(), DispatchNo(*no)));
        *no += 1;
    }
    fn call_off(&mut self, _: &EnvelopeId, _: DispatchNo) {}
    fn shed(&mut self, _: &EnvelopeId, _: Option<Duration>) {}
    fn break_off(&mut self, _: &EnvelopeId) {}
    fn wake(&mut self, _: Duration) {}
    fn probe(&mut self, _: TargetId) {}
    fn tell(&mut self, _: Option<PeerId>, _: &[u8]) {}
    fn subscribe(&mut self, _: bool) {}
    fn fetch_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

pub struct Load {
    forwarder: Forwarder,
    host: Sent,
    now: Duration,
    size: Size,
    envelopes: usize,
    /// Destinations that are served, from number 0 up; those behind them wait.
    busy: u64,
}

fn terms(slots: u64) -> Terms {
    let category = CategoryTerms {
        name: "note".into(),
        effect: Some(Effect::Pure),
        promised: Some(LIMIT / 2),
        outer_limit: Some(LIMIT),
        ..Default::default()
    };
    Terms {
        seed: 1,
        forwarders: Some(1),
        categories: vec![category],
        kinds: vec![("one".into(), false, Some(1))],
        slots: Some(slots),
        answers_report: true,
        ..Default::default()
    }
}

fn target(destination: u64) -> TargetId {
    TargetId(destination as u32 + 1)
}

impl Load {
    /// A forwarder that knows its terms and no list yet.
    pub fn open(size: Size) -> Load {
        let mut host = Sent::default();
        let forwarder = Forwarder::open(Duration::ZERO, terms(size.slots), &mut host);
        let busy = size.destinations.div_ceil(2);
        Load { forwarder, host, now: TICK, size, envelopes: 0, busy }
    }

    /// Tells the whole list.
    pub fn list(&mut self) {
        self.forwarder.list_begins(true);
        for n in 0..self.size.destinations {
            self.forwarder.listed(Listing {
                target: target(n),
                destination: DestinationId(n + 1),
                standing: Standing::Active,
                weight: None,
                zone: "z",
                kind: "one",
            });
        }
        self.forwarder.list_ends();
    }

    /// Destinations that ask to wait: half of them, or as many as there are envelopes to hold.
    pub fn waiting(&self) -> u64 {
        (self.size.destinations - self.busy).min(self.size.held as u64).max(1)
    }

    /// Has those destinations ask to wait, and hands in what is held for them. No turn is needed for it, as an
    /// answer that refuses nothing may ask for a wait.
    pub fn hold(&mut self) {
        let waiting = self.waiting();
        for n in 0..waiting {
            // A report makes the route known; this one tells of no limit.
            self.forwarder.reported(target(self.busy + n), LimitReport { left: 1.0, limit: 0.0 });
            self.forwarder.told_to_wait(self.now, target(self.busy + n), WAIT);
        }
        for n in 0..self.size.held as u64 {
            self.hand_in(self.busy + n % waiting);
        }
    }

    fn hand_in(&mut self, destination: u64) {
        let id =
            EnvelopeId(Arc::from(format!("{:08x}-4c1e-4a2b-9d3f-{:012x}", self.envelopes, self.envelopes)));
        self.envelopes += 1;
        let to = DestinationId(destination + 1);
        self.forwarder.hand_in(self.now, id, "note", None, None, self.now + LIMIT, to, &mut self.host);
    }

    /// Sixteen answers, sixteen envelopes, one turn.
    pub fn turn(&mut self) {
        self.now += TICK;
        for _ in 0..IN_A_TURN {
            let Some((id, no)) = self.host.out.pop_front() else { break };
            self.host.dispatches.remove(&id.0);
            self.forwarder.settled(self.now, &id, no, Outcome::Completed, true, &mut self.host);
        }
        for n in 0..IN_A_TURN as u64 {
            self.hand_in(n % self.busy);
        }
        self.forwarder.turn(self.now, &mut self.host);
    }

    /// Some turns, after which the calls that are out stay the same in number.
    pub fn first_turns(&mut self) {
        for _ in 0..FIRST_TURNS {
            self.turn();
        }
        assert_eq!(self.host.out.len(), IN_A_TURN, "{:?}: what is to be held was sent", self.size);
    }
}
