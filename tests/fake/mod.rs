//! The one fake host of the stories: it writes down what the module asks for and ends dispatches as told.

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
    /// What the last dispatch of each envelope was sent with.
    pub spans: BTreeMap<String, Spans>,
}

impl Host for Notebook {
    fn dispatch(&mut self, envelope: &EnvelopeId, target: TargetId, spans: Spans) {
        self.asked.push(Asked::Sent(envelope.0.to_string(), target.0, spans.time_out));
        self.spans.insert(envelope.0.to_string(), spans);
    }
    fn call_off(&mut self, envelope: &EnvelopeId, dispatch: DispatchNo) {
        self.asked.push(Asked::CalledOff(envelope.0.to_string(), dispatch.0));
    }
    fn shed(&mut self, envelope: &EnvelopeId, come_back: Option<Duration>) {
        self.asked.push(Asked::Shed(envelope.0.to_string(), come_back));
    }
    fn break_off(&mut self, envelope: &EnvelopeId) {
        self.asked.push(Asked::BrokenOff(envelope.0.to_string()));
    }
    fn wake(&mut self, after: Duration) {
        self.wakes.push(after);
    }
    fn probe(&mut self, _target: TargetId) {}
    fn tell(&mut self, _peer: Option<PeerId>, _note: &[u8]) {}
    fn subscribe(&mut self, _on: bool) {
        self.asked.push(Asked::ListWanted);
    }
    fn fetch_list(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

/// A forwarder with three categories (`note` pure, `order` effectful, `mark` receipted) and its notebook.
pub struct Story {
    pub forwarder: Forwarder,
    pub host: Notebook,
    pub now: Duration,
}

pub fn id(name: &str) -> EnvelopeId {
    EnvelopeId(Arc::from(name))
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn terms() -> Terms {
    let category = |name: &str, effect| CategoryTerms {
        name: name.into(),
        effect: Some(effect),
        promised: Some(ms(2000)),
        outer_limit: Some(ms(20_000)),
        ordered: name == "line",
        ..Default::default()
    };
    Terms {
        seed: 7,
        forwarders: Some(1),
        categories: vec![
            category("note", Effect::Pure),
            category("order", Effect::Effectful),
            category("mark", Effect::Receipted { window: ms(5000), group: Group::All }),
            category("line", Effect::Pure),
        ],
        kinds: vec![
            ("shared".into(), false, Some(1)),
            ("apart".into(), true, Some(1)),
            ("batch".into(), false, Some(4)),
            ("wide".into(), false, Some(40)),
            ("bundle".into(), true, Some(10)),
        ],
        slots: Some(8),
        room: Some(50),
        dispatch_cap: Some(6),
        come_back: Some(ms(3000)),
        key_rest: Some(ms(3000)),
        weights: Weights::RoughRates,
        ..Default::default()
    }
}

impl Story {
    pub fn new(terms: Terms) -> Story {
        let mut host = Notebook::default();
        let forwarder = Forwarder::open(ms(0), terms, &mut host);
        Story { forwarder, host, now: ms(1000) }
    }

    /// A story in which targets are listed: number, destination, kind.
    pub fn with(targets: &[(u32, u64, &str)]) -> Story {
        let mut story = Story::new(terms());
        story.list(true, targets, Standing::Active);
        story
    }

    pub fn list(&mut self, whole: bool, targets: &[(u32, u64, &str)], standing: Standing) {
        self.list_in("z", whole, targets, standing);
    }

    /// The same, in a zone.
    pub fn list_in(&mut self, zone: &str, whole: bool, targets: &[(u32, u64, &str)], standing: Standing) {
        self.forwarder.list_begins(whole);
        for (target, destination, kind) in targets {
            let (target, destination) = (TargetId(*target), DestinationId(*destination));
            let listing = Listing { target, destination, standing, weight: Some(6.0), zone, kind };
            self.forwarder.listed(listing);
        }
        self.forwarder.list_ends();
    }

    pub fn hand_in(&mut self, name: &str, category: &str, destination: u64) {
        self.hand_in_key(name, category, destination, None);
    }

    pub fn hand_in_key(&mut self, name: &str, category: &str, destination: u64, key: Option<KeyId>) {
        let (limit, to) = (self.now + ms(20_000), DestinationId(destination));
        self.forwarder.hand_in(self.now, id(name), category, None, key, limit, to, &mut self.host);
    }

    pub fn ends(&mut self, name: &str, no: u32, outcome: Outcome) {
        let over = outcome == Outcome::Completed;
        self.forwarder.settled(self.now, &id(name), DispatchNo(no), outcome, over, &mut self.host);
    }

    /// Lets time pass, then takes a turn and returns what was asked for since the last one.
    pub fn after(&mut self, span: Duration) -> Vec<Asked> {
        self.now += span;
        self.forwarder.alarm(self.now);
        self.forwarder.turn(self.now, &mut self.host);
        std::mem::take(&mut self.host.asked)
    }

    /// The names of what was sent in a turn after this span.
    pub fn sent_after(&mut self, span: Duration) -> Vec<String> {
        let asked = self.after(span);
        let name = |a| if let Asked::Sent(name, ..) = a { Some(name) } else { None };
        asked.into_iter().filter_map(name).collect()
    }
}
